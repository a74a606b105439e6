"""What a day changes apart from its faults: broken jobs, jobs of others, the teams' limits, how soon machines boot."""
import math

# Of the teams' limits: the quantile to which a spread's `p95` belongs, in standard deviations.
P95_DEVIATIONS = 1.645


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
        "one_task": (1, 20.0, 1.0, f"{{ rate = 4.0, start_s = {at - 60}, stop_s = {at + 180} }}, cancelled = 0.25"),
    }
    tasks, run_s, cpus, comes = shape[kind]
    return (
        f'{{ name = "{kind}", kind = "array", priority = "low", teams = ["visitors"], cpus = {cpus}, gpus = 0.0, '
        f"memory_gb = {cpus * 1.8}, vary = 0.3, spot = true, tasks = {one(tasks)}, run_s = {run(run_s)}, estimate_error = 0.3, "
        "checkpoint_s = 0.0, save_s = 0.0, images = { count = 1, gb = { median = 0.5, p95 = 0.6, max = 0.8 } }, "
        f"arrivals = {comes} }}"
    )


def mean(spread):
    """The mean of a spread: of listed sizes, or of a lognormal one by its median and 95th percentile."""
    if "sizes" in spread:
        return sum(s * w for s, w in zip(spread["sizes"], spread["weights"])) / sum(spread["weights"])
    deviation = math.log(spread["p95"] / spread["median"]) / P95_DEVIATIONS
    return min(spread["max"], spread["median"] * math.exp(deviation * deviation / 2))


def asked_cpus(site):
    """How many processors the jobs of each team's members want at once, in the long run, by the team's name."""
    weights = {t["name"]: t["weight"] * t.get("count", 1) for t in site["teams"]}
    members = {t["name"]: t.get("count", 1) for t in site["teams"]}
    asked = dict.fromkeys(weights, 0.0)
    for job in site["jobs"]:
        cpus = job["arrivals"]["rate"] * mean(job["tasks"]) * mean(job["run_s"]) * job["cpus"]
        teams = job.get("teams", list(weights))
        total = sum(weights[t] for t in teams)
        for team in teams:
            asked[team] += cpus * weights[team] / total / members[team]
    return asked


def team_limits(site, share):
    """Limits of the resident teams at a share of what they ask."""
    rows = []
    for team, cpus in asked_cpus(site).items():
        limit = max(1.0, round(cpus * share, 1))
        rows.append(f'{{ name = "{team}", cpus = {limit}, cpus_max = {limit} }}')
    return rows


def changes(site, words):
    """The lines of a day for those words that bring no fault."""
    lines, jobs, teams, broken = [], [], [], 0.0
    visits = [w.partition("@")[0].split(":")[1] for w in words if w.startswith("guest:")]
    for word in words:
        kind, *rest = word.partition("@")[0].split(":")
        if kind == "broken":
            broken = float(rest[0])
        elif kind == "late":
            lines.append(f"vary = {{ list_lag = {float(rest[0])} }}")
        elif kind == "limits":
            teams += team_limits(site, float(rest[0]))
        elif kind == "boot":
            types = [f'{{ name = "{t["name"]}", boot_s = {float(rest[0])} }}' for t in site["machine_types"]]
            lines.append(f"machine_types = [{', '.join(types)}]")
    residents = [t["name"] for t in site["teams"]]
    for job in site["jobs"] if broken or visits else []:
        its = job.get("teams", residents)
        jobs.append(f'{{ name = "{job["name"]}", broken = {broken}, teams = {its} }}'.replace("'", '"'))
    jobs += [guests(site, kind, 150.0 + 60 * i) for i, kind in enumerate(visits)]
    if visits:
        teams.append('{ name = "visitors", weight = 1.0 }')
    if teams:
        lines.append(f"teams = [{', '.join(teams)}]")
    if jobs:
        lines.append("jobs = [\n" + "".join(f"  {j},\n" for j in jobs) + "]")
    return "".join(line + "\n" for line in lines)
