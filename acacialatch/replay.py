"""Replay of explanation records, to compare and explain the recorded decisions."""

import typing

from acacialatch import attempts, explanations, records, routing, scatter


class Difference(typing.NamedTuple):
    """The first step whose decisions differ; steps count from 1."""

    step: int
    recorded: tuple[attempts.Decision, ...]
    replayed: tuple[attempts.Decision, ...]


class Comparison(typing.NamedTuple):
    """Result of a replay.

    Attributes
    ----------
    same : bool
        Whether every replayed decision equals the recorded one.
    complete : bool
        Whether the record has every step up to the answer.
    difference : Difference or None
        First difference.
    lines : tuple of str
        Text that describes each step.
    """

    same: bool
    complete: bool
    difference: Difference | None
    lines: tuple[str, ...]


def find_policy(name: str) -> routing.ReplicaPolicy:
    """Return a policy of `routing` by its class name, with default arguments.

    Raises
    ------
    LookupError
        If there is no such policy.
    """
    pending = [routing.ReplicaPolicy]
    while pending:
        found = pending.pop()
        if found.__name__ == name and found is not routing.ReplicaPolicy:
            return found()
        pending.extend(found.__subclasses__())
    raise LookupError(f"policy {name!r} is not known")


def replay(
    record: records.Record, policy: routing.ReplicaPolicy | None = None
) -> Comparison:
    """Pass the events of a record to a new `Scatter` and compare its decisions.

    Parameters
    ----------
    record : records.Record
        Verified record.
    policy : routing.ReplicaPolicy, optional
        Policy with the arguments of the recorded run; by default, the policy that the
        header names, with default arguments.

    Raises
    ------
    LookupError
        If the header names an unknown policy and none is given.
    """
    header = record.header
    query = scatter.Scatter(
        header["query"],
        header["floor"],
        header["seed"],
        policy or find_policy(header["policy"]),
    )
    lines: list[str] = []
    difference = None
    for number, step in enumerate(record.steps, 1):
        event = _restore_rows(step.event)
        reasons = query.explain(step.time, event)
        decisions = tuple(query.handle(step.time, event))
        lines.append(f"{step.time:.6f} s: {explanations.describe_event(event)}")
        texts = explanations.describe_decisions(event, reasons, decisions)
        lines.extend(f"  {text}" for text in texts)
        recorded = _replace_rows_by_count(step.decisions, _read_row_count)
        replayed = _replace_rows_by_count(decisions, len)
        if difference is None and recorded != replayed:
            difference = Difference(number, recorded, replayed)
            lines.append("  differs from the record from here on")
    complete = record.reason is None and query.finished
    return Comparison(difference is None, complete, difference, tuple(lines))


def _restore_rows(event: attempts.Event) -> attempts.Event:
    # The record has only the number of rows. `Scatter` reads no row, so a range of
    # the same length replaces them.
    if isinstance(event, attempts.Reply):
        return event._replace(rows=range(event.rows[0]))
    return event


def _read_row_count(rows: typing.Sequence[typing.Any]) -> int:
    return rows[0]


def _replace_rows_by_count(
    decisions: typing.Sequence[attempts.Decision],
    count: typing.Callable[[typing.Sequence[typing.Any]], int],
) -> tuple[attempts.Decision, ...]:
    return tuple(
        attempts.Finish(decision.outcome._replace(rows=(count(decision.outcome.rows),)))
        if isinstance(decision, attempts.Finish)
        else decision
        for decision in decisions
    )
