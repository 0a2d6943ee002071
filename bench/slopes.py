"""Slopes of the engine: processor time, bytes and memory against sizes."""

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
"""Ticks in one repeat: 2 s, so that all periodic work occurs."""

IDLE_TICKS = 100
QUERIES = 20
"""Queries in one repeat."""

REPLICA_STEPS = (110, 500, 1_000, sizes.REPLICAS)
PEER_STEPS = (8, 100, sizes.DAEMONS - 1)
IN_PROGRESS = 40
"""Queries held open at once; each replica takes one sub-request of them."""

KEYS = 10_000
GROWN = 16
"""Items of each kind with which the growth of a digest is measured."""

Measured = typing.TypeVar("Measured")


class Control(typing.NamedTuple):
    """Processor time of control work in the engine, in seconds.

    Attributes
    ----------
    tick_s : float
        One tick, digests included.
    asked_s : float
        Digest of a peer that is taken and answered.
    answered_s : float
        Answer of a peer.
    listed_s : float
        Instance list with all entry instances.
    sub_request_s : float
        One sub-request of a query of `sizes.PARTS` parts.
    """

    tick_s: float
    asked_s: float
    answered_s: float
    listed_s: float
    sub_request_s: float


def measure_control(replicas: int, peers: int) -> Control:
    """Measure an engine under load: every leaf was heard within a second."""
    driver = sizes.Driver(sizes.render(replicas), peers)
    driver.settle()
    rows = [_repeat_control(driver) for _ in range(REPEATS)]
    return Control(*(statistics.median(column) for column in zip(*rows, strict=True)))


def _repeat_control(driver: sizes.Driver) -> Control:
    driver.hear_all()
    driver.reset()
    for number in range(TICKS):
        if number % (TICKS // 2) == 0:
            driver.query_all()
        driver.tick()
    tick_s = driver.mean_s(events.LoopTicked)
    answered_s = driver.mean_s(events.DigestAnswered)
    driver.reset()
    for _ in range(3):
        driver.feed(events.InstancesListed(driver.listed))
    listed_s = driver.mean_s(events.InstancesListed)
    driver.reset()
    driver.hear_all()
    asked_s = driver.mean_s(events.DigestRequested)
    driver.reset()
    sends = sum(driver.query() for _ in range(QUERIES))
    sub_request_s = sum(driver.spent_s.values()) / sends
    return Control(tick_s, asked_s, answered_s, listed_s, sub_request_s)


def count_idle_probes(replicas: int, peers: int) -> float:
    """Return the status probes per second of a daemon that gets no queries."""
    driver = sizes.Driver(sizes.render(replicas), peers)
    driver.settle()
    # Until then, the services of the last queries count as in use.
    quiet_s = dispatch.SERVICE_IN_USE_S + probes.IDLE_PROBE_INTERVAL_S
    for _ in range(int(quiet_s / control.TICK_S) + TICKS):
        driver.tick()
    driver.hear_all()
    driver.reset()
    for _ in range(IDLE_TICKS):
        driver.tick()
    return driver.counts[events.ServerReplied.__name__] / (IDLE_TICKS * control.TICK_S)


class Record(typing.NamedTuple):
    """Size of an explanation record in bytes, by number of known daemons."""

    peers: int
    size: int


def measure_record(peers: int) -> Record:
    """Measure the record of a query of `sizes.PARTS` parts."""
    driver = sizes.Driver(sizes.render(500), peers)
    driver.settle()
    driver.reset()
    driver.query()
    return Record(peers, len(driver.records[0]))


# Configuration texts.


class Text(typing.NamedTuple):
    """Parsing of one text; size in bytes, processor time in seconds."""

    replicas: int
    size: int
    parse_s: float


def measure_text(replicas: int) -> Text:
    """Measure `configuration.parse`."""
    text = sizes.render(replicas)

    def parse() -> float:
        started = time.process_time()
        configuration.parse(text).unwrap()
        return time.process_time() - started

    return Text(replicas, len(text), _median(parse))


# Digests.


class Digests(typing.NamedTuple):
    """Encoded digest, in bytes.

    Attributes
    ----------
    empty : int
        Digest without facts, votes and permits.
    fact, unknown, vote, permit_asked, permit_given : float
        Growth for each of them.
    steady : float
        Mean of the digests that an engine under load sends.
    largest : int
        Digest with everything at its bound.
    """

    empty: int
    fact: float
    unknown: float
    vote: float
    permit_asked: float
    permit_given: float
    steady: float
    largest: int


def measure_digests() -> Digests:
    """Measure the size of digests at the two-year size."""
    driver = sizes.Driver(sizes.render(sizes.REPLICAS), sizes.DAEMONS - 1)
    driver.settle()
    driver.reset()
    for number in range(5 * TICKS):
        if number % (TICKS // 2) == 0:
            driver.query_all()
            driver.hear_all()
        driver.tick()
    steady = statistics.mean(len(messages.encode(digest)) for digest in driver.sent)
    warm = sizes.list_warm(driver.configuration)
    plain = driver.make_digest(0)
    return Digests(
        len(messages.encode(plain)),
        *_measure_growth(plain, warm),
        steady,
        len(messages.encode(_fill(plain, warm))),
    )


def _measure_growth(
    plain: messages.Digest, warm: typing.Sequence[facts.Fact]
) -> list[float]:
    """Return the growth by one fact, unknown server, vote, demand and permit."""
    encode = msgspec.msgpack.encode
    granted = tuple(
        permits.Permit(fact.address, fact.incarnation, 0.9, 1 << 40)
        for fact in warm[:GROWN]
    )
    fields = (
        {"facts": encode(((), warm[:GROWN]))},
        {"facts": encode((_list_addresses(warm), ()))},
        {"votes_asked": encode(leases.VoteRequest(1 << 20, tuple(range(GROWN)), ()))},
        {"permits_asked": encode(_make_demands(GROWN, warm))},
        {"permits_given": encode(permits.PermitReply(1 << 20, granted))},
    )
    empty = len(messages.encode(plain))
    return [
        (len(messages.encode(msgspec.structs.replace(plain, **field))) - empty) / GROWN
        for field in fields
    ]


def _fill(plain: messages.Digest, warm: typing.Sequence[facts.Fact]) -> messages.Digest:
    """Return a digest that asks for all that one may ask for."""
    encode = msgspec.msgpack.encode
    return msgspec.structs.replace(
        plain,
        facts=encode((_list_addresses(warm), warm[: facts.FACTS_MAX])),
        votes_asked=encode(
            leases.VoteRequest(1 << 20, tuple(range(leases.GROUP_COUNT)), ())
        ),
        permits_asked=encode(_make_demands(permits.DEMANDS_MAX, warm)),
    )


def _list_addresses(warm: typing.Sequence[facts.Fact]) -> list[str]:
    return [fact.address for fact in warm[: control.UNKNOWN_SERVERS_MAX]]


def _make_demands(
    count: int, warm: typing.Sequence[facts.Fact]
) -> permits.PermitRequest:
    demands = tuple(
        permits.Demand(fact.address, fact.incarnation, 2, 0) for fact in warm[:count]
    )
    return permits.PermitRequest(1 << 20, demands, (), ())


# Instance list.


class InstanceList(typing.NamedTuple):
    """Body of the platform's list in bytes, and processor time to decode it."""

    instances: int
    size: int
    decode_s: float


def measure_list(replicas: int) -> InstanceList:
    """Measure the list of all daemons and that many backend servers."""
    parsed = configuration.parse(sizes.render(sizes.REPLICAS)).unwrap()
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
    listed = [*sizes.list_entries(sizes.DAEMONS), *servers[:replicas]]
    items = [sources.InstanceRecord(*item) for item in listed]
    body = msgspec.json.encode(items)

    def decode() -> float:
        started = time.process_time()
        msgspec.json.decode(body, type=list[sources.InstanceRecord])
        return time.process_time() - started

    return InstanceList(len(items), len(body), _median(decode))


# Memory.


class Memory(typing.NamedTuple):
    """Memory in bytes for each of these things."""

    replica: float
    entry: float
    query: float
    key: float
    text: float


def measure_memory() -> Memory:
    """Measure the growth of the allocated memory; queries are of 59 parts."""
    small = _trace(lambda: sizes.Driver(sizes.render(110), 8))
    large = _trace(lambda: sizes.Driver(sizes.render(sizes.REPLICAS), 8))
    many = _trace(lambda: _hear(sizes.Driver(sizes.render(110), sizes.DAEMONS - 1)))
    parsed = _trace(lambda: configuration.parse(sizes.render(sizes.REPLICAS)))
    driver = sizes.Driver(sizes.render(sizes.REPLICAS), 8)
    driver.settle()
    queries = _trace(lambda: [_open_query(driver, n) for n in range(IN_PROGRESS)])
    keys = _trace(lambda: _issue_keys(driver))
    return Memory(
        (large - small) / (sizes.REPLICAS - 110),
        (many - small) / (sizes.DAEMONS - 1 - 8),
        queries / IN_PROGRESS,
        keys / KEYS,
        parsed,
    )


def _hear(driver: sizes.Driver) -> sizes.Driver:
    driver.hear_all()
    return driver


def _open_query(driver: sizes.Driver, number: int) -> None:
    driver.start_query(10_000 + number, f"g{number % 20:02}")


def _issue_keys(driver: sizes.Driver) -> None:
    for _ in range(KEYS):
        driver.core.issue_key(driver.now).unwrap()


def _trace(make: typing.Callable[[], Measured]) -> float:
    """Return the memory that the result of `make` and its effects keep, in bytes."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    made = make()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del made
    return after - before


def _median(measure: typing.Callable[[], float]) -> float:
    return statistics.median(measure() for _ in range(REPEATS))
