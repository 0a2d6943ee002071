"""Stand-in for the backend servers of a configuration text.

One process serves every backend server of the text, each on its own address. The
protocol is described in docs/BACKEND.md.
"""

import collections
import contextlib
import json
import math
import pathlib
import random
import secrets
import sys
import typing

import fire
import h11
import trio

from acacialatch import configuration, model

ROW_STEP = 64
"""Distance of the keys that have a row: every multiple of this has one."""

BASE_LATENCY_S = 0.004
"""Median of the log-normal distribution of latencies."""

LATENCY_SIGMA = 0.3
"""Standard deviation of the logarithm of the latencies."""

STRAGGLER_FACTOR = 20.0

OVERLOAD_DOWN_S = 2.0
"""Time for which a server that was overloaded while cold accepts nothing."""

QUEUE_PER_SLOT = 8
"""Waiting sub-requests per slot at which a server starts to shed load."""

SHED_RETRY_AFTER_S = 0.2


class Request(typing.NamedTuple):
    """HTTP request to a stand-in backend server."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Reply(typing.NamedTuple):
    """HTTP reply of a stand-in backend server; `body` is sent as JSON."""

    status: int
    body: dict[str, typing.Any]
    headers: tuple[tuple[str, str], ...] = ()


class BackendServer:
    """One backend server with its state, simulated faults and counters.

    POST /control sets public attributes by name, so their names are part of that
    interface.

    Parameters
    ----------
    replica : model.Replica
        Address and availability zone.
    service : model.Service
        The leaf service whose data it holds.
    partition_map : int
        Number of the partition map it serves.
    seed : int
        Seed of its latencies.
    straggler_rate : float
        Fraction of sub-requests that take `STRAGGLER_FACTOR` times as long.
    is_cold : bool
        Whether it starts cold.
    """

    def __init__(
        self,
        replica: model.Replica,
        service: model.Service,
        partition_map: int,
        seed: int,
        straggler_rate: float,
        is_cold: bool,
    ):
        assert service.shape is not None
        self.replica = replica
        self.service = service
        self.shape: model.Shape = service.shape
        self.keys = service.keys
        self.partition_map = partition_map
        self.versions = [1]
        self.straggler_rate = straggler_rate
        self.extra_latency_s = 0.0
        self.draining = False
        self.shedding = False
        self.truncating = False
        self.partial = False
        self.losing_replies = False
        self.silent_before = -math.inf
        self.down_until = -math.inf
        self.connections = 0
        self.in_flight = 0
        self.counters: collections.Counter[str] = collections.Counter()
        self.runs: collections.Counter[str] = collections.Counter()
        self._random = random.Random(f"{seed} {replica.address}")
        self._slots = trio.Semaphore(self.shape.slots)
        self._cold_arrivals: collections.deque[float] = collections.deque()
        self.restart(is_cold)

    def restart(self, is_cold: bool = True) -> None:
        """Start a new incarnation; open connections stay open."""
        self.incarnation = secrets.token_hex(8)
        self._started_at = trio.current_time() if is_cold else -math.inf
        self._answered_count = 0 if is_cold else self.shape.warm_after_requests
        self._cold_arrivals.clear()

    def is_cold(self) -> bool:
        """Return whether the server is still warming up."""
        age = trio.current_time() - self._started_at
        return (
            age < self.shape.warm_up_s
            or self._answered_count < self.shape.warm_after_requests
        )

    def is_down(self) -> bool:
        """Return whether the server currently accepts no connections or requests."""
        return trio.current_time() < self.down_until

    def record_arrival(self) -> None:
        """Count an arrival; restart a cold server that gets too many in one window.

        The server then accepts nothing for `OVERLOAD_DOWN_S` and is cold afterwards.
        """
        if not self.is_cold():
            return
        now = trio.current_time()
        self._cold_arrivals.append(now)
        while now - self._cold_arrivals[0] >= self.shape.cold_window_s:
            self._cold_arrivals.popleft()
        peak_load = max(self.counters["cold_peak"], len(self._cold_arrivals))
        self.counters["cold_peak"] = peak_load
        if len(self._cold_arrivals) > self.shape.cold_requests:
            self.counters["fell_over"] += 1
            self.down_until = now + OVERLOAD_DOWN_S
            self.restart()

    def state(self) -> str:
        """Return the value of the reply header `x-state`."""
        if self.draining:
            return "leaving"
        return "cold" if self.is_cold() else "ready"

    def list_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers that every reply carries."""
        return (
            ("x-incarnation", self.incarnation),
            ("x-state", self.state()),
            ("x-index-versions", ",".join(map(str, self.versions))),
        )

    async def answer(self, request: Request) -> Reply | None:
        """Answer one request.

        Returns
        -------
        Reply or None
            None if the connection is to be closed without a reply.
        """
        route = (request.method, request.path)
        if route == ("POST", "/control"):
            return self._apply_control(json.loads(request.body))
        if route == ("GET", "/counters"):
            return Reply(200, {**self.counters, "runs": dict(self.runs)})
        if self.is_down():
            return None
        self.record_arrival()
        if self.is_down():
            return None
        if route == ("GET", "/status"):
            return Reply(200, {"in_flight": self.in_flight})
        if route not in (("POST", "/query"), ("POST", "/request")):
            return Reply(404, {"kind": "unknown_path"})
        return await self._run_in_slot(request)

    async def _run_in_slot(self, request: Request) -> Reply | None:
        """Run a query or request in a free slot, or shed it if too many wait."""
        self.counters["arrived"] += 1
        if self.draining:
            self.counters["arrived_while_leaving"] += 1
        waiting = self.in_flight - self.shape.slots
        if self.shedding or waiting >= QUEUE_PER_SLOT * self.shape.slots:
            self.counters["shed"] += 1
            headers = (
                ("retry-after", str(SHED_RETRY_AFTER_S)),
                ("x-refused", "before-run"),
            )
            return Reply(503, {"kind": "shed"}, headers)
        self.in_flight += 1
        self.counters["in_flight_peak"] = max(
            self.counters["in_flight_peak"], self.in_flight
        )
        try:
            async with self._slots:
                await trio.sleep(self._draw_latency_s())
                reply = self._run(request)
            self._answered_count += 1
            return reply
        except trio.Cancelled:
            self.counters["cancelled"] += 1
            raise
        finally:
            self.in_flight -= 1

    def _draw_latency_s(self) -> float:
        latency_s = self._random.lognormvariate(math.log(BASE_LATENCY_S), LATENCY_SIGMA)
        if self._random.random() < self.straggler_rate:
            latency_s *= STRAGGLER_FACTOR
        return latency_s + self.extra_latency_s

    def _run(self, request: Request) -> Reply | None:
        if request.path == "/request":
            return self._run_request(request)
        return self._run_query(request)

    def _run_request(self, request: Request) -> Reply | None:
        request_key = request.headers.get("idempotency-key", "")
        self.runs[request_key] += 1
        self.counters["requests_run"] += 1
        if self.losing_replies:
            return None
        fields = json.loads(request.body)
        body = {
            "request_id": request.headers.get("x-request-id", ""),
            "result": f"accepted {fields.get('body', '')}",
        }
        return Reply(200, body)

    def _run_query(self, request: Request) -> Reply | None:
        headers = request.headers
        version = int(headers.get("x-index-version", "0"))
        if version not in self.versions:
            return Reply(409, {"kind": "version_gone"})
        if int(headers.get("x-partition-map", "0")) != self.partition_map:
            return Reply(409, {"kind": "map_changed"})
        fields = json.loads(request.body)
        ranges = self._clip_ranges(headers["x-key-ranges"])
        self.counters["queries_run"] += 1
        body = {
            "request_id": headers.get("x-request-id", ""),
            "index": self.service.index,
            "version": version,
            "partition_map": self.partition_map,
            "ranges": ranges,
            "rows": [
                row
                for start, end in ranges
                for row in _make_rows(start, end, version, fields)
            ],
        }
        return None if self.losing_replies else Reply(200, body)

    def _clip_ranges(self, text: str) -> list[tuple[int, int]]:
        """Return those parts of the requested key ranges that the server holds."""
        clipped = []
        for pair in text.split(","):
            start, end = (int(number) for number in pair.split("-"))
            start, end = max(start, self.keys.start), min(end, self.keys.end)
            if self.partial:
                end = (start + end) // 2
            if start < end:
                clipped.append((start, end))
        return clipped

    def _apply_control(self, fields: dict[str, typing.Any]) -> Reply:
        for name, value in fields.items():
            if name == "restart":
                self.restart()
            elif name == "down_s":
                self.down_until = trio.current_time() + value
                self.restart()
            elif name == "silence_connections":
                self.silent_before = trio.current_time()
            elif name == "keys":
                self.keys = model.KeyRange(*value)
            else:
                if not hasattr(self, name) or name.startswith("_"):
                    return Reply(400, {"kind": f"unknown control {name}"})
                setattr(self, name, value)
        return Reply(200, {"state": self.state()})


def _make_rows(
    start: int, end: int, version: int, fields: dict[str, typing.Any]
) -> list[tuple[int, str]]:
    key = fields.get("key")
    if key is not None:
        return [(key, f"row {key} version {version}")] if start <= key < end else []
    first_key = -(-start // ROW_STEP) * ROW_STEP
    keys = range(first_key, end, ROW_STEP)[: fields.get("limit", 100)]
    return [(row_key, f"row {row_key} version {version}") for row_key in keys]


class _Connection:
    """One accepted connection of a backend server."""

    def __init__(self, server: BackendServer, stream: trio.SocketStream):
        self._server = server
        self._stream = stream
        self._opened_at = trio.current_time()
        self._http = h11.Connection(h11.SERVER)

    async def run(self) -> None:
        while True:
            request = await self._read_request()
            if request is None:
                return
            reply = await self._run_until_disconnect(request)
            if self._opened_at <= self._server.silent_before and request.path not in (
                "/control",
                "/counters",
            ):
                await trio.sleep_forever()
            if reply is None:
                return
            await self._send_reply(reply, request)
            if self._http.our_state is not h11.DONE:
                return
            self._http.start_next_cycle()

    async def _read_request(self) -> Request | None:
        received: h11.Request | None = None
        body = b""
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._stream.receive_some(65536))
            elif isinstance(event, h11.Request):
                received = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and received is not None:
                headers = {
                    name.decode(): value.decode() for name, value in received.headers
                }
                return Request(
                    received.method.decode(), received.target.decode(), headers, body
                )
            else:
                return None

    async def _run_until_disconnect(self, request: Request) -> Reply | None:
        reply: Reply | None = None

        async def cancel_on_disconnect(scope: trio.CancelScope) -> None:
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                while data := await self._stream.receive_some(65536):
                    self._http.receive_data(data)
            # A query is read-only and is cancelled. A request may already have
            # changed data, so it runs to its end without its caller.
            if request.path == "/query":
                scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_on_disconnect, nursery.cancel_scope)
            reply = await self._server.answer(request)
            nursery.cancel_scope.cancel()
        return reply

    async def _send_reply(self, reply: Reply, request: Request) -> None:
        body = json.dumps(reply.body).encode()
        headers = [
            ("content-type", "application/json"),
            ("content-length", str(len(body))),
            ("x-request-id", request.headers.get("x-request-id", "")),
            *self._server.list_headers(),
            *reply.headers,
        ]
        data = self._http.send(h11.Response(status_code=reply.status, headers=headers))
        data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        if self._server.truncating and reply.status == 200:
            await self._stream.send_all(data[: -len(body) // 2])
            await self._stream.aclose()
            raise trio.ClosedResourceError
        await self._stream.send_all(data)


async def serve_server(server: BackendServer) -> None:
    """Accept connections of one backend server until cancelled."""

    async def handle_connection(stream: trio.SocketStream) -> None:
        server.connections += 1
        server.counters["connections_peak"] = max(
            server.counters["connections_peak"], server.connections
        )
        try:
            # One connection above the limit is accepted, so that /control stays
            # reachable.
            if server.connections > server.shape.connections + 1:
                server.counters["connections_refused"] += 1
                return
            await _Connection(server, stream).run()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except (h11.ProtocolError, ValueError, KeyError):
            server.counters["malformed"] += 1
        finally:
            server.connections -= 1
            with trio.CancelScope(shield=True) as scope:
                scope.deadline = trio.current_time() + 1
                await stream.aclose()

    host, _, port = server.replica.address.rpartition(":")
    listeners = await trio.open_tcp_listeners(int(port), host=host)
    await trio.serve_listeners(handle_connection, listeners)


def make_servers(
    parsed: model.Configuration, seed: int, straggler_rate: float, is_cold: bool
) -> list[BackendServer]:
    """Return one stand-in for each backend server of a configuration."""
    return [
        BackendServer(
            replica,
            service,
            parsed.indexes[service.index].partition_map,
            seed,
            straggler_rate,
            is_cold,
        )
        for service in parsed.services.values()
        for replica in service.replicas
    ]


async def serve_all(
    path: str, seed: int, straggler_rate: float, is_cold: bool, run_s: float
) -> None:
    """Serve every backend server of the text at `path` for `run_s` seconds.

    The process exits with the list of problems if the text is invalid.
    """
    parsed = configuration.parse(pathlib.Path(path).read_bytes(), path)
    if parsed.is_err():
        sys.exit("\n".join(str(problem) for problem in parsed.unwrap_err()))
    servers = make_servers(parsed.unwrap(), seed, straggler_rate, is_cold)
    with trio.move_on_after(run_s):
        async with trio.open_nursery() as nursery:
            for server in servers:
                nursery.start_soon(serve_server, server)
            print(f"backend: {len(servers)} servers listen", flush=True)


def main(
    text: str,
    seed: int = 1,
    straggler_rate: float = 0.01,
    cold: bool = False,
    run_s: float = 600.0,
) -> None:
    """Run the stand-in.

    Parameters
    ----------
    text : str
        Path of a configuration text.
    seed : int
        Seed of the latencies.
    straggler_rate : float
        Fraction of sub-requests that take `STRAGGLER_FACTOR` times as long.
    cold : bool
        Whether the servers start cold.
    run_s : float
        Time after which the process ends, in seconds.
    """
    trio.run(serve_all, text, seed, straggler_rate, cold, run_s)


if __name__ == "__main__":
    fire.Fire(main)
