#!/usr/bin/env python3
"""Makes a larger or smaller deployment, and days of our own, from a site file of the users' bench.

    make.py size SITE.toml FACTOR OUT.toml [--zone NAME] [--machines FACTOR] [--team NAME=WEIGHT]
    make.py day  SITE.toml everything|twice|return|gap[:CLASS]|TROUBLE[+TROUBLE...] OUT.toml

`size` multiplies machines, traffic, first load and the teams' amounts; the controllers and what the
services take stay as they are. `--zone` adds a zone with as many machines as the first one has;
`--machines` multiplies the machines alone, and `--team` lets a team send more or less of the same traffic.
`day` writes one day. A TROUBLE is `burst:CLASS:TIMES:SECONDS`, `roll`, `kill` (all controllers), `cut`
(a zone), `half` (half of the machines die), `replaced` (controllers cut off and frozen in turn, machines
dying), `freeze:COUNT:SECONDS` (the busiest), `turns` (each controller frozen in turn), `apart:WHAT:SECONDS:MODE`
(the busiest cut from `all`, `state` or `workers`; MODE is `hold`, `reset` or, of `state`, `refuse`), `peers:SECONDS`,
`down:SECONDS`, `busiest` (it is killed), `flood:TIMES:SECONDS` (questions), `broken:SHARE` (of every class's jobs),
`guest:KIND` (`leftovers`, `huge` or `singles`, of a team that is in no settings file's guarantees), `late:PART` (the
cloud's list), `writes:SHARE:SECONDS` (transactions without an answer, executed late), `copies:SHARE:SECONDS` (of reports),
`deaf:COUNT:SECONDS` (machines; a ZONE's for COUNT), `alone:SECONDS:MODE` (the busiest is cut from the state service and the
other controllers) or `calm`. A TROUBLE may be followed by `@SECONDS` after the first. `gap`: the state service refuses the
busiest controller alone, then everybody for longer than `cancel_s`, twice, while most jobs of a class are cancelled. See README.md beside this file for what the days are for.
"""
import random
import re
import sys
import tomllib

# What grows with the size, by section.
COUNTED = {"capacity": {"count", "spot"}, "machines": {"count"}, "jobs": {"initial"}}
AMOUNTS = {"teams": {"cpus", "cpus_max", "gpus", "gpus_max"}}


def size(source, factor, zone, machines, weights):
    section, lines, extra, block, team = None, [], [], [], None
    first = tomllib.load(open(source, "rb"))["nodes"]["zones"][0]
    for line in open(source):
        if header := re.match(r"\[+(\w+)\]+", line):
            section, block = header.group(1), []
        block.append(line)
        number = re.match(r"(\w+) = ([\d.]+)\s*$", line)
        if named := re.match(r'name = "(.+)"', line):
            team = named.group(1) if section == "teams" else None
        if number and number.group(1) in COUNTED.get(section, ()):
            times = factor * (1.0 if section == "jobs" else machines)
            line = f"{number.group(1)} = {max(1, round(float(number.group(2)) * times))}\n"
        elif number and number.group(1) == "weight" and team in weights:
            line = f"weight = {weights[team]}\n"
        elif number and number.group(1) in AMOUNTS.get(section, ()):
            line = f"{number.group(1)} = {float(number.group(2)) * factor}\n"
        elif section == "jobs" and line.startswith("arrivals"):
            rate = lambda m: f"rate = {float(m.group(1)) * factor:.4f}"
            line = re.sub(r"rate = ([\d.]+)", rate, line)
        elif zone and line.startswith("zones = "):
            line = line.replace("]", f', "{zone}"]')
        lines.append(line)
        if zone and section == "capacity" and line.startswith("spot = "):
            if any(f'zone = "{first}"' in l for l in block):
                extra += ["\n"] + [l.replace(f'"{first}"', f'"{zone}"') for l in block[:-1]] + [line]
    return "".join(lines + extra)


def troubles(words, zones, nodes, lease, up):
    """Of a day like `burst:rendu:4:200+cut`: what happens, all of it from the same moment on."""
    faults = []
    for word in words.split("+"):
        word, _, after = word.partition("@")
        at = 120.0 + float(after or 0)
        kind, *rest = word.split(":")
        if kind == "burst" and len(rest) == 3:
            burst = {"class": rest[0]}
            faults.append(dict(at_s=at, kind="job_burst", **burst, factor=float(rest[1]), for_s=float(rest[2])))
        elif kind == "roll":
            faults.append(dict(at_s=at, kind="node_roll", every_s=25.0))
        elif kind == "kill":
            faults.append(dict(at_s=at + 30, kind="node_crash", count=nodes, busiest=True))
        elif kind == "cut":
            faults.append(dict(at_s=at, kind="zone_cut", zone=zones[1], for_s=2 * lease, mode="hold"))
        elif kind == "half":
            faults.append(dict(at_s=at, kind="machine_die", count=max(1, up // 2)))
        elif kind == "replaced":
            for i in range(4):
                cut = dict(kind="node_cut", count=1, busiest=True, from_state=i % 2 == 1, mode="hold")
                faults.append(dict(at_s=at + 60 * i, for_s=30.0, **cut))
                faults.append(dict(at_s=at + 60 * i + 25, kind="node_freeze", count=1, busiest=True, for_s=20.0))
                faults.append(dict(at_s=at + 60 * i + 5, kind="machine_die", count=max(1, up // 8)))
        elif kind == "freeze" and len(rest) == 2:
            faults.append(dict(at_s=at, kind="node_freeze", count=int(rest[0]), busiest=True, for_s=float(rest[1])))
        elif kind == "turns":
            for i in range(nodes + 1):
                faults.append(dict(at_s=at + 35 * i, kind="node_freeze", count=1, busiest=True, for_s=30.0))
        elif kind == "apart" and len(rest) == 3:
            part = {"all": {}, "state": {"from_state": True}, "workers": {"from_workers": True}}[rest[0]]
            faults.append(dict(at_s=at, kind="node_cut", count=1, busiest=True, **part, for_s=float(rest[1]), mode=rest[2]))
        elif kind == "peers" and len(rest) == 1:
            faults.append(dict(at_s=at, kind="peers_refuse", for_s=float(rest[0])))
        elif kind == "down" and len(rest) == 1:
            faults.append(dict(at_s=at, kind="node_down", count=1, busiest=True, for_s=float(rest[0])))
        elif kind == "busiest":
            faults.append(dict(at_s=at + 15, kind="node_crash", count=1, busiest=True))
        elif kind == "flood" and len(rest) == 2:
            faults.append(dict(at_s=at, kind="poll_storm", factor=float(rest[0]), for_s=float(rest[1])))
        elif kind == "writes" and len(rest) == 2:
            faults.append(dict(at_s=at, kind="late_writes", share=float(rest[0]), for_s=float(rest[1])))
        elif kind == "copies" and len(rest) == 2:
            faults.append(dict(at_s=at, kind="late_reports", share=float(rest[0]), for_s=float(rest[1])))
        elif kind == "deaf" and len(rest) == 2:
            whom = {"zone": rest[0]} if rest[0] in zones else {"count": int(rest[0])}
            faults.append(dict(at_s=at, kind="machine_deaf", **whom, for_s=float(rest[1])))
        elif kind == "alone" and len(rest) == 2:
            cut = dict(from_state=True, from_peers=True, mode=rest[1])
            faults.append(dict(at_s=at, kind="node_cut", count=1, busiest=True, **cut, for_s=float(rest[0])))
        elif kind not in ("calm", "broken", "guest", "late"):
            sys.exit(f"no such trouble: {word}\n{__doc__}")
    return faults


def guests(site, kind, at):
    """A guest class: its shape, from the size of the deployment."""
    cpus_of = {t["name"]: t["cpus"] for t in site["machine_types"]}
    slots = sum((c["count"] + c["spot"]) * cpus_of[c["type"]] for c in site["capacity"])
    one = lambda n: f"{{ sizes = [{n}], weights = [1.0] }}"
    run = lambda s: f"{{ median = {s}, p95 = {s * 1.3}, max = {s * 1.5} }}"
    shape = {
        "leftovers": (max(20, int(slots / 30)), 400.0, 2.0, f"{{ start_s = {at - 60} }}, initial = 6"),
        "huge": (25000, 4.0, 0.25, f"{{ start_s = {at} }}, initial = 1"),
        "singles": (1, 150.0, 0.25, f"{{ rate = 15.0, start_s = {at}, stop_s = {at + 55} }}"),
    }
    tasks, run_s, cpus, comes = shape[kind]
    return (
        f'{{ name = "{kind}", kind = "array", priority = "low", teams = ["visitors"], cpus = {cpus}, gpus = 0.0, '
        f"memory_gb = {cpus * 1.8}, vary = 0.3, spot = true, tasks = {one(tasks)}, run_s = {run(run_s)}, estimate_error = 0.3, "
        "checkpoint_s = 0.0, save_s = 0.0, images = { count = 1, gb = { median = 0.5, p95 = 0.6, max = 0.8 } }, "
        f"arrivals = {comes} }}"
    )


def others(site, words):
    """What of a day is not a fault: broken jobs, guests, a late list."""
    lines, jobs, broken = [], [], 0.0
    visits = [w.partition("@")[0].split(":")[1] for w in words if w.startswith("guest:")]
    for word in words:
        kind, *rest = word.partition("@")[0].split(":")
        if kind == "broken":
            broken = float(rest[0])
        elif kind == "late":
            lines.append(f"vary = {{ list_lag = {float(rest[0])} }}")
    residents = [t["name"] for t in site["teams"]]
    for job in site["jobs"] if broken or visits else []:
        teams = job.get("teams", residents)
        jobs.append(f'{{ name = "{job["name"]}", broken = {broken}, teams = {teams} }}'.replace("'", '"'))
    jobs += [guests(site, kind, 150.0 + 60 * i) for i, kind in enumerate(visits)]
    if visits:
        lines.append('teams = [{ name = "visitors", weight = 1.0 }]')
    if jobs:
        lines.append("jobs = [\n" + "".join(f"  {j},\n" for j in jobs) + "]")
    return "".join(line + "\n" for line in lines)


def gap(site, name):
    """Cancellations are told by others while the leader alone is refused; then nobody can read for longer than
    `cancel_s`. The tasks run for longer than all of it."""
    lease, cancel = site["workers"]["lease_s"], site["workers"]["cancel_s"]
    _, _, job = name.partition(":")
    job, outage, at, faults = job or site["jobs"][0]["name"], round(1.25 * cancel, 1), 70.0, []
    for _ in range(2):
        refused = dict(kind="node_cut", count=1, busiest=True, from_state=True, mode="refuse", for_s=0.8 * lease)
        faults += [dict(at_s=at, **refused), dict(at_s=at + 2, kind="state_outage", for_s=outage)]
        at += outage + 0.5 * cancel
    run = f"{{ median = {2.4 * cancel:.1f}, p95 = {3.0 * cancel:.1f}, max = {3.4 * cancel:.1f} }}"
    jobs = f'jobs = [{{ name = "{job}", cancelled = 0.8, run_s = {run} }}]\n'
    return faults, f"duration_s = {at + cancel}\n{jobs}"


def day(source, name):
    site = tomllib.load(open(source, "rb"))
    zones, nodes = site["nodes"]["zones"], site["nodes"]["count"]
    lease, cancel = site["workers"]["lease_s"], site["workers"]["cancel_s"]
    up = sum(m["count"] for m in site["machines"])
    classes = [j["name"] for j in site["jobs"]]
    rng = random.Random(name)
    at = 150.0
    faults = []
    if name in ("everything", "return"):
        faults = [
            dict(at_s=at, kind="state_outage", for_s=15.0),
            dict(at_s=at + 5, kind="node_crash", count=nodes, busiest=True),
            dict(at_s=at + 5, kind="machine_die", count=max(1, up // 3)),
            dict(at_s=at + 8, kind="zone_cut", zone=zones[0], for_s=lease, mode="hold"),
            dict(at_s=at + 10, kind="job_burst", **{"class": classes[0]}, factor=3.0, for_s=40.0),
            dict(at_s=at + 20, kind="spot_taken", share=0.5, notice_s=0.0, over_s=5.0, zone=zones[1]),
        ]
    extra = ""
    if name in ("everything", "twice"):
        extra = others(site, ["broken:0.04", "guest:huge", "late:0.9"])
    if name == "everything":
        faults += [
            dict(at_s=at + 30, kind="poll_storm", factor=8.0, for_s=60.0),
            dict(at_s=at + 40, kind="node_freeze", count=1, busiest=True, for_s=lease),
            dict(at_s=at + 70, kind="node_crash", count=nodes, busiest=True),
            dict(at_s=at + 72, kind="machine_hang", count=max(1, up // 4), for_s=lease * 0.8),
        ]
    if name == "twice":
        kinds = [
            lambda: dict(kind="machine_die", count=max(1, up // 10)),
            lambda: dict(kind="machine_hang", count=max(1, up // 8), for_s=lease),
            lambda: dict(kind="machine_slow", count=max(1, up // 8), factor=3.0, for_s=50.0),
            lambda: dict(kind="node_crash", count=1, busiest=True),
            lambda: dict(kind="node_cut", count=1, busiest=True, for_s=lease, mode="hold"),
            lambda: dict(kind="node_cut", count=1, busiest=True, from_state=True, for_s=cancel / 2, mode="hold"),
            lambda: dict(kind="node_cut", count=1, busiest=True, from_workers=True, for_s=lease, mode="hold"),
            lambda: dict(kind="node_freeze", count=1, busiest=True, for_s=lease / 2),
            lambda: dict(kind="node_cut", count=1, busiest=True, from_state=True, for_s=cancel / 2, mode="refuse"),
            lambda: dict(kind="node_down", count=1, busiest=True, for_s=lease),
            lambda: dict(kind="poll_storm", factor=8.0, for_s=40.0),
            lambda: dict(kind="node_roll", every_s=25.0),
            lambda: dict(kind="peers_refuse", for_s=30.0),
            lambda: dict(kind="spot_taken", share=0.3, notice_s=0.0, over_s=20.0, zone=rng.choice(zones)),
            lambda: dict(kind="state_outage", for_s=12.0),
            lambda: dict(kind="state_slow", factor=20.0, for_s=30.0),
            lambda: dict(kind="zone_cut", zone=rng.choice(zones), for_s=lease, mode="reset"),
            lambda: dict(kind="job_burst", **{"class": rng.choice(classes)}, factor=2.0, for_s=50.0),
        ]
        for _ in range(2):
            faults += [dict(at_s=round(rng.uniform(100, 330), 1), **make()) for make in kinds]
        faults.sort(key=lambda f: f["at_s"])
    if name.partition(":")[0] == "gap":
        faults, extra = gap(site, name)
        name = "gap"
    elif name not in ("everything", "return", "twice"):
        faults = troubles(name, zones, nodes, lease, up)
        extra = others(site, name.split("+"))
        name = re.sub(r"[^a-z0-9]+", "-", name)
    faults = [{k: round(v, 1) if isinstance(v, float) and k != "share" else v for k, v in f.items()} for f in faults]
    show = lambda v: str(v).lower() if isinstance(v, bool) else f'"{v}"' if isinstance(v, str) else str(v)
    rows = ["{ " + ", ".join(f"{k} = {show(v)}" for k, v in f.items()) + " }" for f in faults]
    return f'name = "{name}"\nslot = "scale"\nlight = false\nseed = 200\nfaults = [\n' + "".join(f"  {row},\n" for row in rows) + "]\n" + extra


def main(args):
    def option(name):
        at = args.index(name) if name in args else None
        value = args.pop(at + 1) if at is not None else None
        if at is not None:
            args.pop(at)
        return value

    zone, machines, weights = option("--zone"), float(option("--machines") or 1.0), {}
    while team := option("--team"):
        name, _, weight = team.partition("=")
        weights[name] = float(weight)
    if len(args) == 4 and args[0] == "size":
        text = size(args[1], float(args[2]), zone, machines, weights)
    elif len(args) == 4 and args[0] == "day":
        text = day(args[1], args[2])
    else:
        sys.exit(__doc__)
    open(args[3], "w").write(text)


if __name__ == "__main__":
    main(sys.argv[1:])
