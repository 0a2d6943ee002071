"""Compares the product with the naive version at the sizes of the deployments.

Both run on the same seeds and arrival times, in virtual time, over the stand-in
backend servers.
"""

import concurrent.futures
import pathlib
import random
import statistics
import typing

import trio
import trio.testing

from acacialatch import configuration, model
from bench import fakes, naive

ENTRY_COUNT = 8
WORKER_PROCESSES = 4
WARM_UP_S = 9.0
"""Time for the entry instances to elect permit owners and learn the servers' states."""

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


class Scenario(typing.NamedTuple):
    """Load and disturbance of one measurement.

    Attributes
    ----------
    deployment : str
        File name of the configuration text, without suffix.
    service : str
        Service that is queried.
    rate_per_s : float
        Queries per second over all entry instances.
    duration_s : float
        Time during which queries arrive, in seconds.
    straggler_rate : float
        Fraction of sub-requests that take 20 times as long.
    zone_out : str
        Availability zone that is taken out at a third of the duration and comes back
        with cold servers at two thirds; empty for none.
    """

    deployment: str
    service: str
    rate_per_s: float
    duration_s: float
    straggler_rate: float
    zone_out: str = ""


class Measures(typing.NamedTuple):
    """Results of one run; latencies in milliseconds.

    `whole` is the number of answers with full coverage. `extra_load` is the number of
    sub-requests that arrived at backend servers beyond one for each shard of each
    query, as a fraction of the latter. `fell_over` is how often a backend server was
    overloaded while cold.
    """

    queries: int
    whole: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    coverage: float
    extra_load: float
    fell_over: int


class _Sample(typing.NamedTuple):
    latency_s: float
    covered: int
    total: int


def measure(scenario: Scenario, seed: int, is_naive: bool) -> Measures:
    """Run one scenario in virtual time and return its results."""
    fakes.make_deterministic(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(_measure, scenario, seed, is_naive, clock=clock)


async def _measure(scenario: Scenario, seed: int, is_naive: bool) -> Measures:
    text = (EXAMPLES / f"{scenario.deployment}.toml").read_bytes()
    parsed = configuration.parse(text).unwrap()
    samples: list[_Sample] = []
    async with trio.open_nursery() as nursery:
        fleet = fakes.Fleet(nursery, text, parsed, seed, scenario.straggler_rate)
        send_query = await _start_entries(fleet, parsed, scenario, seed, is_naive)
        arrived_before = fleet.count("arrived")
        schedule = _draw_arrivals(scenario, seed)
        start = trio.current_time()
        if scenario.zone_out:
            nursery.start_soon(_cycle_zone, fleet, text, parsed, scenario)
        async with trio.open_nursery() as callers:
            for number, arrival in enumerate(schedule):
                await trio.sleep_until(start + arrival)
                callers.start_soon(
                    _run_sample, send_query, number % ENTRY_COUNT, samples
                )
        arrived = fleet.count("arrived") - arrived_before
        fell_over = fleet.count("fell_over")
        nursery.cancel_scope.cancel()
    shards = len(parsed.list_leaves(scenario.service))
    return _summarise(samples, arrived, shards, fell_over)


QueryFunction: typing.TypeAlias = typing.Callable[
    [int], typing.Awaitable[tuple[int, int]]
]


async def _start_entries(
    fleet: fakes.Fleet,
    parsed: model.Configuration,
    scenario: Scenario,
    seed: int,
    is_naive: bool,
) -> QueryFunction:
    """Start the entry instances and return the function that queries one of them.

    The function takes the number of the entry instance and returns the keys covered
    and the keys in total.
    """
    deadline_s = parsed.kinds[model.QueryKind.FULL_PAGE].deadline_s
    path = f"/v1/query/{scenario.service}"
    if is_naive:
        entries = [
            naive.NaiveEntry(
                parsed, fleet.servers, _get_zone(parsed, number), seed + number
            )
            for number in range(ENTRY_COUNT)
        ]
        send_query: QueryFunction = lambda number: entries[number].run_query(  # noqa: E731
            scenario.service, deadline_s
        )
    else:
        fleet_entries = [
            await fleet.start(f"entry-{number + 1}", _get_zone(parsed, number))
            for number in range(ENTRY_COUNT)
        ]

        async def query(number: int) -> tuple[int, int]:
            _, body = await fleet_entries[number].post(path, {"kind": "full_page"})
            return body["coverage"]["covered"], body["coverage"]["total"]

        send_query = query
        await trio.sleep(WARM_UP_S)
    await _warm_up_replicas(send_query)
    return send_query


async def _warm_up_replicas(send_query: QueryFunction) -> None:
    """Send queries until every entry instance knows every replica as warm."""
    for _ in range(60):
        async with trio.open_nursery() as nursery:
            for number in range(ENTRY_COUNT):
                nursery.start_soon(send_query, number)
        await trio.sleep(0.25)


def _get_zone(parsed: model.Configuration, number: int) -> str:
    return parsed.zones[number % len(parsed.zones)]


def _draw_arrivals(scenario: Scenario, seed: int) -> list[float]:
    rng = random.Random(f"arrivals {seed}")
    arrivals: list[float] = []
    arrival = rng.expovariate(scenario.rate_per_s)
    while arrival < scenario.duration_s:
        arrivals.append(arrival)
        arrival += rng.expovariate(scenario.rate_per_s)
    return arrivals


async def _run_sample(
    send_query: QueryFunction, number: int, samples: list[_Sample]
) -> None:
    started_at = trio.current_time()
    covered, total = await send_query(number)
    samples.append(_Sample(trio.current_time() - started_at, covered, total))


async def _cycle_zone(
    fleet: fakes.Fleet, text: bytes, parsed: model.Configuration, scenario: Scenario
) -> None:
    """Take a zone out, restart its servers so that they are cold, and bring it back."""
    text_without_zone = text.replace(
        b"zones_out = []", f'zones_out = ["{scenario.zone_out}"]'.encode()
    )
    await trio.sleep(scenario.duration_s / 3)
    fleet.platform.publish(text_without_zone)
    await trio.sleep(scenario.duration_s / 6)
    for server in fleet.servers.values():
        if server.replica.zone == scenario.zone_out:
            server.restart()
    await trio.sleep(scenario.duration_s / 6)
    fleet.platform.publish(text)


def _summarise(
    samples: list[_Sample], arrived: int, shards: int, fell_over: int
) -> Measures:
    latencies = sorted(sample.latency_s * 1000 for sample in samples)
    covered = sum(sample.covered for sample in samples)
    total = sum(sample.total for sample in samples)
    expected = len(samples) * shards
    return Measures(
        len(samples),
        sum(0 < sample.covered == sample.total for sample in samples),
        _quantile(latencies, 0.5),
        _quantile(latencies, 0.99),
        _quantile(latencies, 0.999),
        covered / total if total else 0.0,
        arrived / expected - 1,
        fell_over,
    )


def _quantile(sorted_values: list[float], fraction: float) -> float:
    return sorted_values[
        min(len(sorted_values) - 1, int(fraction * len(sorted_values)))
    ]


SCENARIOS = {
    "fiji, stragglers": Scenario("fiji", "lathe-hours", 60.0, 20.0, 0.01),
    "prairie, stragglers": Scenario("prairie", "painter-search", 60.0, 20.0, 0.01),
    "fiji, zone out and back": Scenario(
        "fiji", "lathe-hours", 30.0, 30.0, 0.01, "nadi"
    ),
    "prairie, zone out and back": Scenario(
        "prairie", "painter-search", 30.0, 30.0, 0.01, "regina"
    ),
}


def print_comparison(
    name: str, naive_runs: list[Measures], product_runs: list[Measures]
) -> None:
    """Print medians over seeds for both versions, and ratios."""
    medians = [
        Measures(*(statistics.median(values) for values in zip(*runs, strict=True)))
        for runs in (naive_runs, product_runs)
    ]
    print(f"{name}: {len(naive_runs)} seeds, {medians[0].queries:g} queries")
    for label, row in zip(("naive", "product"), medians, strict=True):
        print(
            f"  {label:8} p50 {row.p50_ms:7.1f} ms  p99 {row.p99_ms:7.1f} ms  "
            f"p99.9 {row.p999_ms:7.1f} ms  coverage {row.coverage:.5f}  "
            f"whole {row.whole:g}  extra load {row.extra_load:+.2%}  "
            f"fell over {row.fell_over:g}"
        )
    ratios = [
        product / naive
        for product, naive in zip(medians[1][2:5], medians[0][2:5], strict=True)
    ]
    print("  ratio    p50 {:.2f}  p99 {:.2f}  p99.9 {:.2f}".format(*ratios), flush=True)


def main(seeds: int) -> None:
    """Print the comparison of every scenario.

    The runs are distributed over `WORKER_PROCESSES` processes.

    Parameters
    ----------
    seeds : int
        Number of runs of each version, of which medians are printed.
    """
    with concurrent.futures.ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        runs = {
            (name, is_naive): [
                pool.submit(measure, scenario, seed, is_naive)
                for seed in range(1, seeds + 1)
            ]
            for name, scenario in SCENARIOS.items()
            for is_naive in (True, False)
        }
        for name in SCENARIOS:
            naive_runs, product_runs = (
                [run.result() for run in runs[name, is_naive]]
                for is_naive in (True, False)
            )
            print_comparison(name, naive_runs, product_runs)
