#!/usr/bin/env python3
"""Runs controllers of two builds on one state service, and checks that each build works on the other's data and beside it.

    mixed_versions.py OLD NEW [--seed N] [--keep DIR]

OLD and NEW are two `cleatfold` programs. The state service, the cloud and the workers are models in this process, on
loopback; the controllers are real processes, killed with SIGKILL by their process id. In turn:

1. three old controllers accept jobs and start them; all are killed and three new ones take over their records
2. two old controllers beside a new one, then two new ones beside an old one: jobs are submitted, polled and cancelled at all
   of them; the leader is killed; all controllers of each build are killed until the other build owns every pool
3. three new controllers, until every job has ended

A failed check is printed as it happens, and the exit status is 1. Checked throughout: an accepted job is never unknown and
never goes back from `done` or `aborted`, no task runs on two machines or completes twice, no task of a cancelled job runs
after `cancel_s`, every job that is not cancelled ends as `done`. It takes some three minutes.
"""
import argparse
import collections
import http.client
import json
import pathlib
import random
import socket
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

REPORT_S, LEASE_S, CANCEL_S = 1.0, 10.0, 40.0
ZONES = ["a", "b", "c"]
CAPACITY = 9
IMAGE_FETCH_S = 0.1
FINAL = ("done", "aborted")
LOCK = threading.RLock()


def call(address, method, path, body=None, timeout=4.0):
    """One request on a connection of its own: (status, body), or None without an answer."""
    try:
        connection = http.client.HTTPConnection(address, timeout=timeout)
        try:
            connection.request(method, path, json.dumps(body) if body is not None else None)
            response = connection.getresponse()
            return response.status, json.loads(response.read() or b"null")
        finally:
            connection.close()
    except (OSError, http.client.HTTPException, ValueError):
        return None


class Store:
    """The state service: versions, guarded transactions, leases and changes."""

    def __init__(self):
        self.revision, self.entries, self.log, self.leases, self.last_lease = 0, {}, [], {}, 0

    def get(self, key):
        if key not in self.entries:
            return 404, {"revisionRegistre": self.revision}
        return 200, self.item(key)

    def item(self, key):
        value, version, _ = self.entries[key]
        return {"k": key, "v": value, "derniereRetouche": version}

    def list(self, prefix, after, page):
        keys = sorted(k for k in self.entries if k.startswith(prefix) and k > after)
        items = [self.item(k) for k in keys[:page]]
        return 200, {"items": items, "truncated": len(keys) > page, "revisionRegistre": self.revision}

    def follow(self, prefix, after):
        events = [e for e in self.log if e["derniereRetouche"] > after and (e.get("set") or e["remove"]).startswith(prefix)]
        return 200, {"revisionRegistre": self.revision, "events": events}

    def transaction(self, body):
        changes = body.get("then") or []
        if any(c.get("bail") is not None and c["bail"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        version = lambda key: self.entries[key][1] if key in self.entries else 0
        failed = [g["k"] for g in body.get("guards") or [] if version(g["k"]) != g["derniereRetouche"]]
        if failed:
            return 409, {"failed": failed, "revisionRegistre": self.revision}
        if changes:
            self.revision += 1
        for change in changes:
            self.change(change)
        return 200, {"revisionRegistre": self.revision}

    def change(self, change):
        if "set" in change:
            self.entries[change["set"]] = (change["v"], self.revision, change.get("bail"))
            self.log.append({"set": change["set"], "v": change["v"], "derniereRetouche": self.revision})
        elif self.entries.pop(change["remove"], None):
            self.log.append({"remove": change["remove"], "derniereRetouche": self.revision})

    def grant(self, ttl_ms):
        self.last_lease += 1
        self.leases[self.last_lease] = (ttl_ms / 1000, time.monotonic() + ttl_ms / 1000)
        return 200, {"bail": self.last_lease}

    def extend(self, lease):
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + ttl)
        return 200, {"bail": lease}

    def expire(self):
        for lease in [l for l, (_, until) in self.leases.items() if until < time.monotonic()]:
            del self.leases[lease]
            keys = [k for k, entry in self.entries.items() if entry[2] == lease]
            if keys:
                self.revision += 1
            for key in keys:
                self.change({"remove": key})


class Worker:
    """One machine's worker: leases, fencing tokens, commands and tasks as in the protocol."""

    def __init__(self, region, name, machine_type, zone, spot):
        self.region, self.name, self.type, self.zone, self.spot = region, name, machine_type, zone, spot
        self.epoch, self.number, self.token, self.tasks, self.deleted = 1, 0, 0, {}, False
        self.requested = self.renewed = time.monotonic()
        threading.Thread(target=self.run, daemon=True).start()

    def report(self):
        self.number += 1
        tasks = []
        for (task, attempt), state in self.tasks.items():
            entry = {"piece": task, "essai": attempt, "etat": "exited" if state["exit"] else "running"}
            if state["exit"]:
                entry["motif"] = state["exit"]
            tasks.append(entry)
        return {"ruche": self.name, "endpoint": f"{self.region.address}/{self.name}", "gabaritMachine": self.type,
                "site": self.zone, "pretees": self.spot, "veille": self.epoch, "numero": self.number,
                "jeton": self.token, "preavisS": None, "pieces": tasks}

    def run(self):
        time.sleep(1.0)
        target = 0
        while not self.deleted:
            addresses = self.region.controllers
            with LOCK:
                body, sent, epoch = self.report(), time.monotonic(), self.epoch
            answer = call(addresses[target][1], "POST", "/hello", body)
            pause = REPORT_S * random.uniform(0.75, 1.25)
            with LOCK:
                if answer and answer[0] == 200:
                    if epoch == self.epoch and answer[1]["jeton"] >= self.token:
                        self.token, self.renewed = answer[1]["jeton"], max(self.renewed, sent)
                        if self.execute(answer[1]["consignes"]):
                            pause = 0.5
                else:
                    wanted = answer[1].get("rapporteA") if answer and answer[0] == 421 else None
                    names = [name for name, _ in addresses]
                    known = wanted in names and names.index(wanted) != target
                    target, pause = (names.index(wanted), 0.2) if known else ((target + 1) % len(names), 1.0)
            time.sleep(pause)

    def orders(self, body):
        if body["jeton"] < self.token or body["veille"] != self.epoch:
            return 409, self.report()
        self.token = body["jeton"]
        self.execute(body["consignes"])
        return 200, self.report()

    def execute(self, commands):
        changed = False
        for command in commands:
            key = command["piece"], command["essai"]
            state = self.tasks.get(key)
            if command["consigne"] == "launch" and state is None:
                changed = True
                self.launch(*key)
            elif command["consigne"] == "kill" and state and not state["exit"]:
                changed = True
                self.end(key, "halted")
            elif command["consigne"] == "reap" and state and state["exit"]:
                del self.tasks[key]
        return changed

    def launch(self, task, attempt):
        job = self.region.jobs.get(task.split("/")[0])
        active = [t for (t, _), s in self.tasks.items() if not s["exit"]]
        state = {"exit": None, "ends": time.monotonic() + IMAGE_FETCH_S}
        if job is None:
            state["exit"] = "no_such"
        elif task in active:
            state["exit"] = "busy"
        else:
            state["ends"] += 1e9 if job["genre"] == "service" else job["dureePrevueS"]
        self.tasks[task, attempt] = state
        if not state["exit"]:
            self.region.started(task, self.name)

    def end(self, key, reason):
        self.tasks[key]["exit"] = reason
        self.region.ended(key[0], self.name, reason == "done")

    def tick(self):
        for key, state in self.tasks.items():
            if not state["exit"] and state["ends"] <= time.monotonic():
                self.end(key, "done")
        if time.monotonic() - self.renewed > LEASE_S:
            self.stop_all()
            self.epoch, self.renewed = self.epoch + 1, time.monotonic()

    def stop_all(self):
        for key, state in self.tasks.items():
            if not state["exit"]:
                self.end(key, "halted")
        self.tasks.clear()


class Region:
    """State service, cloud and workers behind one address, and the checks on what the controllers do with them."""

    def __init__(self):
        self.store, self.workers, self.requests, self.jobs = Store(), {}, {}, {}
        self.controllers, self.running, self.completed = [], {}, collections.Counter()
        self.cancelled, self.failures, self.created = {}, [], 0
        region = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def answer(self):
                body = self.rfile.read(int(self.headers.get("content-length") or 0))
                with LOCK:
                    code, reply = region.answer(self.command, self.path, json.loads(body or b"null"))
                data = json.dumps(reply).encode()
                self.send_response(code)
                self.send_header("content-length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_DELETE = answer

            def log_message(self, *_):
                pass

        class Server(ThreadingHTTPServer):
            daemon_threads, request_queue_size = True, 128

            def handle_error(self, *_):
                pass  # a killed controller resets its connections

        server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{server.server_port}"
        threading.Thread(target=server.serve_forever, daemon=True).start()
        threading.Thread(target=self.tick, daemon=True).start()

    def fail(self, what):
        self.failures.append(what)
        print("FAILED", what, flush=True)

    def started(self, task, machine):
        if task in self.running:
            self.fail(f"ran_twice: {task} on {self.running[task]} and {machine}")
        self.running[task] = machine
        self.check_cancelled(task)

    def ended(self, task, machine, completed):
        if self.running.get(task) == machine:
            del self.running[task]
        if completed:
            self.completed[task] += 1
            if self.completed[task] == 2:
                self.fail(f"completed twice: {task}")

    def check_cancelled(self, task):
        told = self.cancelled.get(task.split("/")[0])
        if told and time.monotonic() - told > CANCEL_S:
            self.fail(f"ran_cancelled: {task}")
            del self.cancelled[task.split("/")[0]]

    def tick(self):
        while True:
            time.sleep(0.05)
            with LOCK:
                self.store.expire()
                for worker in list(self.workers.values()):
                    worker.tick()
                for task in list(self.running):
                    self.check_cancelled(task)

    def answer(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        parts = url.path.strip("/").split("/")
        if parts == ["store"]:
            return self.store.list(query.get("prefix", ""), query.get("from", ""), int(query.get("page", 1000)))
        if parts[0] == "store":
            return self.store.get(url.path.removeprefix("/store/"))
        if parts == ["follow"]:
            return self.store.follow(query.get("prefix", ""), int(query.get("from", 0)))
        if parts == ["multi"]:
            return self.store.transaction(body)
        if parts == ["grants"]:
            return self.store.grant(body["ttlMs"])
        if parts[0] == "grants" and parts[-1] == "extend":
            return self.store.extend(int(parts[1]))
        if parts == ["machine_types"]:
            return 200, {"gabaritsMachine": [{"name": "bench", "cores": 8, "cards": 0, "ramGb": 32, "localGb": 50,
                         "fetchGbPerS": 10.0, "hourly": 1.0, "spotPrice": 1.0, "bootS": 1.0, "sites": ZONES}]}
        if parts == ["machines"] and method == "POST":
            return self.rent(body)
        if parts == ["machines", "delete"]:
            return self.delete(body["ruches"])
        if parts == ["machines"]:
            listed = [w for n, w in sorted(self.workers.items()) if n > query.get("from", "")]
            return 200, {"ruches": [{"uid": w.name, "endpoint": f"{self.address}/{w.name}", "gabaritMachine": w.type,
                         "site": w.zone, "pretees": w.spot, "etat": "running",
                         "ageS": time.monotonic() - w.requested} for w in listed], "truncated": False}
        if parts[-1] == "orders" and parts[0] in self.workers:
            return self.workers[parts[0]].orders(body)
        if parts[-1] == "inspect" and parts[0] in self.workers:
            return 200, self.workers[parts[0]].report()
        return 404, {"error": "no such path"}

    def rent(self, body):
        name = body["demandeLocation"]
        if name not in self.requests:
            count = min(body["count"], CAPACITY - len(self.workers))
            if count <= 0:
                return 503, {"error": "no capacity"}
            machines = [f"vm-{self.created + i:06}" for i in range(count)]
            self.created += count
            for machine in machines:
                self.workers[machine] = Worker(self, machine, body["gabaritMachine"], body["site"], body["pretees"])
            self.requests[name] = machines
        return 200, {"ruches": self.requests[name]}

    def delete(self, machines):
        for machine in machines:
            worker = self.workers.pop(machine, None)
            if worker:
                worker.deleted = True
                worker.stop_all()
        return 200, {}


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Controllers:
    """Three controllers, each a process of one of the two builds."""

    def __init__(self, programs, directory, region):
        self.programs, self.directory, self.processes, self.builds = programs, directory, [None] * 3, [None] * 3
        ports = [(free_port(), free_port()) for _ in range(3)]
        names = [f"n{i}" for i in range(3)]
        region.controllers = [(names[i], f"127.0.0.1:{ports[i][0]}") for i in range(3)]
        self.region, self.names, self.settings = region, names, []
        for i in range(3):
            members = "".join(f'[[members]]\nhost_name = "{names[j]}"\narea = "{ZONES[j]}"\nendpoint = "127.0.0.1:{ports[j][1]}"\n'
                              for j in range(3) if j != i)
            path = directory / f"{names[i]}.toml"
            path.write_text(
                f'host_name = "{names[i]}"\narea = "{ZONES[i]}"\nserve_on = "127.0.0.1:{ports[i][0]}"\n'
                f'mesh_addr = "127.0.0.1:{ports[i][1]}"\n{members}'
                f'[endpoints]\ncloud = "{region.address}"\nstate = "{region.address}"\n'
                f'[cluster]\nnodes = 3\nzones = {json.dumps(ZONES)}\nclock_off_ms = 25.0\n'
                '[[cluster.teams]]\nname = "red"\ncpus = 16.0\ncpus_max = 48.0\n[[cluster.teams]]\nname = "blue"\n'
                '[[cluster.objectives]]\nkind = "finished"\nclass = "short"\nwithin_s = 60.0\nshare = 0.9\n'
                f'[cluster.workers]\nreport_s = {REPORT_S}\nlease_s = {LEASE_S}\ncancel_s = {CANCEL_S}\n'
                '[cluster.state]\nrps = 1000.0\nwrite_rps = 200.0\nvalue_kb = 16.0\ntxn_ops = 16\n'
                '[cluster.cloud]\nrps = 10.0\nlist_lag_s = 1.0\n')
            self.settings.append(path)

    def start(self, i, build):
        log = open(self.directory / f"{self.names[i]}-{build}.log", "ab")
        arguments = [self.programs[build], "--config", str(self.settings[i])]
        self.processes[i], self.builds[i] = subprocess.Popen(arguments, stderr=log, stdout=log), build

    def kill(self, i):
        if self.processes[i]:
            self.processes[i].kill()
            self.processes[i].wait()
        self.processes[i] = None

    def replace(self, builds):
        """Ends all controllers and starts these builds."""
        for i in range(3):
            self.kill(i)
        for i, build in enumerate(builds):
            self.start(i, build)

    def check_processes(self):
        for i, process in enumerate(self.processes):
            if process and process.poll() is not None:
                self.region.fail(f"{self.names[i]} ({self.builds[i]}) ended by itself with {process.returncode}")
                self.processes[i] = None

    def live(self):
        return [i for i in range(3) if self.processes[i]]

    def owners(self):
        with LOCK:
            return {k: v[0]["o"] for k, v in self.region.store.entries.items() if k.startswith("cf/pool/")}

    def leader(self):
        with LOCK:
            holder = self.region.store.entries.get("cf/leader")
        return self.names.index(holder[0]["o"]) if holder else None


class Users:
    """Submits, polls and cancels, and checks the answers against what was told before."""

    def __init__(self, region, controllers, seed):
        self.region, self.controllers, self.random = region, controllers, random.Random(seed)
        self.state, self.count, self.unanswered = {}, 0, 0

    def ask(self, method, path, body=None):
        """Asks controllers in turn until one answers other than with 503, for a minute at most."""
        until = time.monotonic() + 60
        while time.monotonic() < until:
            live = self.controllers.live()
            if live:
                answer = call(self.region.controllers[self.random.choice(live)][1], method, path, body)
                if answer and answer[0] not in (421, 429, 503, 504):
                    return answer
            time.sleep(0.3)
        self.unanswered += 1
        return None

    def submit(self, tasks=6, run_s=2.0, **other):
        self.count += 1
        job = {"uid": f"run-{self.count:06}", "lot": "short", "equipe": self.random.choice(["red", "blue"]), "genre": "batch",
               "urgence": self.random.choice(["critical", "high", "normal", "best_effort"]), "pieces": tasks, "cores": 2.0,
               "cards": 0.0, "ramGb": 1.0, "gabarit": "img", "pullGb": 0.1, "gabaritsMachine": None, "site": None,
               "oneZone": False, "spread": False, "pretees": True, "dureePrevueS": run_s, "intervalleSauvegardeS": 0.0,
               "dureeSauvegardeS": 0.0, "echeanceS": None} | other
        with LOCK:
            self.region.jobs[job["uid"]] = job
        answer = self.ask("POST", "/v1/jobs", job)
        if answer and answer[0] in (200, 201):
            self.state[job["uid"]] = "queued"
        else:
            self.region.fail(f"{job['uid']} not accepted: {answer}")
        return job["uid"]

    def note(self, job, answer):
        if not answer:
            return
        if answer[0] != 200:
            return self.region.fail(f"{job}: {answer}")
        old, new = self.state[job], answer[1]["etat"]
        if old in FINAL and new != old:
            self.region.fail(f"went_back: {job} {old} -> {new}")
        if new == "done" and self.region.jobs[job]["genre"] == "batch":
            with LOCK:
                missing = [n for n in range(self.region.jobs[job]["pieces"]) if not self.region.completed[f"{job}/{n}"]]
            if missing:
                self.region.fail(f"not_done: {job} lacks {missing[:5]}")
        self.state[job] = new

    def poll(self, job):
        self.note(job, self.ask("GET", f"/v1/jobs/{job}"))

    def cancel(self, job):
        answer = self.ask("POST", f"/v1/jobs/{job}/withdraw")
        self.note(job, answer)
        if answer and answer[0] == 200 and answer[1]["etat"] == "aborted":
            with LOCK:
                self.region.cancelled[job] = time.monotonic()

    def work(self, seconds):
        """Submits about two small jobs a second, cancels one in six, polls and repeats submissions."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            job = self.submit(tasks=self.random.randint(1, 8), run_s=self.random.uniform(0.5, 4.0))
            if self.random.random() < 1 / 6:
                self.cancel(job)
            for known in self.random.sample(sorted(self.state), min(3, len(self.state))):
                self.poll(known)
            repeated = self.random.choice(sorted(self.state))
            self.note(repeated, self.ask("POST", "/v1/jobs", self.region.jobs[repeated]))
            self.controllers.check_processes()
            time.sleep(0.3)

    def drain(self, jobs, seconds):
        """Waits until these jobs have ended."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            left = [j for j in jobs if self.state[j] not in FINAL]
            if not left:
                return True
            for job in left:
                self.poll(job)
            time.sleep(0.5)
        self.region.fail(f"not ended within {seconds} s: {left[:10]}")
        return False


def await_owners(controllers, build, seconds=30):
    """Whether only controllers of this build own pools, within so many seconds."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        owners = controllers.owners()
        builds = {controllers.builds[controllers.names.index(o)] for o in owners.values()}
        if owners and builds == {build}:
            return True
        time.sleep(0.2)
    controllers.region.fail(f"pools not all with {build}: {controllers.owners()}")
    return False


def side_by_side(controllers, users, builds):
    """Both builds at once: the leader is killed, then all controllers of each build until the other owns every pool."""
    controllers.replace(builds)
    users.work(8)
    leader = controllers.leader()
    if leader is not None:
        build = controllers.builds[leader]
        print(f"  killing the leader {controllers.names[leader]} ({build})", flush=True)
        controllers.kill(leader)
        users.work(4)
        controllers.start(leader, build)
        users.work(4)
    for gone, stays in (("old", "new"), ("new", "old")):
        killed = [i for i in range(3) if builds[i] == gone]
        for i in killed:
            controllers.kill(i)
        await_owners(controllers, stays)
        users.work(4)
        print(f"  {stays} owns {len(controllers.owners())} pools while {gone} is away", flush=True)
        for i in killed:
            controllers.start(i, gone)
        users.work(5)


def main():
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("old")
    options.add_argument("new")
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--keep", type=pathlib.Path, help="directory for settings and logs")
    options = options.parse_args()
    directory = options.keep or pathlib.Path(tempfile.mkdtemp(prefix="cleatfold-mixed-"))
    directory.mkdir(parents=True, exist_ok=True)
    region = Region()
    controllers = Controllers({"old": options.old, "new": options.new}, directory, region)
    users = Users(region, controllers, options.seed)
    passed = []
    try:
        for build, program in controllers.programs.items():
            arguments = [program, "check", "--config", str(controllers.settings[0])]
            if subprocess.run(arguments, stdout=subprocess.DEVNULL).returncode:
                region.fail(f"{build} refuses the settings")

        print("records of old, taken over by new", flush=True)
        controllers.replace(["old"] * 3)
        service = users.submit(tasks=2, genre="service", run_s=0.0)
        first = [users.submit(tasks=300, run_s=0.5), users.submit(tasks=6, run_s=2.0, oneZone=True),
                 users.submit(tasks=4, run_s=1.0, spread=True), users.submit(tasks=20, run_s=5.0)]
        first += [users.submit(tasks=5, run_s=3.0) for _ in range(8)]
        users.cancel(first[-1])
        time.sleep(6)
        started = len({t.split("/")[0] for t in region.running} | {t.split("/")[0] for t in region.completed})
        controllers.replace(["new"] * 3)
        if users.drain(first, 120):
            passed.append(f"{len(first) + 1} jobs accepted by old, {started} of them begun by old, ended by new")

        for builds in (["old", "old", "new"], ["new", "new", "old"]):
            print("side by side:", " ".join(builds), flush=True)
            before = len(users.state)
            side_by_side(controllers, users, builds)
            if users.drain([j for j in users.state if j != service], 120):
                passed.append(f"{' '.join(builds)}: {len(users.state) - before} jobs ended")

        print("new alone", flush=True)
        controllers.replace(["new"] * 3)
        users.cancel(service)
        time.sleep(CANCEL_S + 2)
        for job in users.state:
            users.poll(job)
        controllers.check_processes()
        if not region.running:
            passed.append(f"{len(users.state)} jobs known at the end, no task left")
        else:
            region.fail(f"tasks left: {sorted(region.running)[:5]}")
        if users.unanswered:
            region.fail(f"{users.unanswered} requests without an answer in 60 s")
    finally:
        for i in range(3):
            controllers.kill(i)
    for what in passed:
        print("passed", what)
    states = collections.Counter(users.state.values())
    print(f"{len(users.state)} jobs: {dict(states)}; {sum(region.completed.values())} tasks completed; settings and logs in {directory}")
    print(f"{len(passed)} passed, {len(region.failures)} failed")
    raise SystemExit(bool(region.failures))


if __name__ == "__main__":
    main()
