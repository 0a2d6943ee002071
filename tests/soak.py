"""Soak: entry instances as processes, faults and changes at random times.

Run it by hand with `PYTHONPATH=.:platform python tests/soak.py FIRST_SEED SEEDS`.
"""

import collections
import contextlib
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import typing

import entry
import keyvalue
import processes
import trio

ROOT = pathlib.Path(__file__).resolve().parent.parent
BOUND_S = 3.0
"""Time within which a change must be in force, in seconds, as in the settings."""

CALM_S = 4.0
"""Time without a fault after which an instance is held to the bounds, in seconds."""

MEMORY_BYTES_MAX = 200 << 20
"""Resident memory of an instance under the load of a run, in bytes."""

ODD_VALUES = (
    b"[" * 5000 + b"]" * 5000,
    b'{"state": "ready", "zone": ' + b"[" * 5000 + b"]" * 5000 + b"}",
    b'{"slots": 1' + b"0" * 5000 + b"}",
    b"\xff\xfe",
    b"",
)
"""Values that another writer leaves in the store, or in the settings file."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
LOOKUP, ORDER = "/lookup/", "/order/"


class Outcome(typing.NamedTuple):
    """One request of a caller: what it asked, where, when, and what it got."""

    identity: str
    path: str
    node: "Node"
    sent_at: float
    ended_at: float
    answer: entry.Answer


class Node:
    """One entry instance as a process of its own, which is started again."""

    def __init__(self, settings: entry.Entry, directory: pathlib.Path):
        self.settings = settings
        self.disturbed_at = trio.current_time()
        self.killed_at = -CALM_S
        self.pid: int | None = None
        self.own_ends: list[int] = []
        self._stops: set[int] = set()
        self._path = directory / f"{settings.ip}.toml"
        self._path.write_text(settings.text)
        self._log = directory / f"{settings.ip}.log"

    async def run(self) -> None:
        """Start the process, again each time that it ends."""
        environment = {**os.environ, "ACACIALATCH_BOOT": str(self._path)}
        command = [sys.executable, str(ROOT / "platform" / "serve.py")]
        while True:
            with self._log.open("ab") as log:
                process = subprocess.Popen(command, env=environment, stdout=log)
            self.pid = process.pid
            try:
                while process.poll() is None:
                    await trio.sleep(0.01)
            finally:
                self.pid = None
                if process.poll() is None:
                    process.kill()
                    process.wait()
            if process.pid not in self._stops:
                self.own_ends.append(process.returncode)
            self.disturbed_at = trio.current_time()
            await trio.sleep(0.2)

    def send_signal(self, number: int) -> None:
        self.disturbed_at = trio.current_time()
        if number in (signal.SIGKILL, signal.SIGSTOP):
            self.killed_at = self.disturbed_at
        if self.pid is not None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self._stops.add(self.pid)
            os.kill(self.pid, number)

    def replace_settings(self, content: bytes | None) -> None:
        """Write the settings file, its own text if None, and announce it."""
        self._path.write_bytes(content or self.settings.text.encode())
        if self.pid is not None and processes.ignores_reload_signal(self.pid):
            os.kill(self.pid, signal.SIGHUP)

    def read_memory(self) -> int:
        """Return the resident memory in bytes; 0 without a process."""
        if self.pid is not None:
            with contextlib.suppress(OSError):
                pages = pathlib.Path(f"/proc/{self.pid}/statm").read_text().split()[1]
                return int(pages) * os.sysconf("SC_PAGE_SIZE")
        return 0


class Soak:
    """One run; `problems` holds what must not have happened.

    Parameters
    ----------
    seed : int
        Seed of the faults and their times.
    duration_s : float
        Time of faults and requests, in seconds.
    nodes : int
        Number of entry instances.
    """

    def __init__(self, seed: int, duration_s: float = 20.0, nodes: int = 3):
        self._random = random.Random(seed)
        self._duration_s = duration_s
        self._node_count = nodes
        self._store = keyvalue.KeyValueStore()
        self._store_disturbed_at = -CALM_S
        self._nodes: list[Node] = []
        self._runs: collections.Counter[str] = collections.Counter()
        self._arrivals: list[tuple[float, str, int]] = []
        self._removals: list[tuple[float, int]] = []
        self._routes: list[tuple[float, str]] = []
        self._requests: dict[str, Node] = {}
        self._serial = 0
        self._faulty_until = 0.0
        self._late_copies: dict[int, bytes] = {}
        self.outcomes: list[Outcome] = []
        self.problems: list[str] = []

    async def run(self) -> None:
        """Play the run and check it."""
        with tempfile.TemporaryDirectory() as directory:
            async with trio.open_nursery() as nursery:
                await self._start(nursery, pathlib.Path(directory))
                with trio.move_on_after(self._duration_s):
                    async with trio.open_nursery() as faults:
                        for _ in range(2 * self._node_count):
                            faults.start_soon(self._call)
                        for _ in range(2):
                            faults.start_soon(self._disturb)
                        faults.start_soon(self._probe_routes)
                nursery.cancel_scope.cancel()
        self._check()

    async def _start(self, nursery: trio.Nursery, directory: pathlib.Path) -> None:
        store = await nursery.start(keyvalue.serve, self._store)
        self._backends = [
            entry.Backend(self._make_script(number)) for number in range(4)
        ]
        for number, backend in enumerate(self._backends):
            await nursery.start(backend.serve)
            self._register(number)
        self._publish(1)
        seeds: list[str] = []
        for number in range(self._node_count):
            settings = entry.Entry(store, "ab"[number % 2], seeds[:2])
            seeds.append(settings.ip)
            self._nodes.append(Node(settings, directory))
            nursery.start_soon(self._nodes[-1].run)
        for node in self._nodes:
            await node.settings.wait_until_ready()

    def _register(self, number: int) -> None:
        address = self._backends[number].address
        born = int(1000 * trio.current_time())
        zone = "ab"[number % 2]
        item = keyvalue.make_server("single", address, zone=zone, born=born)
        self._store.put(f"servers/i-{number}", item)

    def _publish(self, version: int) -> None:
        names = [name for _, name in self._routes]
        routes = [keyvalue.make_route(one, "single") for one in ("lookup", *names)]
        routes.append(keyvalue.make_route("order", "single", "non_idempotent"))
        item = keyvalue.make_deployment(version, routes)
        self._store.put("op/config", item)

    def _make_script(self, number: int) -> entry.Script:
        async def reply(stream: trio.SocketStream, identity: str) -> bool:
            now = trio.current_time()
            self._arrivals.append((now, identity, number))
            await stream.send_all(self._late_copies.pop(id(stream), b""))
            if now < self._faulty_until and self._random.random() < 0.5:
                return await self._misbehave(stream, identity)
            self._runs[identity] += 1
            await trio.sleep(self._random.choice((0.002, 0.02, 0.3)))
            await stream.send_all(entry.make_reply(identity, identity.encode()))
            return True

        return reply

    async def _misbehave(self, stream: trio.SocketStream, identity: str) -> bool:
        """Reject a request, at times once more and late, or answer without end."""
        head = f"HTTP/1.1 503 Full\r\nX-Request-Id: {identity}\r\n"
        rejection = f"{head}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
        kind = self._random.choice(("reject", "reject twice", "chunks", "head"))
        if kind.startswith("reject"):
            if kind == "reject twice":
                self._late_copies[id(stream)] = rejection
            await stream.send_all(rejection)
            return True
        self._runs[identity] += 1
        start, rest = "HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 5_000
        if kind == "chunks":
            start += "Transfer-Encoding: chunked\r\n\r\n"
            rest = b"1\r\nx\r\n" * 5_000
        await stream.send_all(start.encode())
        while True:
            await stream.send_all(rest)

    async def _call(self) -> None:
        """Send requests on kept connections until their process is gone."""
        while True:
            node = self._random.choice(self._nodes)
            with contextlib.suppress(OSError):
                async with await node.settings.connect() as stream:
                    while await self._request(node, stream):
                        await trio.sleep(self._random.choice((0.0, 0.05, 0.5)))
            await trio.sleep(0.05)

    async def _request(self, node: Node, stream: trio.SocketStream) -> bool:
        """Send one request; return whether the connection stays open."""
        path = self._random.choice((LOOKUP, ORDER))
        outcome = await self._exchange(node, stream, path)
        self.outcomes.append(outcome)
        answer = outcome.answer
        return answer.status != 0 and answer.headers.get("connection") != "close"

    async def _exchange(
        self, node: Node, stream: trio.SocketStream, path: str
    ) -> Outcome:
        self._serial += 1
        identity = f"s-{self._serial}"
        self._requests[identity] = node
        sent_at = trio.current_time()
        method = "POST" if path == ORDER else "GET"
        answer = await entry.exchange(stream, path, method, 2000, identity)
        ended_at = trio.current_time()
        return Outcome(identity, path, node, sent_at, ended_at, answer)

    async def _probe_routes(self) -> None:
        """Look whether each instance serves the routes that were added."""
        while True:
            await trio.sleep(0.3)
            now = trio.current_time()
            due = [name for at, name in self._routes if now - at > BOUND_S]
            for node in self._nodes:
                memory = node.read_memory()
                if memory > MEMORY_BYTES_MAX:
                    self.problems.append(f"{now:.2f} {memory >> 20} MB resident")
                if not due or not self._is_calm(node, now):
                    continue
                with contextlib.suppress(OSError):
                    async with await node.settings.connect() as stream:
                        path = f"/{due[-1]}/"
                        outcome = await self._exchange(node, stream, path)
                    status = outcome.answer.status
                    if status == 404 and self._is_calm(node, now):
                        self.problems.append(f"{now:.2f} 404 for {due[-1]}")

    def _is_calm(self, node: Node, now: float) -> bool:
        return now - max(node.disturbed_at, self._store_disturbed_at) > CALM_S

    async def _disturb(self) -> None:
        """Inject faults and make changes, in series and overlapping."""
        actions = (
            self._stop,
            self._stop,
            self._kill,
            self._pause,
            self._change_routes,
            self._change_routes,
            self._remove_server,
            self._remove_server,
            self._refuse_reads,
            self._cut_watches,
            self._reload,
            self._reload,
            self._write_odd_item,
            self._spoil_replies,
        )
        while True:
            await trio.sleep(self._random.choice((0.1, 0.8, 2.5)))
            await self._random.choice(actions)()

    async def _stop(self) -> None:
        self._random.choice(self._nodes).send_signal(signal.SIGTERM)

    async def _kill(self) -> None:
        self._random.choice(self._nodes).send_signal(signal.SIGKILL)

    async def _pause(self) -> None:
        node = self._random.choice(self._nodes)
        pid = node.pid
        node.send_signal(signal.SIGSTOP)
        await trio.sleep(self._random.uniform(0.2, 1.5))
        if pid is not None and pid == node.pid:
            node.send_signal(signal.SIGCONT)

    async def _reload(self) -> None:
        """Replace a settings file in steps, one of which may be odd, some in series."""
        node = self._random.choice(self._nodes)
        for _ in range(self._random.choice((1, 3))):
            node.replace_settings(self._random.choice((None, *ODD_VALUES)))
            await trio.sleep(self._random.choice((0.0, 0.1, 1.2)))
        node.replace_settings(None)

    async def _write_odd_item(self) -> None:
        """Let another writer put an odd item, which lapses or stays."""
        key = self._random.choice(("servers/i-other", "servers/", "op/other"))
        self._store.put_bytes(key, self._random.choice(ODD_VALUES))
        await trio.sleep(self._random.choice((0.5, 3.0)))
        if self._random.random() < 0.5:
            self._store.remove(key)

    async def _spoil_replies(self) -> None:
        self._faulty_until = trio.current_time() + self._random.choice((1.0, 4.0))

    async def _change_routes(self) -> None:
        self._routes.append((trio.current_time(), f"added-{len(self._routes)}"))
        self._publish(2 + len(self._routes))

    async def _remove_server(self) -> None:
        number = self._random.randrange(1, len(self._backends))
        self._store.remove(f"servers/i-{number}")
        self._removals.append((trio.current_time(), number))
        await trio.sleep(BOUND_S + 1.0)
        self._removals.append((trio.current_time(), -1 - number))
        self._register(number)

    async def _refuse_reads(self) -> None:
        self._store_disturbed_at = trio.current_time()
        self._store.refusals = self._random.choice((1, 5, 20))

    async def _cut_watches(self) -> None:
        self._store_disturbed_at = trio.current_time()
        if self._random.random() < 0.5:
            self._store.drop_history()
        self._store.cut_watches()

    def _check(self) -> None:
        for one in self.outcomes:
            runs, status = self._runs[one.identity], one.answer.status
            label = f"{one.sent_at:.2f} {one.path} {one.identity} {status}, {runs} runs"
            if status == 200 and one.answer.body != one.identity.encode():
                self.problems.append(f"wrong body: {label}")
            if one.path == ORDER and runs > 1:
                self.problems.append(f"run twice: {label}")
            if one.path == ORDER and runs and status in NOT_RUN_STATUSES:
                self.problems.append(f"refused after a run: {label}")
            was_killed = one.node.killed_at > one.sent_at - CALM_S
            if status == 0 and runs and not was_killed:
                self.problems.append(f"cut without an answer: {label}")
        for node in self._nodes:
            for status in node.own_ends:
                self.problems.append(f"process ended by itself: status {status}")
        self._check_removals()

    def _check_removals(self) -> None:
        """No request reaches a server later than the bound after its removal."""
        for at, number in self._removals:
            back_at = min(
                (t for t, n in self._removals if n == -1 - number and t > at),
                default=float("inf"),
            )
            others = [t for t, n in self._removals if n == number and t < at]
            if number < 0 or (others and at - others[-1] < BOUND_S + 1.0):
                continue
            for arrived_at, identity, server in self._arrivals:
                late = server == number and at + BOUND_S < arrived_at < back_at
                node = self._requests.get(identity)
                if late and node is not None and self._was_calm(node, arrived_at):
                    label = f"{arrived_at:.2f} {identity} at {number}"
                    self.problems.append(f"sent after removal at {at:.2f}: {label}")

    def _was_calm(self, node: Node, at: float) -> bool:
        """Return whether the last fault was long before, or after, a moment."""
        last = max(node.disturbed_at, self._store_disturbed_at)
        return last < at - CALM_S


def main(first: int, count: int, duration_s: float = 20.0, nodes: int = 3) -> int:
    """Play seeds one after the other; return the number of seeds with a problem."""
    failed = 0
    for seed in range(first, first + count):
        run = Soak(seed, duration_s, nodes)
        trio.run(run.run)
        statuses = collections.Counter(one.answer.status for one in run.outcomes)
        print(seed, dict(statuses), run.problems[:5], flush=True)
        failed += bool(run.problems)
    return failed


if __name__ == "__main__":
    sys.exit(main(*(int(one) for one in sys.argv[1:])) > 0)
