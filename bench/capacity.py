"""Measures the costs of the code and derives the capacity at the two-year size.

Run as `python -m bench.capacity`. Lines marked `measured` are medians of repeats on
this machine; lines marked `worked out` are computed from them. All processor times are
those of one core.
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
"""Bytes per second that one entry instance may use for control."""

MEMORY_BYTES_MAX = 256e6
SPREAD_MAX_S = 3.0
SERVICE_READS_MAX = 2_000
"""Reads per second that the configuration service can answer."""

REGION_LATENCY_S = 0.030
"""Assumed one-way latency between the two regions."""

CORE_USE_TARGET = 0.6
"""Core utilisation above which queueing adds to the tail latency."""

REPLICA_CONNECTIONS = 30
"""Connections that one replica accepts, as those of index `booking-desk` do."""

REPLICAS_PER_LEAF = 2
"""Replicas of each leaf service that an entry instance uses with subsetting."""

CHANGES_PER_DAY = 360
DAY_S = 86_400
SEGMENT_HEADER_BYTES = 52
"""IP and TCP headers of a segment, with time stamps."""

SEGMENTS_PER_EXCHANGE = 4
"""Segments that each side of an exchange sends, acknowledgements included."""

TICKS_PER_S = 1 / control.TICK_S
EXCHANGES_PER_S = membership.GOSSIP_TARGETS / control.DIGEST_PERIOD_S
"""Digests that an entry instance sends per second; it answers as many."""

SPREAD_SEEDS = (1, 2, 3, 4, 5)


def print_figure(kind: str, name: str, value: float, unit: str, note: str = "") -> None:
    """Print one figure.

    Parameters
    ----------
    kind : str
        `measured` or `worked out`.
    name : str
        Name of the figure.
    value : float
        Value of the figure.
    unit : str
        Unit of the value.
    note : str
        Budget or remark.
    """
    print(f"{kind:10}  {name:52} {value:12,.4g} {unit:10} {note}".rstrip(), flush=True)


def format_verdict(value: float, limit: float, unit: str) -> str:
    """Return a remark on whether a figure is within its budget."""
    return f"{'met' if value <= limit else 'MISSED'}: budget {limit:,.6g} {unit}"


def measure_engine() -> slopes.ControlCosts:
    """Print the costs of the engine by size; return those at the two-year size."""
    steps = [(replicas, 8) for replicas in slopes.REPLICA_STEPS]
    steps += [(sizes.REPLICA_COUNT, peers) for peers in slopes.PEER_STEPS[1:]]
    for replicas, peers in steps:
        costs = slopes.measure_control(replicas, peers)
        size = f"{replicas} replicas, {peers} peers"
        print_figure("measured", f"tick, {size}", costs.tick_s * 1e3, "ms")
        print_figure(
            "measured", f"digest answered, {size}", costs.digest_request_s * 1e3, "ms"
        )
        print_figure(
            "measured", f"answer taken, {size}", costs.digest_answer_s * 1e3, "ms"
        )
        print_figure(
            "measured", f"list taken, {size}", costs.instance_list_s * 1e3, "ms"
        )
        print_figure(
            "measured", f"sub-request, {size}", costs.sub_request_s * 1e6, "us"
        )
    return costs


def measure_bytes() -> slopes.DigestSizes:
    """Print the sizes of digests, records and texts; return those of digests."""
    digests = slopes.measure_digests()
    for name, value in digests._asdict().items():
        print_figure("measured", f"digest, {name}", value, "B")
    for peers in (8, sizes.ENTRY_INSTANCES - 1):
        record = slopes.measure_record(peers)
        print_figure("measured", f"explanation record, {peers} peers", record.size, "B")
    for replicas in slopes.REPLICA_STEPS:
        text = slopes.measure_text(replicas)
        print_figure("measured", f"text, {replicas} replicas", text.size, "B")
        print_figure(
            "measured", f"parse, {replicas} replicas", text.parse_s * 1e3, "ms"
        )
    return digests


def measure_memory() -> slopes.MemoryUse:
    """Print and return the memory of one item of each kind."""
    memory = slopes.measure_memory()
    for name, value in memory._asdict().items():
        print_figure("measured", f"memory, one {name}", value, "B")
    return memory


def measure_resident() -> float:
    """Print and return the resident size with an engine at the two-year size, in bytes.

    It must be called first, because the peak resident size never decreases.
    """
    driver = sizes.EngineDriver(
        sizes.render_text(sizes.REPLICA_COUNT), sizes.ENTRY_INSTANCES - 1
    )
    driver.warm_up()
    size = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024.0
    print_figure(
        "measured", "resident size, engine at the two-year size", size / 1e6, "MB"
    )
    return size


def measure_exchanges(
    digest_bytes: float,
) -> tuple[wires.ExchangeCosts, wires.ExchangeCosts]:
    """Print and return the costs of exchanges with backend servers and with peers."""
    driver = sizes.EngineDriver(sizes.render_text(110), 8)
    padding = max(0, int(digest_bytes) - measure_empty_digest(driver))
    digest = driver.make_digest(0, b"\x00" * padding)
    costs = wires.measure_http(), wires.measure_peers(digest)
    for name, exchange in zip(("HTTP", "digest"), costs, strict=True):
        print_figure(
            "measured", f"{name} exchange, processor", exchange.cpu_s * 1e6, "us"
        )
        print_figure("measured", f"{name} exchange, time", exchange.wall_s * 1e3, "ms")
        print_figure("measured", f"{name} exchange, sent", exchange.sent_bytes, "B")
        print_figure(
            "measured", f"{name} exchange, received", exchange.received_bytes, "B"
        )
        print_figure(
            "measured", f"{name} connection, memory", exchange.connection_bytes, "B"
        )
    return costs


def measure_empty_digest(driver: sizes.EngineDriver) -> int:
    """Return the size of a digest without content, in bytes."""
    return len(messages.encode(driver.make_digest(0)))


def print_control_costs(
    costs: slopes.ControlCosts, digests: slopes.DigestSizes, link: wires.ExchangeCosts
) -> None:
    """Print processor time and bytes of the control work of one entry instance."""
    ticks = costs.tick_s * TICKS_PER_S
    engine_s = (costs.digest_request_s + costs.digest_answer_s) * EXCHANGES_PER_S
    links_s = link.cpu_s * EXCHANGES_PER_S
    lists_s = costs.instance_list_s / control.LIST_PERIOD_S
    total = ticks + engine_s + links_s
    print_figure("worked out", "control, ticks", ticks * 100, "% core")
    print_figure(
        "worked out", "control, digests in the engine", engine_s * 100, "% core"
    )
    print_figure("worked out", "control, digests on the wire", links_s * 100, "% core")
    verdict = format_verdict(total * 100, CORE_SHARE_MAX * 100, "% core")
    print_figure("worked out", "control, processor", total * 100, "% core", verdict)
    print_figure("worked out", "control, lists of a watcher", lists_s * 100, "% core")
    verdict = format_verdict((total + lists_s) * 100, CORE_SHARE_MAX * 100, "% core")
    print_figure(
        "worked out", "control, watcher", (total + lists_s) * 100, "% core", verdict
    )
    payload_bytes = link.sent_bytes + link.received_bytes
    header_bytes = 2 * SEGMENTS_PER_EXCHANGE * SEGMENT_HEADER_BYTES
    # For each exchange that it starts, a peer starts one with it.
    sent_rate = EXCHANGES_PER_S * payload_bytes
    verdict = format_verdict(sent_rate, CONTROL_BYTES_MAX, "B/s")
    print_figure("worked out", "control, payload sent", sent_rate, "B/s", verdict)
    sent_rate += EXCHANGES_PER_S * header_bytes
    verdict = format_verdict(sent_rate, CONTROL_BYTES_MAX, "B/s")
    print_figure("worked out", "control, sent with headers", sent_rate, "B/s", verdict)
    full_digests_rate = 2 * EXCHANGES_PER_S * digests.largest
    verdict = format_verdict(full_digests_rate, CONTROL_BYTES_MAX, "B/s")
    print_figure(
        "worked out",
        "control, sent with full digests",
        full_digests_rate,
        "B/s",
        verdict,
    )


def print_list_costs() -> None:
    """Print the costs of reading the instance list."""
    for replicas in (0, sizes.REPLICA_COUNT):
        listed = slopes.measure_list(replicas)
        name = f"list of {listed.instances} instances"
        print_figure("measured", name, listed.size, "B")
        print_figure("measured", f"{name}, decoding", listed.decode_s * 1e3, "ms")
        period_s = control.READ_PERIOD_PER_INSTANCE_S * sizes.ENTRY_INSTANCES
        for role, every_s in (("watcher", control.LIST_PERIOD_S), ("other", period_s)):
            rate = listed.size / every_s
            verdict = format_verdict(rate, CONTROL_BYTES_MAX, "B/s")
            print_figure("worked out", f"{name}, {role}", rate, "B/s", verdict)


def print_service_reads(watchers: int, name: str) -> None:
    """Print the rate of service reads by a fleet with a number of watchers."""
    others = sizes.ENTRY_INSTANCES - watchers
    period_s = control.READ_PERIOD_PER_INSTANCE_S * sizes.ENTRY_INSTANCES
    reads = watchers / control.WATCH_WAIT_S + others / period_s
    verdict = format_verdict(reads, SERVICE_READS_MAX, "/s")
    print_figure("worked out", f"service reads, {name}", reads, "1/s", verdict)
    lists = watchers / control.LIST_PERIOD_S + others / period_s
    print_figure("worked out", f"list reads, {name}", lists, "1/s")


def measure_spread(parse_s: float) -> None:
    """Print how fast a change spreads and what the entry instances know of others."""
    delays = spread.Delays(REGION_LATENCY_S, parse_s)
    watchers = membership.WATCHERS_PER_ZONE * len(sizes.ZONES)
    runs = [
        spread.simulate(
            seed, range(watchers), delays, spread.make_uniform_chooser(seed)
        )
        for seed in SPREAD_SEEDS
    ]
    last_s = statistics.median(run.last_s for run in runs)
    verdict = format_verdict(last_s, SPREAD_MAX_S, "s")
    print_figure("measured", "spread, random targets, half", runs[0].half_s, "s")
    print_figure(
        "measured", "spread, random targets, last of 470", last_s, "s", verdict
    )
    fleet = spread.Fleet()
    fleet.warm_up()
    print_figure(
        "measured", "peers known as live, own targets", fleet.count_live() - 1, ""
    )
    watcher_numbers = fleet.list_watchers()
    print_figure(
        "measured", "daemons that watch, own targets", len(watcher_numbers), ""
    )
    candidates = fleet.count_candidates()
    print_figure("measured", "candidates for 16 groups, own targets", candidates, "")
    run = spread.simulate(1, watcher_numbers[:watchers], delays, fleet.choose_targets)
    verdict = format_verdict(run.last_s, SPREAD_MAX_S, "s")
    print_figure("measured", "spread, own targets, half", run.half_s, "s")
    print_figure("measured", "spread, own targets, last", run.last_s, "s", verdict)
    print_figure("measured", "spread, own targets, daemons reached", run.reached, "")
    print_service_reads(watchers, "2 watchers per zone")
    print_service_reads(len(watcher_numbers), "watchers found")


def print_memory(
    resident_bytes: float,
    memory: slopes.MemoryUse,
    http: wires.ExchangeCosts,
    link: wires.ExchangeCosts,
) -> None:
    """Print the memory of one entry instance for control, connections and load."""
    peers = sizes.ENTRY_INSTANCES - 1
    links_bytes = peers * link.connection_bytes
    verdict = format_verdict(
        (resident_bytes + links_bytes) / 1e6, MEMORY_BYTES_MAX / 1e6, "MB"
    )
    print_figure("worked out", "memory, links to all peers", links_bytes / 1e6, "MB")
    print_figure(
        "worked out",
        "memory, control",
        (resident_bytes + links_bytes) / 1e6,
        "MB",
        verdict,
    )
    tables_bytes = sizes.REPLICA_COUNT * memory.replica + peers * memory.entry
    print_figure("worked out", "memory, tables within it", tables_bytes / 1e6, "MB")
    connections_bytes = sizes.REPLICA_COUNT * http.connection_bytes
    print_figure(
        "worked out", "memory, a connection per replica", connections_bytes / 1e6, "MB"
    )
    queries_per_s = sizes.QUERIES_PER_S / sizes.ENTRY_INSTANCES
    queries_bytes = queries_per_s * 0.2 * memory.query
    print_figure(
        "worked out", "memory, queries of 200 ms each", queries_bytes / 1e6, "MB"
    )
    keys_bytes = queries_per_s * 1_200 * memory.key
    print_figure(
        "worked out", "memory, a key per query for 1,200 s", keys_bytes / 1e6, "MB"
    )


def print_query_costs(costs: slopes.ControlCosts, http: wires.ExchangeCosts) -> None:
    """Print the processor cores that the sub-requests need."""
    rate = sizes.QUERIES_PER_S * sizes.PARTS_PER_QUERY / sizes.ENTRY_INSTANCES
    cost_s = costs.sub_request_s + http.cpu_s
    cores = rate * cost_s
    print_figure("worked out", "sub-requests, per daemon", rate, "1/s")
    print_figure("worked out", "sub-request, engine and HTTP", cost_s * 1e6, "us")
    print_figure("worked out", "sub-requests that one core carries", 1 / cost_s, "1/s")
    print_figure("worked out", "cores per instance at full use", cores, "cores")
    required = cores / CORE_USE_TARGET
    print_figure(
        "worked out",
        f"cores per instance at {CORE_USE_TARGET:.0%} use",
        required,
        "cores",
    )
    per_replica = sizes.QUERIES_PER_S * sizes.PARTS_PER_QUERY / sizes.REPLICA_COUNT
    print_figure("worked out", "sub-requests, per replica", per_replica, "1/s")


def print_subset_costs(costs: slopes.ControlCosts) -> None:
    """Print the connections and costs if entry instances use subsets of replicas."""
    replicas_per_leaf = sizes.REPLICA_COUNT / sizes.PARTS_PER_QUERY
    instances_per_replica = math.ceil(
        (sizes.ENTRY_INSTANCES + 1) * REPLICAS_PER_LEAF / math.floor(replicas_per_leaf)
    )
    print_figure("worked out", "share of connections without subsets", 0, "")
    print_figure("worked out", "replicas of each of 59 leaves", replicas_per_leaf, "")
    verdict = format_verdict(instances_per_replica, REPLICA_CONNECTIONS, "connections")
    print_figure(
        "worked out",
        "daemons that one replica faces",
        instances_per_replica,
        "",
        verdict,
    )
    replicas = REPLICAS_PER_LEAF * sizes.PARTS_PER_QUERY
    print_figure("worked out", "replicas that one daemon faces", replicas, "")
    subset = slopes.measure_control(replicas, sizes.ENTRY_INSTANCES - 1)
    ticks = subset.tick_s * TICKS_PER_S * 100
    print_figure("measured", "ticks with subsets", ticks, "% core")
    print_figure(
        "measured", "sub-request with subsets", subset.sub_request_s * 1e6, "us"
    )
    saved = 1 - subset.sub_request_s / costs.sub_request_s
    print_figure("worked out", "sub-request, saved by subsets", saved * 100, "%")


def print_start_time() -> None:
    """Print how long a new entry instance takes to learn that servers are warm."""
    answers = EXCHANGES_PER_S * (facts.FACTS_MAX // 2 + facts.FACTS_ROTATED)
    rate = answers + EXCHANGES_PER_S * facts.FACTS_ROTATED
    for replicas in (sizes.REPLICA_COUNT, REPLICAS_PER_LEAF * sizes.PARTS_PER_QUERY):
        name = f"start, facts of {replicas} replicas"
        print_figure("worked out", name, replicas / rate, "s")


def print_change_costs(text: slopes.TextCosts) -> None:
    """Print the costs of configuration changes."""
    rate = text.size * CHANGES_PER_DAY / DAY_S
    print_figure("worked out", "texts, mean", rate, "B/s")
    parse_s_per_day = text.parse_s * CHANGES_PER_DAY
    print_figure("worked out", "parsing in a day", parse_s_per_day, "s")


def print_lease_votes() -> None:
    """Print the votes that a lease renewal needs and how many voters are asked."""
    required = (sizes.ENTRY_INSTANCES + 1) // 2 + 1
    voters_asked = EXCHANGES_PER_S * leases.LEASE_S
    print_figure("worked out", "votes for a majority", required, "votes")
    print_figure("worked out", "voters asked within a lease", voters_asked, "voters")
    rate = required / leases.LEASE_S
    print_figure("worked out", "exchanges a second for one owner", rate, "1/s")


def main() -> None:
    """Print every figure."""
    started_at = time.perf_counter()
    resident_bytes = measure_resident()
    costs = measure_engine()
    digests = measure_bytes()
    http, link = measure_exchanges(digests.steady)
    memory = measure_memory()
    text = slopes.measure_text(sizes.REPLICA_COUNT)
    print_control_costs(costs, digests, link)
    print_list_costs()
    probe_rate = slopes.count_idle_probes(sizes.REPLICA_COUNT, 100)
    print_figure("measured", "status probes of an idle daemon", probe_rate, "1/s")
    probe_share = probe_rate * http.cpu_s * 100
    verdict = format_verdict(probe_share, CORE_SHARE_MAX * 100, "% core")
    print_figure(
        "worked out", "probes of an idle daemon", probe_share, "% core", verdict
    )
    print_memory(resident_bytes, memory, http, link)
    print_query_costs(costs, http)
    print_lease_votes()
    print_subset_costs(costs)
    print_start_time()
    print_change_costs(text)
    measure_spread(text.parse_s)
    print_figure("measured", "time of this run", time.perf_counter() - started_at, "s")


if __name__ == "__main__":
    sys.exit(main())
