"""Checks across services: dependency cycles, and gaps and overlaps of key ranges."""

from acacialatch import model, tables

CYCLE_SHOWN_MAX = 20  # services of a cycle listed in a problem


def check_cycles(services: dict[str, model.Service], problems: tables.Problems) -> None:
    """Add a problem for each cycle found by a depth-first search in text order.

    Parameters
    ----------
    services : dict
        Services by name, in order of the text.
    problems : Problems
        Where problems are added.
    """
    finished: set[str] = set()
    for root in services:
        path: list[str] = []
        on_path: set[str] = set()
        stack = [(root, False)]  # recursion would fail on a long chain
        while stack:
            name, is_exit = stack.pop()
            if is_exit:
                on_path.discard(path.pop())
                finished.add(name)
            elif name in on_path:
                cycle = [*path[path.index(name) :], name]
                problems.add_finding(
                    f"services.{path[-1]}.depends_on",
                    f"the cycle {_join_cycle(cycle)}",
                    "dependencies without a cycle",
                )
            elif name not in finished:
                path.append(name)
                on_path.add(name)
                stack.append((name, True))
                depends_on = services[name].depends_on
                stack.extend(
                    (needed, False)
                    for needed in reversed(depends_on)
                    if needed in services
                )


def _join_cycle(cycle: list[str], shown_max: int = CYCLE_SHOWN_MAX) -> str:
    if len(cycle) > shown_max:
        cycle = [*cycle[: shown_max - 1], "...", cycle[-1]]
    return " -> ".join(cycle)


def check_tiling(
    index: model.Index,
    ranges: list[tuple[int, int, str]],
    problems: tables.Problems,
) -> None:
    """Add a problem for each gap and overlap of the ranges of one index.

    Parameters
    ----------
    index : Index
        The index.
    ranges : list of tuple
        Start, end and service of each range; no range is empty.
    problems : Problems
        Where problems are added.
    """
    allowed = f"ranges that tile [0, {index.keys}) without gap or overlap"
    key = f"indexes.{index.name}"
    covered, last_service = 0, ""
    for start, end, name in sorted(ranges):
        if start > covered:
            problems.add_finding(key, f"a gap [{covered}, {start})", allowed)
        elif start < covered:
            overlap = f"[{start}, {min(end, covered)})"
            found = f"an overlap {overlap} of services {last_service} and {name}"
            problems.add_finding(key, found, allowed)
        if end > covered:
            covered, last_service = end, name
    if covered < index.keys:
        problems.add_finding(key, f"a gap [{covered}, {index.keys})", allowed)
