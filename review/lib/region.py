"""Stand-ins for a region on loopback: state service, cloud, workers, users, and the start of real controllers.

They follow PROTOCOL. Where a page is silent they behave like a sound server. Only the standard library is used.
Each controller has its own port of the state service and of the cloud, so that a trouble can be limited to one.
"""
import asyncio
import bisect
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from collections import deque

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
START = time.monotonic()


def now():
    return time.monotonic() - START


def dumps(value):
    return json.dumps(value, separators=(",", ":"))


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)

    def __call__(self, text):
        self.file.write(f"{now():8.3f} {text}\n")


# ---- HTTP ----

class Drop(Exception):
    """The request gets no answer: the connection is left open and silent, or reset."""

    def __init__(self, reset=False):
        super().__init__()
        self.reset = reset


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    length, chunked, close = 0, False, False
    for line in lines[1:]:
        name, _, value = line.partition(":")
        name, value = name.strip().lower(), value.strip().lower()
        if name == "content-length":
            length = int(value)
        elif name == "transfer-encoding" and "chunked" in value:
            chunked = True
        elif name == "connection" and "close" in value:
            close = True
    if chunked:
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        body = await reader.readexactly(length) if length else b""
    return lines[0], body, close


REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 400: "Bad Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


async def serve(handler, port=0):
    """Serves `handler(method, path, query, body) -> (status, object)` on loopback; returns the server and its port."""

    async def connection(reader, writer):
        try:
            while True:
                line, body, close = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                pairs = dict(p.partition("=")[::2] for p in query.split("&") if p)
                try:
                    status, answer = await handler(method, path, pairs, body)
                except Drop as drop:
                    if drop.reset:
                        writer.transport.abort()
                        return
                    await asyncio.sleep(300)
                    return
                data = answer if isinstance(answer, bytes) else dumps(answer).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\ncontent-type: application/json\r\n" \
                       f"content-length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
                if close:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", port, limit=4 * 1024 * 1024, backlog=1024)
    return server, server.sockets[0].getsockname()[1]


class Client:
    """A persistent connection to one address."""

    def __init__(self, address):
        self.host, port = address.split(":")
        self.port = int(port)
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def call(self, method, path, body=None, timeout=5.0, connect_timeout=None):
        """Returns (status, object); raises OSError or asyncio.TimeoutError."""
        try:
            return await asyncio.wait_for(self._call(method, path, body, connect_timeout or timeout), timeout)
        except asyncio.IncompleteReadError as error:
            self.close()
            raise ConnectionResetError from error
        except BaseException:
            self.close()
            raise

    async def _call(self, method, path, body, connect_timeout):
        if self.writer is None:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.port, limit=4 * 1024 * 1024), connect_timeout)
        data = dumps(body).encode() if body is not None else b""
        head = f"{method} {path} HTTP/1.1\r\nhost: {self.host}\r\ncontent-type: application/json\r\n" \
               f"content-length: {len(data)}\r\n\r\n"
        self.writer.write(head.encode() + data)
        await self.writer.drain()
        line, body, close = await read_message(self.reader)
        status = int(line.split(" ")[1])
        try:
            answer = json.loads(body) if body else None
        except ValueError:
            answer = None
        if close:
            self.close()
        return status, answer


class Bucket:
    """A rate limit with bursts of `burst_s` seconds."""

    def __init__(self, rate, burst_s=1.0):
        self.rate, self.size, self.tokens, self.at = rate, max(rate * burst_s, 1.0), max(rate * burst_s, 1.0), now()

    def take(self, count):
        at = now()
        self.tokens = min(self.size, self.tokens + (at - self.at) * self.rate)
        self.at = at
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


# ---- the state service ----

class Store:
    KEPT = 10_000

    def __init__(self, record, rps, write_rps, value_kb, txn_ops, latency_s=0.004):
        self.record = record
        self.entries, self.keys = {}, []
        self.revision, self.log, self.first_kept = 0, deque(), 0
        self.leases, self.last_lease = {}, 0
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops, self.latency_s = int(value_kb * 1024), txn_ops, latency_s
        self.out = False
        self.refused = set()
        self.hook = None
        self.invalid = []
        self.largest = 0

    async def listen(self, node):
        return (await serve(lambda *a: self.handle(node, *a)))[1]

    async def handle(self, node, method, path, query, body):
        await asyncio.sleep(self.latency_s * random.uniform(0.6, 1.4))
        if self.hook:
            early = await self.hook(node, method, path, query, body)
            if early is not None:
                return early
        return await self.execute(node, method, path, query, body)

    async def execute(self, node, method, path, query, body):
        if self.out or node in self.refused:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        if path == "/multi":
            return self.multi(node, body)
        if path == "/grants":
            ttl = json.loads(body)["ttlMs"] / 1000
            self.last_lease += 1
            self.leases[self.last_lease] = [ttl, now() + ttl]
            return 200, {"bail": self.last_lease}
        if path.startswith("/grants/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self.leases[lease][1] = 0
                self.expire()
            else:
                self.leases[lease][1] = now() + self.leases[lease][0]
            return 200, {}
        if path == "/follow":
            return await self.follow(query)
        if path == "/store":
            return self.list(query)
        key = path[len("/store/"):]
        if key in self.entries:
            value, version, lease = self.entries[key]
            return 200, {"k": key, "v": value, "derniereRetouche": version, "bail": lease}
        return 404, {"revisionRegistre": self.revision}

    def list(self, query):
        prefix, start, page = query.get("prefix", ""), query.get("from"), min(int(query.get("page", 1000)), 1000)
        at = bisect.bisect_left(self.keys, prefix)
        if start is not None:
            at = max(at, bisect.bisect_right(self.keys, start))
        items, size, more = [], 0, False
        for key in self.keys[at:]:
            if not key.startswith(prefix):
                break
            value, version, _ = self.entries[key]
            size += len(dumps(value))
            if len(items) == page or size > 500 * 1024:
                more = True
                break
            items.append({"k": key, "v": value, "derniereRetouche": version})
        return 200, {"items": items, "truncated": more, "revisionRegistre": self.revision}

    async def follow(self, query):
        prefix, start = query.get("prefix", ""), int(query.get("from", 0))
        until = now() + int(query.get("holdMs", 0)) / 1000
        while True:
            if start < self.first_kept:
                return 410, {"error": "too old"}
            events = []
            for key, value, version in reversed(self.log):
                if version <= start:
                    break
                if key.startswith(prefix):
                    event = {"derniereRetouche": version}
                    if value is None:
                        event["remove"] = key
                    else:
                        event.update(set=key, v=value)
                    events.append(event)
            if events or now() >= until:
                return 200, {"revisionRegistre": self.revision, "events": events[::-1]}
            await asyncio.sleep(0.05)

    def invalidate(self, node, why):
        self.invalid.append((now(), node, why))
        self.record(f"state service: 400 to {node}: {why}")
        return 400, {"error": why}

    def multi(self, node, body):
        txn = json.loads(body)
        guards, then = txn.get("guards", []), txn.get("then", [])
        if len(then) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            return self.invalidate(node, f"{len(then)} changes, {len(guards)} conditions")
        if len(body) > 64 * 1024:
            return self.invalidate(node, f"the transaction has {len(body)} bytes")
        for change in then:
            if "set" in change:
                size = len(dumps(change["v"]).encode())
                self.largest = max(self.largest, size)
                if size > self.value_bytes:
                    return self.invalidate(node, f"the value of {change['set']} has {size} bytes, "
                                                 f"more than {self.value_bytes}")
                if change.get("bail") is not None and change["bail"] not in self.leases:
                    return 400, {"error": "no such lease"}
        if then and not self.writes.take(len(then)):
            return 429, {"error": "too many changes"}
        failed = [g["k"] for g in guards
                  if (self.entries[g["k"]][1] if g["k"] in self.entries else 0) != g["derniereRetouche"]]
        if failed:
            return 409, {"failed": failed, "revisionRegistre": self.revision}
        if then:
            self.apply([(c["set"], c["v"], c.get("bail")) if "set" in c else (c["remove"], None, None) for c in then])
        return 200, {"revisionRegistre": self.revision}

    def apply(self, changes):
        self.revision += 1
        for key, value, lease in changes:
            if value is None:
                if key not in self.entries:
                    continue
                del self.entries[key]
                del self.keys[bisect.bisect_left(self.keys, key)]
            else:
                if key not in self.entries:
                    bisect.insort(self.keys, key)
                self.entries[key] = (value, self.revision, lease)
            self.log.append((key, value, self.revision))
        while len(self.log) > self.KEPT:
            self.first_kept = self.log.popleft()[2]

    def expire(self):
        if self.out:
            return
        gone = [lease for lease, (_, until) in self.leases.items() if until < now()]
        for lease in gone:
            del self.leases[lease]
        keys = [(k, None, None) for k, e in self.entries.items() if e[2] in gone] if gone else []
        if keys:
            self.apply(keys)

    def end_outage(self):
        """Every lease has its full time again."""
        self.out = False
        for lease in self.leases.values():
            lease[1] = now() + lease[0]

    async def run(self):
        while True:
            await asyncio.sleep(0.05)
            self.expire()


# ---- workers ----

class Worker:
    """One machine's worker, by PROTOCOL "Workers -> controller nodes"."""

    def __init__(self, region, uid, kind, site, spot):
        self.region, self.uid, self.kind, self.site, self.spot = region, uid, kind, site, spot
        self.veille, self.numero, self.jeton, self.preavis = 1, 0, 0, None
        self.pieces, self.images = {}, set()
        self.renewed = now()
        self.target = random.randrange(len(region.nodes))
        self.client = None
        self.changed = asyncio.Event()
        self.dead = self.hung = False
        self.port = None

    async def start(self):
        self.server, self.port = await serve(self.on_request)
        self.tasks = [asyncio.create_task(self.report_loop()), asyncio.create_task(self.lease_loop())]
        self.endpoint = f"127.0.0.1:{self.port}"

    def die(self):
        """The machine stops with all that is on it, in silence."""
        self.dead = True
        for task in self.tasks:
            task.cancel()
        for key, piece in self.pieces.items():
            if piece["etat"] in ("running", "saving"):
                self.region.off_machine(key, self, "machine stopped")
        self.pieces = {}

    def report(self):
        self.numero += 1
        pieces = []
        for (name, essai), piece in self.pieces.items():
            entry = {"piece": name, "essai": essai, "etat": piece["etat"]}
            if piece["etat"] == "exited":
                entry["motif"] = piece["motif"]
                if piece.get("stored"):
                    entry["stored"] = True
            pieces.append(entry)
        return {"ruche": self.uid, "endpoint": self.endpoint, "gabaritMachine": self.kind, "site": self.site,
                "pretees": self.spot, "veille": self.veille, "numero": self.numero, "jeton": self.jeton,
                "preavisS": self.preavis, "pieces": pieces}

    async def on_request(self, method, path, query, body):
        while self.hung:
            await asyncio.sleep(0.05)
        if self.dead:
            raise Drop()
        if path == "/inspect":
            return 200, self.report()
        if path != "/orders":
            return 404, {"error": "no such path"}
        orders = json.loads(body)
        if "jeton" not in orders or "veille" not in orders:
            return 400, {"error": "jeton or veille is missing"}
        if orders["jeton"] < self.jeton or orders["veille"] != self.veille:
            return 409, self.report()
        self.see_token(orders["jeton"])
        self.execute(orders.get("consignes", []), "order")
        return 200, self.report()

    def see_token(self, jeton):
        if jeton > self.jeton:
            self.jeton = jeton
            self.changed.set()

    async def report_loop(self):
        sent_at = -10.0
        while True:
            pause = self.region.report_s * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.changed.wait(), pause)
            except asyncio.TimeoutError:
                pass
            while self.hung:
                await asyncio.sleep(0.05)
            if now() - sent_at < 0.5:
                await asyncio.sleep(0.5 - (now() - sent_at))
            self.changed.clear()
            sent_at = now()
            await self.send_report(sent_at)

    async def send_report(self, sent):
        node = self.region.nodes[self.target]
        if self.client is None:
            self.client = Client(node.address)
        veille, report = self.veille, self.report()
        try:
            if self.region.report_filter and not self.region.report_filter(self, node):
                await asyncio.sleep(4.0)
                raise asyncio.TimeoutError
            status, answer = await self.client.call("POST", "/hello", report, timeout=4.0)
            if self.region.answer_filter and not self.region.answer_filter(self, node):
                await asyncio.sleep(max(0.0, 4.0 - (now() - sent)))
                raise asyncio.TimeoutError
        except (OSError, asyncio.TimeoutError):
            status, answer = 0, None
        while self.hung:
            await asyncio.sleep(0.05)
        if status == 200 and now() - sent < 4.0:
            if veille == self.veille and answer and answer.get("jeton", -1) >= self.jeton:
                self.renewed = max(self.renewed, sent)
                self.see_token(answer["jeton"])
                self.execute(answer.get("consignes", []), node.name)
            return
        if self.client:
            self.client.close()
        self.client = None
        named = (answer or {}).get("rapporteA") if status == 421 else None
        names = [n.name for n in self.region.nodes]
        if named in names and named != node.name:
            self.target = names.index(named)
            await asyncio.sleep(random.uniform(0, 0.5))
        else:
            self.target = (self.target + 1) % len(names)
            await asyncio.sleep(1.0)
        self.changed.set()

    async def lease_loop(self):
        while True:
            await asyncio.sleep(0.1)
            if not self.hung and now() - self.renewed > self.region.lease_s:
                for key, piece in self.pieces.items():
                    if piece["etat"] in ("running", "saving"):
                        self.region.off_machine(key, self, "lease over")
                    if piece.get("timer"):
                        piece["timer"].cancel()
                self.pieces = {}
                self.veille += 1
                self.renewed = now()
                self.region.record(f"{self.uid}: session {self.veille}")
                self.changed.set()

    def execute(self, commands, origin):
        for command in commands:
            key = (command["piece"], command["essai"])
            if command["consigne"] == "launch":
                if key not in self.pieces:
                    self.launch(key, origin)
                    self.changed.set()
            elif command["consigne"] == "kill":
                piece = self.pieces.get(key)
                if piece and piece["etat"] != "exited":
                    self.stop(key, piece, command.get("delaiArretS", 0))
            elif command["consigne"] == "reap":
                piece = self.pieces.get(key)
                if piece and piece["etat"] == "exited":
                    del self.pieces[key]

    def launch(self, key, origin):
        name = key[0]
        job = self.region.jobs.get(name.split("/")[0])
        piece = {"etat": "fetching"}
        if job is None or int(name.split("/")[1]) >= job["pieces"]:
            self.pieces[key] = {"etat": "exited", "motif": "no_such"}
            return
        if any(k[0] == name and p["etat"] != "exited" for k, p in self.pieces.items()):
            self.pieces[key] = {"etat": "exited", "motif": "busy"}
            return
        used_c = used_r = 0.0
        for k, p in self.pieces.items():
            if p["etat"] != "exited":
                other = self.region.jobs[k[0].split("/")[0]]
                used_c, used_r = used_c + other["cores"], used_r + other["ramGb"]
        size = self.region.types[self.kind]
        if used_c + job["cores"] > size["cores"] + 1e-6 or used_r + job["ramGb"] > size["ramGb"] + 1e-6:
            self.pieces[key] = {"etat": "exited", "motif": "full"}
            return
        self.pieces[key] = piece
        self.region.record(f"{self.uid}: launch {name} attempt {key[1]} by {origin}")
        fetch = 0.05 if job["gabarit"] in self.images else job["pullGb"] / size["fetchGbPerS"]
        piece["timer"] = asyncio.get_running_loop().call_later(fetch, self.begin, key, job)

    def begin(self, key, job):
        piece = self.pieces.get(key)
        if self.dead or piece is None or piece["etat"] != "fetching":
            return
        if self.hung:
            piece["timer"] = asyncio.get_running_loop().call_later(0.1, self.begin, key, job)
            return
        self.images.add(job["gabarit"])
        piece["etat"] = "running"
        self.region.on_machine(key, self)
        self.changed.set()
        if job["genre"] != "service" or key[0] in self.region.finished:
            run = 0.0 if key[0] in self.region.finished else self.region.run_s(job, key[0])
            piece["timer"] = asyncio.get_running_loop().call_later(run, self.finish, key)

    def finish(self, key):
        piece = self.pieces.get(key)
        if self.dead or piece is None or piece["etat"] != "running":
            return
        if self.hung:
            piece["timer"] = asyncio.get_running_loop().call_later(0.1, self.finish, key)
            return
        piece.update(etat="exited", motif="done")
        self.region.finished.add(key[0])
        self.region.off_machine(key, self, "done")
        self.changed.set()

    def stop(self, key, piece, grace):
        if piece.get("timer"):
            piece["timer"].cancel()
        was = piece["etat"]
        piece.update(etat="exited", motif="halted")
        if was in ("running", "saving"):
            self.region.off_machine(key, self, "killed")
        self.changed.set()


# ---- the cloud ----

class Cloud:
    def __init__(self, region, rps, list_lag_s, capacity, boot_s):
        self.region, self.list_lag_s, self.capacity, self.boot_s = region, list_lag_s, capacity, boot_s
        self.calls = Bucket(rps, 2.0)
        self.machines, self.requests, self.number = {}, {}, 0
        self.answers = True

    async def listen(self, node):
        return (await serve(lambda *a: self.handle(node, *a)))[1]

    def create(self, kind, site, spot, up_in):
        self.number += 1
        uid = f"vm-{self.number:06d}"
        self.machines[uid] = {"kind": kind, "site": site, "spot": spot, "born": now(), "up": now() + up_in,
                              "worker": None, "gone": None, "died": None}
        asyncio.create_task(self.boot(uid, up_in))
        return uid

    async def boot(self, uid, up_in):
        await asyncio.sleep(up_in)
        machine = self.machines[uid]
        if machine["gone"] is None:
            machine["worker"] = Worker(self.region, uid, machine["kind"], machine["site"], machine["spot"])
            await machine["worker"].start()
            self.region.workers[uid] = machine["worker"]

    def die(self, uid):
        """The machine stops on its own; it appears as running for some 30 s, then as failed."""
        self.region.record(f"{uid}: machine stops")
        self.machines[uid]["died"] = now()
        self.machines[uid]["worker"].die()

    def take(self, uid):
        """The cloud takes a spot machine back without notice."""
        self.region.record(f"{uid}: taken back")
        self.remove(uid)

    def remove(self, uid):
        machine = self.machines.get(uid)
        if machine and machine["gone"] is None:
            machine["gone"] = now()
            self.region.workers.pop(uid, None)
            if machine["worker"]:
                machine["worker"].die()
                machine["worker"].server.close()

    async def handle(self, node, method, path, query, body):
        await asyncio.sleep(random.uniform(0.1, 0.25))
        if not self.answers:
            return 503, {"error": "trouble"}
        if not self.calls.take(1):
            return 429, {"error": "too many requests"}
        if path == "/machine_types":
            return 200, {"gabaritsMachine": list(self.region.types.values())}
        if path == "/machines/delete":
            names = json.loads(body)["ruches"]
            self.region.record(f"cloud: {node} deletes {names}")
            for uid in names:
                self.remove(uid)
            return 200, {}
        if method == "POST":
            return self.rent(node, json.loads(body))
        start, page, seen = query.get("from", ""), int(query.get("page", 500)), now() - self.list_lag_s
        listed = []
        for uid in sorted(self.machines):
            m = self.machines[uid]
            if uid <= start or m["born"] > seen or (m["gone"] is not None and m["gone"] <= seen):
                continue
            state = "running" if m["up"] <= seen else "starting"
            if m["died"] is not None and m["died"] + 30 <= now():
                state = "failed"
            entry = {"uid": uid, "gabaritMachine": m["kind"], "site": m["site"], "pretees": m["spot"], "etat": state,
                     "ageS": round(seen - m["born"], 1)}
            if m["worker"]:
                entry["endpoint"] = m["worker"].endpoint
            listed.append(entry)
        return 200, {"ruches": listed[:page], "truncated": len(listed) > page}

    def rent(self, node, wanted):
        name = wanted["demandeLocation"]
        if name in self.requests:
            return 200, {"ruches": self.requests[name]}
        offer = (wanted["gabaritMachine"], wanted["site"])
        used = sum(1 for m in self.machines.values() if (m["kind"], m["site"]) == offer and m["gone"] is None
                   and m["died"] is None)
        count = min(wanted["count"], 50, self.capacity.get(offer, 0) - used)
        if count <= 0:
            return 503, {"error": "no capacity"}
        boot = self.boot_s.get(offer[0], 2.0)
        names = [self.create(*offer, wanted["pretees"], boot * random.uniform(0.6, 1.5)) for _ in range(count)]
        self.requests[name] = names
        self.region.record(f"cloud: {node} rents {offer} spot={wanted['pretees']} by {name}: {names}")
        return 200, {"ruches": names}


# ---- controllers ----

class Node:
    def __init__(self, region, name, zone):
        self.region, self.name, self.zone = region, name, zone
        self.port, self.mesh = free_port(), free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.process = None

    def start(self):
        with open(os.path.join(ROOT, "deploy", "service.toml")) as file:
            run = next(line.split("=", 1)[1].strip().strip('"') for line in file if line.startswith("run"))
        log = open(os.path.join(self.region.folder, f"{self.name}.log"), "a")
        self.process = subprocess.Popen(shlex.split(run) + [self.settings], cwd=ROOT, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log, env={**os.environ, "LOG_LEVEL": self.region.log_level})
        log.close()
        self.region.record(f"{self.name}: started, pid {self.process.pid}")

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.region.record(f"{self.name}: killed")

    def freeze(self):
        self.process.send_signal(signal.SIGSTOP)
        self.region.record(f"{self.name}: stopped (SIGSTOP)")

    def thaw(self):
        self.process.send_signal(signal.SIGCONT)
        self.region.record(f"{self.name}: continued (SIGCONT)")


USED_PORTS = set()


def free_port():
    """A free port below those that the system gives to connections and to listeners without a port of their own."""
    while True:
        port = random.randrange(15000, 32000)
        if port in USED_PORTS:
            continue
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        USED_PORTS.add(port)
        return port


class Region:
    """The whole region. `site` holds the numbers of a deployment, as its site file gives them."""

    def __init__(self, site, record, log_level="info"):
        self.site, self.record, self.log_level = site, record, log_level
        self.folder = tempfile.mkdtemp(prefix="cleatfold-review-")
        self.types = {t["name"]: t for t in site["types"]}
        w = site["workers"]
        self.report_s, self.lease_s, self.cancel_s = w["report_s"], w["lease_s"], w["cancel_s"]
        self.jobs, self.finished, self.workers, self.here = {}, set(), {}, {}
        self.violations, self.starts, self.losses = [], [], []
        self.run_times = {}
        self.report_filter = self.answer_filter = None
        s = site["state"]
        self.store = Store(record, s["rps"], s["write_rps"], s["value_kb"], s["txn_ops"], s.get("latency_s", 0.004))
        self.cloud = Cloud(self, site["cloud"]["rps"], site["cloud"]["list_lag_s"], site["capacity"], site["boot_s"])
        zones = site["zones"]
        self.nodes = [Node(self, f"ruche-{i}", zones[i % len(zones)]) for i in range(site["nodes"])]
        self.told = {}

    async def start(self):
        self.background = [asyncio.create_task(self.store.run())]
        for node in self.nodes:
            state, cloud = await self.store.listen(node.name), await self.cloud.listen(node.name)
            node.settings = os.path.join(self.folder, f"{node.name}.toml")
            with open(node.settings, "w") as file:
                file.write(self.settings_of(node, state, cloud))
        for kind, site, spot, count in self.site["machines"]:
            for _ in range(count):
                self.cloud.create(kind, site, spot, 0.0)
        await asyncio.sleep(0.5)
        for machine in self.cloud.machines.values():
            machine["born"] -= 60.0
            machine["up"] -= 60.0
        for node in self.nodes:
            node.start()

    def settings_of(self, node, state, cloud):
        site, lines = self.site, []
        lines += [f'host_name = "{node.name}"', f'area = "{node.zone}"', f'serve_on = "{node.address}"',
                  f'mesh_addr = "127.0.0.1:{node.mesh}"']
        for other in self.nodes:
            if other is not node:
                lines += ["[[members]]", f'host_name = "{other.name}"', f'area = "{other.zone}"',
                          f'endpoint = "127.0.0.1:{other.mesh}"']
        lines += ["[endpoints]", f'cloud = "127.0.0.1:{cloud}"', f'state = "127.0.0.1:{state}"', "[cluster]",
                  f"nodes = {len(self.nodes)}", f"zones = {json.dumps(sorted(site['zones']))}", "clock_off_ms = 25.0"]
        for name, cpus, most in site["teams"]:
            lines += ["[[cluster.teams]]", f'name = "{name}"', f"cpus = {cpus:.1f}", f"cpus_max = {most:.1f}",
                      "gpus = 0.0", "gpus_max = 0.0"]
        for aim in site.get("objectives", []):
            lines += ["[[cluster.objectives]]"] + [f"{k} = {json.dumps(v)}" for k, v in aim.items()]
        w, s = site["workers"], site["state"]
        lines += ["[cluster.workers]", f"report_s = {w['report_s']}", f"lease_s = {w['lease_s']}",
                  "gang_wait_s = 35.0", "gang_peer_s = 6.0", f"cancel_s = {w['cancel_s']}",
                  "[cluster.state]", f"rps = {s['rps']:.1f}", f"write_rps = {s['write_rps']:.1f}",
                  f"value_kb = {s['value_kb']:.1f}", f"txn_ops = {s['txn_ops']}",
                  "[cluster.cloud]", f"rps = {site['cloud']['rps']:.1f}",
                  f"list_lag_s = {site['cloud']['list_lag_s']:.1f}",
                  "[cluster.limits]", f"cores = {site['cores']}", f"ram_mb = {site['ram_mb']:.1f}",
                  f"max_sockets = {site['max_sockets']}"]
        return "\n".join(lines) + "\n"

    def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    # -- what runs where

    def run_s(self, job, piece):
        return self.run_times.get(job["uid"], job["dureePrevueS"])

    def on_machine(self, key, worker):
        piece = key[0]
        self.starts.append((now(), piece, key[1], worker.uid))
        self.record(f"{worker.uid}: runs {piece} attempt {key[1]}")
        other = self.here.get(piece)
        if other is not None and other is not worker:
            self.violate("ran_twice", f"{piece} starts on {worker.uid} while it is on {other.uid}")
        self.here[piece] = worker
        job = piece.split("/")[0]
        told = self.told.get(job)
        if told and told[0] == "aborted" and now() > told[1] + self.cancel_s:
            self.violate("ran_cancelled", f"{piece} starts {now() - told[1]:.1f} s after its cancellation")

    def off_machine(self, key, worker, why):
        self.record(f"{worker.uid}: ends {key[0]} attempt {key[1]}: {why}")
        if why in ("machine stopped", "lease over"):
            self.losses.append((now(), key[0], key[1], worker.uid, why))
        if self.here.get(key[0]) is worker:
            del self.here[key[0]]

    def running(self, job):
        return sum(1 for piece in self.here if piece.startswith(job + "/"))

    def violate(self, rule, what):
        self.violations.append((rule, what))
        self.record(f"RULE {rule}: {what}")

    # -- users

    def job(self, uid, **fields):
        job = {"uid": uid, "lot": "rendu", "equipe": self.site["teams"][0][0], "genre": "batch", "urgence": "normal",
               "pieces": 1, "cores": 1.0, "cards": 0.0, "ramGb": 1.0, "gabarit": "img-01", "pullGb": 0.1,
               "gabaritsMachine": None, "site": None, "oneZone": False, "spread": False, "pretees": True,
               "dureePrevueS": 20.0, "intervalleSauvegardeS": 0.0, "dureeSauvegardeS": 0.0, "echeanceS": None}
        job.update(fields)
        return job

    async def ask(self, method, path, body=None, node=None, timeout=5.0):
        """One request of a user; the load balancer tries up to three nodes whose connection fails."""
        nodes = [node] if node else random.sample(self.nodes, min(3, len(self.nodes)))
        for chosen in nodes:
            client = Client(chosen.address)
            try:
                status, answer = await client.call(method, path, body, timeout, 0.5)
            except (ConnectionRefusedError,) as error:
                self.record(f"user: {method} {path} at {chosen.name}: {type(error).__name__}")
                continue
            except (OSError, asyncio.TimeoutError) as error:
                self.record(f"user: {method} {path} at {chosen.name}: {type(error).__name__}")
                return 0, None
            finally:
                client.close()
            self.record(f"user: {method} {path} at {chosen.name}: {status} {dumps(answer)[:300]}")
            return status, answer
        return 0, None

    async def repeat(self, method, path, body=None, done=(200, 201), total_s=60.0, node=None):
        """Repeats a request as users do, for up to 60 s in total; returns the last answer."""
        until = now() + total_s
        while True:
            status, answer = await self.ask(method, path, body, node)
            if status in done or status in (400, 422) or now() > until:
                return status, answer
            await asyncio.sleep(1.0)

    async def submit(self, job, node=None):
        self.jobs[job["uid"]] = job
        return await self.repeat("POST", "/v1/jobs", job, node=node)

    async def poll(self, uid, node=None):
        return await self.ask("GET", f"/v1/jobs/{uid}", node=node, timeout=2.0)

    async def withdraw(self, uid, total_s=60.0, node=None):
        status, answer = await self.repeat("POST", f"/v1/jobs/{uid}/withdraw", {}, total_s=total_s, node=node)
        if status == 200 and uid not in self.told:
            self.told[uid] = (answer["etat"], now())
        return status, answer

    async def wait(self, what, condition, limit_s):
        """Waits until the condition holds; raises NotReady if it does not in time."""
        until = now() + limit_s
        while not condition():
            if now() > until:
                raise NotReady(what)
            await asyncio.sleep(0.1)

    async def ready(self, limit_s=20.0):
        until = now() + limit_s
        for node in self.nodes:
            while True:
                status, _ = await self.ask("GET", "/ready", node=node, timeout=1.0)
                if status == 200:
                    break
                if now() > until:
                    raise NotReady(f"{node.name} does not become ready")
                await asyncio.sleep(0.3)


class NotReady(Exception):
    """The case could not run."""


def main(site, scenario, folder, log_level="info"):
    """Runs a scenario; exits with 1 if a rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")
    region = Region(site, record, log_level)

    async def run():
        await region.start()
        return await asyncio.wait_for(scenario(region, trouble), 116.0 - now())

    code = 2
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(2))
    try:
        code = asyncio.new_event_loop().run_until_complete(run())
    except NotReady as error:
        record(f"could not run: {error}")
        print(f"could not run: {error}")
    except asyncio.TimeoutError:
        record("could not run: out of time")
        print("could not run: out of time")
    except Exception:
        record("could not run:\n" + traceback.format_exc())
        traceback.print_exc()
    finally:
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(region.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        region.stop()
        record(f"exit {code}")
        print(f"exit {code}: " + {0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
