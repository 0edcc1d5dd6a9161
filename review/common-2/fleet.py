"""Small deployment for the cases of the second review.

Starts the project's daemon with the command of deploy/system.toml and settings
rendered from deploy/settings.template, one process for each host, each with a
loopback address of its own. The platform's store, the upstreams and the clients
are stand-ins in this process. They follow the users' pages, and behave like a
sound store, server and client where the pages are silent.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Figures of cedarhoop-prairie, as in its site sheet.
BOUNDS = {
    "seed-lag-s": 3, "addr-reuse-s": 2, "stable-ms": 3000, "ack-ms": 4000,
    "catch-up-s": 4, "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200,
    "config-apply-ms": 2000, "rollback-slack-ms": 250,
    "stretch-max-ms": 5000, "revoke-strict": False, "revoke-ms": 5000,
    "retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 49,
    "quota-window-s": 5, "quota-excess": 0.25, "quota-slack": 20,
    "recovery-s": 15,
}
LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 67108864,
          "header-timeout-ms": 3000, "idle-timeout-ms": 15000}


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()
        self.flushing = True

    def add(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        now = time.monotonic() - self.began
        self.file.write(f"{now:9.3f} {event} {text}\n")
        if self.flushing:
            self.file.flush()


# ----- HTTP


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers  # Lower-case names.
        self.body = body


async def read_message(reader):
    """None at the end of the connection. Requests, and answers with a body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    return Message(lines[0], headers, body)


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone",
           421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable"}


def make_answer(status, headers, body):
    text = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    text += f"Content-Length: {len(body)}\r\n\r\n"
    return text.encode("latin-1") + body


# ----- The platform's store


class Store:
    """Linearizable, loses nothing, keeps all history."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()

    async def start(self, ip, port):
        self.address = f"{ip}:{port}"
        self.server = await asyncio.start_server(self.serve, ip, port)

    def put(self, key, value):
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        if len(data) > 1048576:
            raise CannotRun("the store takes values of 1048576 bytes at most")
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(data).decode(),
                "rev": self.revision,
                "created": old["created"] if old else self.revision,
                "lease": 0}
        self.items[key] = item
        self.note(item)

    def delete(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.note({"key": key, "rev": self.revision, "deleted": True})

    def note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                status, body = await self.answer(message.first.split(" ")[1])
                data = json.dumps(body).encode()
                writer.write(make_answer(
                    status, {"Content-Type": "application/json"}, data))
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, target):
        path, _, query = target.partition("?")
        fields = {}
        for pair in query.split("&"):
            name, _, value = pair.partition("=")
            fields[name] = re.sub("%([0-9A-Fa-f]{2})",
                                  lambda m: chr(int(m.group(1), 16)), value)
        if path == "/kv-key":
            item = self.items.get(fields.get("key", ""))
            if item is None:
                return 404, {"store-revision": self.revision}
            return 200, dict(item, **{"store-revision": self.revision})
        prefix = fields.get("prefix", "")
        if path == "/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > fields.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "truncated": len(keys) > 500,
                         "store-revision": self.revision}
        if path == "/kv-watch":
            after = int(fields.get("after", "0"))
            end = time.monotonic() + int(fields.get("wait-ms", "0")) / 1000
            while True:
                found = [e for e in self.events
                         if e["rev"] > after and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found,
                                 "store-revision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


# ----- Upstreams


class Upstream:
    """An application upstream with slots and a queue."""

    def __init__(self, fleet, name, service, zone, ip, port, slots, work):
        self.fleet = fleet
        self.id = name
        self.service = service
        self.zone = zone
        self.address = f"{ip}:{port}"
        self.ip, self.port = ip, port
        self.slots = slots
        self.work = work  # Seconds of work for a request, by its message.
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.runs = []  # (id, began, ended or None, how it ended)
        self.most = 0  # Most requests at work at the same time.

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=1 << 20, backlog=1024)
        self.report()

    def report(self):
        self.sequence += 1
        self.fleet.store.put("servers/" + self.id, {
            "address": self.address, "born": self.born,
            "details": {"service": self.service, "version": "v1",
                        "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence,
                       "cold-left-ms": 0}})

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if not await self.handle(message, reader, writer):
                    break
        except (OSError, EOFError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def headers(self, message):
        fields = {"X-Lentilcross-Server-Load":
                  f"{self.running},{self.waiting},{self.slots}"}
        if "x-lentilcross-request-id" in message.headers:
            fields["X-Lentilcross-Request-Id"] = (
                message.headers["x-lentilcross-request-id"])
        return fields

    def answer(self, message, request):
        """The body of an answer."""
        return f"answer of {self.id} to {request}\n".encode()

    async def handle(self, message, reader, writer):
        """False if the connection has ended."""
        method, target, _ = message.first.split(" ")
        if target == "/healthz":
            writer.write(make_answer(200, {
                "X-Lentilcross-Instance-Id": self.id}, b""))
            return True
        request = message.headers.get("x-lentilcross-request-id")
        expected = message.headers.get("x-lentilcross-expect-instance")
        if expected is not None and expected != self.id:
            writer.write(make_answer(421, {
                "X-Lentilcross-Instance-Id": self.id,
                **self.headers(message)}, b""))
            return True
        if request is None or self.waiting >= 2 * self.slots:
            writer.write(make_answer(400 if request is None else 503, {
                "X-Lentilcross-Not-Executed": "1",
                **self.headers(message)}, b""))
            return True
        self.waiting += 1
        # Whatever comes while a request is waiting or running is its close.
        gone = asyncio.ensure_future(reader.read(1))
        slot = asyncio.ensure_future(self.free.acquire())
        await asyncio.wait({gone, slot}, return_when=asyncio.FIRST_COMPLETED)
        self.waiting -= 1
        if not slot.done():
            slot.cancel()
            return False
        self.running += 1
        self.most = max(self.most, self.running)
        run = [request, time.monotonic(), None, "running"]
        self.runs.append(run)
        self.fleet.record.add(
            "run", upstream=self.id, id=request, method=method, target=target,
            bytes=len(message.body),
            tenant=message.headers.get("x-lentilcross-tenant", "-"),
            deadline=message.headers.get("x-lentilcross-deadline-ms", "-"))
        try:
            await asyncio.wait({gone}, timeout=self.work(message))
            run[2] = time.monotonic()
            run[3] = "dropped" if gone.done() else "done"
            self.fleet.record.add("run-" + run[3], upstream=self.id, id=request)
            if gone.done():
                return False
        finally:
            self.running -= 1
            self.free.release()
        body = self.answer(message, request)
        gone.cancel()
        try:
            await gone
        except asyncio.CancelledError:
            pass
        writer.write(make_answer(200, {
            "X-Lentilcross-Server-Seal": f"seal.{request}",
            **self.headers(message)}, body))
        await writer.drain()
        return True


# ----- Daemons


class Daemon:
    def __init__(self, fleet, index, service, zone):
        self.fleet = fleet
        self.name = f"sidecar-{zone}-{index}"
        self.service = service
        self.zone = zone
        self.ip = fleet.ip(10 + index)
        self.process = None
        self.starts = 0
        self.outbound = (self.ip, fleet.ports[0])
        self.ready_address = (self.ip, fleet.ports[2])
        self.app = (self.ip, fleet.ports[3])

    def render(self):
        values = {
            "bind-ip": self.ip, "zone": self.zone,
            "region": self.fleet.zones[self.zone],
            "listen-addrs.outbound-addr": f"{self.ip}:{self.fleet.ports[0]}",
            "listen-addrs.inbound-addr": f"{self.ip}:{self.fleet.ports[1]}",
            "listen-addrs.ready-addr": f"{self.ip}:{self.fleet.ports[2]}",
            "node-name": self.name, "service": self.service,
            "app-addr": f"{self.app[0]}:{self.app[1]}",
            "platform.address": self.fleet.store.address,
            "slo-bounds": self.fleet.bounds, "zones": self.fleet.zones,
        }
        with open(os.path.join(ROOT, "deploy", "settings.template")) as file:
            text = file.read()
        return re.sub(r"\{\{([^}|]+)\|json\}\}",
                      lambda m: json.dumps(values[m.group(1)]), text)

    def start(self):
        path = os.path.join(self.fleet.work, self.name + ".settings")
        with open(path, "w") as file:
            file.write(self.render())
        log = open(os.path.join(self.fleet.work, self.name + ".log"), "a")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target", "lentilcross"), "daemon",
             "--settings", path],
            cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.starts += 1

    def signal(self, number):
        self.fleet.record.add("signal", daemon=self.name, number=number)
        self.process.send_signal(number)

    def memory_mb(self):
        """Resident memory, as the platform sees it; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready_address)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message.first.split(" ")[1] == "200"
        except (OSError, EOFError, asyncio.TimeoutError,
                asyncio.IncompleteReadError):
            return False


class Fleet:
    """Daemons with an upstream each, and the store."""

    def __init__(self, folder, layout, zones, bounds=None):
        self.record = Record(folder)
        self.work = tempfile.mkdtemp(prefix="lentilcross-case-")
        self.zones = zones
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.net = f"127.{random.randint(16, 240)}.{random.randint(1, 250)}"
        self.ports = random.sample(range(20000, 30000), 5)
        self.store = Store(self.record)
        self.daemons = [Daemon(self, i, service, zone)
                        for i, (service, zone) in enumerate(layout)]
        self.upstreams = []
        self.tasks = []

    def ip(self, last):
        return f"{self.net}.{last}"

    async def start(self, configuration, slots, work):
        if not os.path.exists(os.path.join(ROOT, "target", "lentilcross")):
            raise CannotRun("target/lentilcross is missing")
        await self.store.start(self.ip(2), self.ports[4])
        self.publish(configuration)
        for index, daemon in enumerate(self.daemons):
            upstream = Upstream(self, f"i-{random.getrandbits(32):08x}",
                                daemon.service, daemon.zone, *daemon.app,
                                slots, work)
            self.upstreams.append(upstream)
            daemon.upstream = upstream
            await upstream.start()
        for daemon in self.daemons:
            daemon.start()
        self.tasks.append(asyncio.ensure_future(self.beat()))
        await self.wait_ready(15)

    async def wait_ready(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            ready = [await daemon.is_ready() for daemon in self.daemons]
            if all(ready):
                await asyncio.sleep(3.5)  # In touch: stable-ms, and a margin.
                return
            await asyncio.sleep(0.1)
        raise CannotRun("not all daemons are ready")

    async def beat(self):
        while True:
            await asyncio.sleep(1.5)
            for upstream in self.upstreams:
                if upstream.state != "gone":
                    upstream.report()

    def publish(self, configuration):
        self.store.put("op/config", configuration)
        self.record.add("config", version=configuration["version"],
                        bytes=len(json.dumps(configuration)))

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.kill()
        for daemon in self.daemons:
            if daemon.process is not None:
                daemon.process.wait()
        if os.environ.get("KEEP") == "1":
            print("logs:", self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)


def route(prefix, kind, service, timeout_ms, **more):
    return dict({"name": "r" + prefix.strip("/"), "prefix": prefix,
                 "kind": kind, "timeout-ms": timeout_ms,
                 "target-latency-ms": 1200, "priority": 2, "service": service,
                 "max-attempts": 2, "public": False}, **more)


def configuration(number, services, routes, tenants, limits=None):
    return {"version": f"r{number}",
            "services": [{"name": name, "health-path": "/healthz",
                          "max-conns": 526, "protocol": "h1",
                          "tls-mode": False} for name in services],
            "limits": limits or LIMITS, "tenants": tenants,
            "virtual-hosts": [{"host": "hulo84.example", "paths": routes}]}


# ----- Clients


def request_id():
    return f"{random.getrandbits(64):016x}"


def make_request(method, path, identity, key, deadline_ms, body=b"",
                 host="hulo84.example"):
    text = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
            f"X-Lentilcross-Request-Id: {identity}\r\n"
            f"X-Lentilcross-Deadline-Ms: {deadline_ms}\r\n")
    if key:
        text += f"X-Lentilcross-Key: {key}\r\n"
    if body or method == "POST":
        text += f"Content-Length: {len(body)}\r\n"
    return text.encode() + b"\r\n" + body


async def connect(address):
    return await asyncio.open_connection(*address, limit=1 << 20)


async def ask(record, address, data, identity, timeout):
    """One request on a new connection: status, or "closed", "silent"."""
    record.add("sent", id=identity, bytes=len(data))
    writer = None
    try:
        reader, writer = await connect(address)
        writer.write(data)
        message = await asyncio.wait_for(read_message(reader), timeout)
        status = int(message.first.split(" ")[1])
        if status == 200 and identity.encode() not in message.body:
            record.add("foreign", id=identity, body=message.body[:80])
    except asyncio.TimeoutError:
        status = "silent"
    except (OSError, EOFError, asyncio.IncompleteReadError):
        status = "closed"
    finally:
        if writer is not None:
            writer.close()
    record.add("answered", id=identity, status=status)
    return status


def run_case(folder, play, seconds=110):
    """Runs `play(record)`, which returns whether the rule was broken."""
    async def main():
        # Stand-ins that are cancelled at the end have nothing to tell.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(play(folder), seconds)

    status = 2
    try:
        broken = asyncio.run(main())
        status = 1 if broken else 0
        print("broken" if broken else "held")
    except CannotRun as error:
        print("cannot run:", error)
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
    sys.stdout.flush()
    os._exit(status)
