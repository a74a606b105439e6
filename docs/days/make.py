#!/usr/bin/env python3
"""Makes a larger or smaller deployment, and days of our own, from a site file of the users' bench.

    make.py size SITE.toml FACTOR OUT.toml [--zone NAME] [--machines FACTOR] [--team NAME=WEIGHT]
    make.py day  SITE.toml everything|twice|return|TROUBLE[+TROUBLE...] OUT.toml

`size` multiplies machines, traffic, first load and the teams' amounts; the controllers and what the
services take stay as they are. `--zone` adds a zone with as many machines as the first one has;
`--machines` multiplies the machines alone, and `--team` lets a team send more or less of the same traffic.
`day` writes one day. A TROUBLE is `burst:CLASS:TIMES:SECONDS`, `roll`, `kill` (all controllers), `cut`
(a zone), `half` (half of the machines die), `replaced` (controllers cut off and frozen in turn, machines
dying) or `calm`. See README.md beside this file for what the days are for.
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
    at, faults = 120.0, []
    for word in words.split("+"):
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
        elif kind != "calm":
            sys.exit(f"no such trouble: {word}\n{__doc__}")
    return faults


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
    if name == "everything":
        faults += [
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
    if name not in ("everything", "return", "twice"):
        faults = troubles(name, zones, nodes, lease, up)
        name = re.sub(r"[^a-z0-9]+", "-", name)
    show = lambda v: str(v).lower() if isinstance(v, bool) else f'"{v}"' if isinstance(v, str) else str(v)
    rows = ["{ " + ", ".join(f"{k} = {show(v)}" for k, v in f.items()) + " }" for f in faults]
    return f'name = "{name}"\nslot = "scale"\nlight = false\nseed = 200\nfaults = [\n' + "".join(f"  {row},\n" for row in rows) + "]\n"


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
