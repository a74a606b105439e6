#!/usr/bin/env python3
"""Makes a larger or smaller deployment, and days of our own, from a site file of the users' bench.

    make.py size SITE.toml FACTOR OUT.toml [--zone NAME] [--machines FACTOR] [--team NAME=WEIGHT]
    make.py day  SITE.toml everything|twice|return|gap[:CLASS]|TROUBLE[+TROUBLE...] OUT.toml

`size` multiplies machines, traffic, first load and the teams' amounts; the controllers and what the
services take stay as they are. `--zone` adds a zone with as many machines as the first one has;
`--machines` multiplies the machines alone, and `--team` lets a team send more or less of the same traffic.

`day` writes one day. A TROUBLE may be followed by `@SECONDS` after the first. SECONDS is a number or a multiple of a
setting of the site: `1.2lease`, `0.5cancel`, `2report`. WHICH machines: a ZONE, a share with a point, or a number.

Troubles of controllers (the busiest unless said otherwise):
    busiest                 it is killed              kill                  all are killed
    roll                    a rolling restart         turns                 each is frozen in turn
    freeze:COUNT:SECONDS    frozen                    down:SECONDS          away
    apart:WHAT:SECONDS:MODE cut from `all`, `state` or `workers`; MODE is `hold`, `reset` or, of `state`, `refuse`
    alone:SECONDS:MODE      cut from the state service and the other controllers
    peers:SECONDS           no controller answers another
    replaced                cut off and frozen in turn, machines dying
Troubles of the state service:
    outage:SECONDS          nobody is answered
    late_writes:SHARE:SECONDS[:at_once]      transactions without an answer, carried out late or at once (also `writes`)
Troubles of machines and of what is on its way:
    cut                     a zone is cut off         half                  half of the machines die
    machine_deaf:WHICH:SECONDS               answers and commands to them are lost (also `deaf`)
    machine_mute:WHICH:SECONDS               they reach no controller; commands reach them
    late_reports:SHARE:SECONDS[:for_next]    a copy arrives again, late or at the next leader (also `copies`)
    late_commands:SHARE:SECONDS              commands are held up, unanswered, and carried out late
Users:
    burst:CLASS:TIMES:SECONDS                more jobs of a class
    flood:TIMES:SECONDS                      more questions
    cancel_now:COUNT[:SECONDS]               running jobs are called off, some of their machines hang for SECONDS
    cancel_at_end:SHARE:SECONDS              jobs are called off at the moment of their end
    close_looks:SECONDS                      questions at all controllers right after an answer
    odd_requests:SECONDS                     repeated, late and impossible requests
Two at once:
    meet:FURTHER[,FURTHER...]:LEADER         a further trouble well before, just before and just after one of the
        leader's: `crash`, `refusal`, `outage`, `alone` or `roll`. FURTHER: `late_writes`, `late_answers`,
        `late_reports`, `next_reports`, `late_commands`, `machine_deaf`, `machine_mute`, `cancel_now`, `cancel_hang`,
        `cancel_at_end`, `close_looks`, `odd_requests`
    drawn:NUMBER                             eight of the leader's troubles at drawn times, overlapping, with two or three
        further ones around each; another NUMBER, another day
No troubles, but other settings for the day:
    calm                    nothing
    broken:SHARE            broken jobs in every class
    late:PART               the cloud's list lags behind
    limits:SHARE            every team's limit is that share of what its jobs ask for
    boot:SECONDS            new machines are up after so long
    guest:KIND              a team without a guarantee sends `leftovers`, `huge`, `singles` or `one_task` jobs

`gap`: the state service refuses the busiest controller alone, then everybody for longer than `cancel_s`, twice, while
most jobs of a class are cancelled. See README.md beside this file for what the days are for.
"""
import random
import re
import sys
import tomllib

from settings import changes
from troubles import Deployment, busiest, troubles

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


def gap(site, deployment, job):
    """Cancellations are told by others while the leader alone is refused; then nobody can read for longer than
    `cancel_s`. The tasks run for longer than all of it."""
    lease, cancel = deployment.lease_s, deployment.cancel_s
    job, outage, at, faults = job or site["jobs"][0]["name"], round(deployment.outage_s(), 1), 70.0, []
    for _ in range(2):
        faults.append(busiest("node_cut", at, from_state=True, mode="refuse", for_s=0.8 * lease))
        faults.append(dict(at_s=at + 2, kind="state_outage", for_s=outage))
        at += outage + 0.5 * cancel
    run = f"{{ median = {2.4 * cancel:.1f}, p95 = {3.0 * cancel:.1f}, max = {3.4 * cancel:.1f} }}"
    jobs = f'jobs = [{{ name = "{job}", cancelled = 0.8, run_s = {run} }}]\n'
    return faults, f"duration_s = {at + cancel}\n{jobs}"


def return_of_all(site, deployment):
    """Nearly all at once: how long until all is as before."""
    at, zones = 150.0, deployment.zones
    return [
        dict(at_s=at, kind="state_outage", for_s=15.0),
        dict(at_s=at + 5, kind="node_crash", count=deployment.controllers, busiest=True),
        dict(at_s=at + 5, kind="machine_die", count=max(1, deployment.machines // 3)),
        dict(at_s=at + 8, kind="zone_cut", zone=zones[0], for_s=deployment.lease_s, mode="hold"),
        dict(at_s=at + 10, kind="job_burst", **{"class": site["jobs"][0]["name"]}, factor=3.0, for_s=40.0),
        dict(at_s=at + 20, kind="spot_taken", share=0.5, notice_s=0.0, over_s=5.0, zone=zones[1]),
    ]


def everything(site, deployment):
    """As `return`, with a second round."""
    at, lease = 150.0, deployment.lease_s
    return return_of_all(site, deployment) + [
        dict(at_s=at + 30, kind="poll_storm", factor=8.0, for_s=60.0),
        busiest("node_freeze", at + 40, for_s=lease),
        dict(at_s=at + 70, kind="node_crash", count=deployment.controllers, busiest=True),
        dict(at_s=at + 72, kind="machine_hang", count=max(1, deployment.machines // 4), for_s=lease * 0.8),
    ]


def twice(site, deployment):
    """Each kind of trouble twice, at drawn times."""
    rng = random.Random("twice")
    lease, cancel, up, zones = deployment.lease_s, deployment.cancel_s, deployment.machines, deployment.zones
    classes = [j["name"] for j in site["jobs"]]
    kinds = [
        lambda at: dict(at_s=at, kind="machine_die", count=max(1, up // 10)),
        lambda at: dict(at_s=at, kind="machine_hang", count=max(1, up // 8), for_s=lease),
        lambda at: dict(at_s=at, kind="machine_slow", count=max(1, up // 8), factor=3.0, for_s=50.0),
        lambda at: busiest("node_crash", at),
        lambda at: busiest("node_cut", at, for_s=lease, mode="hold"),
        lambda at: busiest("node_cut", at, from_state=True, for_s=cancel / 2, mode="hold"),
        lambda at: busiest("node_cut", at, from_workers=True, for_s=lease, mode="hold"),
        lambda at: busiest("node_freeze", at, for_s=lease / 2),
        lambda at: busiest("node_cut", at, from_state=True, for_s=cancel / 2, mode="refuse"),
        lambda at: busiest("node_down", at, for_s=lease),
        lambda at: dict(at_s=at, kind="poll_storm", factor=8.0, for_s=40.0),
        lambda at: dict(at_s=at, kind="node_roll", every_s=25.0),
        lambda at: dict(at_s=at, kind="peers_refuse", for_s=30.0),
        lambda at: dict(at_s=at, kind="spot_taken", share=0.3, notice_s=0.0, over_s=20.0, zone=rng.choice(zones)),
        lambda at: dict(at_s=at, kind="state_outage", for_s=12.0),
        lambda at: dict(at_s=at, kind="state_slow", factor=20.0, for_s=30.0),
        lambda at: dict(at_s=at, kind="zone_cut", zone=rng.choice(zones), for_s=lease, mode="reset"),
        lambda at: dict(at_s=at, kind="job_burst", **{"class": rng.choice(classes)}, factor=2.0, for_s=50.0),
    ]
    faults = [make(round(rng.uniform(100, 330), 1)) for _ in range(2) for make in kinds]
    return sorted(faults, key=lambda fault: fault["at_s"])


# The days that have a name of their own; all but `return` come with broken jobs, one huge guest and a late list.
NAMED = {"everything": everything, "return": return_of_all, "twice": twice}
BESIDE = ["broken:0.04", "guest:huge", "late:0.9"]


def lasting(faults):
    """The length of a day that goes on until its last trouble is over."""
    return f"duration_s = {max(f['at_s'] + f.get('for_s', 0.0) for f in faults):.1f}\n"


def day(source, name):
    """The text of one day."""
    site = tomllib.load(open(source, "rb"))
    deployment = Deployment.of(site)
    kind, _, rest = name.partition(":")
    if kind in NAMED:
        faults = NAMED[kind](site, deployment)
        extra = changes(site, BESIDE) if kind != "return" else ""
    elif kind == "gap":
        faults, extra = gap(site, deployment, rest)
        name = "gap"
    else:
        words = name.split("+")
        faults = troubles(deployment, words)
        extra = changes(site, words)
        if any(word.startswith(("meet:", "drawn:")) for word in words):
            extra = lasting(faults) + extra
        name = re.sub(r"[^a-z0-9]+", "-", name)
    return f'name = "{name}"\nslot = "scale"\nlight = false\nseed = 200\n{table(faults)}{extra}'


def table(faults):
    """The faults as the day's file has them."""
    rows = [", ".join(f"{key} = {written(key, value)}" for key, value in fault.items()) for fault in faults]
    return "faults = [\n" + "".join(f"  {{ {row} }},\n" for row in rows) + "]\n"


def written(key, value):
    """A value as TOML has it; times to a tenth of a second."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, float) and key != "share":
        return str(round(value, 1))
    return str(value)


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
