"""Caller of the demo: queries, bookings, and a zone that leaves and returns."""

import json
import pathlib
import random
import sys
import time
import typing

import h11
import trio

from acacialatch import configuration
from demo import prepare

READY_MAX_S = 25.0
"""Longest wait for the first whole page, in seconds."""

CALM_S = 6.0
OUT_S = 6.0
BACK_S = 8.0
PERIOD_S = 0.1
TIMEOUT_S = 12.0
SERVICE = "lathe-hours"
ZONE = "nadi"


class Sample(typing.NamedTuple):
    """One answered call."""

    kind: str
    latency_s: float
    status: int
    covered: int
    total: int


class Caller:
    """Asks an entry instance which addresses to use, and uses them."""

    def __init__(self, address: str):
        self._known = [address]
        self._until = 0.0
        self._random = random.Random(1)

    async def call(
        self, path: str, body: dict[str, typing.Any], key: str = ""
    ) -> tuple[int, dict[str, typing.Any]]:
        """Send a POST request to one of the named entry instances."""
        address = await self._choose()
        headers = {"idempotency-key": key} if key else {}
        return await send(address, "POST", path, json.dumps(body).encode(), headers)

    async def _choose(self) -> str:
        if trio.current_time() >= self._until:
            for address in list(self._known):
                try:
                    _, named = await send(address, "GET", "/v1/entries", b"", {})
                except OSError:
                    continue
                self._known = named["entries"] or self._known
                self._until = trio.current_time() + named["lifetime_s"]
                break
        return self._random.choice(self._known)


async def send(
    address: str, method: str, path: str, body: bytes, headers: dict[str, str]
) -> tuple[int, dict[str, typing.Any]]:
    """Send one HTTP request on a new connection and return status and JSON body."""
    host, _, port = address.rpartition(":")
    with trio.fail_after(TIMEOUT_S):
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            http = h11.Connection(h11.CLIENT)
            fields = [
                ("host", address),
                ("content-length", str(len(body))),
                *headers.items(),
            ]
            request = h11.Request(method=method, target=path, headers=fields)
            data = http.send(request)
            data += http.send(h11.Data(data=body)) + http.send(h11.EndOfMessage())
            await stream.send_all(data)
            return await _receive(http, stream)


async def _receive(
    http: h11.Connection, stream: trio.SocketStream
) -> tuple[int, dict[str, typing.Any]]:
    status, received = 0, b""
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await stream.receive_some(65536))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            received += bytes(event.data)
        else:
            return status, json.loads(received or b"{}")


class Demo:
    """Runs the calls and collects samples."""

    def __init__(self, text: pathlib.Path, count: int):
        self._path = text
        self._text = text.read_bytes()
        self._configuration = configuration.parse(self._text).unwrap()
        self._count = count
        self._caller = Caller(f"127.0.0.1:{prepare.CALLER_PORT + 1}")
        self._samples: dict[str, list[Sample]] = {}
        self._phase = "calm"

    async def run(self) -> int:
        """Run the demo and return the exit status."""
        await trio.to_thread.run_sync(
            prepare.publish_instances, self._path, self._count
        )
        await self._wait_until_ready()
        # Warm every replica before the measured phases begin.
        for _ in range(40):
            await self._query("full_page")
        self._samples.clear()
        before = await self._count_arrivals()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._call_for, CALM_S + OUT_S + BACK_S)
            await trio.sleep(CALM_S)
            self._phase = "zone out"
            await self._publish([ZONE])
            await trio.sleep(OUT_S)
            self._phase = "zone back"
            await self._publish([])
        arrivals = await self._count_arrivals() - before
        bookings = await self._book()
        self._print(arrivals)
        print(bookings)
        failed = [
            sample
            for samples in self._samples.values()
            for sample in samples
            if sample.status != 200
        ]
        return 1 if failed or not bookings.startswith("booking: ran once") else 0

    async def _wait_until_ready(self) -> None:
        end = trio.current_time() + READY_MAX_S
        status = 0
        while status != 200:
            if trio.current_time() > end:
                sys.exit("demo: no whole page within the time limit")
            await trio.sleep(0.5)
            try:
                status, _ = await self._caller.call(
                    f"/v1/query/{SERVICE}", {"kind": "full_page", "deadline_ms": 5000}
                )
            except (OSError, trio.TooSlowError, h11.RemoteProtocolError):
                status = 0

    async def _call_for(self, duration_s: float) -> None:
        end = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                for kind in ("full_page", "urgent", "lookup"):
                    nursery.start_soon(self._query, kind)
                await trio.sleep(PERIOD_S)

    async def _query(self, kind: str) -> None:
        phase = self._phase
        body: dict[str, typing.Any] = {"kind": kind}
        service = SERVICE
        if kind == "lookup":
            service, body["key"] = "workshop-ledger", 4711
        if kind == "urgent":
            body["limit"] = 5
        started = time.perf_counter()
        status, answer = await self._caller.call(f"/v1/query/{service}", body)
        latency_s = time.perf_counter() - started
        coverage = answer.get("coverage", {"covered": 0, "total": 0})
        sample = Sample(kind, latency_s, status, coverage["covered"], coverage["total"])
        self._samples.setdefault(phase, []).append(sample)

    async def _book(self) -> str:
        _, issued = await self._caller.call("/v1/keys", {})
        key = issued["key"]
        body = {"key": 4711, "body": "lathe 7, 09:00"}
        statuses = set()
        for number in range(1, self._count + 1):
            address = f"127.0.0.1:{prepare.CALLER_PORT + number}"
            status, answer = await send(
                address,
                "POST",
                "/v1/request/booking-desk",
                json.dumps(body).encode(),
                {"idempotency-key": key},
            )
            statuses.add(status)
            if status != 200:
                print(f"booking: {answer['error']}")
        runs = 0
        for service in self._configuration.services.values():
            for replica in service.replicas:
                _, counters = await send(replica.address, "GET", "/counters", b"", {})
                runs += counters["runs"].get(key, 0)
        times = {1: "once"}.get(runs, f"{runs} times")
        return (
            f"booking: ran {times}, sent to {self._count} entry instances, "
            f"statuses {sorted(statuses)}"
        )

    async def _publish(self, zones_out: list[str]) -> None:
        listed = json.dumps(zones_out).encode()
        text = self._text.replace(b"zones_out = []", b"zones_out = " + listed)
        await trio.to_thread.run_sync(prepare.put, "/config", text)

    async def _count_arrivals(self) -> int:
        """Return the sub-requests that arrived at all backend servers."""
        total = 0
        for service in self._configuration.services.values():
            for replica in service.replicas:
                _, counters = await send(replica.address, "GET", "/counters", b"", {})
                total += counters.get("arrived", 0)
        return total

    def _print(self, arrivals: int) -> None:
        print(f"{'phase':10} {'kind':10} {'calls':>6} {'ok':>6} ", end="")
        print(f"{'p50 ms':>8} {'p99 ms':>8} {'coverage':>9}")
        needed = 0
        for phase in ("calm", "zone out", "zone back"):
            for kind in ("full_page", "urgent", "lookup"):
                samples = [
                    sample
                    for sample in self._samples.get(phase, [])
                    if sample.kind == kind
                ]
                shards = 1 if kind == "lookup" else 50
                needed += shards * len(samples)
                _print_row(phase, kind, samples)
        extra = arrivals / needed - 1 if needed else 0.0
        print(f"extra load on backend servers: {extra:+.2%} of {needed} sub-requests")


def _print_row(phase: str, kind: str, samples: list[Sample]) -> None:
    if not samples:
        return
    latencies = sorted(sample.latency_s * 1000 for sample in samples)
    good = sum(sample.status == 200 for sample in samples)
    covered = sum(sample.covered for sample in samples)
    total = sum(sample.total for sample in samples) or 1
    p99 = latencies[min(len(latencies) - 1, int(0.99 * len(latencies)))]
    print(
        f"{phase:10} {kind:10} {len(samples):6} {good:6} "
        f"{latencies[len(latencies) // 2]:8.1f} {p99:8.1f} {covered / total:9.5f}"
    )


if __name__ == "__main__":
    text = pathlib.Path(sys.argv[1])
    entry_count = int(sys.argv[2])
    sys.exit(trio.run(Demo(text, entry_count).run))
