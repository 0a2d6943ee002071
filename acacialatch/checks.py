"""Checks across the tables of a configuration: cycles and tiling."""

from acacialatch import model, tables

CYCLE_SHOWN_MAX = 20  # services of a cycle that a problem names


def check_cycles(services: dict[str, model.Service], problems: tables.Problems) -> None:
    """Add one problem for each dependency cycle that a walk in text order closes.

    Parameters
    ----------
    services : dict
        Services by name, in order of the text.
    problems : Problems
        Where problems are added.
    """
    done: set[str] = set()
    for root in services:
        path: list[str] = []
        on_path: set[str] = set()
        pending = [(root, False)]  # an explicit stack: chains can be long
        while pending:
            name, leaving = pending.pop()
            if leaving:
                on_path.discard(path.pop())
                done.add(name)
            elif name in on_path:
                cycle = [*path[path.index(name) :], name]
                problems.add_found(
                    f"services.{path[-1]}.depends_on",
                    f"the cycle {_join_cycle(cycle)}",
                    "dependencies without a cycle",
                )
            elif name not in done:
                path.append(name)
                on_path.add(name)
                pending.append((name, True))
                depends_on = services[name].depends_on
                pending.extend(
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
    covered, last = 0, ""
    for start, end, name in sorted(ranges):
        if start > covered:
            problems.add_found(key, f"a gap [{covered}, {start})", allowed)
        elif start < covered:
            shared = f"[{start}, {min(end, covered)})"
            found = f"an overlap {shared} of services {last} and {name}"
            problems.add_found(key, found, allowed)
        if end > covered:
            covered, last = end, name
    if covered < index.keys:
        problems.add_found(key, f"a gap [{covered}, {index.keys})", allowed)
