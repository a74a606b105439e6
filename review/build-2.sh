#!/bin/sh
# Builds what the scripts of the second review (review/4 to review/6) start beside the project's own program,
# which the deploy file's build makes. The stand-ins are Python of the standard library only (Python 3.11 or later)
# and need no build: this checks that they can be run.
set -eu
cd "$(dirname "$0")"
test -x ../target/release/cleatfold || (cd .. && cargo build --release --offline)
PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import ast, glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in glob.glob("standin-2/*.py") + glob.glob("[4-6]/case.py"):
    ast.parse(open(path).read(), path)
print("stand-ins are ready")
END
