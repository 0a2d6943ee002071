"""Measures how processor time, bytes and memory of the engine grow with its size."""

import gc
import statistics
import time
import tracemalloc
import typing

import msgspec

from acacialatch import (
    configuration,
    control,
    dispatch,
    events,
    facts,
    leases,
    messages,
    model,
    permits,
    probes,
    sources,
)
from bench import sizes

REPEATS = 5
TICKS = 20
"""Ticks in one repeat: 2 s, which includes all periodic work."""

IDLE_TICKS = 100
QUERIES = 20
"""Queries in one repeat."""

REPLICA_STEPS = (110, 500, 1_000, sizes.REPLICA_COUNT)
PEER_STEPS = (8, 100, sizes.ENTRY_INSTANCES - 1)
OPEN_QUERIES = 40
"""Queries in progress at once; each replica has at most one of their sub-requests."""

KEY_COUNT = 10_000
GROWTH_ITEMS = 16
"""Items of one kind that are added to measure the growth of a digest."""

Measured = typing.TypeVar("Measured")


class ControlCosts(typing.NamedTuple):
    """Processor time of control work in the engine, in seconds.

    Attributes
    ----------
    tick_s : float
        One tick, including the digests that it sends.
    digest_request_s : float
        Handling and answering the digest of a peer.
    digest_answer_s : float
        Handling the answer of a peer.
    instance_list_s : float
        Handling an instance list with all entry instances.
    sub_request_s : float
        One sub-request of a query of `sizes.PARTS_PER_QUERY` parts.
    """

    tick_s: float
    digest_request_s: float
    digest_answer_s: float
    instance_list_s: float
    sub_request_s: float


def measure_control(replicas: int, peers: int) -> ControlCosts:
    """Measure an engine under load, in which each leaf service replies every second."""
    driver = sizes.EngineDriver(sizes.render_text(replicas), peers)
    driver.warm_up()
    rows = [_measure_control_once(driver) for _ in range(REPEATS)]
    return ControlCosts(
        *(statistics.median(column) for column in zip(*rows, strict=True))
    )


def _measure_control_once(driver: sizes.EngineDriver) -> ControlCosts:
    driver.receive_all_digests()
    driver.reset()
    for number in range(TICKS):
        if number % (TICKS // 2) == 0:
            driver.run_query_to_all()
        driver.tick()
    tick_s = driver.get_mean_s(events.LoopTicked)
    digest_answer_s = driver.get_mean_s(events.DigestAnswered)
    driver.reset()
    for _ in range(3):
        driver.feed(events.InstancesListed(driver.listed_instances))
    instance_list_s = driver.get_mean_s(events.InstancesListed)
    driver.reset()
    driver.receive_all_digests()
    digest_request_s = driver.get_mean_s(events.DigestRequested)
    driver.reset()
    sends = sum(driver.run_next_query() for _ in range(QUERIES))
    sub_request_s = sum(driver.cpu_time_s.values()) / sends
    return ControlCosts(
        tick_s, digest_request_s, digest_answer_s, instance_list_s, sub_request_s
    )


def count_idle_probes(replicas: int, peers: int) -> float:
    """Return the status probes per second of an entry instance without queries."""
    driver = sizes.EngineDriver(sizes.render_text(replicas), peers)
    driver.warm_up()
    # The services of the last queries count as in use until then.
    quiet_s = dispatch.SERVICE_IN_USE_S + probes.IDLE_PROBE_INTERVAL_S
    for _ in range(int(quiet_s / control.TICK_S) + TICKS):
        driver.tick()
    driver.receive_all_digests()
    driver.reset()
    for _ in range(IDLE_TICKS):
        driver.tick()
    return driver.counts[events.ServerReplied.__name__] / (IDLE_TICKS * control.TICK_S)


class RecordSize(typing.NamedTuple):
    """Size of an explanation record in bytes with a number of known peers."""

    peers: int
    size: int


def measure_record(peers: int) -> RecordSize:
    """Measure the record of a query of `sizes.PARTS_PER_QUERY` parts."""
    driver = sizes.EngineDriver(sizes.render_text(500), peers)
    driver.warm_up()
    driver.reset()
    driver.run_next_query()
    return RecordSize(peers, len(driver.records[0]))


# Configuration texts.


class TextCosts(typing.NamedTuple):
    """Size of a configuration text in bytes and processor time in s to parse it."""

    replicas: int
    size: int
    parse_s: float


def measure_text(replicas: int) -> TextCosts:
    """Measure `configuration.parse`."""
    text = sizes.render_text(replicas)

    def parse() -> float:
        started = time.process_time()
        configuration.parse(text).unwrap()
        return time.process_time() - started

    return TextCosts(replicas, len(text), _compute_median(parse))


# Digests.


class DigestSizes(typing.NamedTuple):
    """Sizes of encoded digests in bytes.

    Attributes
    ----------
    empty : int
        Digest without facts, votes and permits.
    fact, unknown, vote, permit_asked, permit_given : float
        Growth by one item: a fact, the address of a server without facts, a group
        in a vote request, a permit demand and a granted permit.
    steady : float
        Mean size of the digests that an engine under load sends.
    largest : int
        Digest with as many items as allowed.
    """

    empty: int
    fact: float
    unknown: float
    vote: float
    permit_asked: float
    permit_given: float
    steady: float
    largest: int


def measure_digests() -> DigestSizes:
    """Measure the size of digests at the two-year size."""
    driver = sizes.EngineDriver(
        sizes.render_text(sizes.REPLICA_COUNT), sizes.ENTRY_INSTANCES - 1
    )
    driver.warm_up()
    driver.reset()
    for number in range(5 * TICKS):
        if number % (TICKS // 2) == 0:
            driver.run_query_to_all()
            driver.receive_all_digests()
        driver.tick()
    steady = statistics.mean(
        len(messages.encode(digest)) for digest in driver.sent_digests
    )
    warm_facts = sizes.make_warm_facts(driver.configuration)
    empty_digest = driver.make_digest(0)
    return DigestSizes(
        len(messages.encode(empty_digest)),
        *_measure_growth(empty_digest, warm_facts),
        steady,
        len(messages.encode(_make_largest_digest(empty_digest, warm_facts))),
    )


def _measure_growth(
    empty_digest: messages.Digest, warm_facts: typing.Sequence[facts.Fact]
) -> list[float]:
    """Return the growth of a digest by one item of each kind, see `DigestSizes`."""
    encode = msgspec.msgpack.encode
    granted_permits = tuple(
        permits.Permit(fact.address, fact.incarnation, 0.9, 1 << 40)
        for fact in warm_facts[:GROWTH_ITEMS]
    )
    fields = (
        {"facts": encode(((), warm_facts[:GROWTH_ITEMS]))},
        {"facts": encode((_list_addresses(warm_facts), ()))},
        {
            "votes_asked": encode(
                leases.VoteRequest(1 << 20, tuple(range(GROWTH_ITEMS)), ())
            )
        },
        {"permits_asked": encode(_make_demands(GROWTH_ITEMS, warm_facts))},
        {"permits_given": encode(permits.PermitReply(1 << 20, granted_permits))},
    )
    empty = len(messages.encode(empty_digest))
    return [
        (len(messages.encode(msgspec.structs.replace(empty_digest, **field))) - empty)
        / GROWTH_ITEMS
        for field in fields
    ]


def _make_largest_digest(
    empty_digest: messages.Digest, warm_facts: typing.Sequence[facts.Fact]
) -> messages.Digest:
    """Return a digest with the maximum number of facts and of requested items."""
    encode = msgspec.msgpack.encode
    return msgspec.structs.replace(
        empty_digest,
        facts=encode((_list_addresses(warm_facts), warm_facts[: facts.FACTS_MAX])),
        votes_asked=encode(
            leases.VoteRequest(1 << 20, tuple(range(leases.GROUP_COUNT)), ())
        ),
        permits_asked=encode(_make_demands(permits.DEMANDS_MAX, warm_facts)),
    )


def _list_addresses(warm_facts: typing.Sequence[facts.Fact]) -> list[str]:
    return [fact.address for fact in warm_facts[: control.UNKNOWN_SERVERS_MAX]]


def _make_demands(
    count: int, warm_facts: typing.Sequence[facts.Fact]
) -> permits.PermitRequest:
    demands = tuple(
        permits.Demand(fact.address, fact.incarnation, 2, 0)
        for fact in warm_facts[:count]
    )
    return permits.PermitRequest(1 << 20, demands, (), ())


# Instance list.


class InstanceListCosts(typing.NamedTuple):
    """Size of an instance list in bytes and processor time in seconds to decode it."""

    instances: int
    size: int
    decode_s: float


def measure_list(replicas: int) -> InstanceListCosts:
    """Measure a list of all entry instances and `replicas` backend servers."""
    parsed = configuration.parse(sizes.render_text(sizes.REPLICA_COUNT)).unwrap()
    servers = [
        model.ListedInstance(
            replica.address,
            model.InstanceRole.SERVER,
            replica.zone,
            replica.address,
            "",
            model.InstanceState.LIVE,
        )
        for service in parsed.services.values()
        for replica in service.replicas
    ]
    listed = [
        *sizes.make_listed_instances(sizes.ENTRY_INSTANCES),
        *servers[:replicas],
    ]
    items = [sources.InstanceRecord(*item) for item in listed]
    body = msgspec.json.encode(items)

    def decode() -> float:
        started = time.process_time()
        msgspec.json.decode(body, type=list[sources.InstanceRecord])
        return time.process_time() - started

    return InstanceListCosts(len(items), len(body), _compute_median(decode))


# Memory.


class MemoryUse(typing.NamedTuple):
    """Memory in bytes that one item of each kind takes."""

    replica: float
    entry: float
    query: float
    key: float
    text: float


def measure_memory() -> MemoryUse:
    """Measure the growth of allocated memory; queries have 59 parts."""
    small_bytes = _measure_allocated(
        lambda: sizes.EngineDriver(sizes.render_text(110), 8)
    )
    large_bytes = _measure_allocated(
        lambda: sizes.EngineDriver(sizes.render_text(sizes.REPLICA_COUNT), 8)
    )
    many_bytes = _measure_allocated(
        lambda: _receive_digests(
            sizes.EngineDriver(sizes.render_text(110), sizes.ENTRY_INSTANCES - 1)
        )
    )
    text_bytes = _measure_allocated(
        lambda: configuration.parse(sizes.render_text(sizes.REPLICA_COUNT))
    )
    driver = sizes.EngineDriver(sizes.render_text(sizes.REPLICA_COUNT), 8)
    driver.warm_up()
    queries_bytes = _measure_allocated(
        lambda: [_open_query(driver, n) for n in range(OPEN_QUERIES)]
    )
    keys_bytes = _measure_allocated(lambda: _issue_keys(driver))
    return MemoryUse(
        (large_bytes - small_bytes) / (sizes.REPLICA_COUNT - 110),
        (many_bytes - small_bytes) / (sizes.ENTRY_INSTANCES - 1 - 8),
        queries_bytes / OPEN_QUERIES,
        keys_bytes / KEY_COUNT,
        text_bytes,
    )


def _receive_digests(driver: sizes.EngineDriver) -> sizes.EngineDriver:
    driver.receive_all_digests()
    return driver


def _open_query(driver: sizes.EngineDriver, number: int) -> None:
    driver.start_query(10_000 + number, f"g{number % 20:02}")


def _issue_keys(driver: sizes.EngineDriver) -> None:
    for _ in range(KEY_COUNT):
        driver.core.issue_key(driver.now).unwrap()


def _measure_allocated(make: typing.Callable[[], Measured]) -> float:
    """Return the bytes that stay allocated after `make`, its result included."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before


def _compute_median(measure: typing.Callable[[], float]) -> float:
    return statistics.median(measure() for _ in range(REPEATS))
