"""Stand-ins for the platform of coralhitch, and the start of its controllers.

State service, cloud, workers and users as PROTOCOL-coralhitch.md describes them, on loopback addresses and the
real clock. All of them live in the process of the case that imports this file; only the controllers are
processes of their own. Standard library only.
"""
import asyncio
import bisect
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
MESSAGE_LIMIT = 64 * 1024  # bytes of a request's body, and of a line in a response
HELD = object()  # a handler returns this for a request that gets no answer


def end_with_parent():
    """In a new process: it is killed when the process that started it ends, however that ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


HANDED_OUT = set()


def free_ports(count):
    """Returns free ports below those that the system gives to outgoing connections, which could take a controller's port
    while it is restarted. None is returned twice. Scripts that run at the same time begin at different ports."""
    with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
        below = int(file.read().split()[0])
    first, end = 10240, below if below > 12000 else 32768
    begin, ports = os.getpid() * 61 % (end - first), []
    for k in range(end - first):
        port = first + (begin + k) % (end - first)
        if port in HANDED_OUT:
            continue
        with socket.socket() as s:
            try:
                s.bind((HOST, port))
            except OSError:
                continue
        HANDED_OUT.add(port)
        ports.append(port)
        if len(ports) == count:
            break
    return ports


class Record:
    """What was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


# --- HTTP -------------------------------------------------------------------------------------------------

async def read_message(reader):
    """Returns the first line, the headers and the body, or None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class HttpServer:
    """Calls `handler(method, target, body)`, which returns (status, object) or HELD, or awaits before that."""

    def __init__(self, handler):
        self.handler = handler
        self.connections = set()

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, HOST, port, backlog=1024)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = self.handler(method, target, body)
                if asyncio.iscoroutine(answer):
                    answer = await answer
                if answer is HELD:
                    await reader.read()  # until the peer closes the connection
                    return
                status, content = answer
                data = json.dumps(content, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def close(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


async def request(port, method, target, body=None, timeout=5.0, on_long_line=None):
    """Sends one request on a connection of its own. Returns (status, object), or None without an answer. With
    `on_long_line`, a response with a line above 64 KiB is passed to it and dropped."""
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(HOST, port)
            data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
            writer.write(("%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
                          "Connection: close\r\n\r\n" % (method, target, len(data))).encode() + data)
            line, _, content = await read_message(reader)
            longest = max(map(len, content.split(b"\n")))
            if on_long_line and longest > MESSAGE_LIMIT:
                on_long_line(longest)
                return 0, {}
            try:
                parsed = json.loads(content) if content else {}
            except ValueError:
                parsed = {}
            return int(line.split(" ")[1]), parsed
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer:
            writer.transport.abort()


class Proxy:
    """Passes bytes on to a port. While `cut`, bytes are kept, and new connections are accepted but go nowhere."""

    def __init__(self, to_port):
        self.to_port = to_port
        self.open = asyncio.Event()
        self.open.set()

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, HOST, port, backlog=256)

    async def serve(self, reader, writer):
        other_writer = None
        try:
            await self.open.wait()
            other_reader, other_writer = await asyncio.open_connection(HOST, self.to_port)
            await asyncio.wait([asyncio.ensure_future(self.pump(reader, other_writer)),
                                asyncio.ensure_future(self.pump(other_reader, writer))],
                               return_when=asyncio.FIRST_COMPLETED)
        except OSError:
            pass
        finally:
            for each in (writer, other_writer):
                if each:
                    each.transport.abort()

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    return
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            return


# --- State service ------------------------------------------------------------------------------------------

class StateService:
    """The key-value store. Each controller has a port of its own, so that one can be cut off or refused."""

    KEPT_CHANGES = 10000

    def __init__(self, fronts, rps, write_rps, value_kb, txn_ops):
        self.value_kb, self.txn_ops = value_kb, txn_ops
        self.rps, self.write_rps = rps, write_rps
        self.request_tokens, self.write_tokens = rps, write_rps
        self.refilled = time.monotonic()
        self.items, self.leases, self.changes = {}, {}, []
        self.epoch, self.next_lease = 0, 1
        self.down_until = 0.0
        self.cut_fronts, self.refused_fronts = set(), set()
        self.changed = asyncio.Event()
        self.latency = lambda method, target: 0.002
        self.fronts = [HttpServer(lambda m, t, b, k=k: self.handle(k, m, t, b)) for k in range(fronts)]
        self.on_change = lambda key, value: None

    async def start(self, ports):
        for server, port in zip(self.fronts, ports):
            await server.start(port)
        self.ticker = asyncio.ensure_future(self.tick())

    def down(self):
        return time.monotonic() < self.down_until

    def begin_outage(self, seconds):
        self.down_until = time.monotonic() + seconds
        for lease in self.leases.values():
            lease["until"] = self.down_until + lease["ttl"]

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            if self.down():
                continue
            now = time.monotonic()
            for number in [n for n, lease in self.leases.items() if lease["until"] <= now]:
                self.end_lease(number)

    def end_lease(self, number):
        del self.leases[number]
        keys = [k for k, item in self.items.items() if item["mooring"] == number]
        if keys:
            self.epoch += 1
            for key in keys:
                self.apply({"drop": key})
            self.announce()

    def announce(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def apply(self, change):
        if "put" in change:
            key = change["put"]
            self.items[key] = {"value": change["value"], "stamp": self.epoch,
                               "mooring": change.get("mooring") or 0}
            self.changes.append((self.epoch, key, {"put": key, "value": change["value"], "stamp": self.epoch}))
        else:
            key = change["drop"]
            if self.items.pop(key, None) is None:
                return
            self.changes.append((self.epoch, key, {"drop": key, "stamp": self.epoch}))
        self.on_change(key, change.get("value"))
        if len(self.changes) > self.KEPT_CHANGES + 1000:
            self.changes = self.changes[-self.KEPT_CHANGES:]

    def refill(self):
        now = time.monotonic()
        passed, self.refilled = now - self.refilled, now
        self.request_tokens = min(self.rps, self.request_tokens + passed * self.rps)
        self.write_tokens = min(self.write_rps, self.write_tokens + passed * self.write_rps)

    async def handle(self, front, method, target, body):
        delay = self.latency(method, target)
        if delay:
            await asyncio.sleep(delay)
        if front in self.cut_fronts:
            return HELD
        answer = await self.answer(front, method, target, body)
        return HELD if front in self.cut_fronts else answer

    async def answer(self, front, method, target, body):
        if self.down() or front in self.refused_fronts:
            return 503, {"error": "down"}
        self.refill()
        if self.request_tokens < 1:
            return 429, {}
        self.request_tokens -= 1
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path.startswith("/kv/"):
            key = url.path[4:]
            item = self.items.get(key)
            return (200, {"path": key, **item}) if item else (404, {"epoch": self.epoch})
        if url.path == "/kv":
            return self.list(query)
        if url.path == "/watch":
            return await self.watch(front, query)
        if url.path == "/txn":
            return self.transaction(json.loads(body), len(body))
        if url.path == "/holds":
            number, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = json.loads(body)["ttl_ms"] / 1000
            if not 0.1 <= ttl <= 600:
                return 400, {"error": "ttl_ms"}
            self.leases[number] = {"ttl": ttl, "until": time.monotonic() + ttl}
            return 200, {"mooring": number}
        number = int(url.path.split("/")[2])
        if number not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(number)
            return 200, {}
        self.leases[number]["until"] = time.monotonic() + self.leases[number]["ttl"]
        return 200, {"mooring": number}

    def list(self, query):
        prefix, since = query.get("starts", ""), query.get("since", "")
        limit = min(1000, int(query.get("limit", "1000")))
        entries, size, more = [], 0, False
        for key in sorted(k for k in self.items if k.startswith(prefix) and k > since):
            entry = {"path": key, "value": self.items[key]["value"], "stamp": self.items[key]["stamp"]}
            size += len(json.dumps(entry))
            if len(entries) >= limit or (entries and size > 500 * 1024):
                more = True
                break
            entries.append(entry)
        return 200, {"entries": entries, "more": more, "epoch": self.epoch}

    async def watch(self, front, query):
        prefix, since = query.get("starts", ""), int(query.get("since", "0"))
        until = time.monotonic() + min(60.0, int(query.get("hold_ms", "0")) / 1000)
        if self.changes and since < self.changes[0][0] - 1 and len(self.changes) >= self.KEPT_CHANGES:
            return 410, {}
        while True:
            blocked = self.down() or front in self.refused_fronts
            if not blocked:
                first = bisect.bisect_right(self.changes, since, key=lambda change: change[0])
                news = [c for _, k, c in self.changes[first:] if k.startswith(prefix)]
                if news or time.monotonic() >= until:
                    return 200, {"epoch": self.epoch, "news": news}
            wait = 0.1 if blocked else max(0.001, until - time.monotonic())
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass

    def transaction(self, txn, size):
        conditions, changes = txn.get("if", []), txn.get("then", [])
        too_large = (size > 65536 or len(changes) > self.txn_ops or len(conditions) > 4 * self.txn_ops or any(
            len(json.dumps(c["value"], separators=(",", ":"))) > self.value_kb * 1024 for c in changes if "put" in c))
        if too_large:
            return 400, {"error": "too large"}
        if changes and self.write_tokens < len(changes):
            return 429, {}
        self.write_tokens -= len(changes)
        if any(c.get("mooring") and c["mooring"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        failed = [c["path"] for c in conditions if self.items.get(c["path"], {"stamp": 0})["stamp"] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if changes:
            self.epoch += 1
            for change in changes:
                self.apply(change)
            self.announce()
        return 200, {"epoch": self.epoch}

    def leader(self):
        """Returns label and version of the leader's key, or None."""
        item = self.items.get("leader")
        return (item["value"]["label"], item["stamp"]) if item else None


# --- Cloud --------------------------------------------------------------------------------------------------

class Cloud:
    """Rents, lists and deletes machines. Lists lag as the settings say. A machine is a Worker."""

    def __init__(self, cluster, types, lag_s, capacity):
        self.cluster, self.types, self.lag_s, self.capacity = cluster, types, lag_s, capacity
        self.rented, self.history, self.count = {}, [], 0
        self.cut_fronts = set()
        self.down = False
        self.latency_s = 0.1  # as in the site files of this deployment
        self.boot_s = lambda: 1.0
        self.fronts = [HttpServer(lambda m, t, b, k=k: self.handle(k, m, t, b)) for k in range(cluster.nodes)]

    async def start(self, ports):
        for server, port in zip(self.fronts, ports):
            await server.start(port)

    async def handle(self, front, method, target, body):
        await asyncio.sleep(self.latency_s)
        if front in self.cut_fronts:
            return HELD
        if self.down:
            return 503, {"error": "trouble"}
        url = urllib.parse.urlsplit(target)
        if url.path == "/flavors":
            return 200, {"hulls": self.types}
        if url.path == "/hosts/delete":
            names = json.loads(body)["berths"]
            self.cluster.record("cloud: node %d deletes %s" % (front, names))
            for name in names:
                worker = self.cluster.workers.get(name)
                if worker and not worker.gone:
                    worker.end("deleted")
            return 200, {}
        if method == "POST":
            return self.rent(front, json.loads(body))
        query = dict(urllib.parse.parse_qsl(url.query))
        now = time.monotonic()
        hosts = [w.host() for w in self.cluster.workers.values()
                 if w.created + self.lag_s <= now and (not w.gone or w.gone_at + self.lag_s > now)]
        hosts = sorted((h for h in hosts if h["id"] > query.get("since", "")), key=lambda h: h["id"])
        limit = int(query.get("limit", "500"))
        return 200, {"berths": hosts[:limit], "more": len(hosts) > limit}

    def rent(self, front, order):
        name = order["charter"]
        if name not in self.rented:
            alive = sum(1 for w in self.cluster.workers.values() if not w.gone and w.reef == order["reef"]
                        and w.driftwood == order["driftwood"])
            room = self.capacity.get((order["reef"], order["driftwood"]), 0) - alive
            if room <= 0:
                return 503, {"error": "no capacity"}
            self.rented[name] = [self.cluster.add_worker(order["hull"], order["reef"], order["driftwood"],
                                                         self.boot_s()).berth
                                 for _ in range(min(room, order["how_many"]))]
            self.cluster.record("cloud: node %d rents %s: %s" % (front, order, self.rented[name]))
        return 200, {"berths": self.rented[name]}


# --- Workers ------------------------------------------------------------------------------------------------

class Worker:
    """One machine with its worker. `reaches(node)` says whether it can connect to a controller now, and
    `hears(helm)` whether a direct command under this token arrives."""

    def __init__(self, cluster, berth, hull, reef, driftwood, boot_s):
        self.cluster, self.berth, self.hull, self.reef, self.driftwood = cluster, berth, hull, reef, driftwood
        self.created = time.monotonic()
        self.up_at = self.created + boot_s
        self.port = free_ports(1)[0]
        self.gone, self.gone_at, self.failed = False, 0.0, False
        self.watch, self.tally, self.helm = 1, 0, 0
        self.tasks = {}  # (shard, launch) -> state
        self.images = set()
        self.node = random.randrange(cluster.nodes)
        self.warning_at = None
        self.direct = []  # what came to /do, so that a case can deliver a copy again
        self.hung_until = 0.0
        self.reaches = lambda node: True
        self.hears = lambda helm: True
        self.changed = asyncio.Event()
        self.helm_reported = 0.0
        self.jobs = []
        self.start_task = asyncio.ensure_future(self.run())

    def host(self):
        status = "failed" if self.failed else "running" if time.monotonic() >= self.up_at else "booting"
        return {"id": self.berth, "addr": "%s:%d" % (HOST, self.port), "hull": self.hull, "reef": self.reef,
                "driftwood": self.driftwood, "status": status, "age_s": time.monotonic() - self.created}

    async def run(self):
        await asyncio.sleep(max(0.0, self.up_at - time.monotonic()))
        self.answered_at = time.monotonic()
        self.server = HttpServer(self.handle)
        await self.server.start(self.port)
        self.cluster.record("%s up in %s" % (self.berth, self.reef))
        self.jobs = [asyncio.ensure_future(self.report_forever()), asyncio.ensure_future(self.watch_lease())]

    def end(self, why):
        """The machine and all that is on it are gone."""
        self.gone, self.gone_at = True, time.monotonic()
        self.start_task.cancel()
        for job in self.jobs:
            job.cancel()
        if hasattr(self, "server"):
            self.server.close()
        self.drop_tasks(why)
        self.cluster.record("%s gone: %s" % (self.berth, why))

    def come_back(self):
        """The machine stopped and is back at once, under its name and address: its worker begins anew."""
        self.cluster.record("%s stops and is back" % self.berth)
        self.drop_tasks("the machine stopped")
        self.watch, self.tally, self.helm, self.helm_reported = 1, 0, 0, 0.0
        self.images.clear()
        self.answered_at = time.monotonic()
        for job in self.jobs:
            job.cancel()
        self.jobs = [asyncio.ensure_future(self.report_forever()), asyncio.ensure_future(self.watch_lease())]

    def drop_tasks(self, why):
        for (shard, launch), task in list(self.tasks.items()):
            if task["status"] != "exited":
                self.left(shard, launch, task, why)
        self.tasks.clear()

    def left(self, shard, launch, task, why):
        if task["on"]:
            self.cluster.task_left(self, shard, launch, why)
        task["on"] = False

    async def watch_lease(self):
        lease_s = self.cluster.workers_settings["lease_s"]
        while True:
            await asyncio.sleep(max(0.005, self.answered_at + lease_s - time.monotonic()))
            self.check_lease()

    def check_lease(self):
        if time.monotonic() - self.answered_at <= self.cluster.workers_settings["lease_s"]:
            return
        self.cluster.record("%s lease over, session %d begins" % (self.berth, self.watch + 1))
        self.drop_tasks("lease")
        self.watch += 1
        self.answered_at = time.monotonic()
        self.changed.set()

    def report(self):
        self.tally += 1
        shards = []
        for (shard, launch), task in self.tasks.items():
            row = {"shard": shard, "launch": launch, "status": task["status"]}
            if task["status"] == "exited":
                row["cause"] = task["cause"]
                if task.get("saved"):
                    row["saved"] = True
            shards.append(row)
        warning = None if self.warning_at is None else max(0.0, self.warning_at - time.monotonic())
        return {"berth": self.berth, "addr": "%s:%d" % (HOST, self.port), "hull": self.hull, "reef": self.reef,
                "driftwood": self.driftwood, "watch": self.watch, "tally": self.tally, "helm": self.helm,
                "warning_s": warning, "shards": shards}

    async def report_forever(self):
        report_s = self.cluster.workers_settings["report_s"]
        while True:
            await self.hang()
            self.check_lease()
            self.changed.clear()
            sent, watch = time.monotonic(), self.watch
            body = self.report()
            self.cluster.record("%s reports to %s: session %d, tally %d, helm %d, %s" % (
                self.berth, self.cluster.labels[self.node], self.watch, self.tally, self.helm,
                ["%s %s" % (row["shard"], row["status"]) for row in body["shards"][:3]]))
            if self.reaches(self.node):
                answer = await request(self.cluster.public_ports[self.node], "POST", "/hello", body, 4.0,
                                       lambda size: self.cluster.too_long(self, "a line of a response", size))
            else:
                await asyncio.sleep(4.0)
                answer = None
            self.cluster.record("%s gets %s" % (self.berth, answer[0] if answer else "no answer"))
            await self.hang()
            self.check_lease()
            if answer and not self.reaches(self.node):
                answer = None
            if answer and answer[0] == 200:
                orders = answer[1]
                if watch == self.watch and isinstance(orders.get("helm"), int) and orders["helm"] >= self.helm:
                    self.answered_at = max(self.answered_at, sent)
                    self.saw(orders["helm"])
                    self.execute(orders.get("orders", []))
                wait = sent + report_s * random.uniform(0.75, 1.25) - time.monotonic()
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.0, wait))
                    await asyncio.sleep(max(0.0, sent + 0.5 - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
                continue
            harbor = answer[1].get("harbor") if answer and answer[0] == 421 else None
            other = self.cluster.labels.index(harbor) if harbor in self.cluster.labels else None
            if other is not None and other != self.node:
                self.node = other
                await asyncio.sleep(random.uniform(0, 0.5))
            else:
                self.node = (self.node + 1) % self.cluster.nodes
                await asyncio.sleep(1.0)

    async def hang(self):
        while time.monotonic() < self.hung_until:
            await asyncio.sleep(max(0.01, self.hung_until - time.monotonic()))

    def saw(self, helm):
        if helm <= self.helm:
            return
        self.helm = helm
        if time.monotonic() - self.helm_reported > self.cluster.workers_settings["lease_s"] / 2:
            self.helm_reported = time.monotonic()
            self.changed.set()

    async def handle(self, method, target, body):
        await self.hang()
        self.check_lease()
        if target == "/inspect":
            return 200, self.report()
        if len(body) > MESSAGE_LIMIT:
            self.cluster.too_long(self, "the body of a request", len(body))
            return 413, {}
        orders = json.loads(body)
        self.direct.append(orders)
        if not self.hears(orders.get("helm")):
            return HELD
        if "helm" not in orders or "watch" not in orders:
            return 400, {}
        if orders["helm"] < self.helm or orders["watch"] != self.watch:
            return 409, self.report()
        self.saw(orders["helm"])
        self.execute(orders["orders"])
        return 200, self.report()

    def execute(self, orders):
        for order in orders:
            key = (order["shard"], order["launch"])
            if order["verb"] == "run" and key not in self.tasks:
                self.start(*key)
            elif order["verb"] == "kill" and key in self.tasks:
                self.kill(key, order.get("slack_s", 0))
            elif order["verb"] == "clear" and self.tasks.get(key, {}).get("status") == "exited":
                del self.tasks[key]

    def start(self, shard, launch):
        self.changed.set()
        task = self.tasks[(shard, launch)] = {"status": "fetching", "cause": None, "on": False}
        self.cluster.record("%s run %s launch %d" % (self.berth, shard, launch))
        job = self.cluster.jobs.get(shard.split("/")[0])
        if job is None:
            return self.exit(shard, launch, "unknown")
        if any(s == shard and l != launch and t["status"] != "exited" for (s, l), t in self.tasks.items()):
            return self.exit(shard, launch, "busy")
        hull = next(h for h in self.cluster.hulls if h["name"] == self.hull)
        for amount in ("vcpus", "cards", "ram_gb"):
            used = sum(self.cluster.jobs[s.split("/")[0]][amount] for (s, _), t in self.tasks.items()
                       if t["status"] != "exited")
            if used > hull[amount] + 1e-6:
                return self.exit(shard, launch, "no_room")
        fetch = 0.0 if job["payload"] in self.images else job["image_gb"] / hull["fetch_gb_per_s"]
        asyncio.get_running_loop().call_later(fetch, self.fetched, shard, launch, task)

    def fetched(self, shard, launch, task):
        if self.tasks.get((shard, launch)) is not task or task["status"] != "fetching" or self.gone:
            return
        if time.monotonic() < self.hung_until:
            return asyncio.get_running_loop().call_later(0.2, self.fetched, shard, launch, task)
        job = self.cluster.jobs[shard.split("/")[0]]
        self.images.add(job["payload"])
        task["on"] = True
        self.cluster.task_started(self, shard, launch)
        self.changed.set()
        if shard in self.cluster.done_tasks and job["shape"] == "batch":
            return self.exit(shard, launch, "done")
        if job["shape"] == "gang":
            task["status"] = "waiting"
            return self.cluster.gang_member_waits(shard, launch)
        self.run_task(shard, launch, task)

    def run_task(self, shard, launch, task):
        task["status"] = "running"
        self.changed.set()
        run_s = self.cluster.run_s(shard)
        if run_s is not None:
            asyncio.get_running_loop().call_later(run_s, self.complete, shard, launch, task)

    def complete(self, shard, launch, task):
        if self.tasks.get((shard, launch)) is not task or task["status"] != "running" or self.gone:
            return
        if time.monotonic() < self.hung_until:
            return asyncio.get_running_loop().call_later(0.2, self.complete, shard, launch, task)
        self.exit(shard, launch, "done")

    def kill(self, key, slack_s):
        task = self.tasks[key]
        if task["status"] == "exited":
            return
        job = self.cluster.jobs[key[0].split("/")[0]]
        if task["status"] == "running" and job["anchor_s"] > 0 and slack_s >= job["stow_s"]:
            task["status"] = "flushing"
            self.changed.set()
            asyncio.get_running_loop().call_later(job["stow_s"], self.saved, key, task)
        elif task["status"] != "flushing" or slack_s <= 0:
            self.exit(key[0], key[1], "halted")

    def saved(self, key, task):
        if self.tasks.get(key) is task and task["status"] == "flushing" and not self.gone:
            task["saved"] = True
            self.exit(key[0], key[1], "halted")

    def exit(self, shard, launch, cause):
        task = self.tasks[(shard, launch)]
        self.left(shard, launch, task, cause)
        task["status"], task["cause"] = "exited", cause
        if cause == "done":
            self.cluster.done_tasks.add(shard)
        self.changed.set()


# --- Controllers and users ----------------------------------------------------------------------------------

class Cluster:
    """Starts the controllers with the command of the deploy file, and holds what the stand-ins share."""

    def __init__(self, record, settings, hulls, capacity, run_s=lambda shard: 1.0):
        self.record, self.settings, self.hulls, self.run_s = record, settings, hulls, run_s
        self.nodes = len(settings["node_zones"])
        self.workers_settings = settings["workers"]
        self.labels = ["berth-%d" % k for k in range(self.nodes)]
        self.workers, self.jobs, self.done_tasks = {}, {}, set()
        self.on_machines = {}   # shard -> {berth: launch}, from the image's arrival to the exit
        self.starts = []        # (time, shard, launch, berth)
        self.long_messages = []  # (berth, what, bytes) of messages to workers above the limit
        self.broken = []        # what broke the rules that are checked as it happens
        self.processes = [None] * self.nodes
        self.operator = [None] * self.nodes  # operators' settings of each controller, as text
        self.folder = tempfile.mkdtemp(prefix="coralhitch-review-")
        ports = free_ports(self.nodes * 4 + self.nodes * self.nodes)
        take = lambda n: [ports.pop() for _ in range(n)]
        self.public_ports, self.peer_ports = take(self.nodes), take(self.nodes)
        self.state_ports, self.cloud_ports = take(self.nodes), take(self.nodes)
        self.proxy_ports = {(a, b): ports.pop() for a in range(self.nodes) for b in range(self.nodes) if a != b}
        s = settings["state"]
        self.state = StateService(self.nodes, s["rps"], s["write_rps"], s["value_kb"], s["txn_ops"])
        self.cloud = Cloud(self, hulls, settings["cloud"]["list_lag_s"], capacity)
        self.proxies = {pair: Proxy(self.peer_ports[pair[1]]) for pair in self.proxy_ports}
        with open(os.path.join(ROOT, "deploy", "service.toml")) as deploy:
            self.command = re.search(r'^run = "(.*)"', deploy.read(), re.M).group(1).split()

    async def start(self):
        await self.state.start(self.state_ports)
        await self.cloud.start(self.cloud_ports)
        for pair, port in self.proxy_ports.items():
            await self.proxies[pair].start(port)

    def add_worker(self, hull, reef, driftwood=False, boot_s=0.0):
        berth = "vm-%06d" % (len(self.workers) + 1)
        self.workers[berth] = Worker(self, berth, hull, reef, driftwood, boot_s)
        return self.workers[berth]

    def toml(self, node):
        def value(v):
            return json.dumps(v) if not isinstance(v, bool) else str(v).lower()
        s = self.settings
        lines = ["label = %s" % value(self.labels[node]), "domain = %s" % value(s["node_zones"][node]),
                 'public_addr = "%s:%d"' % (HOST, self.public_ports[node]),
                 'peer_listen = "%s:%d"' % (HOST, self.peer_ports[node])]
        for other in range(self.nodes):
            if other != node:
                lines += ["[[seeds]]", "label = %s" % value(self.labels[other]),
                          "domain = %s" % value(s["node_zones"][other]),
                          'peer_addr = "%s:%d"' % (HOST, self.proxy_ports[(node, other)])]
        lines += ["[endpoints]", 'cloud = "%s:%d"' % (HOST, self.cloud_ports[node]),
                  'state = "%s:%d"' % (HOST, self.state_ports[node]),
                  "[cluster]", "nodes = %d" % self.nodes, "zones = %s" % value(s["zones"]), "skew_ms = 25.0"]
        for team in s["teams"]:
            lines += ["[[cluster.teams]]"] + ["%s = %s" % (k, value(v)) for k, v in team.items()]
        for table in ("workers", "state", "cloud", "limits"):
            lines.append("[cluster.%s]" % table)
            lines += ["%s = %s" % (k, value(v)) for k, v in s[table].items() if not isinstance(v, dict)]
            for k, v in s[table].items():
                if isinstance(v, dict):
                    lines.append("[cluster.%s.%s]" % (table, k))
                    lines += ["%s = %s" % (a, value(b)) for a, b in v.items()]
        return "\n".join(lines) + "\n"

    async def boot(self, node):
        """Starts a controller, with the settings as they are now."""
        path = os.path.join(self.folder, self.labels[node] + ".toml")
        with open(path, "w") as file:
            file.write(self.toml(node))
        command = self.command + [path]
        if self.operator[node]:
            with open(path + ".op", "w") as file:
                file.write(self.operator[node])
            command += ["--operator", path + ".op"]
        log = open(os.path.join(self.folder, self.labels[node] + ".log"), "a")
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.processes[node] = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, env=environment,
            preexec_fn=end_with_parent)
        self.record("%s started, pid %d" % (self.labels[node], self.processes[node].pid))

    def signal(self, node, number):
        process = self.processes[node]
        if process and process.returncode is None:
            self.record("%s gets %s" % (self.labels[node], signal.Signals(number).name))
            process.send_signal(number)

    async def kill(self, node):
        process = self.processes[node]
        if process and process.returncode is None:
            self.signal(node, signal.SIGKILL)
            await process.wait()

    def ended_by_itself(self):
        return [self.labels[k] for k, p in enumerate(self.processes)
                if p and p.returncode is not None and p.returncode != -signal.SIGKILL]

    async def stop(self):
        for node in range(self.nodes):
            await self.kill(node)
        for worker in self.workers.values():
            if not worker.gone:
                worker.end("the case ends")
        if os.environ.get("KEEP") != "1":  # KEEP=1 keeps the controllers' settings and logs
            shutil.rmtree(self.folder, ignore_errors=True)

    async def healthy(self, node):
        answer = await request(self.public_ports[node], "GET", "/healthz", None, 1.0)
        return bool(answer and answer[0] == 200)

    async def wait_healthy(self, nodes=None, timeout=20.0):
        until = time.monotonic() + timeout
        for node in range(self.nodes) if nodes is None else nodes:
            while not await self.healthy(node):
                if time.monotonic() > until:
                    raise TimeoutError("%s is not healthy" % self.labels[node])
                await asyncio.sleep(0.2)

    async def wait_for(self, condition, timeout, what):
        until = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > until:
                raise TimeoutError(what)
            await asyncio.sleep(0.1)

    async def ask(self, node, method, target, body=None, timeout=5.0):
        answer = await request(self.public_ports[node], method, target, body, timeout)
        shown = (answer[0], answer[1]) if answer else "no answer"
        self.record("user -> %s %s %s: %s" % (self.labels[node], method, target, shown))
        return answer

    async def submit(self, job, nodes, timeout=60.0):
        """Submits as a user does: again after 1 s until it is accepted or refused for good."""
        self.jobs[job["id"]] = job
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            answer = await self.ask(random.choice(nodes), "POST", "/api/jobs", job)
            if answer and answer[0] in (200, 201, 400, 422):
                return answer
            await asyncio.sleep(1.0)
        return None

    def leader_node(self):
        leader = self.state.leader()
        return self.labels.index(leader[0]) if leader else None

    # Observations of what runs where

    def task_started(self, worker, shard, launch):
        others = {b: l for b, l in self.on_machines.get(shard, {}).items() if b != worker.berth}
        self.record("%s (%s) has %s launch %d%s" % (worker.berth, worker.reef, shard, launch,
                                                   ", also on %s" % others if others else ""))
        self.starts.append((self.record.now(), shard, launch, worker.berth))
        if others:
            self.broken.append("ran_twice: %s starts on %s while it is on %s" % (shard, worker.berth, others))
        self.on_machines.setdefault(shard, {})[worker.berth] = launch

    def task_left(self, worker, shard, launch, why):
        self.on_machines.get(shard, {}).pop(worker.berth, None)
        self.record("%s (%s) loses %s launch %d: %s" % (worker.berth, worker.reef, shard, launch, why))

    def too_long(self, worker, what, size):
        self.record("%s gets %s of %d bytes, which it drops" % (worker.berth, what, size))
        self.long_messages.append((worker.berth, what, size))

    def gang_member_waits(self, shard, launch):
        job = self.jobs[shard.split("/")[0]]
        members = [(w, s, t) for w in self.workers.values() for (s, l), t in w.tasks.items()
                   if s.split("/")[0] == job["id"] and l == launch and t["status"] == "waiting"]
        if len(members) >= job["shards"]:
            for worker, other, task in members:
                worker.run_task(other, launch, task)


def job(number, crew, shape, shards, **more):
    """A submission with usual values. `more` replaces fields."""
    fields = {"id": "j-%06d" % number, "cohort": "c", "crew": crew, "shape": shape, "rank": "normal",
              "shards": shards, "vcpus": 1.0, "cards": 0.0, "ram_gb": 1.0, "payload": "img-1", "image_gb": 0.5,
              "hulls": None, "reef": None, "together": False, "scatter": False, "driftwood": False,
              "reckon_s": 0.0, "anchor_s": 0.0, "stow_s": 0.0, "tide_s": None}
    fields.update(more)
    return fields


def main(folder, case):
    """Runs `case(record, trouble)`, which returns a list of what was broken. Sets the exit status: 1 if a rule was
    broken, 0 if not, 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("TROUBLE=%d" % trouble)

    def give_up():  # the event loop may be stuck; the controllers end with this process
        record("the case did not end in time")
        os._exit(2)

    watchdog = threading.Timer(118, give_up)
    watchdog.daemon = True
    watchdog.start()

    async def limited():
        task = asyncio.ensure_future(asyncio.wait_for(case(record, trouble), 116))
        for number in (signal.SIGTERM, signal.SIGINT):  # a case that is stopped ends its processes, too
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await task

    try:
        broken = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:  # whatever it is, the case has shown nothing
        record("the case could not run: %r" % error)
        print("could not run: %r" % error)
        sys.exit(2)
    for each in broken:
        record("BROKEN " + each)
        print(each)
    record("result: %s" % ("broken" if broken else "held"))
    sys.exit(1 if broken else 0)
