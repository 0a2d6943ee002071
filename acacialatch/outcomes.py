"""When a query is complete, and the answer that it gets."""

import typing

from acacialatch import attempts, coverage, errors, model, parts


def is_complete(
    query: model.Query, floor: tuple[int, int], covered: coverage.Coverage, rows: int
) -> bool:
    """Return whether a query can be answered before its deadline.

    Parameters
    ----------
    query : model.Query
        The query.
    floor : tuple of int
        Numerator and denominator of the smallest coverage of a full page.
    covered : coverage.Coverage
        Keys that verified replies cover.
    rows : int
        Number of verified rows.
    """
    if covered.is_whole():
        return True
    if query.kind is model.QueryKind.FULL_PAGE:
        return covered.reaches(floor)
    return query.kind is model.QueryKind.URGENT and rows >= query.limit


def judge_at_deadline(
    query: model.Query,
    floor: tuple[int, int],
    covered: coverage.Coverage,
    lacks_version: bool,
) -> errors.Failure | None:
    """Return the failure of an incomplete query at its deadline.

    Parameters
    ----------
    query, floor, covered
        As for `is_complete`.
    lacks_version : bool
        Whether no newer snapshot was known when one was needed.

    Returns
    -------
    errors.Failure or None
        None for an urgent query, which answers with what is verified.
    """
    detail = f"covered {covered.covered} of {covered.total} keys"
    if query.kind is model.QueryKind.URGENT:
        return None
    if query.kind is model.QueryKind.FULL_PAGE:
        return errors.Failure(
            errors.ErrorKind.COVERAGE_BELOW_FLOOR,
            f"{detail}, floor {floor[0]}/{floor[1]}",
        )
    if lacks_version:
        return errors.Failure(errors.ErrorKind.NO_COMMON_VERSION, detail)
    return errors.Failure(errors.ErrorKind.DEADLINE_EXCEEDED, detail)


def build(
    failure: errors.Failure | None,
    limit: int,
    versions: attempts.Versions,
    covered: coverage.Coverage,
    progress: typing.Sequence[parts.Progress],
) -> attempts.Outcome:
    """Return the answer with its true coverage.

    Parameters
    ----------
    failure : errors.Failure or None
        Error to answer with; an error takes no rows.
    limit : int
        Most rows of the answer.
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
        for gap in covered.missing()
    )
    return attempts.Outcome(
        failure, rows, sources, versions, covered.covered, covered.total, missing
    )


def collect_rows(
    progress: typing.Sequence[parts.Progress], limit: int
) -> tuple[tuple[tuple[int, int], ...], tuple[typing.Any, ...]]:
    """Return the sources and the rows of an answer, by part and key.

    Returns
    -------
    tuple
        Pairs of attempt and number of rows taken from it, and the rows.
    """
    sources: list[tuple[int, int]] = []
    rows: list[typing.Any] = []
    for part in progress:
        for piece in part.pieces:
            taken = piece.rows[: max(0, limit - len(rows))]
            rows.extend(taken)
            if len(taken):
                sources.append((piece.attempt, len(taken)))
    return tuple(sources), tuple(rows)
