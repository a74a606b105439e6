#!/usr/bin/env python3
"""Says per class and per team how many of the accepted jobs began and ended, and how soon: of all, and of the largest.

    fleetbench run SITE DAY --log info | served.py [--begin SECONDS] [CLASS=SECONDS ...]

Reads the controllers' lines `accepted`, `claimed` and `job ended`; a job that several controllers tell of counts once.
A job has begun with its first claim. `within` is the part that was done within the class's seconds after its acceptance.

The largest are a tenth of a group's jobs (at least one), by tasks and by work (tasks, processors of each, estimate); `half` is the
smaller half by work, `middle` what lies between. How a job is judged: `begun` is the part that began within `--begin` seconds (240) of
their acceptance. Jobs accepted less than that before the day's end are left out of it, whether they have begun or not (counting only those that have would
flatter); a day's last beginnings can't be told. `ended` leaves out those whose seconds to begin and estimate would be over after the end. Jobs
that their users cancelled are left out of both. `never` is how many of all accepted have not begun at all, `open` how many of them are not judged.

For how long a job's questions went unanswered is not told: the controllers' logs have no line for a question.

Ends with the least served class and team, and of the classes' largest jobs; exits 1 if one of them is under half: `done` of a class, a
team or a team's class, `begun` and `ended` of the largest of a class.
"""
import collections
import re
import sys


class Job:
    def __init__(self, at, fields):
        self.at = at
        self.cls, self.team = fields["class"], fields["team"]
        self.tasks, self.estimate = int(fields.get("tasks", 1)), float(fields.get("estimate_s", 0))
        self.work = self.tasks * self.estimate * float(fields.get("cpus", 1))
        self.began = self.ended = self.state = None


def read(lines):
    jobs, began, ended, end = {}, {}, {}, 0.0
    for line in lines:
        at = re.match(r"\s*([\d.]+) ", line)
        if not at:
            continue
        now = float(at[1])
        end = max(end, now)
        if found := re.search(r"accepted (job=.*)", line):
            fields = dict(re.findall(r"(\w+)=(\S+)", found[1]))
            if "class" in fields:
                jobs.setdefault(fields["job"], Job(now, fields))
        elif found := re.search(r"claimed job=(\S+)", line):
            began.setdefault(found[1], now)
        elif found := re.search(r"job ended job=(\S+) state=(\w+)", line):
            ended.setdefault(found[1], (now, found[2]))
    for name, job in jobs.items():
        job.began = began.get(name)
        job.ended, job.state = ended.get(name, (None, None))
    # A job that its user cancelled is not one to be served.
    return [j for j in jobs.values() if j.state in (None, "Done")], end


def part(number, of):
    return number / of if of else float("nan")


def sizes(jobs):
    """The bands of a group's jobs, largest first."""
    by_work = sorted(jobs, key=lambda j: j.work)
    by_tasks = sorted(jobs, key=lambda j: (j.tasks, j.work))
    tenth = max(1, len(jobs) // 10)
    half = len(jobs) // 2
    return {
        "tenth by tasks": by_tasks[-tenth:],
        "tenth by work": by_work[-tenth:],
        "middle": by_work[half:-tenth],
        "half": by_work[:half],
    }


def judge(jobs, end, within):
    judged = [j for j in jobs if j.at + within <= end]
    begun = sum(j.began is not None and j.began - j.at <= within for j in judged)
    over = [j for j in judged if j.at + within + j.estimate <= end]
    ended = sum(j.ended is not None for j in over)
    never = [j for j in jobs if j.began is None]
    still = sum(j.at + within > end for j in never)
    return begun, len(judged), ended, len(over), len(never), still


def main(args):
    begin = float(args[args.index("--begin") + 1]) if "--begin" in args else 240.0
    within = dict(a.split("=") for a in args if "=" in a)
    jobs, end = read(sys.stdin)
    if not jobs:
        sys.exit("nothing was accepted; was the day played with --log info?")
    groups = collections.defaultdict(list)
    for job in jobs:
        for group in (("class", job.cls), ("team", job.team), (job.cls, job.team)):
            groups[group].append(job)
    rows = []
    for (kind, name), of in sorted(groups.items()):
        done = sum(j.ended is not None for j in of)
        timely = sum(j.ended is not None and j.ended - j.at <= float(within.get(j.cls, "inf")) for j in of)
        rows.append((done / len(of), f"{kind} {name}"))
        print(f"{kind:12} {name:16} {len(of):6} jobs  done {done / len(of):.3f}  within {timely / len(of):.3f}")
    print(f"\nby size, of a day of {end:.0f} s; begun within {begin:.0f} s and ended, of those that can be judged")
    largest = []
    for (kind, name), of in sorted(groups.items()):
        for size, some in [("all", of), *sizes(of).items()]:
            if kind not in ("class", "team") and not size.startswith("tenth"):
                continue
            begun, judged, ended, over, never, still = judge(some, end, begin)
            print(
                f"{kind:12} {name:16} {size:15} begun {part(begun, judged):.2f} of {judged:4}  "
                f"ended {part(ended, over):.2f} of {over:4}  never {never:4} of {len(some):4} (open {still})"
            )
            if kind == "class" and size.startswith("tenth"):
                largest += [(part(n, m), f"{what} of {name}, {size}") for n, m, what in ((begun, judged, "begun"), (ended, over, "ended")) if m]
    print()
    least = [min(rows)] + ([min(largest)] if largest else [])
    for (share, name), what in zip(least, ("least served", "least of the largest")):
        print(f"{what}: {name} {share:.3f}")
    sys.exit(any(share < 0.5 for share, _ in least))


if __name__ == "__main__":
    main(sys.argv[1:])
