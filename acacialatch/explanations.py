"""Text that describes the events and decisions of a query, for `replay`."""

import typing

from acacialatch import attempts, routing


def describe_event(event: attempts.Event) -> str:
    """Return one line of text for an event."""
    match event:
        case attempts.Start(plan):
            return f"start with {_describe_plan(plan)}"
        case attempts.View():
            budget = "budget allows" if event.budget_allows else "budget refuses"
            count = len(event.candidates)
            purpose = event.purpose.value
            return f"view of part {event.part} ({purpose}): {count} replicas, {budget}"
        case attempts.Reply():
            ranges = _format_ranges(event.ranges)
            body = "" if event.whole else ", body cut short"
            return (
                f"reply on attempt {event.attempt}: request {event.request_id}, "
                f"index {event.index} version {event.version} map "
                f"{event.partition_map}, ranges {ranges}{body}"
            )
        case attempts.Failed():
            return f"attempt {event.attempt} failed: {event.cause.value}"
        case attempts.Replan(None):
            return "no newer snapshot is known"
        case attempts.Replan(plan):
            return f"new plan: {_describe_plan(plan)}"
        case attempts.CallerGone():
            return "the caller left"
    return "timer"


def describe_decisions(
    event: attempts.Event,
    reasons: typing.Sequence[str],
    decisions: typing.Sequence[attempts.Decision],
) -> list[str]:
    """Return lines of text for the decisions that followed an event.

    Parameters
    ----------
    event : attempts.Event
        The event.
    reasons : sequence of str
        Reasons returned by `Scatter.explain` for the event.
    decisions : sequence of attempts.Decision
        The decisions.
    """
    lines = []
    if isinstance(event, attempts.Reply) and reasons:
        lines.append(f"reply not used: {reasons[0]}")
    for decision in decisions:
        if isinstance(decision, attempts.Cancel):
            text = _explain_cancel(event, reasons, decision, decisions)
            lines.append(f"gave up attempt {decision.attempt}: {text}")
        else:
            lines.append(_describe_decision(event, decision))
    if isinstance(event, attempts.View) and reasons:
        lines += _describe_unused(event, reasons, decisions)
    return lines


def _explain_cancel(
    event: attempts.Event,
    reasons: typing.Sequence[str],
    cancel: attempts.Cancel,
    decisions: typing.Sequence[attempts.Decision],
) -> str:
    """Return why an attempt was cancelled, derived from the event and decisions."""
    if isinstance(event, attempts.Reply) and event.attempt == cancel.attempt:
        return reasons[0] if reasons else "its reply was not used"
    if any(isinstance(decision, attempts.Finish) for decision in decisions):
        return "the query ended"
    if isinstance(event, attempts.Reply):
        return f"attempt {event.attempt} has read the rest of the part"
    if isinstance(event, attempts.Replan):
        return "the query restarts at a newer snapshot"
    return "no reply in time"


def _describe_unused(
    view: attempts.View,
    reasons: typing.Sequence[str],
    decisions: typing.Sequence[attempts.Decision],
) -> list[str]:
    """Return a line for each candidate that got no sub-request, with the reason."""
    sent = {d.address for d in decisions if isinstance(d, attempts.Send)}
    lines = []
    for candidate, reason in zip(view.candidates, reasons, strict=True):
        if candidate.address not in sent:
            other = "the policy preferred another" if sent else "nothing was sent"
            text = reason or other
            lines.append(f"skipped {_describe_candidate(candidate)}: {text}")
    return lines


def _describe_candidate(candidate: routing.Candidate) -> str:
    return (
        f"{candidate.address} (zone {candidate.zone}, {candidate.state.value}, "
        f"{candidate.in_flight} in flight, {candidate.latency_s * 1000:.1f} ms)"
    )


def _describe_decision(event: attempts.Event, decision: attempts.Decision) -> str:
    match decision:
        case attempts.Choose(part, purpose):
            return f"choose a replica for part {part} ({purpose.value})"
        case attempts.Send():
            chosen = decision.address
            if isinstance(event, attempts.View):
                shown = [c for c in event.candidates if c.address == chosen]
                chosen = _describe_candidate(shown[0]) if shown else chosen
            return (
                f"asked {chosen} for part {decision.part} "
                f"{_format_ranges(decision.ranges)} as attempt {decision.attempt} "
                f"({decision.purpose.value}), until {decision.deadline:.6f} s"
            )
        case attempts.Wait(part):
            return f"part {part} waits for a usable replica"
        case attempts.WakeAt(time):
            return f"next timer at {time:.6f} s"
        case attempts.Restart(reason):
            return f"needs a newer snapshot: {reason}"
        case attempts.Finish(outcome):
            return _describe_outcome(outcome)
    return str(decision)


def _describe_outcome(outcome: attempts.Outcome) -> str:
    kind = "answered"
    if outcome.failure is not None:
        kind = f"failed with {outcome.failure.kind.value}"
    missing = "".join(
        f"; {gap.service} {gap.keys.start}-{gap.keys.end} missing: {gap.reason}"
        for gap in outcome.missing
    )
    return f"{kind}: covered {outcome.covered} of {outcome.total} keys{missing}"


def _describe_plan(plan: attempts.Plan) -> str:
    versions = ", ".join(f"{index} {version}" for index, version in plan.versions)
    count = len(plan.parts)
    return f"{count} parts at revision {plan.revision}, versions {versions}"


def _format_ranges(ranges: typing.Sequence[typing.Any]) -> str:
    return ", ".join(f"{start}-{end}" for start, end in ranges) or "none"
