"""Stand-ins and process control for the scripts of this review.

Everything runs on loopback addresses and the real clock, with the standard
library of Python 3 only. The store, the upstreams and the clients do what
PROTOCOL.md says; the daemons are the project's own program, started with the
command of deploy/system.toml and settings rendered from
deploy/settings.template.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, UNUSABLE = 0, 1, 2

PORTS = {"inbound": 0, "ready": 1, "app": 2, "outbound": 3, "store": 4}


class CannotRun(Exception):
    pass


class Record:
    """Writes record.txt and keeps the lines of the run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def __call__(self, text):
        line = "%9.3f %s" % (time.monotonic() - self.began, text)
        self.file.write(line + "\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.began


async def read_head(reader):
    """Returns the first line and the headers of one message, or None."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError,
            asyncio.LimitOverrunError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the body, or None if it ends early."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return body
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return None


def split_query(target):
    path, _, query = target.partition("?")
    fields = {}
    for part in query.split("&"):
        if part:
            name, _, value = part.partition("=")
            fields[name] = re.sub(
                "%([0-9A-Fa-f]{2})", lambda m: chr(int(m.group(1), 16)), value)
    return path, fields


def answer(status, body=b"", headers=()):
    lines = ["HTTP/1.1 %d Status" % status, "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % pair for pair in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: linearizable, read and watch, one port a machine.

    `cut` holds the machines that are partitioned from it: nothing that they
    send is answered, and their connections stay open until they give them up.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.cut = set()
        self.changed = asyncio.Condition()
        self.reads = []  # (time, machine, target) of each call
        self.held = {}   # connections of machines that are cut off

    async def put(self, key, value):
        """Returns when the store has acknowledged the change."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "rev": self.revision, "created": created,
                "lease": 0,
                "value": base64.b64encode(value.encode()).decode()}
        self.items[key] = item
        self.history.append(item)
        async with self.changed:
            self.changed.notify_all()

    async def delete(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.history.append(
            {"key": key, "rev": self.revision, "deleted": True})
        async with self.changed:
            self.changed.notify_all()

    async def listen(self, machine):
        async def serve(reader, writer):
            await self.serve(machine, reader, writer)
        return await asyncio.start_server(serve, machine.ip,
                                          machine.port("store"))

    def cut_off(self, machine):
        self.cut.add(machine.name)

    def heal(self, machine):
        self.cut.discard(machine.name)
        for writer in self.held.pop(machine.name, []):
            writer.transport.abort()

    async def serve(self, machine, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                target = head[0].split(" ")[1]
                await read_body(reader, head[1])
                if machine.name not in self.cut:
                    self.reads.append((time.monotonic(), machine.name, target))
                    status, body = await self.respond(target)
                    await asyncio.sleep(0.004)
                if machine.name in self.cut:
                    self.held.setdefault(machine.name, []).append(writer)
                    await asyncio.Event().wait()
                writer.write(answer(status, json.dumps(body).encode(),
                                    [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.transport.abort()

    def events(self, prefix, after):
        return [e for e in self.history
                if e["rev"] > after and e["key"].startswith(prefix)]

    async def respond(self, target):
        path, query = split_query(target)
        prefix = query.get("prefix", "")
        if path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"store-revision": self.revision}
            return 200, dict(item, **{"store-revision": self.revision})
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix)
                          and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:50]],
                         "truncated": len(keys) > 50,
                         "store-revision": self.revision}
        if path == "/kv-watch":
            after = int(query["after"])
            limit = time.monotonic() + int(query["wait-ms"]) / 1000
            while True:
                events = self.events(prefix, after)
                left = limit - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events,
                                 "store-revision": self.revision}
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}

    def reader_of_registry(self, within=1.5):
        """Machine that last read the list of upstreams."""
        recent = [m for t, m, target in self.reads
                  if "servers/" in target and time.monotonic() - t < within]
        return recent[-1] if recent else None


class Upstream:
    """One upstream beside a daemon: slots, a queue, runs, answers."""

    numbers = itertools.count(1)

    def __init__(self, machine, service, store, record, slots=50, queue=50,
                 work_s=0.02, heartbeat_s=1.5):
        self.machine, self.service = machine, service
        self.store, self.record = store, record
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.heartbeat_s = heartbeat_s
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.waiting = []
        self.runs = []      # one dict a request that began to run
        self.arrivals = []
        self.registered = False
        self.last_heartbeat = 0
        self.connections = set()
        self.server = None
        self.work_of = None  # optional function of the request's path
        self.task = None
        self.quiet = False   # no line in the record for each run

    def entry(self):
        return json.dumps({
            "address": "%s:%d" % (self.machine.ip, self.machine.port("app")),
            "born": self.born,
            "details": {"service": self.service, "version": "v1",
                        "zone": self.machine.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence,
                       "cold-left-ms": 0}})

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.machine.ip, self.machine.port("app"))
        self.task = asyncio.ensure_future(self.heartbeats())

    async def heartbeats(self):
        await asyncio.sleep(random.random() * 0.3)
        while True:
            await self.heartbeat()
            await asyncio.sleep(self.heartbeat_s)

    async def heartbeat(self):
        """Writes to the store, if this machine reaches it."""
        if self.machine.name in self.store.cut:
            return
        self.sequence += 1
        self.last_heartbeat = time.monotonic()
        await self.store.put("servers/" + self.id, self.entry())

    async def drain(self):
        """Reports `draining`; returns when the store has accepted it."""
        self.state = "draining"
        await self.heartbeat()

    async def stop(self):
        """Leaves the store and ends."""
        if self.task:
            self.task.cancel()
        await self.store.delete("servers/" + self.id)
        self.close()

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                if body is None:
                    return
                if not await self.handle(head, body, reader, writer):
                    return
        except (ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    async def handle(self, head, body, reader, writer):
        line, headers = head
        method, path, _ = line.split(" ", 2)
        name = headers.get("x-lentilcross-request-id", "")
        echo = [("X-Lentilcross-Request-Id", name)] if name else []
        arrival = {"at": time.monotonic(), "id": name, "method": method,
                   "path": path, "headers": headers, "body": body,
                   "service": self.service, "upstream": self.id}
        if path.startswith("/healthz"):
            good = self.state == "ready"
            writer.write(answer(200 if good else 503, b"", [
                ("X-Lentilcross-Instance-Id", self.id)]))
            return True
        self.arrivals.append(arrival)
        expected = headers.get("x-lentilcross-expect-instance")
        if expected and expected != self.id:
            writer.write(answer(421, b"", echo + [
                ("X-Lentilcross-Instance-Id", self.id)]))
            return True
        deadline = time.monotonic() + int(
            headers.get("x-lentilcross-deadline-ms", "10000")) / 1000
        if self.running >= self.slots:
            if len(self.waiting) >= self.queue:
                writer.write(answer(503, b"", echo + [
                    ("X-Lentilcross-Not-Executed", "1")]))
                return True
            turn = asyncio.get_event_loop().create_future()
            self.waiting.append(turn)
            await turn
            if time.monotonic() >= deadline:
                self.next()
                writer.write(answer(503, b"", echo + [
                    ("X-Lentilcross-Not-Executed", "1")]))
                return True
        else:
            self.running += 1
        run = dict(arrival, began=time.monotonic(), ended=None, whole=False)
        self.runs.append(run)
        if not self.quiet:
            self.record("run      %s %s by %s of %s on %s tenant=%s" % (
                name, path, self.id, self.service, self.machine.name,
                headers.get("x-lentilcross-tenant", "-")))
        work = self.work_of(path) if self.work_of else self.work_s
        work = min(work, max(0.0, deadline - time.monotonic()))
        # The request is dropped when its connection closes.
        watch = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({watch}, timeout=work)
        self.next()
        run["ended"] = time.monotonic()
        if done:
            self.record("dropped  %s: its connection was closed" % name)
            return False
        watch.cancel()
        try:
            await watch
        except asyncio.CancelledError:
            pass
        run["whole"] = True
        late = time.monotonic() >= deadline
        return await self.reply(writer, name, 504 if late else 200, echo)

    async def reply(self, writer, name, status, echo):
        """Answers a run; false ends the connection."""
        writer.write(self.good(name, status, echo))
        await writer.drain()
        return True

    def good(self, name, status, echo):
        text = ("upstream %s ran %s" % (self.id, name)).encode()
        return answer(status, text, echo + [
            ("X-Lentilcross-Server-Seal", "seal-" + name),
            ("X-Lentilcross-Server-Load",
             "%d,%d,%d" % (self.running, len(self.waiting), self.slots)),
            ("Keep-Alive", "timeout=10")])

    def next(self):
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1


class Machine:
    """A machine: an address, a daemon and its settings."""

    def __init__(self, fleet, name, zone, service):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.service = service
        self.ip = fleet.next_ip()
        self.process = None
        self.log = None

    def port(self, what):
        return self.fleet.base + PORTS[what]

    def settings(self):
        def at(what):
            return "%s:%d" % (self.ip, self.port(what))
        return {
            "node-name": "sidecar-" + self.name, "bind-ip": self.ip,
            "zone": self.zone, "region": self.fleet.zones[self.zone],
            "service": self.service, "app-addr": at("app"),
            "slo-bounds": self.fleet.bounds, "zones": self.fleet.zones,
            "listen-addrs": {"inbound-addr": at("inbound"),
                             "outbound-addr": at("outbound"),
                             "ready-addr": at("ready")},
            "platform": {"address": at("store")}}

    def start(self):
        path = os.path.join(self.fleet.folder, self.name + ".settings")
        with open(os.path.join(ROOT, "deploy", "settings.template")) as file:
            template = file.read()
        fields = self.settings()

        def fill(match):
            value = fields
            for part in match.group(1).split("."):
                value = value[part]
            return json.dumps(value)
        with open(path, "w") as file:
            file.write(re.sub(r"\{\{([a-z.-]+)\|json\}\}", fill, template))
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            run = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)
        words = [path if w == "/etc/lentilcross/settings.toml" else w
                 for w in run.split(" ")]
        self.log = open(os.path.join(self.fleet.folder, self.name + ".log"),
                        "a")
        environment = dict(os.environ, LENTILCROSS_CONFIG=path)
        self.process = subprocess.Popen(
            words, cwd=ROOT, stdout=self.log, stderr=self.log,
            env=environment)
        self.fleet.record("start    daemon on %s (%s)" % (self.name, self.ip))

    def signal(self, number):
        self.fleet.record("signal   %s to the daemon on %s" % (
            signal.Signals(number).name, self.name))
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                request(self.ip, self.port("ready"), "GET", "/ready", {}), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError):
            return False


class Fleet:
    """A small deployment, removed when the script ends."""

    def __init__(self, record, zones, bounds):
        self.record, self.zones = record, zones
        self.bounds = bounds
        self.folder = tempfile.mkdtemp(prefix="lentilcross-review-")
        self.machines = []
        self.block = "127.%d.%d" % (random.randint(10, 250),
                                    random.randint(1, 250))
        self.base = random.randint(200, 290) * 100
        self.store = Store(record)
        self.servers = []

    def next_ip(self):
        return "%s.%d" % (self.block, len(self.machines) + 10)

    def add(self, name, zone, service):
        machine = Machine(self, name, zone, service)
        self.machines.append(machine)
        return machine

    async def start(self, settle_s=2.0):
        for machine in self.machines:
            self.servers.append(await self.store.listen(machine))
        for machine in self.machines:
            machine.start()
        limit = time.monotonic() + 15
        while time.monotonic() < limit:
            ready = [await m.is_ready() for m in self.machines]
            if all(ready):
                await asyncio.sleep(settle_s)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the daemons are not ready after 15 s")

    def end(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def request(ip, port, method, path, headers, body=b""):
    """One request on a new connection: (status, headers, body)."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(encode(method, path, headers, body))
        return await read_answer(reader)
    finally:
        writer.transport.abort()


def encode(method, path, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, path)]
    lines += ["%s: %s" % pair for pair in headers.items()]
    if body or method != "GET":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_answer(reader):
    """(status, headers, body); status 0 if the connection ended early."""
    head = await read_head(reader)
    if head is None:
        return 0, {}, b""
    body = await read_body(reader, head[1])
    if body is None:
        return 0, head[1], b""
    return int(head[0].split(" ")[1]), head[1], body


_XX = (11400714785074694791, 14029467366897019727, 1609587929392839161,
       9650029242287828579, 2870177450012600261)
_M64 = (1 << 64) - 1


def xxh64(data):
    """XXH64 with seed 0, by which the daemons rank owners of quotas."""
    p1, p2, p3, p4, p5 = _XX

    def rotate(x, r):
        return ((x << r) | (x >> (64 - r))) & _M64

    def mix(acc, lane):
        return rotate((acc + lane * p2) & _M64, 31) * p1 & _M64

    def word(at, size):
        return int.from_bytes(data[at:at + size], "little")
    at, size = 0, len(data)
    if size >= 32:
        lanes = [(p1 + p2) & _M64, p2, 0, -p1 & _M64]
        while at + 32 <= size:
            for i in range(4):
                lanes[i] = mix(lanes[i], word(at + 8 * i, 8))
            at += 32
        h = sum(rotate(v, r) for v, r in zip(lanes, (1, 7, 12, 18))) & _M64
        for v in lanes:
            h = ((h ^ mix(0, v)) * p1 + p4) & _M64
    else:
        h = p5
    h = (h + size) & _M64
    while at + 8 <= size:
        h = (rotate(h ^ mix(0, word(at, 8)), 27) * p1 + p4) & _M64
        at += 8
    if at + 4 <= size:
        h = (rotate(h ^ (word(at, 4) * p1 & _M64), 23) * p2 + p3) & _M64
        at += 4
    while at < size:
        h = rotate(h ^ (data[at] * p5 & _M64), 11) * p1 & _M64
        at += 1
    h = (h ^ (h >> 33)) * p2 & _M64
    h = (h ^ (h >> 29)) * p3 & _M64
    return h ^ (h >> 32)


def owner_rank(tenant, ip):
    """The lowest ranks own a tenant's quota in their region."""
    words = (xxh64(tenant.encode()), xxh64(ip.encode()))
    return xxh64(b"".join(w.to_bytes(8, "little") for w in words))


def new_id():
    return "%016x" % random.getrandbits(64)


BOUNDS = {"seed-lag-s": 3, "addr-reuse-s": 2, "stable-ms": 3000,
          "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6,
          "loss-slack-ms": 200, "config-apply-ms": 2000,
          "rollback-slack-ms": 250, "stretch-max-ms": 5000,
          "revoke-strict": False, "revoke-ms": 5000, "retry-ratio": 0.2,
          "retry-window-s": 10, "retry-slack": 49, "quota-window-s": 5,
          "quota-excess": 0.25, "quota-slack": 20, "recovery-s": 15}


def configuration(version, routes, services, tenants, host="shop.example"):
    """The operator's document, as PROTOCOL.md describes it."""
    return json.dumps({
        "version": "r%d" % version,
        "services": [{"name": s, "health-path": "/healthz", "max-conns": 500,
                      "protocol": "h1", "tls-mode": False} for s in services],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": tenants,
        "virtual-hosts": [{"host": host, "paths": routes}]})


def route(prefix, service, kind="idempotent", timeout_ms=3000, priority=2,
          max_attempts=2, public=False):
    return {"name": "r-" + prefix.strip("/"), "prefix": prefix, "kind": kind,
            "timeout-ms": timeout_ms, "target-latency-ms": 1500,
            "priority": priority, "service": service,
            "max-attempts": max_attempts, "public": public}


def main(folder, case, zones, bounds=None):
    """Runs `case(fleet, record)`; its result is the exit status."""
    record = Record(folder)
    record("trouble  %s" % ("on" if TROUBLE else "off"))
    if not os.path.exists(os.path.join(ROOT, "target", "lentilcross")):
        print("target/lentilcross is missing: build the deploy file first")
        return UNUSABLE
    status = UNUSABLE

    async def run():
        fleet = Fleet(record, zones, bounds or BOUNDS)
        try:
            return await asyncio.wait_for(case(fleet, record), 112)
        finally:
            fleet.end()

    def quiet(loop, context):
        del loop, context  # connections of stand-ins that were cut off
    policy = asyncio.get_event_loop_policy()
    loop = policy.new_event_loop()
    loop.set_exception_handler(quiet)
    asyncio.set_event_loop(loop)
    try:
        status = loop.run_until_complete(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record("cannot run: %r" % error)
        print("cannot run: %r" % error)
    for task in asyncio.all_tasks(loop):
        task.cancel()
    text = {HELD: "the rule held", BROKEN: "the rule was broken",
            UNUSABLE: "the case could not run"}[status]
    record("result   " + text)
    print(text)
    return status


if __name__ == "__main__":
    sys.exit(UNUSABLE)
