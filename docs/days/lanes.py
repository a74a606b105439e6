#!/usr/bin/env python3
"""Inversions and times to the first start, from what controllers logged on a day of the bench.

    lanes.py LOG [REPORT_S] [--failed SECONDS]...

LOG is the output of `fleetbench run SITE DAY --log info`. REPORT_S is the workers' report interval (3 if not said).
Counted are claims of a lower lane on a machine of a pool while a job of a higher one had waited for longer than
REPORT_S, had been claimed for in the same pool within the day (so its kind, type and zone fit there) and has tasks of no
more processors. This is approximate: a team's limit, what was free on the machine beyond the claim itself, images and
gangs are not in the log; a job that never had a task in the pool is not counted against it. With `--failed` (seconds
since the first line) also how long jobs above background waited for their first claim that came within 30 s of it.
"""
import re
import sys
from datetime import datetime

LANES = {"Critical": 0, "High": 1, "Normal": 2, "BestEffort": 3}
ANSI = re.compile(r"\x1b\[[0-9;]*m")
TIME = re.compile(r"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d+)Z")
FIELD = re.compile(r"(\w+)=(\"[^\"]*\"|\S+)")


def read(path):
    first = None
    for line in open(path, errors="replace"):
        line = ANSI.sub("", line)
        when = TIME.search(line)
        if not when:
            continue
        at = datetime.fromisoformat(when.group(1)).timestamp()
        first = first or at
        rest = line[when.end():]
        kind = next((k for k in ("accepted", "claimed", "task ended", "job ended") if re.search(rf"\b{k}\b", rest)), None)
        if kind:
            yield at - first, kind, dict(FIELD.findall(rest))


def main():
    failed = [float(a) for i, a in enumerate(sys.argv) if sys.argv[i - 1] == "--failed"]
    plain = [a for i, a in enumerate(sys.argv[1:], 1) if not a.startswith("--") and sys.argv[i - 1] != "--failed"]
    report = float(plain[1]) if len(plain) > 1 else 3.0
    events = sorted(read(plain[0]), key=lambda e: e[0])
    jobs, pools = {}, {}
    for at, kind, f in events:
        job = f.get("job")
        if kind == "accepted" and "urgency" in f:
            jobs.setdefault(job, dict(
                at=at, lane=LANES[f["urgency"]], cpus=float(f["cpus"]), left=int(f["tasks"]), since=at, begun=None))
        elif kind == "claimed":
            pools.setdefault(job, set()).add(f["pool"])
    starts = inverted = 0
    waiting = {}
    for at, kind, f in events:
        job = jobs.get(f.get("job"))
        if job is None:
            continue
        if kind == "accepted":
            waiting[f["job"]] = job
        elif kind == "job ended":
            waiting.pop(f["job"], None)
        elif kind == "task ended" and f.get("why", "").strip('"') != "done":
            job["left"] += 1
            job["since"] = at if f["job"] not in waiting else job["since"]
            waiting[f["job"]] = job
        elif kind == "claimed":
            tasks = int(f["tasks"])
            job["left"] -= tasks
            job["begun"] = at if job["begun"] is None else job["begun"]
            if job["left"] <= 0:
                waiting.pop(f["job"], None)
            starts += tasks
            late = lambda n, w: w["lane"] < job["lane"] and at - w["since"] > report and w["cpus"] <= job["cpus"]
            if any(late(n, w) and f["pool"] in pools.get(n, ()) for n, w in waiting.items()):
                inverted += tasks
    print(f"{starts} starts, {inverted} inverted ({100 * inverted / max(1, starts):.2f}%)")
    for moment in failed:
        came = [j for j in jobs.values() if j["lane"] < 3 and moment <= j["at"] <= moment + 30]
        waits = sorted(j["begun"] - j["at"] for j in came if j["begun"] is not None)
        if waits:
            print(f"after {moment:.0f} s: {len(came)} jobs above background, {len(came) - len(waits)} never began; "
                  f"first claim after {waits[len(waits) // 2]:.1f} s (half), {waits[-1]:.1f} s (last)")


main()
