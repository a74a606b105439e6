"""The faults of a day and what else it changes, from the TROUBLE words of `make.py`.

Every time comes from the settings of a site (`Deployment`), so that the same word suits each of them. A length of
time is a number of seconds or a multiple of a setting: `12`, `1.2lease`, `0.5cancel`, `2report`.
"""
import random
import re
import sys
from dataclasses import dataclass

# When the first trouble of a day begins.
FIRST_S = 120.0
# A state service outage that outlasts `cancel_s`: by then every cancelled task has to have ended by itself.
OUTAGE_CANCELS = 1.25
# Between two rounds of a meeting, beside the lease: by then the controllers have found each other again.
REST_S = 20.0
# A drawn day: how many of the leader's troubles it has, and how long before or after each of them the further ones begin.
DRAWN_ROUNDS = 8
DRAWN_OFFSET_S = (-4.0, 6.0)
# How long the further troubles of a meeting outlast the leader's.
BEYOND_S = 20.0


@dataclass(frozen=True)
class Deployment:
    """What the lengths of a day's troubles depend on."""

    zones: list
    controllers: int
    machines: int
    report_s: float
    lease_s: float
    cancel_s: float
    restart_s: float

    @classmethod
    def of(cls, site):
        nodes, workers = site["nodes"], site["workers"]
        machines = sum(group["count"] for group in site["machines"])
        return cls(
            zones=nodes["zones"],
            controllers=nodes["count"],
            machines=machines,
            report_s=workers["report_s"],
            lease_s=workers["lease_s"],
            cancel_s=workers["cancel_s"],
            restart_s=nodes["restart_delay_s"],
        )

    def seconds(self, text):
        """The length of time that a word names."""
        number, setting = re.fullmatch(r"([\d.]+)(report|lease|cancel)?", text).groups()
        unit = getattr(self, f"{setting}_s") if setting else 1.0
        return float(number) * unit

    def machines_named(self, text):
        """Machines by their zone, by a share (with a point) or by their number."""
        if text in self.zones:
            return {"zone": text}
        return {"share": float(text)} if "." in text else {"count": int(text)}

    def outage_s(self):
        return OUTAGE_CANCELS * self.cancel_s


def busiest(kind, at, **more):
    """A trouble of the controller with the most work, which is the leader."""
    return dict(at_s=at, kind=kind, count=1, busiest=True, **more)


# One function per TROUBLE that was there before the further ones; each returns the faults from `at` on.


def job_burst(site, at, job, factor, seconds):
    return [dict(at_s=at, kind="job_burst", **{"class": job}, factor=float(factor), for_s=site.seconds(seconds))]


def node_roll(site, at):
    return [dict(at_s=at, kind="node_roll", every_s=25.0)]


def kill(site, at):
    return [dict(at_s=at + 30, kind="node_crash", count=site.controllers, busiest=True)]


def cut(site, at):
    return [dict(at_s=at, kind="zone_cut", zone=site.zones[1], for_s=2 * site.lease_s, mode="hold")]


def half(site, at):
    return [dict(at_s=at, kind="machine_die", count=max(1, site.machines // 2))]


def replaced(site, at):
    faults = []
    for i in range(4):
        faults.append(busiest("node_cut", at + 60 * i, from_state=i % 2 == 1, mode="hold", for_s=30.0))
        faults.append(busiest("node_freeze", at + 60 * i + 25, for_s=20.0))
        faults.append(dict(at_s=at + 60 * i + 5, kind="machine_die", count=max(1, site.machines // 8)))
    return faults


def freeze(site, at, count, seconds):
    return [dict(at_s=at, kind="node_freeze", count=int(count), busiest=True, for_s=site.seconds(seconds))]


def turns(site, at):
    return [busiest("node_freeze", at + 35 * i, for_s=30.0) for i in range(site.controllers + 1)]


def apart(site, at, what, seconds, mode):
    part = {"all": {}, "state": {"from_state": True}, "workers": {"from_workers": True}}[what]
    return [busiest("node_cut", at, **part, for_s=site.seconds(seconds), mode=mode)]


def peers(site, at, seconds):
    return [dict(at_s=at, kind="peers_refuse", for_s=site.seconds(seconds))]


def down(site, at, seconds):
    return [busiest("node_down", at, for_s=site.seconds(seconds))]


def crash(site, at):
    return [busiest("node_crash", at + 15)]


def flood(site, at, factor, seconds):
    return [dict(at_s=at, kind="poll_storm", factor=float(factor), for_s=site.seconds(seconds))]


def alone(site, at, seconds, mode):
    return [busiest("node_cut", at, from_state=True, from_peers=True, mode=mode, for_s=site.seconds(seconds))]


def outage(site, at, seconds):
    return [dict(at_s=at, kind="state_outage", for_s=site.seconds(seconds))]


# The further troubles, by the names that the bench gives them.


def late_writes(site, at, share, seconds, at_once=None):
    once = {"at_once": True} if at_once else {}
    return [dict(at_s=at, kind="late_writes", share=float(share), for_s=site.seconds(seconds), **once)]


def late_reports(site, at, share, seconds, for_next=None):
    kept = {"for_next": True} if for_next else {}
    return [dict(at_s=at, kind="late_reports", share=float(share), for_s=site.seconds(seconds), **kept)]


def late_commands(site, at, share, seconds):
    return [dict(at_s=at, kind="late_commands", share=float(share), for_s=site.seconds(seconds))]


def machine_deaf(site, at, which, seconds):
    return [dict(at_s=at, kind="machine_deaf", **site.machines_named(which), for_s=site.seconds(seconds))]


def machine_mute(site, at, which, seconds):
    return [dict(at_s=at, kind="machine_mute", **site.machines_named(which), for_s=site.seconds(seconds))]


def cancel_now(site, at, count, hang=None):
    hangs = {"hang_s": site.seconds(hang)} if hang else {}
    return [dict(at_s=at, kind="cancel_now", count=int(count), **hangs)]


def cancel_at_end(site, at, share, seconds):
    return [dict(at_s=at, kind="cancel_at_end", share=float(share), for_s=site.seconds(seconds))]


def odd_requests(site, at, seconds):
    return [dict(at_s=at, kind="odd_requests", for_s=site.seconds(seconds))]


def close_looks(site, at, seconds):
    return [dict(at_s=at, kind="close_looks", for_s=site.seconds(seconds))]


# Meetings: a further trouble together with what makes the leader's work change hands.


def meeting_crash(site, at):
    return [busiest("node_crash", at), busiest("node_crash", at + site.restart_s + 2.0)], 2 * site.restart_s


def meeting_refusal(site, at):
    return [busiest("node_cut", at, from_state=True, mode="refuse", for_s=0.8 * site.lease_s)], 0.8 * site.lease_s


def meeting_outage(site, at):
    return [dict(at_s=at, kind="state_outage", for_s=site.outage_s())], site.outage_s()


def meeting_alone(site, at):
    length = 0.8 * site.lease_s
    return [busiest("node_cut", at, from_state=True, from_peers=True, mode="hold", for_s=length)], length


def meeting_roll(site, at):
    every = max(4.0, site.restart_s + 1.0)
    return [dict(at_s=at, kind="node_roll", every_s=every)], every * site.controllers


MEETINGS = {
    "alone": meeting_alone,
    "crash": meeting_crash,
    "outage": meeting_outage,
    "refusal": meeting_refusal,
    "roll": meeting_roll,
}

# How long before the leader's trouble a further one begins, by round: well before, just before, just after.
LEADS_S = (4.0, 0.3, -1.0)

# The further troubles of a meeting, in their usual measure: `(site, at, length)`, `length` being the leader's trouble's.
FURTHER = {
    "cancel_at_end": lambda site, at, length: cancel_at_end(site, at, 0.3, str(length + BEYOND_S)),
    "cancel_now": lambda site, at, length: cancel_now(site, at, 12),
    "cancel_hang": lambda site, at, length: cancel_now(site, at, 12, "0.8lease"),
    "close_looks": lambda site, at, length: close_looks(site, at, str(length + BEYOND_S)),
    "late_answers": lambda site, at, length: late_writes(site, at, 0.25, str(length + BEYOND_S), "at_once"),
    "late_commands": lambda site, at, length: late_commands(site, at, 0.4, str(length + BEYOND_S)),
    "late_reports": lambda site, at, length: late_reports(site, at, 0.3, str(length + BEYOND_S)),
    "late_writes": lambda site, at, length: late_writes(site, at, 0.25, str(length + BEYOND_S)),
    "machine_deaf": lambda site, at, length: machine_deaf(site, at, "0.2", str(length + site.lease_s)),
    "machine_mute": lambda site, at, length: machine_mute(site, at, "0.2", str(length + site.lease_s)),
    "next_reports": lambda site, at, length: late_reports(site, at, 0.3, str(length + BEYOND_S), "for_next"),
    "odd_requests": lambda site, at, length: odd_requests(site, at, str(length + BEYOND_S)),
}


def meet(site, at, further, leader):
    """The further troubles (joined by commas) around one of the leader's, once for each of `LEADS_S`."""
    faults = []
    for lead in LEADS_S:
        changes, length = MEETINGS[leader](site, at)
        faults += changes
        for name in further.split(","):
            faults += FURTHER[name](site, at - lead, length)
        at += length + site.lease_s + REST_S
    return sorted(faults, key=lambda fault: fault["at_s"])


def drawn(site, at, number):
    """Leader's troubles at drawn moments, two or three further ones around each; they overlap."""
    rng = random.Random(f"drawn {number}")
    faults = []
    for _ in range(DRAWN_ROUNDS):
        leader = rng.choice(list(MEETINGS))
        changes, length = MEETINGS[leader](site, at)
        faults += changes
        for name in rng.sample(list(FURTHER), rng.choice((2, 3))):
            faults += FURTHER[name](site, at + rng.uniform(*DRAWN_OFFSET_S), length)
        at += rng.uniform(0.3, 1.0) * site.lease_s
    return sorted(faults, key=lambda fault: fault["at_s"])


TROUBLES = {
    "alone": alone,
    "apart": apart,
    "burst": job_burst,
    "busiest": crash,
    "cancel_at_end": cancel_at_end,
    "cancel_now": cancel_now,
    "close_looks": close_looks,
    "copies": late_reports,
    "cut": cut,
    "deaf": machine_deaf,
    "down": down,
    "drawn": drawn,
    "flood": flood,
    "freeze": freeze,
    "half": half,
    "kill": kill,
    "late_commands": late_commands,
    "late_reports": late_reports,
    "late_writes": late_writes,
    "machine_deaf": machine_deaf,
    "machine_mute": machine_mute,
    "odd_requests": odd_requests,
    "meet": meet,
    "outage": outage,
    "peers": peers,
    "replaced": replaced,
    "roll": node_roll,
    "turns": turns,
    "writes": late_writes,
}
# Words that change the jobs, teams or machines of a day (`settings.py`) and bring no fault.
NO_FAULT = {"boot", "broken", "calm", "guest", "late", "limits"}


def troubles(site, words):
    """Of a day like `burst:rendu:4:200+cut`: what happens, all of it from the same moment on."""
    faults = []
    for word in words:
        word, _, after = word.partition("@")
        kind, *rest = word.split(":")
        if kind in NO_FAULT:
            continue
        at = FIRST_S + (site.seconds(after) if after else 0.0)
        try:
            faults += TROUBLES[kind](site, at, *rest)
        except (KeyError, TypeError, ValueError, AttributeError):
            sys.exit(f"no such trouble: {word}")
    return faults
