"""Parser and validation of the operators' configuration text.

Validation is deterministic: in every process the same text gives the same verdict
and the same problems in the same order.
"""

import typing

import result

from acacialatch import checks, model, tables

TEXT_MAX_BYTES = 1_000_000  # largest value that the configuration service holds
TITLE_LENGTH_MAX = 200  # characters
ENTRY_INSTANCES_MAX = 10_000  # largest entry_instances_max
DURATION_MAX_MS = 3_600_000
COUNT_MAX = 1_000_000  # largest number of slots, connections or requests
FRACTION_DENOMINATOR_MAX = 1_000_000
# The lifetime of addresses plus the time to propagate a change must stay within 3 s.
ENTRY_LIFETIME_MAX_S = 2

MS_PER_S = 1000
NAMES_SHOWN_MAX = 20  # names listed in one problem

# Default deadline_ms, deadline_max_ms and floor of each kind of query.
KIND_DEFAULTS: dict[model.QueryKind, tuple[int, int, tuple[int, int]]] = {
    model.QueryKind.FULL_PAGE: (2_000, 10_000, (1, 1)),
    model.QueryKind.URGENT: (150, 1_000, (0, 1)),
    model.QueryKind.LOOKUP: (30_000, 120_000, (1, 1)),
}

_TOP_KEYS = (
    "title",
    "entry_instances_max",
    "zones",
    "zones_out",
    "kinds",
    "policy",
    "indexes",
    "shapes",
    "services",
)
_KIND_KEYS = ("deadline_ms", "deadline_max_ms", "floor")
_POLICY_KEYS = ("hedge_budget", "retry_tokens", "entry_lifetime_s")
_INDEX_KEYS = ("keys", "partition_map")
_SHAPE_KEYS = (
    "slots",
    "connections",
    "connect_ms",
    "cold_requests",
    "cold_window_ms",
    "warm_up_ms",
    "warm_after_requests",
)
_LEAF_KEYS = ("index", "start", "end", "shape", "replicas")
_SERVICE_KEYS = ("depends_on", *_LEAF_KEYS)
_REPLICA_KEYS = ("address", "zone")


def parse(
    text: bytes, name: str = "configuration"
) -> result.Result[model.Configuration, tuple[tables.Problem, ...]]:
    """Parse and validate a configuration text.

    Parameters
    ----------
    text : bytes
        The text as published.
    name : str
        Name of the file or text shown in problems.

    Returns
    -------
    Result
        The configuration, or every problem found.
    """
    parsed = tables.parse_toml(text, name, TEXT_MAX_BYTES)
    if isinstance(parsed, result.Err):
        return parsed
    problems = tables.Problems(name)
    top = tables.Reader(problems, "", parsed.ok_value, _TOP_KEYS)
    configuration = _read_configuration(top)
    if problems.list_all():
        return result.Err(problems.list_all())
    return result.Ok(configuration)


def _read_configuration(top: tables.Reader) -> model.Configuration:
    """Read all tables; the result is valid only if no problem was added."""
    title = top.read_text("title", _is_title, f"1 to {TITLE_LENGTH_MAX} characters")
    instances = top.read_integer("entry_instances_max", 1, ENTRY_INSTANCES_MAX)
    zones = top.read_texts("zones", tables.is_name, tables.NAME_ALLOWED)
    if zones == () and top.table["zones"] == []:
        top.add_problem("zones", "at least one availability zone")
    zones_out = top.read_texts(
        "zones_out",
        lambda zone: zones is None or zone in zones,
        _describe_allowed(zones or ()),
        default=(),
    )
    kinds = _read_kinds(top)
    policy = _read_policy(top)
    indexes = _read_indexes(top)
    shapes = _read_shapes(top, instances)
    services = _read_services(top, zones, indexes, shapes)
    return model.Configuration(
        title=title or "",
        entry_instances_max=instances or 1,
        zones=zones or (),
        zones_out=frozenset(zones_out or ()),
        kinds=kinds,
        indexes={name: index for name, index in indexes.items() if index},
        services=services,
        policy=policy,
    )


def _is_title(value: str) -> bool:
    return 1 <= len(value) <= TITLE_LENGTH_MAX and value.isprintable()


def _describe_allowed(
    names: typing.Iterable[str], shown_max: int = NAMES_SHOWN_MAX
) -> str:
    listed = list(names)
    more = f" and {len(listed) - shown_max} more" if len(listed) > shown_max else ""
    return f"one of {', '.join(listed[:shown_max])}{more}" if listed else "none exist"


def _read_kinds(top: tables.Reader) -> dict[model.QueryKind, model.KindPolicy]:
    names = tuple(kind.value for kind in model.QueryKind)
    readers = top.read_table("kinds", names, required=False)
    kinds = {}
    for kind in model.QueryKind:
        reader = readers and readers.read_table(kind.value, _KIND_KEYS, required=False)
        table = reader or tables.Reader(top.problems, "", {}, _KIND_KEYS)
        kinds[kind] = _read_kind(table, KIND_DEFAULTS[kind])
    return kinds


def _read_kind(
    reader: tables.Reader, defaults: tuple[int, int, tuple[int, int]]
) -> model.KindPolicy:
    deadline = reader.read_integer("deadline_ms", 1, DURATION_MAX_MS, defaults[0])
    # A deadline above the default maximum raises the maximum, unless the text sets it.
    deadline_max = reader.read_integer(
        "deadline_max_ms", 1, DURATION_MAX_MS, max(defaults[1], deadline or 0)
    )
    floor = reader.read_fraction("floor", FRACTION_DENOMINATOR_MAX, defaults[2])
    if deadline is not None and deadline_max is not None and deadline_max < deadline:
        reader.add_problem(
            "deadline_max_ms", f"at least deadline_ms, which is {deadline}"
        )
    return model.KindPolicy(
        (deadline or 0) / MS_PER_S, (deadline_max or 0) / MS_PER_S, floor or (1, 1)
    )


def _read_policy(top: tables.Reader) -> model.Policy:
    defaults = model.Policy()
    reader = top.read_table("policy", _POLICY_KEYS, required=False)
    if reader is None:
        return defaults
    return model.Policy(
        hedge_budget=reader.read_fraction(
            "hedge_budget", FRACTION_DENOMINATOR_MAX, defaults.hedge_budget
        )
        or defaults.hedge_budget,
        retry_tokens=reader.read_integer(
            "retry_tokens", 1, COUNT_MAX, defaults.retry_tokens
        )
        or defaults.retry_tokens,
        entry_lifetime_s=reader.read_integer(
            "entry_lifetime_s", 1, ENTRY_LIFETIME_MAX_S, defaults.entry_lifetime_s
        )
        or defaults.entry_lifetime_s,
    )


def _read_indexes(top: tables.Reader) -> dict[str, model.Index | None]:
    """Return the indexes by name; an invalid one is None, so that its name is known."""
    indexes: dict[str, model.Index | None] = {}
    for name, reader in top.read_named_tables("indexes", _INDEX_KEYS).items():
        keys = reader.read_integer("keys", 1, tables.INTEGER_MAX)
        partition_map = reader.read_integer("partition_map", 1, tables.INTEGER_MAX)
        is_complete = keys is not None and partition_map is not None
        indexes[name] = model.Index(name, keys, partition_map) if is_complete else None
    return indexes


def _read_shapes(
    top: tables.Reader, instances: int | None
) -> dict[str, model.Shape | None]:
    """Return the shapes by name; an invalid one is None, so that its name is known."""
    shapes: dict[str, model.Shape | None] = {}
    for name, reader in top.read_named_tables("shapes", _SHAPE_KEYS).items():
        connections = reader.read_integer("connections", 1, COUNT_MAX)
        if connections is not None and instances and connections < instances:
            reader.add_problem(
                "connections",
                f"at least entry_instances_max, which is {instances}; with fewer,"
                " the share of one entry instance is 0",
            )
        numbers = (
            reader.read_integer("slots", 1, COUNT_MAX),
            connections,
            reader.read_integer("connect_ms", 0, DURATION_MAX_MS),
            # The first request on a new connection takes two units of this budget.
            reader.read_integer("cold_requests", 2, COUNT_MAX),
            reader.read_integer("cold_window_ms", 1, DURATION_MAX_MS),
            reader.read_integer("warm_up_ms", 0, DURATION_MAX_MS),
            reader.read_integer("warm_after_requests", 1, COUNT_MAX),
        )
        shapes[name] = None if None in numbers else _make_shape(*numbers)
    return shapes


def _make_shape(
    slots: int,
    connections: int,
    connect_ms: int,
    cold_requests: int,
    cold_window_ms: int,
    warm_up_ms: int,
    warm_after_requests: int,
) -> model.Shape:
    return model.Shape(
        slots=slots,
        connections=connections,
        connect_s=connect_ms / MS_PER_S,
        cold_requests=cold_requests,
        cold_window_s=cold_window_ms / MS_PER_S,
        warm_up_s=warm_up_ms / MS_PER_S,
        warm_after_requests=warm_after_requests,
    )


def _read_services(
    top: tables.Reader,
    zones: tuple[str, ...] | None,
    indexes: dict[str, model.Index | None],
    shapes: dict[str, model.Shape | None],
) -> dict[str, model.Service]:
    """Read all services, then check them for cycles, gaps and overlaps.

    An index of which a range is invalid is not checked for gaps and overlaps, since
    these would only follow from the problem already reported.
    """
    readers = top.read_named_tables("services", _SERVICE_KEYS)
    services = {}
    addresses: dict[str, str] = {}
    ranges: dict[str, list[tuple[int, int, str]]] = {name: [] for name in indexes}
    incomplete_indexes: set[str] = set()
    for name, reader in readers.items():
        if reader.has_key("depends_on"):
            services[name] = _read_composite(name, reader, readers)
            if reader.has_key("index"):  # a misplaced leaf would look like a gap
                incomplete_indexes.add(str(reader.table["index"]))
            continue
        leaf = _read_leaf(name, reader, zones, indexes, shapes, addresses)
        services[name] = leaf
        if leaf.keys.size():
            ranges.get(leaf.index, []).append((*leaf.keys, name))
        else:
            incomplete_indexes.add(leaf.index)
    checks.check_cycles(services, top.problems)
    if "" not in incomplete_indexes:
        for name, index in indexes.items():
            if index is not None and name not in incomplete_indexes:
                checks.check_tiling(index, ranges[name], top.problems)
    return services


def _read_composite(
    name: str, reader: tables.Reader, services: typing.Mapping[str, object]
) -> model.Service:
    """Read a service with dependencies, which must have no keys of a leaf."""
    for key in _LEAF_KEYS:
        if reader.has_key(key):
            reader.add_problem(
                key, "absent, since a service with depends_on is no leaf"
            )
    depends_on = reader.read_texts(
        "depends_on", services.__contains__, "the name of a service in this text"
    )
    if reader.table["depends_on"] == []:
        reader.add_problem(
            "depends_on", "at least one service, so that a leaf is reached"
        )
    return model.Service(name, depends_on=depends_on or ())


def _read_leaf(
    name: str,
    reader: tables.Reader,
    zones: tuple[str, ...] | None,
    indexes: dict[str, model.Index | None],
    shapes: dict[str, model.Shape | None],
    addresses: dict[str, str],
) -> model.Service:
    """Read a leaf service; its range is empty if the index or a bound is invalid."""
    index_name = reader.read_text(
        "index", indexes.__contains__, _describe_allowed(indexes)
    )
    shape = reader.read_text("shape", shapes.__contains__, _describe_allowed(shapes))
    index = indexes.get(index_name or "")
    keys = index.keys if index else tables.INTEGER_MAX
    start = reader.read_integer("start", 0, keys - 1)
    end = reader.read_integer("end", 1, keys)
    if start is not None and end is not None and end <= start:
        reader.add_problem("end", f"more than start, which is {start}")
    replicas = _read_replicas(name, reader, zones, addresses)
    return model.Service(
        name,
        index=index_name or "",
        keys=model.KeyRange(start or 0, end or 0)
        if start is not None and end is not None and index
        else model.KeyRange(0, 0),
        shape=shapes.get(shape or ""),
        replicas=replicas,
    )


def _read_replicas(
    name: str,
    reader: tables.Reader,
    zones: tuple[str, ...] | None,
    addresses: dict[str, str],
) -> tuple[model.Replica, ...]:
    """Read the replicas of a leaf and add them to `addresses`, the services by address.

    No address may occur twice in the text.
    """
    listed = reader.table.get("replicas")
    if not isinstance(listed, list) or not listed:
        allowed = "a list of at least one { address, zone }; or depends_on instead"
        reader.add_problem("replicas", allowed)
        return ()
    replicas = []
    for position, table in enumerate(listed):
        path = f"{reader.path}.replicas[{position}]"
        if not isinstance(table, dict):
            reader.problems.add(path, table, "a table { address, zone }")
            continue
        entry = tables.Reader(reader.problems, path, table, _REPLICA_KEYS)
        address = entry.read_text("address", tables.is_address, tables.ADDRESS_ALLOWED)
        zone = entry.read_text(
            "zone",
            lambda value: zones is None or value in zones,
            _describe_allowed(zones or ()),
        )
        if address is not None and address in addresses:
            entry.add_problem("address", f"once; {addresses[address]} has it already")
        elif address is not None:
            addresses[address] = name
        replicas.append(model.Replica(address or "", zone or ""))
    return tuple(replicas)


def check_successor(
    old: model.Configuration, new: model.Configuration, name: str = "configuration"
) -> tuple[tables.Problem, ...]:
    """Return the problems of replacing `old` by `new`.

    A partition map number must not decrease, and the same number must denote the
    same ranges and key count. The result depends on `old`, so it may differ between
    entry instances that skipped a revision; see `revisions`.

    Parameters
    ----------
    old, new : Configuration
        Configuration in force and its successor.
    name : str
        Name of the file or text of `new` shown in problems.
    """
    problems = tables.Problems(name)
    for index in new.indexes.values():
        old_index = old.indexes.get(index.name)
        if old_index is None:
            continue
        partition_map = old_index.partition_map
        if index.partition_map < partition_map:
            problems.add(
                f"indexes.{index.name}.partition_map",
                index.partition_map,
                f"at least {partition_map}, which is in force",
            )
        elif index.partition_map == partition_map:
            _check_same_partition_map(old_index, index, old, new, problems)
    return problems.list_all()


def _check_same_partition_map(
    old_index: model.Index,
    index: model.Index,
    old: model.Configuration,
    new: model.Configuration,
    problems: tables.Problems,
) -> None:
    """Add a problem if the key count or ranges differ under the same number."""
    or_higher = f"or a partition_map above {old_index.partition_map}"
    if index.keys != old_index.keys:
        allowed = f"{old_index.keys}, {or_higher}"
        problems.add(f"indexes.{index.name}.keys", index.keys, allowed)
    elif _list_ranges(new, index.name) != _list_ranges(old, index.name):
        problems.add_finding(
            f"indexes.{index.name}.partition_map",
            f"{index.partition_map} with other ranges",
            f"the ranges in force, {or_higher}",
        )


def _list_ranges(
    configuration: model.Configuration, index: str
) -> list[model.KeyRange]:
    services = configuration.services.values()
    return sorted(
        service.keys
        for service in services
        if service.is_leaf() and service.index == index
    )
