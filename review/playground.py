"""Stand-ins for the platform, the replicas and the clients, for the cases beside it.

They follow the pages of the users' platform and use only the standard library. All
addresses are loopback addresses; entry instances run as processes of their own, with
the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import subprocess
import tempfile
import time
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
COMMAND = ("python3", "platform/serve.py")
HOST = "desk.example"
HEARTBEAT_S = 1.2
FRONT_PORT, READY_PORT, DIRECTORY_PORT = 8104, 8108, 8100
PART_ITEMS_MAX = 500
ENDLESS_PIECE = b"1\r\na\r\n" * 10_000
START_TIMEOUT_S = 20.0
CONNECT_TIMEOUT_S = 1.0

SETTINGS = """
node_name = "front-{name}"
role = "entry"
machine_class = "front"
serves = ["front", "control_plane", "directory"]
ip_address = "{ip}"
zone = "{zone}"
region = "viti-west"
internal_port_range = [7380, 7395]
seed_nodes = [{seeds}]
bootstrap = true
heartbeat_interval_ms = 1200
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
[bounds]
stable_window_ms = 4000
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra_retries = 54
evacuation_ms = 5000
recovery_s = 12
ttl_max_s = 5
[platform]
address = "{store}"
form = "read"
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
"""


class Record:
    """Record of a run: what was sent, answered and run.

    Parameters
    ----------
    path : pathlib.Path
        File to write.
    """

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the time since the start of the run, in seconds."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def conclude(self, text: str) -> None:
        """Write a line of the result, and print it."""
        self.write(text)
        print(text)


class Message(typing.NamedTuple):
    """A request or an answer; `start` is its first line, names are in lower case."""

    start: str
    fields: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split()[1])


async def read_message(reader: asyncio.StreamReader, head: bytes = b"") -> Message:
    """Read a message with a length; raise `asyncio.IncompleteReadError` if it is cut.

    `head` holds bytes of it that were read before.
    """
    head += await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Message(lines[0], fields, body)


@contextlib.contextmanager
def _closing(writer: asyncio.StreamWriter) -> typing.Iterator[None]:
    """Close a connection at the end of the block, also if it breaks."""
    try:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            yield
    finally:
        writer.close()


def make_answer(status: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Store:
    """The platform's metadata store: items, their history, ranges and watches."""

    def __init__(self) -> None:
        self.address = ""
        self._revision = 100
        self._items: dict[str, tuple[int, bytes]] = {}
        self._history: list[tuple[int, str, bytes | None]] = []
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Serve on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())

    def put(self, key: str, value: bytes) -> None:
        """Write an item."""
        self._change(key, value)
        self._items[key] = (self._revision, value)

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self._change(key, None)

    def _change(self, key: str, value: bytes | None) -> None:
        self._revision += 1
        self._history.append((self._revision, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with _closing(writer):
            while True:
                request = await read_message(reader)
                path, _, query = request.start.split()[1].partition("?")
                values = dict(urllib.parse.parse_qsl(query))
                if path == "/kv-range":
                    table = self._list(values.get("prefix", ""), values.get("after"))
                else:
                    table = await self._watch(
                        values.get("prefix", ""),
                        int(values["after"]),
                        int(values["wait_ms"]) / 1000,
                    )
                await asyncio.sleep(0.004)
                fields = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(make_answer(200, fields, json.dumps(table).encode()))
                await writer.drain()

    def _list(self, prefix: str, after: str | None) -> dict[str, typing.Any]:
        keys = sorted(one for one in self._items if one.startswith(prefix))
        rest = [one for one in keys if after is None or one > after]
        items = [_encode(self._items[one][0], one, self._items[one][1]) for one in rest]
        return {
            "items": items[:PART_ITEMS_MAX],
            "has_more": len(items) > PART_ITEMS_MAX,
            "at_revision": self._revision,
        }

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> dict[str, typing.Any]:
        ends_at = time.monotonic() + wait_s
        while True:
            changed = self._changed
            events = [
                _encode(revision, key, value)
                for revision, key, value in self._history
                if revision > after and key.startswith(prefix)
            ][:PART_ITEMS_MAX]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                at = events[-1]["revision"] if events else self._revision
                return {"events": events, "at_revision": at}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


def _encode(revision: int, key: str, value: bytes | None) -> dict[str, typing.Any]:
    if value is None:
        return {"key": key, "revision": revision, "compacted": True}
    text = base64.b64encode(value).decode()
    return {
        "key": key,
        "value": text,
        "revision": revision,
        "created_revision": revision,
        "lease_id": 0,
    }


class Replica:
    """A replica, which registers itself in the store.

    Attributes
    ----------
    runs : list of (float, str)
        Time and request identifier of each run.
    extra_share : float
        Share of the answers after which the same answer is sent once more, at the
        point where the next response on the connection is expected.
    extras : int
        Answers that were sent once more.
    endless_share : float
        Share of the answers that are bytes without end, until the caller closes.
    endless : int
        Such answers so far.
    body : bytes
        Body of its other answers.

    Parameters
    ----------
    store : Store
        Store in which it registers.
    record : Record
        Record of the run.
    identity, service, zone : str
        Its id, its service and its zone.
    slots, queue : int
        Requests that it processes at once, and that wait besides.
    work_s : float
        Time that a request takes, in seconds.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        identity: str,
        service: str,
        zone: str,
        slots: int = 4,
        queue: int = 4,
        work_s: float = 0.1,
    ):
        self.identity = identity
        self.runs: list[tuple[float, str]] = []
        self.extra_share = 0.0
        self.extras = 0
        self.endless_share = 0.0
        self.endless = 0
        self.body = b"done"
        self.answers = 0
        self._store = store
        self._record = record
        self._service = service
        self._zone = zone
        self._slots = slots
        self._queue = queue
        self._work_s = work_s
        self._present = 0
        self._free = asyncio.Semaphore(slots)
        self._address = ""
        self._sequence = 0
        self._born = int(1000 * time.time())

    async def start(self) -> None:
        """Serve on a free port, and register in the store from now on."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._address = "{}:{}".format(*server.sockets[0].getsockname())
        self._report()
        self._task = asyncio.create_task(self._report_for_ever())

    async def _report_for_ever(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._report()

    def _report(self) -> None:
        self._sequence += 1
        entry = {
            "service": self._service,
            "address": self._address,
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        self._store.put(f"servers/{self.identity}", json.dumps(entry).encode())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        extra = ahead = b""
        with _closing(writer):
            while True:
                request = await read_message(reader, ahead)
                identity = request.fields.get("x-request-id", "")
                if extra:
                    self._record.write(
                        f"{self.identity} extra answer before {identity}"
                    )
                    writer.write(extra)
                    extra = b""
                    # The answer to this request follows in a packet of its own.
                    await writer.drain()
                answer, ahead = await self._answer(request, identity, reader, writer)
                if answer is None:
                    break
                self.answers += 1
                writer.write(answer)
                await writer.drain()
                if random.random() < self.extra_share:
                    extra = answer
                    self.extras += 1

    async def _answer(
        self,
        request: Message,
        identity: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> tuple[bytes | None, bytes]:
        """Return the answer and what was read ahead; no answer if the caller left."""
        fields = {"X-Request-Id": identity}
        if random.random() < self.endless_share:
            self.endless += 1
            self._record.write(f"{self.identity} answers {identity} without end")
            await self._send_without_end(writer, fields)
            return None, b""
        if request.fields.get("x-expect-instance") != self.identity:
            return make_answer(421, {**fields, "X-Instance-Id": self.identity}), b""
        if self._present >= self._slots + self._queue:
            self._record.write(f"{self.identity} sheds {identity}")
            return make_answer(503, {**fields, "X-Not-Executed": "1"}), b""
        self._present += 1
        work = asyncio.create_task(self._work(identity))
        watch = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait((work, watch), return_when=asyncio.FIRST_COMPLETED)
            if not work.done() and not watch.result():
                work.cancel()
                return None, b""
            await work
        finally:
            self._present -= 1
            if not watch.done():
                watch.cancel()
        ahead = b""
        with contextlib.suppress(asyncio.CancelledError):
            ahead = await watch
        stamp = f"{self.identity}.{identity}"
        return make_answer(200, {**fields, "X-Server-Stamp": stamp}, self.body), ahead

    async def _send_without_end(
        self, writer: asyncio.StreamWriter, fields: dict[str, str]
    ) -> None:
        """Send a body that doesn't end, until the caller closes the connection."""
        lines = ["HTTP/1.1 200 Answer", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join([*lines, "X-Server-Stamp: s", "", ""]).encode())
        while not writer.is_closing():
            writer.write(ENDLESS_PIECE)
            await writer.drain()
            await asyncio.sleep(0)

    async def _work(self, identity: str) -> None:
        async with self._free:
            self.runs.append((self._record.now(), identity))
            self._record.write(f"{self.identity} runs {identity}")
            await asyncio.sleep(self._work_s)


class Entry:
    """An entry instance, which the platform starts again when its process ends.

    Attributes
    ----------
    ip : str
        Its loopback address.
    starts : list of float
        Time of each start of its process.
    ends : list of (float, int)
        Time and status of each end of its process that nobody asked for.

    Parameters
    ----------
    record : Record
        Record of the run.
    folder : pathlib.Path
        Folder of its settings and its log.
    name, ip, zone, store : str
        Its name, its address, its zone and the address of the store.
    seeds : sequence of str
        Addresses of the entry instances that it is told.
    """

    def __init__(
        self,
        record: Record,
        folder: pathlib.Path,
        name: str,
        ip: str,
        zone: str,
        store: str,
        seeds: typing.Sequence[str],
    ):
        self.ip = ip
        self.name = name
        self.starts: list[float] = []
        self.ends: list[tuple[float, int]] = []
        self.log_path = folder / f"{name}.log"
        self._record = record
        self._settings_path = folder / f"{name}.toml"
        self._settings_path.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                store=store,
                seeds=", ".join(f'"{one}:8106"' for one in seeds),
            )
        )
        self._process: subprocess.Popen[bytes] | None = None
        self._stopped = False

    def _launch(self) -> subprocess.Popen[bytes]:
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["ACACIALATCH_BOOT"] = str(self._settings_path)
        with self.log_path.open("ab") as log:
            return subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def run(self) -> None:
        """Run the process, and start it again 0.5 s after it has ended."""
        while not self._stopped:
            self.starts.append(self._record.now())
            self._process = self._launch()
            self._record.write(f"{self.name} starts")
            while self._process.poll() is None:
                await asyncio.sleep(0.02)
            if self._stopped:
                return
            status = self._process.returncode
            self.ends.append((self._record.now(), status))
            self._record.write(f"{self.name} has ended by itself, status {status}")
            await asyncio.sleep(0.5)

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def stop(self) -> None:
        """End the process for good."""
        self._stopped = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            answer = await asyncio.wait_for(
                exchange(self.ip, READY_PORT, "GET", "/readiness", {}, b""), 1.0
            )
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200


async def exchange(
    ip: str,
    port: int,
    method: str,
    path: str,
    fields: dict[str, str],
    body: bytes,
) -> Message:
    """Send a request on a new connection; return the whole answer.

    Raises
    ------
    OSError, asyncio.IncompleteReadError
        There is no connection, or it ends without a whole answer.
    """
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(ip, port), CONNECT_TIMEOUT_S
    )
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        await writer.drain()
        return await read_message(reader)
    finally:
        writer.close()


def make_route(name: str, target: dict[str, typing.Any], **fields: typing.Any) -> dict:
    """Return a route of the configuration, for requests under `/NAME/`."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "route_kind": "idempotent",
        "timeout_ms": 8000,
        "target_latency_ms": 800,
        "priority": 1,
        "max_attempts": 2,
        **target,
        **fields,
    }


def make_configuration(
    version: int, routes: list[dict], services: typing.Iterable[str]
) -> bytes:
    """Return the configuration as the operator writes it."""
    rows = [
        {
            "name": name,
            "health_path": "/health",
            "max_connections": 31,
            "protocol": "h1",
            "tls": False,
            "cold_start_s": 3.0,
            "cold_per_s": 0.0,
        }
        for name in services
    ]
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    table = {"version": version, "routes": routes, "services": rows, "limits": limits}
    return json.dumps(table).encode()


def choose_addresses(count: int) -> list[str]:
    """Return loopback addresses of which the ports of entry instances are free."""
    source = random.SystemRandom()
    net = f"127.{source.randrange(2, 250)}.{source.randrange(2, 250)}"
    return [f"{net}.{number}" for number in range(10, 10 + count)]


@contextlib.asynccontextmanager
async def run_entries(
    record: Record, store: Store, zones: typing.Sequence[str]
) -> typing.AsyncIterator[list[Entry]]:
    """Run an entry instance in each of the zones; end all of them afterwards."""
    ips = choose_addresses(len(zones))
    with tempfile.TemporaryDirectory() as name:
        entries = [
            Entry(
                record,
                pathlib.Path(name),
                f"{zone}-{number}",
                ip,
                zone,
                store.address,
                ips[:3],
            )
            for number, (ip, zone) in enumerate(zip(ips, zones, strict=True))
        ]
        tasks = [asyncio.create_task(one.run()) for one in entries]
        try:
            yield entries
        finally:
            for one in entries:
                one.stop()
            for task in tasks:
                task.cancel()


async def wait_until_ready(entries: typing.Iterable[Entry]) -> bool:
    """Return whether all entry instances are ready within `START_TIMEOUT_S`."""
    ends_at = time.monotonic() + START_TIMEOUT_S
    for one in entries:
        while not await one.is_ready():
            if time.monotonic() >= ends_at:
                return False
            await asyncio.sleep(0.05)
    return True
