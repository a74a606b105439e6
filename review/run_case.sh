# Sourced by each case's run.sh: runs case.py beside it, within 120 s.
set -u
cd "$folder" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
[ -x ../../target/release/cleatfold ] || { echo "target/release/cleatfold is not built"; exit 2; }
timeout -k 1 118 python3 -B case.py
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
