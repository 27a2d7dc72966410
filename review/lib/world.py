"""Stand-ins for a small deployment: key-value store, cloud, workers, users, and a TCP proxy.

They follow PROTOCOL-coralhitch.md. Everything listens on 127.0.0.1, on free ports, in one process; the
controllers are processes of their own, started with the command of deploy/service.toml.
"""
import asyncio
import bisect
import ctypes
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BODY_LIMIT = 64 * 1024  # "A request body holds at most 64 KiB."
LINE_LIMIT = 64 * 1024  # "No line in a response to workers or users may be longer than 64 KiB."


used_ports = set()


def free_port():
    """Returns a free port below the range from which the system takes ports for outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(11000, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in used_ports:
            used_ports.add(port)
            return port


class Record:
    """Writes what was sent, answered and run, one line an event."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, who, text):
        self.file.write(f"{self.now():8.3f} {who:14s} {text}\n")


# --- HTTP ---------------------------------------------------------------------------------------------------

REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           413: "Payload Too Large", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


async def read_message(reader):
    """Reads one message. Returns its first line, its headers and its body; None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return lines[0], headers, body


class HttpServer:
    """Serves requests with `handler(method, target, body) -> (status, object) or None for no answer`."""

    def __init__(self, handler, port=None):
        self.handler = handler
        self.port = port or free_port()
        self.addr = f"127.0.0.1:{self.port}"
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 20)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await self.handler(method, target, body)
                if answer is None:
                    break
                status, value = answer
                data = json.dumps(value).encode()
                head = (f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(data)}\r\n\r\n")
                writer.write(head.encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.close()


class HttpClient:
    """One connection that stays open between requests."""

    def __init__(self):
        self.addr = self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.addr = self.writer = None

    async def request(self, addr, method, target, body=None, timeout=5.0):
        """Returns (status, headers, body); None without an answer."""
        try:
            return await asyncio.wait_for(self._request(addr, method, target, body), timeout)
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            self.close()
            return None

    async def _request(self, addr, method, target, body):
        if self.addr != addr:
            self.close()
        if not self.writer:
            host, port = addr.split(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
            self.addr = addr
        data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        head = f"{method} {target} HTTP/1.1\r\nHost: {addr}\r\n"
        if data or method == "POST":
            head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
        self.writer.write(head.encode() + b"\r\n" + data)
        await self.writer.drain()
        line, headers, answer = await read_message(self.reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), headers, answer


async def ask(addr, method, target, body=None, timeout=5.0):
    client = HttpClient()
    answer = await client.request(addr, method, target, body, timeout)
    client.close()
    return answer


# --- Proxy --------------------------------------------------------------------------------------------------


class Proxy:
    """Passes TCP connections on to `target`. `mode`: "pass", "hold" (bytes wait until it passes again),
    "refuse" (connections are reset)."""

    def __init__(self, target):
        self.target = target
        self.port = free_port()
        self.addr = f"127.0.0.1:{self.port}"
        self.mode = "pass"
        self.delay_s = 0.0
        self.passing = asyncio.Event()
        self.passing.set()
        self.pairs = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def set(self, mode):
        self.mode = mode
        if mode == "hold":
            self.passing.clear()
        else:
            self.passing.set()
        if mode == "refuse":
            for pair in list(self.pairs):
                for writer in pair:
                    writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        await self.passing.wait()
        try:
            host, port = self.target.split(":")
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, up_writer)
        self.pairs.add(pair)
        await asyncio.gather(self.pump(reader, up_writer), self.pump(up_reader, writer))
        self.pairs.discard(pair)

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.passing.wait()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        await self.passing.wait()
        writer.close()


# --- Key-value store ----------------------------------------------------------------------------------------


class Bucket:
    def __init__(self, rate):
        self.rate = self.tokens = rate
        self.at = time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class Store:
    def __init__(self, world):
        self.world, self.record = world, world.record
        self.limits = world.state_limits
        self.epoch, self.data, self.log = 1, {}, []  # data: key -> (value, stamp, mooring)
        self.keys = []
        self.moorings, self.next_mooring = {}, 1
        self.changed = asyncio.Event()
        self.down = False
        self.requests, self.writes = Bucket(self.limits["rps"]), Bucket(self.limits["write_rps"])
        self.hook = None  # async (method, target, body, serve) -> answer; for late and lost answers
        self.http = HttpServer(self.handle)

    async def start(self):
        await self.http.start()
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for mooring, (until, ttl) in list(self.moorings.items()):
                if self.down:
                    self.moorings[mooring] = (now + ttl, ttl)
                elif until < now:
                    self.end(mooring)

    def end(self, mooring):
        self.moorings.pop(mooring, None)
        keys = [k for k, v in self.data.items() if v[2] == mooring]
        if keys:
            self.epoch += 1
            for key in keys:
                self.apply(key, None, 0)
            self.notify()

    def apply(self, key, value, mooring):
        if value is None:
            if key in self.data:
                del self.data[key]
                self.keys.remove(key)
                self.log.append((self.epoch, {"drop": key, "stamp": self.epoch}))
        else:
            if key not in self.data:
                bisect.insort(self.keys, key)
            self.data[key] = (value, self.epoch, mooring)
            self.log.append((self.epoch, {"put": key, "value": value, "stamp": self.epoch}))

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, body):
        if self.hook:
            return await self.hook(method, target, body, self.serve)
        return await self.serve(method, target, body)

    async def serve(self, method, target, body):
        if self.down:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, {}
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path.startswith("/kv/"):
            key = path[4:]
            if key not in self.data:
                return 404, {"epoch": self.epoch}
            value, stamp, mooring = self.data[key]
            row = {"path": key, "value": value, "stamp": stamp}
            return 200, {**row, "mooring": mooring} if mooring else row
        if path == "/kv":
            return self.list(args)
        if path == "/txn":
            return self.txn(body)
        if path == "/watch":
            return await self.watch(args)
        if path == "/holds":
            ttl = json.loads(body)["ttl_ms"] / 1000
            mooring, self.next_mooring = self.next_mooring, self.next_mooring + 1
            self.moorings[mooring] = (time.monotonic() + ttl, ttl)
            return 200, {"mooring": mooring}
        if path.startswith("/holds/"):
            mooring = int(path.split("/")[2])
            if mooring not in self.moorings:
                return 404, {}
            if method == "DELETE":
                self.end(mooring)
            else:
                ttl = self.moorings[mooring][1]
                self.moorings[mooring] = (time.monotonic() + ttl, ttl)
            return 200, {"mooring": mooring}
        return 400, {}

    def list(self, args):
        prefix, since, limit = args.get("starts", ""), args.get("since", ""), int(args.get("limit", 1000))
        first = bisect.bisect_right(self.keys, since) if since > prefix else bisect.bisect_left(self.keys, prefix)
        rows, size, more = [], 0, False
        for key in self.keys[first:]:
            if not key.startswith(prefix):
                break
            row = {"path": key, "value": self.data[key][0], "stamp": self.data[key][1]}
            size += len(json.dumps(row))
            if len(rows) == min(limit, 1000) or size > 500 * 1024:
                more = True
                break
            rows.append(row)
        return 200, {"entries": rows, "more": more, "epoch": self.epoch}

    def txn(self, body):
        if len(body) > BODY_LIMIT:
            return 400, {"error": "too large"}
        request = json.loads(body)
        then, conditions = request.get("then", []), request.get("if", [])
        if len(then) > self.limits["txn_ops"] or len(conditions) > 4 * self.limits["txn_ops"]:
            return 400, {"error": "too many"}
        if any(len(json.dumps(c.get("value", ""))) > self.limits["value_kb"] * 1024 for c in then):
            return 400, {"error": "value too large"}
        if then and not self.writes.take(len(then)):
            return 429, {}
        if any(c.get("mooring") and c["mooring"] not in self.moorings for c in then):
            return 400, {"error": "no such lease"}
        stamps = lambda key: self.data[key][1] if key in self.data else 0
        failed = [c["path"] for c in conditions if stamps(c["path"]) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if then:
            self.epoch += 1
            for change in then:
                if "put" in change:
                    self.apply(change["put"], change["value"], change.get("mooring", 0))
                else:
                    self.apply(change["drop"], None, 0)
            self.notify()
        return 200, {"epoch": self.epoch}

    async def watch(self, args):
        prefix, since = args.get("starts", ""), int(args["since"])
        until = time.monotonic() + int(args.get("hold_ms", 0)) / 1000
        if len(self.log) > 10000:
            self.log = self.log[-10000:]
            if since < self.log[0][0]:
                return 410, {}
        while True:
            changed = self.changed
            news = [event for epoch, event in reversed(self.log[-2000:])
                    if epoch > since and (event.get("put") or event["drop"]).startswith(prefix)][::-1]
            left = until - time.monotonic()
            if (news and not self.down) or left <= 0:
                return 200, {"epoch": self.epoch, "news": news}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# --- Workers ------------------------------------------------------------------------------------------------


class Worker:
    strict_lines = False  # an answer with a line over the limit can't be read and counts as no answer

    def __init__(self, world, name, flavor, reef, spot):
        self.world, self.record = world, world.record
        self.name, self.flavor, self.reef, self.spot = name, flavor, reef, spot
        self.watch, self.tally, self.helm = 1, 0, 0
        self.tasks = {}  # (shard, launch) -> dict
        self.active = {}  # shard -> launch, of tasks that have not exited
        self.used = {"vcpus": 0.0, "cards": 0.0, "ram_gb": 0.0}
        self.images, self.fetches = set(), {}
        self.wake = asyncio.Event()
        self.warning_at = None
        self.alive = True
        self.http = HttpServer(self.handle)
        self.addr = self.http.addr
        self.node = random.randrange(len(world.controllers))
        self.client = HttpClient()

    async def start(self):
        await self.http.start()
        self.renewed = time.monotonic()
        self.loops = [asyncio.create_task(self.report_loop()), asyncio.create_task(self.lease_loop())]

    def stop(self):
        """The machine is gone, with everything on it."""
        self.alive = False
        for key in list(self.tasks):
            self.leave(key, "machine gone")
        for loop in self.loops:
            loop.cancel()
        self.client.close()
        self.http.stop()

    # reports

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
        return {"berth": self.name, "addr": self.addr, "hull": self.flavor["name"], "reef": self.reef,
                "driftwood": self.spot, "watch": self.watch, "tally": self.tally, "helm": self.helm,
                "warning_s": warning, "shards": shards}

    async def report_loop(self):
        every = self.world.workers["report_s"]
        last = 0.0
        while self.alive:
            wait = every * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.wake.wait(), wait)
            except asyncio.TimeoutError:
                pass
            gap = last + 0.5 - time.monotonic()
            if gap > 0:
                await asyncio.sleep(gap)
            self.wake.clear()
            last = time.monotonic()
            await self.send_report()

    async def send_report(self):
        controllers = self.world.controllers
        node = controllers[self.node]
        session, sent = self.watch, time.monotonic()
        body = json.dumps(self.report(), separators=(",", ":")).encode()
        answer = await self.client.request(self.worker_addr(node), "POST", "/hello", body, 4.0)
        too_long = answer and len(answer[2]) > LINE_LIMIT
        if too_long:
            self.record(self.name, f"answer line of {len(answer[2])} bytes, over the limit")
        if answer and answer[0] == 200 and not (too_long and self.strict_lines):
            orders = json.loads(answer[2])
            if session != self.watch or orders.get("helm") is None or orders["helm"] < self.helm:
                return
            self.renewed = max(self.renewed, sent)
            self.see(orders["helm"])
            self.execute(orders.get("orders", []), "reply")
            return
        self.record(self.name, f"report of {len(body)} bytes to {node.label}: "
                               f"{answer[0] if answer else 'no answer'}")
        self.client.close()
        if answer and answer[0] == 421:
            label = json.loads(answer[2] or b"{}").get("harbor")
            named = [i for i, c in enumerate(controllers) if c.label == label]
            if named and named[0] != self.node:
                self.node = named[0]
                await asyncio.sleep(random.uniform(0, 0.5))
                self.wake.set()
                return
        self.node = (self.node + 1) % len(controllers)
        await asyncio.sleep(1.0)
        self.wake.set()

    def worker_addr(self, node):
        return node.worker_addr

    def see(self, helm):
        if helm > self.helm:
            self.helm = helm
            asyncio.get_running_loop().call_later(self.world.workers["lease_s"] / 8, self.wake.set)

    async def lease_loop(self):
        lease = self.world.workers["lease_s"]
        while self.alive:
            await asyncio.sleep(max(0.01, self.renewed + lease - time.monotonic()))
            if time.monotonic() - self.renewed > lease:
                self.record(self.name, f"lease of session {self.watch} expired with {len(self.tasks)} tasks")
                self.world.expiries.append((self.world.record.now(), self.name, len(self.tasks)))
                for key in list(self.tasks):
                    self.leave(key, "lease expired")
                    del self.tasks[key]
                self.watch += 1
                self.renewed = time.monotonic()
                self.wake.set()

    # commands

    async def handle(self, method, target, body):
        if len(body) > BODY_LIMIT:
            self.record(self.name, f"command body of {len(body)} bytes, over the limit")
            return 413, {}
        if target == "/inspect":
            return 200, self.report()
        request = json.loads(body)
        helm, watch = request.get("helm"), request.get("watch")
        if helm is None or watch is None:
            return 400, {}
        if helm < self.helm or watch != self.watch:
            return 409, self.report()
        self.see(helm)
        self.execute(request.get("orders", []), "do")
        return 200, self.report()

    def execute(self, orders, via):
        for order in orders:
            key = (order["shard"], order["launch"])
            if len(orders) <= 20 or order["verb"] != "run":
                self.record(self.name, f"{via}: {order['verb']} {key[0]} launch {key[1]} "
                                       f"{order.get('slack_s', '')}")
            if order["verb"] == "run":
                self.run(key)
            elif order["verb"] == "kill":
                self.kill(key, order.get("slack_s", 0))
            elif order["verb"] == "clear" and self.tasks.get(key, {}).get("status") == "exited":
                del self.tasks[key]
        if orders:
            self.wake.set()

    def refuse(self, key, cause):
        self.tasks[key] = {"status": "exited", "cause": cause}

    def run(self, key):
        if key in self.tasks:
            return
        job = self.world.jobs.get(key[0].split("/")[0])
        if not job or int(key[0].split("/")[1]) >= job["shards"]:
            return self.refuse(key, "unknown")
        if key[0] in self.active:
            return self.refuse(key, "busy")
        if any(self.used[need] + job[need] > self.flavor[need] + 1e-4 for need in self.used):
            return self.refuse(key, "no_room")
        task = self.tasks[key] = {"status": "fetching", "job": job, "on": False}
        self.active[key[0]] = key[1]
        for need in self.used:
            self.used[need] += job[need]
        task["life"] = asyncio.create_task(self.live(key, task))

    async def live(self, key, task):
        job, shard = task["job"], key[0]
        if job["payload"] not in self.images:
            fetch = self.fetches.get(job["payload"])
            if not fetch:
                fetch = self.fetches[job["payload"]] = asyncio.create_task(
                    asyncio.sleep(job["image_gb"] / self.flavor["fetch_gb_per_s"]))
            await asyncio.shield(fetch)
            self.images.add(job["payload"])
        task["on"] = True
        self.world.begins(shard, key[1], self)
        if shard in self.world.completed:
            return self.exit(key, "done")
        if job["shape"] == "gang":
            task["status"] = "waiting"
            self.wake.set()
            if not await self.world.gang(job, key[1]):
                return self.exit(key, "incomplete")
        task["status"] = "running"
        self.wake.set()
        if job["shape"] == "service":
            return
        task["since"] = time.monotonic()
        await asyncio.sleep(max(0.0, self.world.run_s[job["id"]] - self.world.saved.get(shard, 0.0)))
        if job["shape"] == "gang":
            return self.world.gang_done(job, key[1])
        self.world.completed.add(shard)
        self.exit(key, "done")

    def exit(self, key, cause, saved=False):
        self.leave(key, cause)
        self.tasks[key] = {"status": "exited", "cause": cause, "saved": saved}
        self.wake.set()

    def leave(self, key, why):
        task = self.tasks[key]
        if self.active.get(key[0]) == key[1] and task["status"] != "exited":
            del self.active[key[0]]
            for need in self.used:
                self.used[need] -= task["job"][need]
        if task.get("life"):
            task["life"].cancel() if task["life"] is not asyncio.current_task() else None
        if task.get("on"):
            task["on"] = False
            self.world.ends(key[0], key[1], self, why)

    def kill(self, key, slack):
        task = self.tasks.get(key)
        if not task or task["status"] == "exited" or (task["status"] == "flushing" and slack > 0):
            return
        job = task["job"]
        if task["status"] == "running" and job["anchor_s"] > 0 and slack >= job["stow_s"] > 0:
            done = self.world.saved.get(key[0], 0.0) + time.monotonic() - task.get("since", time.monotonic())
            task["status"] = "flushing"
            task["life"].cancel()

            async def save():
                await asyncio.sleep(job["stow_s"])
                if self.tasks.get(key, {}).get("status") == "flushing":
                    self.world.saved[key[0]] = done
                    self.exit(key, "halted", True)

            task["life"] = asyncio.create_task(save())
            self.wake.set()
            return
        self.exit(key, "halted")


# --- Cloud --------------------------------------------------------------------------------------------------


class Cloud:
    def __init__(self, world, capacity):
        self.world, self.record, self.capacity = world, world.record, capacity
        self.down = False
        self.machines, self.charters, self.next = {}, {}, 1
        self.http = HttpServer(self.handle)

    async def start(self):
        await self.http.start()

    def rent(self, hull, reef, spot, boot_s):
        name = f"vm-{self.next:06d}"
        self.next += 1
        worker = Worker(self.world, name, self.world.flavors[hull], reef, spot)
        self.machines[name] = {"worker": worker, "at": time.monotonic(), "up": False}
        asyncio.get_running_loop().create_task(self.boot(name, boot_s))
        return name

    async def boot(self, name, boot_s):
        await asyncio.sleep(boot_s)
        if name in self.machines:
            self.machines[name]["up"] = True
            await self.machines[name]["worker"].start()
            self.record(name, "up")

    def workers(self):
        return [m["worker"] for m in self.machines.values() if m["up"]]

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        if self.down:
            return 503, {"error": "trouble"}
        if path == "/flavors":
            return 200, {"hulls": list(self.world.flavors.values())}
        if path == "/hosts/delete":
            for name in json.loads(body)["berths"]:
                if machine := self.machines.pop(name, None):
                    self.record(name, "deleted by the controllers")
                    if machine["up"]:
                        machine["worker"].stop()
            return 200, {}
        if path == "/hosts" and method == "POST":
            request = json.loads(body)
            if request["charter"] in self.charters:
                return 200, {"berths": self.charters[request["charter"]]}
            room = min(self.capacity - len(self.machines), request["how_many"], 50)
            if room <= 0:
                return 503, {"error": "no capacity"}
            flavor = self.world.flavors[request["hull"]]
            names = [self.rent(request["hull"], request["reef"], request["driftwood"],
                               flavor["startup_s"] * random.uniform(0.6, 1.5)) for _ in range(room)]
            self.charters[request["charter"]] = names
            self.record("cloud", f"rented {names}")
            return 200, {"berths": names}
        args = dict(urllib.parse.parse_qsl(query))
        rows, now = [], time.monotonic()
        for name, machine in sorted(self.machines.items()):
            if name > args.get("since", "") and now - machine["at"] > self.world.list_lag_s:
                worker = machine["worker"]
                rows.append({"id": name, "addr": worker.addr, "hull": worker.flavor["name"], "reef": worker.reef,
                             "driftwood": worker.spot, "status": "running" if machine["up"] else "booting",
                             "age_s": now - machine["at"]})
        limit = int(args.get("limit", 500))
        return 200, {"berths": rows[:limit], "more": len(rows) > limit}


# --- Controllers --------------------------------------------------------------------------------------------


class Controller:
    def __init__(self, world, number, zone):
        self.world, self.record = world, world.record
        self.label, self.zone = f"berth-{number}", zone
        self.public_addr = f"127.0.0.1:{free_port()}"
        self.peer_addr = f"127.0.0.1:{free_port()}"
        self.worker_addr = self.public_addr  # a proxy, if a case has one
        self.process = None

    def write_settings(self):
        world = self.world
        number = lambda v: repr(float(v))
        lines = [f'label = "{self.label}"', f'domain = "{self.zone}"', f'public_addr = "{self.public_addr}"',
                 f'peer_listen = "{self.peer_addr}"']
        for peer in world.controllers:
            if peer is not self:
                addr = world.peer_links.get((self.label, peer.label), peer.peer_addr)
                lines += ["[[seeds]]", f'label = "{peer.label}"', f'domain = "{peer.zone}"',
                          f'peer_addr = "{addr}"']
        lines += ["[endpoints]", f'cloud = "{world.cloud_links.get(self.label, world.cloud.http.addr)}"',
                  f'state = "{world.state_links.get(self.label, world.store.http.addr)}"', "[cluster]",
                  f"nodes = {len(world.controllers)}", f"zones = {json.dumps(world.zones)}", "skew_ms = 25.0"]
        for team in world.teams:
            lines += ["[[cluster.teams]]", f'name = "{team["name"]}"']
            lines += [f"{k} = {number(team.get(k, 0))}" for k in ("cpus", "cpus_max", "gpus", "gpus_max")]
        lines += ["[cluster.workers]"] + [f"{k} = {number(v)}" for k, v in world.workers.items()]
        state = world.state_limits
        lines += ["[cluster.state]", f"rps = {number(state['rps'])}", f"write_rps = {number(state['write_rps'])}",
                  f"value_kb = {number(state['value_kb'])}", f"txn_ops = {state['txn_ops']}", "[cluster.cloud]",
                  "rps = 10.0", f"list_lag_s = {number(world.list_lag_s)}", "[cluster.limits]",
                  "core_share = 0.08", "memory_mb = 136.0", "sockets = 2500"]
        self.settings = os.path.join(world.folder, f"{self.label}.toml")
        with open(self.settings, "w") as file:
            file.write("\n".join(lines) + "\n")

    def start(self):
        self.write_settings()
        log = open(os.path.join(self.world.folder, f"{self.label}.log"), "a")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.process = subprocess.Popen(self.world.command + [self.settings], cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                        preexec_fn=end_with_parent)
        processes.append(self.process)
        self.record(self.label, f"started, process {self.process.pid}")

    def send(self, sig):
        self.record(self.label, signal.Signals(sig).name)
        self.process.send_signal(sig)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    def running(self):
        return self.process.poll() is None

    def log(self):
        with open(os.path.join(self.world.folder, f"{self.label}.log")) as file:
            return file.read()


# --- The deployment -----------------------------------------------------------------------------------------


class World:
    """A small deployment after the first page of BRIEF-coralhitch.md."""

    def __init__(self, folder, machines=4, capacity=None, seed=None):
        random.seed(seed)
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        folders.append(self.folder)
        with open(os.path.join(ROOT, "deploy", "service.toml")) as file:
            run = [line for line in file if line.startswith("run = ")][0]
        self.command = shlex.split(run.split("=", 1)[1].strip().strip('"'))
        self.zones = ["zona-antigua", "zona-atitlan", "zona-peten"]
        self.teams = [{"name": "equipo-cuotas-00", "gpus": 8, "gpus_max": 16},
                      {"name": "equipo-cuotas-01", "gpus": 8, "gpus_max": 16}]
        self.workers = {"report_s": 3.0, "lease_s": 31.0, "gang_wait_s": 50.0, "gang_peer_s": 5.0,
                        "cancel_s": 61.0}
        self.state_limits = {"rps": 200.0, "write_rps": 40.0, "value_kb": 16.0, "txn_ops": 24}
        self.list_lag_s = 10.0
        self.flavors = {"ceiba-g16": {"name": "ceiba-g16", "vcpus": 16.0, "cards": 2.0, "ram_gb": 64.0,
                                      "cache_gb": 200.0, "fetch_gb_per_s": 1.0, "hourly": 6.52,
                                      "spot_price": 2.45, "startup_s": 30.0, "reefs": self.zones}}
        self.jobs, self.run_s, self.saved, self.completed = {}, {}, {}, set()
        self.left = []  # (shard, why), of tasks that left their machine
        self.on = {}  # shard -> list of (launch, worker)
        self.starts, self.broken, self.expiries = [], [], []
        self.gangs = {}
        self.peer_links, self.state_links, self.cloud_links = {}, {}, {}
        self.store = Store(self)
        self.controllers = [Controller(self, n, z) for n, z in enumerate(self.zones)]
        self.cloud = Cloud(self, capacity or machines)
        self.machines = machines

    async def start(self):
        await self.store.start()
        await self.cloud.start()
        for controller in self.controllers:
            controller.start()
        for n in range(self.machines):
            self.cloud.rent("ceiba-g16", self.zones[n % len(self.zones)], False, 0.0)
        return await self.until(self.healthy, 30)

    async def healthy(self):
        answers = [await ask(c.public_addr, "GET", "/healthz", timeout=1) for c in self.controllers]
        return all(a and a[0] == 200 for a in answers)

    async def until(self, condition, seconds, step=0.25):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            await asyncio.sleep(step)
        return None

    def leader(self):
        value = self.store.data.get("leader")
        return next((c for c in self.controllers if value and c.label == value[0]["label"]), None)

    def stop(self):
        for controller in self.controllers:
            if controller.process and controller.running():
                controller.process.send_signal(signal.SIGCONT)
                controller.process.kill()
                controller.process.wait()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)

    # what workers see

    def begins(self, shard, launch, worker):
        others = [w.name for _, w in self.on.get(shard, [])]
        if others:
            self.broken.append(("ran_twice", shard))
            self.record("RULE", f"ran_twice {shard} starts on {worker.name} while on {others}")
        self.on.setdefault(shard, []).append((launch, worker))
        self.starts.append((self.record.now(), shard, launch, worker.name))
        if self.jobs[shard.split("/")[0]]["shards"] <= 100:
            self.record(worker.name, f"start {shard} launch {launch}")

    def ends(self, shard, launch, worker, why):
        self.on[shard] = [e for e in self.on[shard] if e != (launch, worker)]
        self.left.append((shard, why))
        job = self.jobs[shard.split("/")[0]]
        if job["shape"] == "gang" and why not in ("done", "mates_gone"):
            state = self.gangs.get((job["id"], launch))
            if state and state[0].is_set():
                asyncio.get_running_loop().create_task(self.mates_gone(job, launch))
        if self.jobs[shard.split("/")[0]]["shards"] <= 100:
            self.record(worker.name, f"end {shard} launch {launch}: {why}")

    async def gang(self, job, launch):
        complete, members = self.gangs.setdefault((job["id"], launch), (asyncio.Event(), []))
        members.append(1)
        if len(members) >= job["shards"]:
            complete.set()
        try:
            await asyncio.wait_for(complete.wait(), self.workers["gang_wait_s"])
            return True
        except asyncio.TimeoutError:
            return False

    def gang_on(self, job, launch):
        """The tasks of this attempt that are on a machine."""
        return [(w, (shard, launch)) for shard in (f"{job['id']}/{n}" for n in range(job["shards"]))
                for on, w in self.on.get(shard, []) if on == launch]

    def gang_done(self, job, launch):
        """The tasks of a gang complete together, or not at all."""
        members = self.gang_on(job, launch)
        if len(members) == job["shards"]:
            self.completed.update(shard for _, (shard, _) in members)
            for worker, key in members:
                worker.exit(key, "done")

    async def mates_gone(self, job, launch):
        await asyncio.sleep(self.workers["gang_peer_s"] * 0.6)
        for worker, key in self.gang_on(job, launch):
            if worker.tasks[key]["status"] == "running":
                worker.exit(key, "mates_gone")

    # what users do

    def job(self, number, run_s=0.0, **fields):
        job = {"id": f"j-{number:06d}", "cohort": "rescore-cartera", "crew": "equipo-cuotas-00", "shape": "batch",
               "rank": "normal", "shards": 1, "vcpus": 1.0, "cards": 0.0, "ram_gb": 1.0, "payload": "img-01",
               "image_gb": 0.5, "hulls": None, "reef": None, "together": False, "scatter": False,
               "driftwood": False, "reckon_s": float(run_s), "anchor_s": 0.0, "stow_s": 0.0, "tide_s": None}
        job.update(fields)
        self.jobs[job["id"]], self.run_s[job["id"]] = job, run_s
        return job

    async def user(self, who, addr, method, target, body=None, timeout=5.0):
        answer = await ask(addr, method, target, body, timeout)
        text = f"{answer[0]} {answer[2].decode(errors='replace')[:200]}" if answer else "no answer"
        self.record(who, f"{method} {target}: {text}")
        return (answer[0], json.loads(answer[2] or b"{}")) if answer else None

    async def repeat(self, who, method, target, body, accepted, seconds=60.0, node=None):
        """A user's request, repeated after 1 s or more for up to 60 s, at one node after the other."""
        end, n = time.monotonic() + seconds, 0
        while time.monotonic() < end:
            controller = self.controllers[n % len(self.controllers)] if node is None else node
            answer = await self.user(who, controller.public_addr, method, target, body)
            if answer and answer[0] in accepted:
                return answer
            n += 1
            await asyncio.sleep(1.0)
        return None

    async def submit(self, job, **more):
        return await self.repeat("user", "POST", "/api/jobs", job, (200, 201, 400, 422), **more)

    async def cancel(self, id, **more):
        return await self.repeat("user", "POST", f"/api/jobs/{id}/cancel", b"", (200,), **more)

    async def poll(self, id, node):
        return await self.user("user", node.public_addr, "GET", f"/api/jobs/{id}", timeout=2.0)


processes, folders = [], []  # of the controllers that were started; temporary ones
kill_with_parent = ctypes.CDLL(None).prctl


def end_with_parent():
    """Runs in a new process: the system kills it when this one ends, however that happens."""
    kill_with_parent(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


def finish(status):
    """Ends this process and all that it started. Waits for no stand-in."""
    for process in processes:
        if process.poll() is None:
            process.kill()  # also ends a stopped process
            process.wait()
    for folder in folders:
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(folder, ignore_errors=True)
    print({0: "held", 1: "BROKEN", 2: "could not run"}[status], flush=True)
    os._exit(status)


def main(case):
    """Runs `case(trouble)`, which returns the process's exit status."""
    watchdog = threading.Timer(118, lambda: finish(2))
    watchdog.daemon = True
    watchdog.start()
    for sig in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(sig, lambda *_: finish(2))

    async def run():
        status = 2
        try:
            status = await case(os.environ.get("TROUBLE", "1") != "0")
        except Exception as error:  # the case could not run
            print(f"could not run: {error!r}")
        finish(status)

    asyncio.run(run())
