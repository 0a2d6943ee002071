"""Load generator of the demo.

Sends queries while an availability zone leaves and returns, then sends one request
to every entry instance under the same idempotency key, and prints the results.
"""

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

READY_TIMEOUT_S = 25.0
"""Longest wait for the first answer with status 200, in seconds."""

BASELINE_DURATION_S = 6.0
ZONE_OUT_DURATION_S = 6.0
ZONE_BACK_DURATION_S = 8.0
CALL_PERIOD_S = 0.1
CALL_TIMEOUT_S = 12.0
SERVICE = "lathe-hours"
ZONE = "nadi"


class Sample(typing.NamedTuple):
    """One answered query."""

    kind: str
    latency_s: float
    status: int
    covered: int
    total: int


class Caller:
    """Calls random entry instances and refreshes the list of their addresses.

    Parameters
    ----------
    address : str
        Entry instance that is asked for the list first.
    """

    def __init__(self, address: str):
        self._addresses = [address]
        self._refresh_at = 0.0
        self._random = random.Random(1)

    async def call(
        self, path: str, body: dict[str, typing.Any], key: str = ""
    ) -> tuple[int, dict[str, typing.Any]]:
        """Send a POST request to a random entry instance.

        Returns
        -------
        tuple
            Status and JSON body.
        """
        address = await self._choose_address()
        headers = {"idempotency-key": key} if key else {}
        return await send_request(
            address, "POST", path, json.dumps(body).encode(), headers
        )

    async def _choose_address(self) -> str:
        if trio.current_time() >= self._refresh_at:
            for address in list(self._addresses):
                try:
                    _, answer = await send_request(
                        address, "GET", "/v1/entries", b"", {}
                    )
                except OSError:
                    continue
                self._addresses = answer["entries"] or self._addresses
                self._refresh_at = trio.current_time() + answer["lifetime_s"]
                break
        return self._random.choice(self._addresses)


async def send_request(
    address: str, method: str, path: str, body: bytes, headers: dict[str, str]
) -> tuple[int, dict[str, typing.Any]]:
    """Send one HTTP request on a new connection and return status and JSON body.

    Raises
    ------
    OSError
        If the connection cannot be opened.
    trio.TooSlowError
        If there is no response within `CALL_TIMEOUT_S`.
    """
    host, _, port = address.rpartition(":")
    with trio.fail_after(CALL_TIMEOUT_S):
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            http = h11.Connection(h11.CLIENT)
            http_headers = [
                ("host", address),
                ("content-length", str(len(body))),
                *headers.items(),
            ]
            request = h11.Request(method=method, target=path, headers=http_headers)
            data = http.send(request)
            data += http.send(h11.Data(data=body)) + http.send(h11.EndOfMessage())
            await stream.send_all(data)
            return await _receive_response(http, stream)


async def _receive_response(
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
    """Runs the phases of the demo and collects samples.

    Parameters
    ----------
    text : pathlib.Path
        Configuration text.
    entry_count : int
        Number of entry instances.
    """

    def __init__(self, text: pathlib.Path, entry_count: int):
        self._path = text
        self._text = text.read_bytes()
        self._configuration = configuration.parse(self._text).unwrap()
        self._entry_count = entry_count
        self._caller = Caller(f"127.0.0.1:{prepare.CALLER_PORT + 1}")
        self._samples: dict[str, list[Sample]] = {}
        self._phase = "calm"

    async def run(self) -> int:
        """Run the demo and return the exit status.

        It is 1 if a query was answered with another status than 200 or if the
        request of the idempotency check did not run exactly once, else 0.
        """
        await trio.to_thread.run_sync(
            prepare.publish_instances, self._path, self._entry_count
        )
        await self._wait_until_ready()
        # Warm up every replica before the measured phases begin.
        for _ in range(40):
            await self._run_query("full_page")
        self._samples.clear()
        arrivals_before = await self._count_arrivals()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._send_queries,
                BASELINE_DURATION_S + ZONE_OUT_DURATION_S + ZONE_BACK_DURATION_S,
            )
            await trio.sleep(BASELINE_DURATION_S)
            self._phase = "zone out"
            await self._publish_zones_out([ZONE])
            await trio.sleep(ZONE_OUT_DURATION_S)
            self._phase = "zone back"
            await self._publish_zones_out([])
        arrivals = await self._count_arrivals() - arrivals_before
        booking_result = await self._check_idempotency()
        self._print_table(arrivals)
        print(booking_result)
        failed = [
            sample
            for samples in self._samples.values()
            for sample in samples
            if sample.status != 200
        ]
        return 1 if failed or not booking_result.startswith("booking: ran once") else 0

    async def _wait_until_ready(self) -> None:
        deadline = trio.current_time() + READY_TIMEOUT_S
        status = 0
        while status != 200:
            if trio.current_time() > deadline:
                sys.exit("demo: no whole page within the time limit")
            await trio.sleep(0.5)
            try:
                status, _ = await self._caller.call(
                    f"/v1/query/{SERVICE}", {"kind": "full_page", "deadline_ms": 5000}
                )
            except (OSError, trio.TooSlowError, h11.RemoteProtocolError):
                status = 0

    async def _send_queries(self, duration_s: float) -> None:
        deadline = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < deadline:
                for kind in ("full_page", "urgent", "lookup"):
                    nursery.start_soon(self._run_query, kind)
                await trio.sleep(CALL_PERIOD_S)

    async def _run_query(self, kind: str) -> None:
        phase = self._phase
        body: dict[str, typing.Any] = {"kind": kind}
        service = SERVICE
        if kind == "lookup":
            service, body["key"] = "workshop-ledger", 4711
        if kind == "urgent":
            body["limit"] = 5
        started_at = time.perf_counter()
        status, answer = await self._caller.call(f"/v1/query/{service}", body)
        latency_s = time.perf_counter() - started_at
        coverage = answer.get("coverage", {"covered": 0, "total": 0})
        sample = Sample(kind, latency_s, status, coverage["covered"], coverage["total"])
        self._samples.setdefault(phase, []).append(sample)

    async def _check_idempotency(self) -> str:
        """Send one request to every entry instance with the same idempotency key.

        Returns
        -------
        str
            How often it ran on the backend servers, and the statuses of the answers.
        """
        _, issued = await self._caller.call("/v1/keys", {})
        key = issued["key"]
        body = {"key": 4711, "body": "lathe 7, 09:00"}
        statuses = set()
        for number in range(1, self._entry_count + 1):
            address = f"127.0.0.1:{prepare.CALLER_PORT + number}"
            status, answer = await send_request(
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
                _, counters = await send_request(
                    replica.address, "GET", "/counters", b"", {}
                )
                runs += counters["runs"].get(key, 0)
        times = {1: "once"}.get(runs, f"{runs} times")
        return (
            f"booking: ran {times}, sent to {self._entry_count} entry instances, "
            f"statuses {sorted(statuses)}"
        )

    async def _publish_zones_out(self, zones_out: list[str]) -> None:
        zone_list = json.dumps(zones_out).encode()
        text = self._text.replace(b"zones_out = []", b"zones_out = " + zone_list)
        await trio.to_thread.run_sync(prepare.put, "/config", text)

    async def _count_arrivals(self) -> int:
        """Return how many sub-requests have arrived at all backend servers."""
        total = 0
        for service in self._configuration.services.values():
            for replica in service.replicas:
                _, counters = await send_request(
                    replica.address, "GET", "/counters", b"", {}
                )
                total += counters.get("arrived", 0)
        return total

    def _print_table(self, arrivals: int) -> None:
        print(f"{'phase':10} {'kind':10} {'calls':>6} {'ok':>6} ", end="")
        print(f"{'p50 ms':>8} {'p99 ms':>8} {'coverage':>9}")
        expected = 0
        for phase in ("calm", "zone out", "zone back"):
            for kind in ("full_page", "urgent", "lookup"):
                samples = [
                    sample
                    for sample in self._samples.get(phase, [])
                    if sample.kind == kind
                ]
                shards = 1 if kind == "lookup" else 50
                expected += shards * len(samples)
                _print_row(phase, kind, samples)
        extra = arrivals / expected - 1 if expected else 0.0
        print(f"extra load on backend servers: {extra:+.2%} of {expected} sub-requests")


def _print_row(phase: str, kind: str, samples: list[Sample]) -> None:
    if not samples:
        return
    latencies = sorted(sample.latency_s * 1000 for sample in samples)
    ok_count = sum(sample.status == 200 for sample in samples)
    covered = sum(sample.covered for sample in samples)
    total = sum(sample.total for sample in samples) or 1
    p99 = latencies[min(len(latencies) - 1, int(0.99 * len(latencies)))]
    print(
        f"{phase:10} {kind:10} {len(samples):6} {ok_count:6} "
        f"{latencies[len(latencies) // 2]:8.1f} {p99:8.1f} {covered / total:9.5f}"
    )


if __name__ == "__main__":
    text = pathlib.Path(sys.argv[1])
    entry_count = int(sys.argv[2])
    sys.exit(trio.run(Demo(text, entry_count).run))
