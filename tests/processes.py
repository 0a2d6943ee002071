"""Starts entry instances and stand-ins as processes, and callers as threads."""

import contextlib
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time
import typing

ROOT = pathlib.Path(__file__).parent.parent
ZONES = ("east", "west")
LEAF_COUNT = 3
WAIT_S = 20.0
"""Longest wait for a condition, in seconds."""

CONFIGURATION_TEMPLATE = """
title = "Processes"
entry_instances_max = 4
zones = ["east", "west"]
zones_out = [{zones_out}]
[indexes.slots]
keys = 3000
partition_map = 1
[shapes.desk]
slots = 8
connections = 40
connect_ms = 6
cold_requests = 2
cold_window_ms = 1000
warm_up_ms = 1000
warm_after_requests = 2
[services.desk]
depends_on = ["desk-0", "desk-1", "desk-2"]
"""

SETTINGS_TEMPLATE = """name = "entry-{number}"
zone = "{zone}"
caller_address = "127.0.0.1:{caller}"
peer_address = "127.0.0.1:{peer}"
configuration_service = "http://127.0.0.1:{platform}/config"
instance_list = "http://127.0.0.1:{platform}/instances"
peers = [{peers}]
"""

AUDIT_SCRIPT = """
import os, runpy, sys
NEW = {"os.fork", "os.forkpty", "os.posix_spawn", "os.exec", "os.system",
       "subprocess.Popen", "pty.spawn"}
FLAGS = os.O_WRONLY | os.O_RDWR | os.O_CREAT
def hook(event, arguments):
    if event in NEW:
        os.write(report, f"process {event}\\n".encode())
    elif event == "open" and (arguments[2] or 0) & FLAGS:
        os.write(report, f"write {arguments[0]}\\n".encode())
    elif event in ("os.mkdir", "os.rename", "os.link", "os.symlink"):
        os.write(report, f"write {arguments[0]}\\n".encode())
report = os.open(sys.argv[1], os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
sys.addaudithook(hook)
target = sys.argv[2]
sys.argv = sys.argv[2:]
if target.startswith("/"):
    runpy.run_path(target, run_name="__main__")
else:
    runpy.run_module(target, run_name="__main__", alter_sys=True)
"""
"""Runs a module or a file and reports new processes and files opened for writing."""


def find_ports(count: int) -> list[int]:
    """Return free ports of 127.0.0.1.

    They are below the range of ephemeral ports of Linux, so that no outgoing
    connection takes one before its process listens on it.
    """
    with contextlib.ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            port = random.SystemRandom().randrange(10_000, 32_000)
            held = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                held.bind(("127.0.0.1", port))
                ports.append(port)
        return ports


def wait_until(
    condition: typing.Callable[[], object], timeout_s: float = WAIT_S
) -> None:
    """Poll a condition until it holds; fail after `timeout_s` seconds."""
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, "condition does not hold within the bound"
        time.sleep(0.02)


def list_children(pid: int) -> list[str]:
    """Return the child processes of a process that exist now."""
    found = []
    for path in pathlib.Path("/proc").glob("[0-9]*/stat"):
        with contextlib.suppress(OSError):
            name, _, rest = path.read_text().rpartition(")")
            if int(rest.split()[1]) == pid:
                found.append(name)
    return found


def ignores_reload_signal(pid: int) -> bool:
    """Return whether SIGHUP no longer ends a process that is starting.

    No program can prevent an end before its first statement.
    """
    try:
        lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    masks = [line.split()[1] for line in lines if line.startswith(("SigIgn", "SigCgt"))]
    return any(int(mask, 16) & 1 << signal.SIGHUP - 1 for mask in masks)


class Answer(typing.NamedTuple):
    """HTTP response of an entry instance or a stand-in."""

    status: int
    body: typing.Any
    must_close: bool

    def kind(self) -> str:
        return self.body.get("error", {}).get("kind", "")


class Connection:
    """A keep-alive connection to an address."""

    def __init__(self, address: str, timeout_s: float = 15.0):
        host, _, port = address.rpartition(":")
        self._http = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        self.used_at = time.monotonic()

    def send_request(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        headers: typing.Mapping[str, str] = {},
    ) -> Answer:
        data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        self._http.request(method, path, data, dict(headers))
        response = self._http.getresponse()
        content = response.read()
        must_close = response.getheader("connection", "") == "close"
        self.used_at = time.monotonic()
        return Answer(
            response.status, json.loads(content) if content else {}, must_close
        )

    def close(self) -> None:
        self._http.close()


def send_request(
    address: str,
    method: str,
    path: str,
    body: typing.Any = None,
    headers: typing.Mapping[str, str] = {},
) -> Answer:
    """Send one request over a new connection."""
    with contextlib.closing(Connection(address)) as connection:
        return connection.send_request(method, path, body, headers)


def run_module(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the command line interface and wait until it exits."""
    command = [sys.executable, "-m", "acacialatch", *arguments]
    return subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=WAIT_S
    )


def make_configuration_text(ports: typing.Sequence[int], zones_out: str = "") -> bytes:
    """Return a configuration text with two replicas of each leaf service."""
    text = CONFIGURATION_TEMPLATE.format(zones_out=zones_out)
    for leaf in range(LEAF_COUNT):
        replicas = ", ".join(
            f'{{ address = "127.0.0.1:{ports[2 * leaf + side]}", zone = "{zone}" }}'
            for side, zone in enumerate(ZONES)
        )
        text += (
            f'[services.desk-{leaf}]\nindex = "slots"\nshape = "desk"\n'
            f"start = {1000 * leaf}\nend = {1000 * (leaf + 1)}\n"
            f"replicas = [{replicas}]\n"
        )
    return text.encode()


class Fleet:
    """Three entry instances, settings for a fourth, and the stand-ins."""

    SIZE = 3
    EXTRA = 4

    def __init__(self, directory: pathlib.Path):
        self.directory = directory
        ports = find_ports(1 + 2 * self.EXTRA + 2 * LEAF_COUNT)
        self._platform_port = ports[0]
        self._callers = ports[1 : 1 + self.EXTRA]
        self._peers = ports[1 + self.EXTRA : 1 + 2 * self.EXTRA]
        self._servers = ports[-2 * LEAF_COUNT :]
        self.platform = f"127.0.0.1:{self._platform_port}"
        self.processes: list[subprocess.Popen] = []
        self._write_files()

    def _write_files(self) -> None:
        (self.directory / "text.toml").write_bytes(
            make_configuration_text(self._servers)
        )
        for number in range(1, self.EXTRA + 1):
            others = [n for n in range(self.EXTRA) if n + 1 != number]
            content = SETTINGS_TEMPLATE.format(
                number=number,
                zone=ZONES[number % 2],
                caller=self._callers[number - 1],
                peer=self._peers[number - 1],
                platform=self._platform_port,
                peers=", ".join(f'"127.0.0.1:{self._peers[n]}"' for n in others),
            )
            self.settings(number).write_text(content)

    def start(self) -> None:
        text = str(self.directory / "text.toml")
        self._spawn(
            "-m", "standins.platform", "--address", self.platform, "--text", text
        )
        self._spawn("-m", "standins.backend", "--text", text, "--straggler_rate", "0")
        wait_until(lambda: is_open(self.platform))
        wait_until(lambda: all(is_open(server) for server in self.servers()))
        send_request(self.platform, "PUT", "/instances", [])
        for number in range(1, self.SIZE + 1):
            self.start_entry(number)
        self.wait_ready()

    def stop(self) -> None:
        """Kill every process that still runs."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()

    def start_entry(self, number: int, report: str = "") -> subprocess.Popen:
        """Start an entry instance and wait until it has a configuration.

        With `report`, it runs under `AUDIT_SCRIPT` and writes to this file.
        """
        launch = ["-c", AUDIT_SCRIPT, report] if report else ["-m"]
        settings = str(self.settings(number))
        process = self._spawn(*launch, "acacialatch", "serve", "--settings", settings)
        wait_until(lambda: is_open(self.entry(number)))
        wait_until(lambda: self.status(number)["revision"] > 0)
        return process

    def _spawn(self, *arguments: str) -> subprocess.Popen:
        with open(self.directory / "output.txt", "ab") as output:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                stdout=output,
                stderr=output,
            )
        self.processes.append(process)
        return process

    def wait_ready(self, count: int = SIZE) -> None:
        """Query until each entry instance reports every server as ready."""
        numbers = range(1, count + 1)
        ready = {"ready": 2 * LEAF_COUNT}

        def is_ready() -> bool:
            for number in numbers:
                self.query(number, deadline_ms=500)
            return all(self.status(number)["servers"] == ready for number in numbers)

        wait_until(is_ready, 2 * WAIT_S)

    # Addresses and requests.

    def settings(self, number: int) -> pathlib.Path:
        return self.directory / f"entry-{number}.toml"

    def entry(self, number: int) -> str:
        return f"127.0.0.1:{self._callers[number - 1]}"

    def servers(self, zone: str = "", leaf: int | None = None) -> list[str]:
        return [
            f"127.0.0.1:{port}"
            for place, port in enumerate(self._servers)
            if zone in ("", ZONES[place % 2]) and leaf in (None, place // 2)
        ]

    def status(self, number: int) -> dict[str, typing.Any]:
        return send_request(self.entry(number), "GET", "/v1/status").body

    def query(self, number: int, **fields: typing.Any) -> Answer:
        body = {"kind": "full_page", **fields}
        return send_request(self.entry(number), "POST", "/v1/query/desk", body)

    def publish(self, zones_out: str = "") -> None:
        text = make_configuration_text(self._servers, zones_out)
        assert send_request(self.platform, "PUT", "/config", text).status == 200

    def set_faults(self, **faults: typing.Any) -> None:
        assert send_request(self.platform, "PUT", "/faults", faults).status == 204

    def control(self, servers: typing.Iterable[str], **fields: typing.Any) -> None:
        for server in servers:
            assert send_request(server, "POST", "/control", fields).status == 200

    def count(self, name: str, servers: typing.Iterable[str]) -> int:
        return sum(self._counters(server).get(name, 0) for server in servers)

    def count_runs(self, key: str) -> int:
        runs = [self._counters(server)["runs"] for server in self.servers()]
        return sum(counted.get(key, 0) for counted in runs)

    def _counters(self, server: str) -> dict[str, typing.Any]:
        return send_request(server, "GET", "/counters").body


def is_open(address: str) -> bool:
    """Return whether an address accepts connections."""
    host, _, port = address.rpartition(":")
    with contextlib.suppress(OSError), socket.create_connection((host, int(port)), 1):
        return True
    return False


class Caller:
    """Caller that follows the guide for callers and sends queries continuously.

    Parameters
    ----------
    first : str
        Address from which the addresses to use are requested first.
    fixed : bool
        Whether it uses only the first address and requests no others.
    """

    IDLE_S = 5.0

    def __init__(self, first: str, fixed: bool = False):
        self._addresses = [first]
        self._fixed = fixed
        self._valid_until = float("inf") if fixed else 0.0
        self._connections: dict[str, Connection] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.answered: dict[str, int] = {}
        self.failures: list[str] = []

    def __enter__(self) -> typing.Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join()
        for connection in self._connections.values():
            connection.close()

    def total(self) -> int:
        return sum(self.answered.values())

    def _run(self) -> None:
        turn = 0
        while not self._stopped.is_set():
            turn += 1
            if time.monotonic() >= self._valid_until:
                self._ask_for_entries()
            address = self._addresses[turn % len(self._addresses)]
            self._ask(address, "POST", "/v1/query/desk", {"kind": "full_page"})
            time.sleep(0.01)

    def _ask_for_entries(self) -> None:
        # The lifetime starts with the answer at the earliest, so a count from the
        # request never exceeds it.
        requested_at = time.monotonic()
        answer = self._ask(self._addresses[0], "GET", "/v1/entries")
        if answer is not None and answer.body["entries"]:
            self._addresses = answer.body["entries"]
            self._valid_until = requested_at + answer.body["lifetime_s"]

    def _ask(
        self, address: str, method: str, path: str, body: typing.Any = None
    ) -> Answer | None:
        connection = self._connections.pop(address, None)
        if connection is None or time.monotonic() > connection.used_at + self.IDLE_S:
            connection = Connection(address)
        try:
            answer = connection.send_request(method, path, body)
        except (OSError, http.client.HTTPException) as error:
            self.failures.append(f"{method} {path} at {address}: {error!r}")
            return None
        if not answer.must_close:
            self._connections[address] = connection
        if answer.status != 200:
            self.failures.append(f"{method} {path} at {address}: {answer}")
            return None
        self.answered[address] = self.answered.get(address, 0) + 1
        return answer


def kill(process: subprocess.Popen) -> None:
    """Kill a process that may have exited or be stopped by a signal."""
    if process.poll() is None:
        os.kill(process.pid, signal.SIGKILL)
    process.wait()
