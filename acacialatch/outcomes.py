"""Completion of a query and its answer."""

import typing

from acacialatch import attempts, coverage, errors, model, parts


def is_complete(
    query: model.Query, floor: tuple[int, int], covered: coverage.Coverage, rows: int
) -> bool:
    """Return whether a query can be answered without waiting for more replies.

    Any query can with full coverage, a full-page query with the coverage of `floor`,
    and an urgent query with as many rows as its limit.

    Parameters
    ----------
    query : model.Query
        The query.
    floor : tuple of int
        Numerator and denominator of the smallest coverage of a full-page query.
    covered : coverage.Coverage
        Keys that verified replies cover.
    rows : int
        Number of verified rows.
    """
    if covered.is_full():
        return True
    if query.kind is model.QueryKind.FULL_PAGE:
        return covered.meets_floor(floor)
    return query.kind is model.QueryKind.URGENT and rows >= query.limit


def find_deadline_failure(
    query: model.Query,
    floor: tuple[int, int],
    covered: coverage.Coverage,
    no_newer_snapshot: bool,
) -> errors.Failure | None:
    """Return the failure of an incomplete query at its deadline.

    Parameters
    ----------
    query, floor, covered
        As for `is_complete`.
    no_newer_snapshot : bool
        Whether the last requested restart found no newer snapshot.

    Returns
    -------
    errors.Failure or None
        None for an urgent query, which is answered with the verified rows.
    """
    detail = f"covered {covered.covered} of {covered.total} keys"
    if query.kind is model.QueryKind.URGENT:
        return None
    if query.kind is model.QueryKind.FULL_PAGE:
        return errors.Failure(
            errors.ErrorKind.COVERAGE_BELOW_FLOOR,
            f"{detail}, floor {floor[0]}/{floor[1]}",
        )
    if no_newer_snapshot:
        return errors.Failure(errors.ErrorKind.NO_COMMON_VERSION, detail)
    return errors.Failure(errors.ErrorKind.DEADLINE_EXCEEDED, detail)


def build_outcome(
    failure: errors.Failure | None,
    limit: int,
    versions: attempts.Versions,
    covered: coverage.Coverage,
    progress: typing.Sequence[parts.Progress],
) -> attempts.Outcome:
    """Return the answer, with its exact coverage and the missing ranges.

    Parameters
    ----------
    failure : errors.Failure or None
        Error to answer with; such an answer has no rows.
    limit : int
        Maximum number of rows of the answer.
    versions : tuple
        Pinned version of each index.
    covered : coverage.Coverage
        Keys that verified replies cover.
    progress : sequence of parts.Progress
        All parts of the plan, in their order.
    """
    sources, rows = collect_rows(progress, limit) if failure is None else ((), ())
    reasons = {part.spec.service: part.describe_gap() for part in progress}
    missing = tuple(
        attempts.Missing(gap.service, gap.keys, reasons[gap.service])
        for gap in covered.list_gaps()
    )
    return attempts.Outcome(
        failure, rows, sources, versions, covered.covered, covered.total, missing
    )


def collect_rows(
    progress: typing.Sequence[parts.Progress], limit: int
) -> tuple[tuple[tuple[int, int], ...], tuple[typing.Any, ...]]:
    """Return the sources and the rows of an answer, ordered by part and key.

    Returns
    -------
    tuple
        Pairs of attempt number and number of rows taken from its reply, and the rows.
    """
    sources: list[tuple[int, int]] = []
    rows: list[typing.Any] = []
    for part in progress:
        for reply in part.replies:
            taken = reply.rows[: max(0, limit - len(rows))]
            rows.extend(taken)
            if len(taken):
                sources.append((reply.attempt, len(taken)))
    return tuple(sources), tuple(rows)
