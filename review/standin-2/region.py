"""A region on loopback for the cases of the second review.

One process plays everything that does not belong to the project, after the operators' pages: the state
service with all its limits, the cloud, the workers, and the users of a case. The controllers are the
project's own program, started with the command of deploy/service.toml. Only Python's standard library is
used. Every address is a loopback address.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """What was sent, answered and run; one line an event."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, *words):
        self.file.write(f"{self.now():8.3f} " + " ".join(str(w) for w in words) + "\n")


# ---- HTTP/1.1 ----


async def read_message(reader):
    """Reads the start line, the headers and the body of a message; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return lines[0], headers, body
            body += chunk[:-2]
    length = int(headers.get("content-length", 0))
    return lines[0], headers, await reader.readexactly(length) if length else b""


class Server:
    """An HTTP server. `answer(method, path, query, body)` returns a status and a value, or None for no answer."""

    def __init__(self, answer):
        self.answer = answer
        self.server = None

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 22)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ")
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                value = json.loads(body) if body.strip() else None
                result = await self.answer(method, url.path, query, value, len(body))
                if result is None:
                    break
                status, value = result
                text = value if isinstance(value, bytes) else json.dumps(value, separators=(",", ":")).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                    % (status, len(text)) + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Client:
    """One connection to one server at a time, kept open."""

    def __init__(self):
        self.to, self.reader, self.writer = None, None, None

    def close(self):
        if self.writer:
            self.writer.close()
        self.to, self.reader, self.writer = None, None, None

    async def ask(self, address, method, path, value=None, timeout=5.0):
        """Returns the status, the body and the headers; None without a response within `timeout`."""
        try:
            return await asyncio.wait_for(self.exchange(address, method, path, value), timeout)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            self.close()
            return None

    async def exchange(self, address, method, path, value):
        if self.to != address:
            self.close()
            host, port = address.split(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
            self.to = address
        body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/json\r\n"
            f"content-length: {len(body)}\r\n\r\n".encode() + body
        )
        await self.writer.drain()
        start, headers, body = await read_message(self.reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            value = json.loads(body) if body.strip() else None
        except ValueError:
            value = None
        return int(start.split(" ")[1]), value, headers


# ---- the state service ----


class Bucket:
    """A rate with bursts of one second's worth."""

    def __init__(self, rate):
        self.rate, self.left, self.at = rate, rate, time.monotonic()

    def take(self, n):
        now = time.monotonic()
        self.left = min(self.rate, self.left + (now - self.at) * self.rate)
        self.at = now
        if self.left < n:
            return False
        self.left -= n
        return True


class State:
    KEPT_CHANGES = 10_000

    def __init__(self, settings, record):
        self.settings, self.record = settings, record
        self.keys = {}  # key -> (value text, revision, lease)
        self.sorted = []
        self.revision = 0
        self.log = []  # (revision, key, value text or None)
        self.forgotten = 0  # changes up to this revision are not kept any more
        self.leases = {}  # lease -> [ttl, end]
        self.last_lease = 0
        self.requests, self.writes = Bucket(settings["rps"]), Bucket(settings["write_rps"])
        self.refused_as_invalid = {}
        # Called for each request; may wait, and returns what to do after it.
        self.before = None
        self.after = None

    async def answer_for(self, node, method, path, query, body, length):
        if self.before:
            await self.before(node, method, path, query, body)
        result = self.answer(method, path, query, body, length)
        if self.after:
            return await self.after(node, method, path, query, body, result)
        return result

    def expire(self):
        now = time.monotonic()
        for lease in [i for i, (_, end) in self.leases.items() if end < now]:
            del self.leases[lease]
            gone = [k for k, (_, _, of) in self.keys.items() if of == lease]
            if gone:
                self.revision += 1
                for key in gone:
                    self.change(key, None, None)

    def change(self, key, value, lease):
        if value is None:
            if self.keys.pop(key, None) is None:
                return
        else:
            self.keys[key] = (value, self.revision, lease)
        self.log.append((self.revision, key, value))
        if len(self.log) > self.KEPT_CHANGES:
            self.forgotten = self.log[-self.KEPT_CHANGES - 1][0]
            del self.log[: -self.KEPT_CHANGES]

    def answer(self, method, path, query, body, length):
        self.expire()
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        if path == "/multi":
            return self.multi(body, length)
        if path == "/grants":
            self.last_lease += 1
            ttl = body["ttlMs"] / 1000
            self.leases[self.last_lease] = [ttl, time.monotonic() + ttl]
            return 200, {"bail": self.last_lease}
        if path.startswith("/grants/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self.leases[lease][1] = 0
                self.expire()
                return 200, {}
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {}
        if path == "/follow":
            return self.follow(query)
        if path == "/store":
            return self.listing(query)
        if path.startswith("/store/"):
            key = path[len("/store/"):]
            if key not in self.keys:
                return 404, {"revisionRegistre": self.revision}
            return 200, self.item(key)
        return 400, {"error": "no such path"}

    def item(self, key):
        value, revision, lease = self.keys[key]
        item = {"k": key, "v": json.loads(value), "derniereRetouche": revision}
        if lease:
            item["bail"] = lease
        return item

    def listing(self, query):
        prefix, start = query.get("prefix", ""), query.get("from", "")
        page = min(int(query.get("page", 1000)), 1000)
        names = sorted(k for k in self.keys if k.startswith(prefix) and k > start)
        items, size = [], 0
        for name in names:
            if len(items) >= page or (items and size + len(self.keys[name][0]) + 300 > 512 * 1024):
                break
            size += len(self.keys[name][0]) + 300
            items.append(self.item(name))
        return 200, {"items": items, "truncated": len(items) < len(names), "revisionRegistre": self.revision}

    def follow(self, query):
        prefix, start = query.get("prefix", ""), int(query.get("from", 0))
        if start < self.forgotten:
            return 410, {"error": "too old", "revisionRegistre": self.revision}
        events = []
        for revision, key, value in reversed(self.log):
            if revision <= start:
                break
            if not key.startswith(prefix):
                continue
            event = {"remove": key} if value is None else {"set": key, "v": json.loads(value)}
            events.append(event | {"derniereRetouche": revision})
        events.reverse()
        return 200, {"revisionRegistre": self.revision, "events": events}

    def invalid(self, why, changes):
        for change in changes:
            key = change.get("set") or change.get("remove")
            self.refused_as_invalid[key] = self.refused_as_invalid.get(key, 0) + 1
            if self.refused_as_invalid[key] in (1, 10, 100):
                self.record(f"state service: 400 for {key} ({self.refused_as_invalid[key]} so far): {why}")
        return 400, {"error": why}

    def multi(self, body, length):
        guards, changes = body.get("guards", []), body.get("then", [])
        operations = self.settings["txn_ops"]
        if length > 64 * 1024:
            return self.invalid(f"transaction of {length} bytes", changes)
        if len(changes) > operations or len(guards) > 4 * operations:
            return self.invalid(f"{len(changes)} changes, {len(guards)} conditions", changes)
        for change in changes:
            key = change.get("set") or change.get("remove")
            if not key or len(key) > 200 or " " in key:
                return self.invalid("not a key", changes)
            if "set" in change:
                size = len(json.dumps(change["v"], separators=(",", ":"), ensure_ascii=False).encode())
                if size > self.settings["value_kb"] * 1024:
                    return self.invalid(f"value of {size} bytes", changes)
        if not self.writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        for change in changes:
            if change.get("bail") is not None and change["bail"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [g["k"] for g in guards if self.version(g["k"]) != g["derniereRetouche"]]
        if failed:
            return 409, {"failed": failed, "revisionRegistre": self.revision}
        if changes:
            self.revision += 1
            for change in changes:
                if "set" in change:
                    text = json.dumps(change["v"], separators=(",", ":"), ensure_ascii=False)
                    self.change(change["set"], text, change.get("bail"))
                else:
                    self.change(change["remove"], None, None)
        return 200, {"revisionRegistre": self.revision}

    def version(self, key):
        return self.keys[key][1] if key in self.keys else 0


# ---- workers and the cloud ----


class Machine:
    def __init__(self, region, name, kind, zone, spot, up_at):
        self.region, self.name, self.kind, self.zone, self.spot = region, name, kind, zone, spot
        self.requested, self.up_at = time.monotonic(), up_at
        self.dead_at = None
        self.deleted = False
        self.session, self.number, self.token = 1, 0, 0
        self.tasks = {}  # (piece, attempt) -> [state, since or end, why]
        self.images = {}  # image -> when it is there
        self.renewed = up_at
        self.target = 0
        self.wake = asyncio.Event()
        self.port = None
        self.job = None

    @property
    def alive(self):
        return self.dead_at is None and not self.deleted

    def report(self):
        self.number += 1
        pieces = []
        for (piece, attempt), task in self.tasks.items():
            entry = {"piece": piece, "essai": attempt, "etat": task[0]}
            if task[0] == "exited":
                entry["motif"] = task[2]
            pieces.append(entry)
        return {
            "ruche": self.name, "endpoint": f"127.0.0.1:{self.port}", "gabaritMachine": self.kind["name"],
            "site": self.zone, "pretees": self.spot, "veille": self.session, "numero": self.number,
            "jeton": self.token, "preavisS": None, "pieces": pieces,
        }

    def used(self):
        used = [0.0, 0.0]
        for (piece, _), task in self.tasks.items():
            if task[0] != "exited":
                spec = self.region.specs[piece.rsplit("/", 1)[0]]
                used[0] += spec["cores"]
                used[1] += spec["ramGb"]
        return used

    def execute(self, commands):
        for command in commands:
            key = (command["piece"], command["essai"])
            what = command["consigne"]
            if what == "launch":
                self.launch(key)
            elif what == "kill" and key in self.tasks and self.tasks[key][0] != "exited":
                self.exit(key, "halted")
            elif what == "reap" and key in self.tasks and self.tasks[key][0] == "exited":
                del self.tasks[key]

    def launch(self, key):
        if key in self.tasks:
            return
        spec = self.region.specs.get(key[0].rsplit("/", 1)[0])
        now = time.monotonic()
        if spec is None or int(key[0].rsplit("/", 1)[1]) >= spec["pieces"]:
            self.tasks[key] = ["exited", now, "no_such"]
        elif any(k[0] == key[0] and t[0] != "exited" for k, t in self.tasks.items()):
            self.tasks[key] = ["exited", now, "busy"]
        elif (self.used()[0] + spec["cores"] > self.kind["cores"] + 1e-6
              or self.used()[1] + spec["ramGb"] > self.kind["ramGb"] + 1e-6):
            self.tasks[key] = ["exited", now, "full"]
        else:
            there = self.images.setdefault(spec["gabarit"], now + spec["pullGb"] / self.kind["fetchGbPerS"])
            self.tasks[key] = ["fetching", there, None]
            self.region.launched(self, key)
        self.wake.set()

    def exit(self, key, why):
        self.tasks[key] = ["exited", time.monotonic(), why]
        self.region.exited(self, key, why)
        self.wake.set()

    def advance(self):
        now = time.monotonic()
        if now - self.renewed > self.region.workers["lease_s"]:
            for key, task in list(self.tasks.items()):
                if task[0] != "exited":
                    self.region.exited(self, key, "lease over")
            self.tasks.clear()
            self.session += 1
            self.renewed = now
            self.wake.set()
        for key, task in list(self.tasks.items()):
            if task[0] == "fetching" and now >= task[1]:
                spec = self.region.specs[key[0].rsplit("/", 1)[0]]
                run = self.region.run_s(key) if spec["genre"] == "batch" else 1e9
                self.tasks[key] = ["running", now + run, None]
                self.region.started(self, key)
                self.wake.set()
            elif task[0] == "running" and now >= task[1]:
                self.exit(key, "done")

    def stop(self):
        """The machine stops with all that is on it."""
        self.dead_at = time.monotonic()
        for key, task in list(self.tasks.items()):
            if task[0] != "exited":
                self.region.exited(self, key, "machine stopped")
        self.tasks.clear()

    async def answer_direct(self, method, path, query, body, length):
        if not self.alive:
            await asyncio.sleep(3600)
        self.advance()
        if path == "/inspect":
            return 200, self.report()
        if path == "/orders":
            if body.get("jeton") is None or body.get("veille") is None:
                return 400, {}
            if body["jeton"] < self.token or body["veille"] != self.session:
                return 409, self.report()
            self.token = max(self.token, body["jeton"])
            self.execute(body["consignes"])
            return 200, self.report()
        return 404, {}

    async def live(self):
        await asyncio.sleep(max(0.0, self.up_at - time.monotonic()))
        server = Server(self.answer_direct)
        self.port = await server.listen()
        self.renewed = time.monotonic()
        client = Client()
        ticker = asyncio.create_task(self.tick())
        try:
            while self.alive:
                await self.one_report(client)
        finally:
            ticker.cancel()
            client.close()
            server.server.close()

    async def tick(self):
        while self.alive:
            self.advance()
            await asyncio.sleep(0.05)

    async def one_report(self, client):
        region = self.region
        self.advance()
        self.wake.clear()
        sent, session = time.monotonic(), self.session
        address = region.nodes[self.target].address
        answer = await client.ask(address, "POST", "/hello", self.report(), timeout=4.0)
        if not self.alive:
            return
        region.reports += 1
        if answer and answer[0] == 200 and answer[1] is not None:
            token = answer[1].get("jeton")
            if session == self.session and token is not None and token >= self.token:
                if token > self.token:
                    self.wake.set()
                self.token = token
                self.renewed = max(self.renewed, sent)
                self.execute(answer[1].get("consignes") or [])
            period = region.workers["report_s"] * random.uniform(0.75, 1.25)
            await asyncio.sleep(max(0.0, sent + 0.5 - time.monotonic()))
            try:
                await asyncio.wait_for(self.wake.wait(), max(0.0, sent + period - time.monotonic()))
            except asyncio.TimeoutError:
                pass
            return
        client.close()
        if answer and answer[0] == 421:
            to = (answer[1] or {}).get("rapporteA")
            names = [n.name for n in region.nodes]
            if to in names and names.index(to) != self.target:
                self.target = names.index(to)
                await asyncio.sleep(random.uniform(0.0, 0.5))
                return
        self.target = (self.target + 1) % len(region.nodes)
        await asyncio.sleep(1.0)


class Node:
    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.address, self.mesh, self.state_port, self.process = None, None, None, None


class Region:
    """settings: the [cluster] part as a dict with workers, state, cloud, limits, teams, zones."""

    def __init__(self, settings, types, record):
        self.settings, self.record = settings, record
        self.workers = settings["workers"]
        self.types = {t["name"]: t for t in types}
        self.state = State(settings["state"], record)
        self.nodes = [Node(f"ruche-{i}", settings["zones"][i % len(settings["zones"])])
                      for i in range(settings["nodes"])]
        self.machines = {}
        self.capacity = {}  # (type, zone) -> number of machines that may be rented beyond those there
        self.rented = {}
        self.specs = {}
        self.on_machines = {}  # piece -> set of (machine, attempt) running or waiting for the image
        self.done_pieces = {}
        self.lost = []  # (piece, attempt, machine) lost with a machine or a lease
        self.twice = []
        self.reports = 0
        self.run_s = lambda key: 30.0
        self.cloud_calls = Bucket(settings["cloud"]["rps"])
        self.cloud_calls.rate = settings["cloud"]["rps"]
        self.dir = tempfile.mkdtemp(prefix="cleatfold-review-")
        self.next_machine = 1

    # -- what happens to tasks --

    def launched(self, machine, key):
        """The machine was told to start the task, which waits for its image."""

    def started(self, machine, key):
        here = self.on_machines.setdefault(key[0], set())
        others = [o for o in here if o[0] != machine.name]
        here.add((machine.name, key[1]))
        if others:
            self.twice.append((key, machine.name, others))
            self.record(f"task {key[0]} attempt {key[1]} starts on {machine.name} while on {others}")
        self.record(f"task {key[0]} attempt {key[1]} runs on {machine.name}")

    def exited(self, machine, key, why):
        self.on_machines.get(key[0], set()).discard((machine.name, key[1]))
        if why == "done":
            self.done_pieces.setdefault(key[0].rsplit("/", 1)[0], set()).add(key[0])
        if why in ("machine stopped", "lease over"):
            self.lost.append((key[0], key[1], machine.name))
        self.record(f"task {key[0]} attempt {key[1]} left {machine.name}: {why}")

    def running(self, job):
        """Tasks of the job that are on a machine now and have their image."""
        return sum(1 for m in self.machines.values() if m.alive
                   for (piece, _), t in m.tasks.items() if t[0] == "running" and piece.rsplit("/", 1)[0] == job)

    # -- machines --

    def add_machine(self, kind, zone, spot=False, boot_s=0.0):
        name = f"vm-{self.next_machine:06d}"
        self.next_machine += 1
        machine = Machine(self, name, self.types[kind], zone, spot, time.monotonic() + boot_s)
        machine.target = self.next_machine % len(self.nodes)
        self.machines[name] = machine
        machine.job = asyncio.create_task(machine.live())
        return machine

    async def cloud(self, method, path, query, body, length):
        if not self.cloud_calls.take(1):
            return 429, {"error": "too many calls"}
        now, lag = time.monotonic(), self.settings["cloud"]["list_lag_s"]
        if path == "/machine_types":
            return 200, {"gabaritsMachine": list(self.types.values())}
        if path == "/machines/delete":
            for name in body["ruches"]:
                machine = self.machines.get(name)
                if machine and not machine.deleted:
                    machine.stop()
                    machine.deleted = True
                    machine.job.cancel()
                    self.record(f"cloud: {name} deleted")
            return 200, {}
        if path == "/machines" and method == "POST":
            name = body["demandeLocation"]
            if name not in self.rented:
                place = (body["gabaritMachine"], body["site"])
                count = min(body["count"], 50, self.capacity.get(place, 0))
                if count <= 0:
                    return 503, {"error": "no capacity"}
                self.capacity[place] -= count
                boot = self.types[place[0]]["bootS"]
                machines = [self.add_machine(*place, body["pretees"], boot * random.uniform(0.6, 1.5))
                            for _ in range(count)]
                self.rented[name] = [m.name for m in machines]
                self.record(f"cloud: {count} of {place} rented as {name}")
            return 200, {"ruches": self.rented[name]}
        if path == "/machines":
            start, page = query.get("from", ""), min(int(query.get("page", 500)), 500)
            # The list as it was `lag` ago.
            at = now - lag
            listed = []
            for m in self.machines.values():
                if m.name <= start or m.requested > at or (m.deleted and m.dead_at <= at):
                    continue
                if m.dead_at is not None and not m.deleted and m.dead_at + 30.0 <= now:
                    state = "failed"
                else:
                    state = "running" if m.up_at <= at else "starting"
                listed.append({"uid": m.name, "endpoint": f"127.0.0.1:{m.port or 1}",
                               "gabaritMachine": m.kind["name"], "site": m.zone, "pretees": m.spot,
                               "etat": state, "ageS": round(at - m.requested, 1)})
            listed.sort(key=lambda m: m["uid"])
            return 200, {"ruches": listed[:page], "truncated": len(listed) > page}
        return 400, {"error": "no such path"}

    # -- controllers --

    def settings_file(self, node):
        def value(v):
            return json.dumps(v)

        lines = [f'host_name = "{node.name}"', f'area = "{node.zone}"', f'serve_on = "{node.address}"',
                 f'mesh_addr = "{node.mesh}"']
        for other in self.nodes:
            if other is not node:
                lines += ["[[members]]", f'host_name = "{other.name}"', f'area = "{other.zone}"',
                          f'endpoint = "{other.mesh}"']
        lines += ["[endpoints]", f'cloud = "127.0.0.1:{self.cloud_port}"',
                  f'state = "127.0.0.1:{node.state_port}"', "[cluster]", f"nodes = {len(self.nodes)}",
                  f'zones = {value(self.settings["zones"])}', f'clock_off_ms = {self.settings["clock_off_ms"]}']
        for team in self.settings["teams"]:
            lines += ["[[cluster.teams]]"] + [f"{k} = {value(v)}" for k, v in team.items()]
        for objective in self.settings.get("objectives", []):
            lines += ["[[cluster.objectives]]"] + [f"{k} = {value(v)}" for k, v in objective.items()]
        for part in ("workers", "state", "cloud", "limits"):
            lines += [f"[cluster.{part}]"] + [f"{k} = {value(v)}" for k, v in self.settings[part].items()]
        path = os.path.join(self.dir, f"{node.name}.toml")
        with open(path, "w") as file:
            file.write("\n".join(lines) + "\n")
        return path

    async def prepare(self):
        self.cloud_port = await Server(self.cloud).listen()
        for node in self.nodes:
            node.address, node.mesh = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"

            def answer(method, path, query, body, length, node=node):
                return self.state.answer_for(node, method, path, query, body, length)

            node.state_port = await Server(answer).listen()
        for node in self.nodes:
            node.settings_path = self.settings_file(node)

    def start(self, node):
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            command = tomllib.load(file)["run"].split() + [node.settings_path]
        log = open(os.path.join(self.dir, f"{node.name}.log"), "a")
        node.process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL,
                                        stderr=log, env=os.environ | {"LOG_LEVEL": "info"})
        self.record(f"{node.name} started")

    def kill(self, node):
        if node.process and node.process.poll() is None:
            node.process.kill()
            node.process.wait()
            self.record(f"{node.name} killed")
        node.process = None

    def ended_by_itself(self):
        return [n.name for n in self.nodes if n.process and n.process.poll() is not None]

    async def ready(self, timeout=20.0):
        """Waits until every controller says that it is ready."""
        client, end = Client(), time.monotonic() + timeout
        for node in self.nodes:
            while True:
                answer = await client.ask(node.address, "GET", "/ready", timeout=1.0)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > end:
                    return False
                await asyncio.sleep(0.2)
        client.close()
        self.record("all controllers are ready")
        return True

    def stop(self):
        for node in self.nodes:
            self.kill(node)
        if os.environ.get("KEEP"):
            print("logs in", self.dir, file=sys.stderr)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)

    # -- users --

    async def submit(self, spec, node=None, within=60.0):
        """Submits a job as PROTOCOL has it, until an answer that is not retried. Returns status and body."""
        self.specs[spec["uid"]] = spec
        client, end, at = Client(), time.monotonic() + within, node
        while True:
            node = at or random.choice([n for n in self.nodes if n.process] or self.nodes)
            answer = await client.ask(node.address, "POST", "/v1/jobs", spec, timeout=5.0)
            if answer and answer[0] in (200, 201, 400, 422):
                self.record(f"user: {spec['uid']} submitted to {node.name}: {answer[0]} {json.dumps(answer[1])}")
                client.close()
                return answer[0], answer[1]
            if time.monotonic() > end:
                client.close()
                return None
            wait = 1.0
            if answer and answer[2].get("retry-after"):
                wait = max(wait, min(30.0, float(answer[2]["retry-after"])))
            client.close()
            await asyncio.sleep(wait)

    async def poll(self, job, node, timeout=2.0, client=None):
        own = client or Client()
        answer = await own.ask(node.address, "GET", f"/v1/jobs/{job}", timeout=timeout)
        if client is None:
            own.close()
        return answer

    async def withdraw(self, job, within=60.0, node=None):
        """Cancels a job: repeated for up to `within` seconds; the final answer, or None."""
        client, end, tries = Client(), time.monotonic() + within, 0
        while time.monotonic() < end:
            to = node or random.choice([n for n in self.nodes if n.process] or self.nodes)
            tries += 1
            answer = await client.ask(to.address, "POST", f"/v1/jobs/{job}/withdraw", {}, timeout=5.0)
            self.record(f"user: {job} cancelled at {to.name}: {answer and answer[0]} {answer and json.dumps(answer[1])}")
            if answer and answer[0] == 200:
                client.close()
                return answer[1]
            wait = 1.0
            if answer and answer[2].get("retry-after"):
                wait = max(wait, min(30.0, float(answer[2]["retry-after"])))
            client.close()
            await asyncio.sleep(wait)
        return None


def spec(uid, **fields):
    """A submission with all fields."""
    return {
        "uid": uid, "lot": "rendu", "equipe": "produit", "genre": "batch", "urgence": "normal", "pieces": 1,
        "cores": 4.0, "cards": 0.0, "ramGb": 5.3, "gabarit": "img-01", "pullGb": 0.5, "gabaritsMachine": None,
        "site": None, "oneZone": False, "spread": False, "pretees": True, "dureePrevueS": 40.0,
        "intervalleSauvegardeS": 0.0, "dureeSauvegardeS": 0.0, "echeanceS": None,
    } | fields


def play(case, record_path):
    """Runs `case(region_record, trouble)`; it returns 0 (held), 1 (broken) or 2 (could not run)."""
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")

    def finish(code):
        result = ["the rule held", "the rule was broken", "the case could not run"][code]
        record(f"result: {code} ({result})")
        print(result, flush=True)
        # The case has ended the processes that it started; its own connections end with this process.
        os._exit(code)

    async def bounded():
        task = asyncio.create_task(case(record, trouble))
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, task.cancel)
        done, _ = await asyncio.wait([task], timeout=117.0)
        if not done:
            record("out of time")
            task.cancel()
            await asyncio.wait([task], timeout=1.0)
            finish(2)
        if task.cancelled():
            record("stopped from outside")
            finish(2)
        if task.exception():
            record(f"error: {task.exception()!r}")
            traceback.print_exception(task.exception())
            finish(2)
        finish(task.result())

    asyncio.run(bounded())
