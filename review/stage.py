"""Stand-ins for the scripts of the second review: store, replicas, clients, entries.

Only the standard library is used. All addresses are loopback addresses. A script runs
`play` with a coroutine, which gets a `Stage` and returns the broken rules it saw.
"""

import asyncio
import base64
import collections
import contextlib
import itertools
import json
import logging
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "a.example"
FRONT, READY, DIRECTORY = 8104, 8108, 8100
START_S = 20.0
RUN_S = 110.0
QUEUE_MAX = 18
HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """
node_name = "entry-{name}"
role = "entry"
machine_class = "front"
serves = ["front", "control_plane", "directory"]
ip_address = "{ip}"
zone = "{zone}"
region = "west"
internal_port_range = [7380, 7395]
seed_nodes = [{seeds}]
bootstrap = true
counts_toward_tolerance = false
discovery = "platform"
entry = "directory"
heartbeat_interval_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter",
  "places", "platform"]
[zones]
a = "west"
b = "west"
[listen_addresses]
front = "{ip}:8104"
ready = "{ip}:8108"
control = "{ip}:8106"
directory = "{ip}:8100"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = 300
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
stable_window_ms = 4000
acknowledge_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
stretch_max_ms = 12000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra_retries = 54
cold_overrun = 1.5
cold_slack = 5
evacuation_ms = 5000
recovery_s = 12
ttl_max_s = 5
[platform]
address = "{store}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Message:
    """An HTTP request or response as it was received."""

    def __init__(self, start, fields, body):
        self.start = start
        self.fields = fields
        self.body = body

    def get(self, name, default=""):
        """Return the last value of a header field."""
        return dict(self.fields).get(name, default)


async def read_message(reader, is_response=False):
    """Return the next message, or None if the connection ended before a whole one."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head[:-4].decode("latin-1").split("\r\n")
        fields = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields.append((name.strip().lower(), value.strip()))
        found = dict(fields)
        if "chunked" in found.get("transfer-encoding", ""):
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if not size:
                    break
        elif "content-length" in found:
            body = await reader.readexactly(int(found["content-length"]))
        elif is_response:
            body = await reader.read()
        else:
            body = b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError, OSError):
        return None
    return Message(lines[0], fields, body)


def encode_response(status, fields, body=b""):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def choose_ip():
    """Return a loopback address that hardly anything else uses."""
    numbers = [random.SystemRandom().randrange(2, 250) for _ in range(3)]
    return ".".join(str(one) for one in (127, *numbers))


class Store:
    """The platform's store: items, pages, watches and its history.

    It has an address for each entry instance, so that it can tell them apart.
    `refusals` holds, by the name of an entry instance, the status with which its calls
    are refused, or "silent".
    """

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.refusals = {}
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write an item; the return is the acknowledgement."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._record({"key": key, "value": text})

    def remove(self, key):
        """Remove an item."""
        self._record({"key": key, "compacted": True})

    def _record(self, event):
        self.revision += 1
        event["revision"] = self.revision
        if "value" in event:
            event |= {"created_revision": self.revision, "lease_id": 0}
            self.items[event["key"]] = event
        else:
            self.items.pop(event["key"], None)
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def listen(self, name):
        """Listen on a free port for an entry instance; return the address."""

        async def serve(reader, writer):
            await self._serve_connection(reader, writer, name)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return "{}:{}".format(*server.sockets[0].getsockname())

    async def _serve_connection(self, reader, writer, name):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                status, table = await self._answer(message.start.split()[1], name)
                if status == "silent":
                    await asyncio.sleep(RUN_S)
                    break
                fields = [("Content-Type", "application/json"), ("Store-Era", "1")]
                body = json.dumps(table).encode()
                writer.write(encode_response(status, fields, body))
                await writer.drain()
        writer.close()

    async def _answer(self, target, name):
        if (refused := self.refusals.get(name)) is not None:
            return refused, {}
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        prefix = query.get("prefix", "")
        if path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(prefix))
            keys = [key for key in keys if key > query.get("after", "")]
            page = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            revision = self.revision
            return 200, {"items": page, "has_more": more, "at_revision": revision}
        if path != "/kv-watch":
            return 404, {}
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if (refused := self.refusals.get(name)) is not None:
                return refused, {}
            events = [
                one
                for one in self.history
                if one["revision"] > after and one["key"].startswith(prefix)
            ][:400]
            left = until - time.monotonic()
            if events or left <= 0:
                revision = events[-1]["revision"] if events else self.revision
                return 200, {"events": events, "at_revision": revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left, 0.2))


class Replica:
    """A backend server that works one request after the other on a connection.

    It works on `slots` requests at once, and queues or rejects the others.

    Attributes
    ----------
    arrivals : list
        Time and identifier of each request, rejected ones included.
    ran : collections.Counter
        How often each request was begun.
    extra_fields : list
        Header fields added to all answers.
    """

    def __init__(self, stage, identity, service, zone="a", work_s=0.02, slots=3):
        self.stage = stage
        self.identity = identity
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.address = ""
        self.arrivals = []
        self.ran = collections.Counter()
        self.extra_fields = []
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.server = None
        self.writers = set()
        self._free_slots = asyncio.Semaphore(slots)
        self._queued = 0
        self.registered = None
        self.beat_task = None

    async def serve(self):
        """Listen on a free port and register."""
        self.server = await asyncio.start_server(self._serve_connection, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        self.beat()
        self.beat_task = asyncio.create_task(self._beat_on())

    async def _beat_on(self):
        while True:
            await asyncio.sleep(1.2)
            self.beat()

    def beat(self):
        """Write the registration, unless only its sequence number is new."""
        self.sequence += 1
        item = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": self.read_cold_ms(),
            "born": self.born,
        }
        if item != self.registered:
            self.registered = item
            item = {**item, "sequence": self.sequence}
            self.stage.store.put(f"servers/{self.identity}", item)

    def read_cold_ms(self):
        """Return for how many milliseconds the replica stays cold."""
        return 0

    def end(self):
        """End as a process does: listener and connections close."""
        self.beat_task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve_connection(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                if not await self.handle(message, writer):
                    break
        self.writers.discard(writer)
        writer.close()

    async def handle(self, message, writer):
        """Answer one request; return whether the connection stays open."""
        identity = message.get("x-request-id")
        fields = [("X-Request-Id", identity), *self.extra_fields]
        expected = message.get("x-expect-instance", self.identity)
        if expected != self.identity:
            fields.append(("X-Instance-Id", self.identity))
            writer.write(encode_response(421, fields))
            return True
        self.arrivals.append((time.monotonic(), identity))
        answer = await self.reject(message, fields)
        if answer is None and self._queued >= QUEUE_MAX:
            answer = encode_response(503, [*fields, ("X-Not-Executed", "1")])
        if answer is not None:
            writer.write(answer)
            return True
        self._queued += 1
        try:
            await self._free_slots.acquire()
        finally:
            self._queued -= 1
        try:
            self.ran[identity] += 1
            self.stage.note("ran", identity, self.identity)
            return await self.work(identity, fields, writer)
        finally:
            self._free_slots.release()

    async def work(self, identity, fields, writer):
        """Work on a request in a slot, and answer it."""
        await asyncio.sleep(self.work_s)
        fields = [*fields, ("X-Server-Stamp", f"{self.identity}.{identity}")]
        writer.write(encode_response(200, fields, self.make_body(identity)))
        await writer.drain()
        return True

    async def reject(self, message, fields):
        """Return the bytes of a rejection, or None to run the request."""
        return None

    def make_body(self, identity):
        """Return the body of a success: one record."""
        return f"{identity:>16}".encode()[:16]


class Entry:
    """One entry instance as a process, started as the deploy file says."""

    def __init__(self, stage, ip, zone, seeds, store):
        self.stage = stage
        self.ip = ip
        self.zone = zone
        self.process = None
        self.path = stage.folder / f"{ip}.toml"
        self.text = SETTINGS.format(
            name=self.ip,
            ip=self.ip,
            zone=zone,
            seeds=", ".join(f'"{one}:8106"' for one in seeds),
            store=store,
        )
        self.path.write_text(self.text)

    def start(self):
        """Start the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ACACIALATCH_BOOT": str(self.path),
        }
        with (self.stage.folder / f"{self.ip}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "platform/serve.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number):
        """Send a signal to the process."""
        self.stage.note("signal", signal.Signals(number).name, self.ip)
        self.process.send_signal(number)

    async def wait_until_ready(self):
        """Wait for a readiness check that succeeds; False if none does in time."""
        until = time.monotonic() + START_S
        while time.monotonic() < until:
            answer = await ask(self.ip, READY, "/readiness", "ready", 1000)
            if answer is not None and answer.start.split()[1] == "200":
                return True
            await asyncio.sleep(0.05)
        return False

    def read_memory(self):
        """Return the resident memory in bytes, 0 without a process."""
        with contextlib.suppress(OSError):
            text = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
            return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")
        return 0


async def ask(ip, port, path, identity, deadline_ms, method="GET", body=b""):
    """Send a request on a new connection; return the answer, None without one."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1.0)
        writer.write(encode_request(path, identity, deadline_ms, method, body))
        return await asyncio.wait_for(
            read_message(reader, True), deadline_ms / 1000 + 1.0
        )
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


def encode_request(path, identity, deadline_ms, method="GET", body=b""):
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {identity}",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def get_status(answer):
    """Return the status of an answer, 0 without one."""
    return 0 if answer is None else int(answer.start.split()[1])


class Stage:
    """What a case plays on; `trouble` tells whether the disruption is played."""

    def __init__(self, folder, record, trouble):
        self.folder = folder
        self.trouble = trouble
        self.store = Store()
        self.entries = []
        self.serials = itertools.count(1)
        self.started = time.monotonic()
        self._record = record

    def note(self, *words):
        """Write a line to the record."""
        at = time.monotonic() - self.started
        print(f"{at:8.3f}", *words, file=self._record, flush=True)

    def publish(self, version, routes, cold_per_s=0.0):
        """Write the configuration."""
        names = set()
        for route in routes:
            names.update(route.get("fan_out_services") or [route["service"]])
        services = [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 100,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 3.0,
                "cold_per_s": cold_per_s,
            }
            for name in sorted(names)
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        table = {"version": version, "routes": routes, "services": services}
        self.store.put("op/config", {**table, "limits": limits})
        self.note("config", version)

    async def start_entries(self, zones):
        """Start one entry instance in each zone of a list, and wait for them."""
        for zone in zones:
            seeds = [one.ip for one in self.entries[:3]]
            ip = choose_ip()
            store = await self.store.listen(ip)
            self.entries.append(Entry(self, ip, zone, seeds, store))
        for one in self.entries:
            one.start()
        ready = [await one.wait_until_ready() for one in self.entries]
        self.note("entries ready", *ready)
        return all(ready)

    def end(self):
        """End all processes that were started."""
        for one in self.entries:
            if one.process is not None and one.process.poll() is None:
                one.process.kill()
        for one in self.entries:
            if one.process is not None:
                one.process.wait()


def make_route(name, service, kind="idempotent", timeout_ms=2000, aim_ms=500):
    """Return a route of the configuration: requests under /NAME/ go to a service."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": aim_ms,
        "priority": 1,
        "max_attempts": 2,
        "service": service,
    }


def play(case, folder):
    """Run a case and return the exit status; the record goes to `folder`."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with (
        (pathlib.Path(folder) / "record.txt").open("w") as record,
        tempfile.TemporaryDirectory() as temporary,
    ):
        logging.getLogger("asyncio").setLevel(logging.CRITICAL)
        stage = Stage(pathlib.Path(temporary), record, trouble)

        async def run():
            return await asyncio.wait_for(case(stage), RUN_S)

        try:
            problems = asyncio.run(run())
        except Exception as error:
            stage.note("could not run:", repr(error))
            problems = None
        finally:
            stage.end()
        if problems is None:
            print("the case could not run")
            return NOT_RUN
        for problem in problems:
            stage.note("BROKEN", problem)
            print(problem)
        stage.note("rule broken" if problems else "rule held")
        return BROKEN if problems else HELD
