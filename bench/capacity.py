"""Measures slopes of the real code and works out figures at the two-year size.

Run as `python -m bench.capacity`. Lines marked `measured` are medians of repeats
on this machine; lines marked `worked out` follow from them. All processor times
are of one core.
"""

import math
import resource
import statistics
import sys
import time

from acacialatch import control, facts, leases, membership, messages
from bench import sizes, slopes, spread, wires

CORE_SHARE_MAX = 0.045
CONTROL_BYTES_MAX = 7_000
"""Bytes per second that one daemon may use for control."""

MEMORY_BYTES_MAX = 256e6
SPREAD_MAX_S = 3.0
SERVICE_READS_MAX = 2_000
"""Reads per second that the configuration service answers."""

REGION_TRIP_S = 0.030
"""Assumed one-way latency between the two regions."""

CORE_USE_MAX = 0.6
"""Use of a core above which queues add to the tail latency."""

REPLICA_CONNECTIONS = 30
"""Connections that one replica accepts; the value of the booking desk."""

REPLICAS_PER_LEAF = 2
"""Replicas of each leaf service that a daemon uses if subsets are built."""

CHANGES_PER_DAY = 360
DAY_S = 86_400
SEGMENT_BYTES = 52
"""Headers of IP and TCP with time stamps."""

SEGMENTS = 4
"""Segments that each side of an exchange sends, acknowledgements included."""

TICKS_PER_S = 1 / control.TICK_S
EXCHANGES_PER_S = membership.GOSSIP_TARGETS / control.DIGEST_PERIOD_S
"""Digests that a daemon sends per second; it answers as many."""

SPREAD_SEEDS = (1, 2, 3, 4, 5)


def show(kind: str, name: str, value: float, unit: str, note: str = "") -> None:
    """Print one figure.

    Parameters
    ----------
    kind : str
        `measured` or `worked out`.
    name : str
        What it is.
    value : float
        The figure.
    unit : str
        Its unit.
    note : str
        Budget or remark.
    """
    print(f"{kind:10}  {name:52} {value:12,.4g} {unit:10} {note}".rstrip(), flush=True)


def judge(value: float, limit: float, unit: str) -> str:
    """Return whether a figure keeps to its budget."""
    return f"{'met' if value <= limit else 'MISSED'}: budget {limit:,.6g} {unit}"


def measure_engine() -> slopes.Control:
    """Print the slopes of the engine; return those at the two-year size."""
    steps = [(replicas, 8) for replicas in slopes.REPLICA_STEPS]
    steps += [(sizes.REPLICAS, peers) for peers in slopes.PEER_STEPS[1:]]
    for replicas, peers in steps:
        found = slopes.measure_control(replicas, peers)
        size = f"{replicas} replicas, {peers} peers"
        show("measured", f"tick, {size}", found.tick_s * 1e3, "ms")
        show("measured", f"digest answered, {size}", found.asked_s * 1e3, "ms")
        show("measured", f"answer taken, {size}", found.answered_s * 1e3, "ms")
        show("measured", f"list taken, {size}", found.listed_s * 1e3, "ms")
        show("measured", f"sub-request, {size}", found.sub_request_s * 1e6, "us")
    return found


def measure_bytes() -> slopes.Digests:
    """Print sizes of digests, texts, lists and records."""
    digests = slopes.measure_digests()
    for name, value in digests._asdict().items():
        show("measured", f"digest, {name}", value, "B")
    for peers in (8, sizes.DAEMONS - 1):
        record = slopes.measure_record(peers)
        show("measured", f"explanation record, {peers} peers", record.size, "B")
    for replicas in slopes.REPLICA_STEPS:
        text = slopes.measure_text(replicas)
        show("measured", f"text, {replicas} replicas", text.size, "B")
        show("measured", f"parse, {replicas} replicas", text.parse_s * 1e3, "ms")
    return digests


def measure_memory() -> slopes.Memory:
    """Print memory by what it is used for."""
    memory = slopes.measure_memory()
    for name, value in memory._asdict().items():
        show("measured", f"memory, one {name}", value, "B")
    return memory


def measure_resident() -> float:
    """Return the resident size with an engine of the two-year size, in bytes.

    It must be called first, since the largest resident size never shrinks.
    """
    driver = sizes.Driver(sizes.render(sizes.REPLICAS), sizes.DAEMONS - 1)
    driver.settle()
    size = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024.0
    show("measured", "resident size, engine at the two-year size", size / 1e6, "MB")
    return size


def measure_exchanges(digest_bytes: float) -> tuple[wires.Exchange, wires.Exchange]:
    """Print the cost of exchanges with backend servers and with peers."""
    driver = sizes.Driver(sizes.render(110), 8)
    padding = max(0, int(digest_bytes) - len_digest(driver))
    digest = driver.make_digest(0, b"\x00" * padding)
    found = wires.measure_http(), wires.measure_peers(digest)
    for name, exchange in zip(("HTTP", "digest"), found, strict=True):
        show("measured", f"{name} exchange, processor", exchange.cpu_s * 1e6, "us")
        show("measured", f"{name} exchange, time", exchange.wall_s * 1e3, "ms")
        show("measured", f"{name} exchange, sent", exchange.sent_bytes, "B")
        show("measured", f"{name} exchange, received", exchange.received_bytes, "B")
        show("measured", f"{name} connection, memory", exchange.connection_bytes, "B")
    return found


def len_digest(driver: sizes.Driver) -> int:
    """Return the size of a digest without content, in bytes."""
    return len(messages.encode(driver.make_digest(0)))


def work_out_control(
    found: slopes.Control, digests: slopes.Digests, link: wires.Exchange
) -> None:
    """Print processor time and bytes of control work of one daemon."""
    ticks = found.tick_s * TICKS_PER_S
    engine_s = (found.asked_s + found.answered_s) * EXCHANGES_PER_S
    links_s = link.cpu_s * EXCHANGES_PER_S
    lists_s = found.listed_s / control.LIST_PERIOD_S
    total = ticks + engine_s + links_s
    show("worked out", "control, ticks", ticks * 100, "% core")
    show("worked out", "control, digests in the engine", engine_s * 100, "% core")
    show("worked out", "control, digests on the wire", links_s * 100, "% core")
    verdict = judge(total * 100, CORE_SHARE_MAX * 100, "% core")
    show("worked out", "control, processor", total * 100, "% core", verdict)
    show("worked out", "control, lists of a watcher", lists_s * 100, "% core")
    verdict = judge((total + lists_s) * 100, CORE_SHARE_MAX * 100, "% core")
    show("worked out", "control, watcher", (total + lists_s) * 100, "% core", verdict)
    payload = link.sent_bytes + link.received_bytes
    headers = 2 * SEGMENTS * SEGMENT_BYTES
    # Each exchange of its own has a counterpart that a peer began.
    sent = EXCHANGES_PER_S * payload
    verdict = judge(sent, CONTROL_BYTES_MAX, "B/s")
    show("worked out", "control, payload sent", sent, "B/s", verdict)
    sent += EXCHANGES_PER_S * headers
    verdict = judge(sent, CONTROL_BYTES_MAX, "B/s")
    show("worked out", "control, sent with headers", sent, "B/s", verdict)
    storm = 2 * EXCHANGES_PER_S * digests.largest
    verdict = judge(storm, CONTROL_BYTES_MAX, "B/s")
    show("worked out", "control, sent with full digests", storm, "B/s", verdict)


def work_out_list() -> None:
    """Print the bytes of reads of the instance list."""
    for replicas in (0, sizes.REPLICAS):
        listed = slopes.measure_list(replicas)
        name = f"list of {listed.instances} instances"
        show("measured", name, listed.size, "B")
        show("measured", f"{name}, decoding", listed.decode_s * 1e3, "ms")
        period_s = control.READ_PERIOD_PER_INSTANCE_S * sizes.DAEMONS
        for role, every_s in (("watcher", control.LIST_PERIOD_S), ("other", period_s)):
            rate = listed.size / every_s
            verdict = judge(rate, CONTROL_BYTES_MAX, "B/s")
            show("worked out", f"{name}, {role}", rate, "B/s", verdict)


def work_out_reads(watchers: int, name: str) -> None:
    """Print the reads of the service by a fleet with that many watchers."""
    others = sizes.DAEMONS - watchers
    period_s = control.READ_PERIOD_PER_INSTANCE_S * sizes.DAEMONS
    reads = watchers / control.WATCH_WAIT_S + others / period_s
    verdict = judge(reads, SERVICE_READS_MAX, "/s")
    show("worked out", f"service reads, {name}", reads, "1/s", verdict)
    lists = watchers / control.LIST_PERIOD_S + others / period_s
    show("worked out", f"list reads, {name}", lists, "1/s")


def measure_spread(parse_s: float) -> None:
    """Print the spread of a change, and what the daemons know of each other."""
    delays = spread.Delays(REGION_TRIP_S, parse_s)
    watchers = membership.WATCHERS_PER_ZONE * len(sizes.ZONES)
    runs = [
        spread.simulate(seed, range(watchers), delays, spread.choose_uniformly(seed))
        for seed in SPREAD_SEEDS
    ]
    last_s = statistics.median(run.last_s for run in runs)
    verdict = judge(last_s, SPREAD_MAX_S, "s")
    show("measured", "spread, random targets, half", runs[0].half_s, "s")
    show("measured", "spread, random targets, last of 470", last_s, "s", verdict)
    fleet = spread.Fleet()
    fleet.warm()
    show("measured", "peers known as live, own targets", fleet.count_live() - 1, "")
    found = fleet.list_watchers()
    show("measured", "daemons that watch, own targets", len(found), "")
    candidates = fleet.count_candidates()
    show("measured", "candidates for 16 groups, own targets", candidates, "")
    run = spread.simulate(1, found[:watchers], delays, fleet.choose)
    verdict = judge(run.last_s, SPREAD_MAX_S, "s")
    show("measured", "spread, own targets, half", run.half_s, "s")
    show("measured", "spread, own targets, last", run.last_s, "s", verdict)
    show("measured", "spread, own targets, daemons reached", run.reached, "")
    work_out_reads(watchers, "2 watchers per zone")
    work_out_reads(len(found), "watchers found")


def work_out_memory(
    resident: float,
    memory: slopes.Memory,
    http: wires.Exchange,
    link: wires.Exchange,
) -> None:
    """Print the memory of one daemon for control and for everything."""
    peers = sizes.DAEMONS - 1
    links = peers * link.connection_bytes
    verdict = judge((resident + links) / 1e6, MEMORY_BYTES_MAX / 1e6, "MB")
    show("worked out", "memory, links to all peers", links / 1e6, "MB")
    show("worked out", "memory, control", (resident + links) / 1e6, "MB", verdict)
    state = sizes.REPLICAS * memory.replica + peers * memory.entry
    show("worked out", "memory, tables within it", state / 1e6, "MB")
    connections = sizes.REPLICAS * http.connection_bytes
    show("worked out", "memory, a connection per replica", connections / 1e6, "MB")
    started = sizes.QUERIES_PER_S / sizes.DAEMONS
    queries = started * 0.2 * memory.query
    show("worked out", "memory, queries of 200 ms each", queries / 1e6, "MB")
    keys = started * 1_200 * memory.key
    show("worked out", "memory, a key per query for 1,200 s", keys / 1e6, "MB")


def work_out_queries(found: slopes.Control, http: wires.Exchange) -> None:
    """Print what the load of sub-requests needs."""
    rate = sizes.QUERIES_PER_S * sizes.PARTS / sizes.DAEMONS
    cost_s = found.sub_request_s + http.cpu_s
    cores = rate * cost_s
    show("worked out", "sub-requests, per daemon", rate, "1/s")
    show("worked out", "sub-request, engine and HTTP", cost_s * 1e6, "us")
    show("worked out", "sub-requests that one core carries", 1 / cost_s, "1/s")
    show("worked out", "cores per instance at full use", cores, "cores")
    needed = cores / CORE_USE_MAX
    show("worked out", f"cores per instance at {CORE_USE_MAX:.0%} use", needed, "cores")
    per_replica = sizes.QUERIES_PER_S * sizes.PARTS / sizes.REPLICAS
    show("worked out", "sub-requests, per replica", per_replica, "1/s")


def work_out_subsets(found: slopes.Control) -> None:
    """Print subsets of daemons for each replica, and control work with them."""
    copies = sizes.REPLICAS / sizes.PARTS
    faced = math.ceil((sizes.DAEMONS + 1) * REPLICAS_PER_LEAF / math.floor(copies))
    show("worked out", "share of connections without subsets", 0, "")
    show("worked out", "replicas of each of 59 leaves", copies, "")
    verdict = judge(faced, REPLICA_CONNECTIONS, "connections")
    show("worked out", "daemons that one replica faces", faced, "", verdict)
    replicas = REPLICAS_PER_LEAF * sizes.PARTS
    show("worked out", "replicas that one daemon faces", replicas, "")
    subset = slopes.measure_control(replicas, sizes.DAEMONS - 1)
    ticks = subset.tick_s * TICKS_PER_S * 100
    show("measured", "ticks with subsets", ticks, "% core")
    show("measured", "sub-request with subsets", subset.sub_request_s * 1e6, "us")
    saved = 1 - subset.sub_request_s / found.sub_request_s
    show("worked out", "sub-request, saved by subsets", saved * 100, "%")


def work_out_start() -> None:
    """Print how long a new daemon needs to learn that the servers are warm."""
    answers = EXCHANGES_PER_S * (facts.FACTS_MAX // 2 + facts.FACTS_ROTATED)
    rate = answers + EXCHANGES_PER_S * facts.FACTS_ROTATED
    for replicas in (sizes.REPLICAS, REPLICAS_PER_LEAF * sizes.PARTS):
        name = f"start, facts of {replicas} replicas"
        show("worked out", name, replicas / rate, "s")


def work_out_changes(text: slopes.Text) -> None:
    """Print the cost of changes of the configuration."""
    rate = text.size * CHANGES_PER_DAY / DAY_S
    show("worked out", "texts, mean", rate, "B/s")
    busy = text.parse_s * CHANGES_PER_DAY
    show("worked out", "parsing in a day", busy, "s")


def work_out_leases() -> None:
    """Print the votes that one renewal needs and the digests that can bring them."""
    needed = (sizes.DAEMONS + 1) // 2 + 1
    heard = EXCHANGES_PER_S * leases.LEASE_S
    show("worked out", "votes for a majority", needed, "votes")
    show("worked out", "voters asked within a lease", heard, "voters")
    rate = needed / leases.LEASE_S
    show("worked out", "exchanges a second for one owner", rate, "1/s")


def main() -> None:
    """Print every figure."""
    began = time.perf_counter()
    resident = measure_resident()
    found = measure_engine()
    digests = measure_bytes()
    http, link = measure_exchanges(digests.steady)
    memory = measure_memory()
    text = slopes.measure_text(sizes.REPLICAS)
    work_out_control(found, digests, link)
    work_out_list()
    probe_rate = slopes.count_idle_probes(sizes.REPLICAS, 100)
    show("measured", "status probes of an idle daemon", probe_rate, "1/s")
    probing = probe_rate * http.cpu_s * 100
    verdict = judge(probing, CORE_SHARE_MAX * 100, "% core")
    show("worked out", "probes of an idle daemon", probing, "% core", verdict)
    work_out_memory(resident, memory, http, link)
    work_out_queries(found, http)
    work_out_leases()
    work_out_subsets(found)
    work_out_start()
    work_out_changes(text)
    measure_spread(text.parse_s)
    show("measured", "time of this run", time.perf_counter() - began, "s")


if __name__ == "__main__":
    sys.exit(main())
