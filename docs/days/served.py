#!/usr/bin/env python3
"""Says per class and per team how many of the accepted jobs ended, and how soon.

    fleetbench run SITE DAY --log info | served.py [--within CLASS=SECONDS ...]

Reads the controllers' lines `accepted` and `job ended`; a job that several controllers tell of counts once.
`within` is the part that was done within the class's seconds after its acceptance. Ends with the least
served class and team, and exits 1 if that is under half.
"""
import collections
import re
import sys


def main(args):
    within = dict(a.split("=") for a in args if "=" in a)
    accepted, ended = {}, {}
    for line in sys.stdin:
        at = re.match(r"\s*([\d.]+) ", line)
        if not at:
            continue
        if found := re.search(r"accepted job=(\S+) class=(\S+) team=(\S+)", line):
            accepted.setdefault(found[1], (float(at[1]), found[2], found[3]))
        elif found := re.search(r"job ended job=(\S+) state=(\w+)", line):
            ended.setdefault(found[1], (float(at[1]), found[2]))
    groups = collections.defaultdict(lambda: [0, 0, 0])
    for job, (at, cls, team) in accepted.items():
        end = ended.get(job)
        # A job that its user cancelled is not one to be served.
        if end and end[1] != "Done":
            continue
        for group in (("class", cls), ("team", team), (cls, team)):
            row = groups[group]
            row[0] += 1
            row[1] += bool(end)
            row[2] += bool(end) and end[0] - at <= float(within.get(cls, "inf"))
    least = min(groups, key=lambda g: groups[g][1] / groups[g][0], default=None)
    for (kind, name), (jobs, done, timely) in sorted(groups.items()):
        print(f"{kind:12} {name:16} {jobs:6} jobs  done {done / jobs:.3f}  within {timely / jobs:.3f}")
    if least is None:
        sys.exit("nothing was accepted; was the day played with --log info?")
    jobs, done, _ = groups[least]
    print(f"least served: {least[0]} {least[1]} {done / jobs:.3f}")
    sys.exit(done * 2 < jobs)


if __name__ == "__main__":
    main(sys.argv[1:])
