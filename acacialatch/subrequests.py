"""Sub-requests in the protocol of backend servers; see docs/BACKEND.md."""

import result

from acacialatch import attempts, bodies, dispatch, events, model

CONFLICT_STATUS = 409
"""A server without the snapshot is not overloaded, so this is no failure."""


_CAUSES = {
    events.SendCause.NO_CONNECTION: attempts.Cause.NOT_SENT,
    events.SendCause.CONNECT_REFUSED: attempts.Cause.CONNECT_FAILED,
    events.SendCause.CONNECT_TIMEOUT: attempts.Cause.CONNECT_FAILED,
    events.SendCause.NO_REPLY: attempts.Cause.TIMEOUT,
    events.SendCause.CONNECTION_LOST: attempts.Cause.CONNECTION_LOST,
    events.SendCause.BAD_REPLY: attempts.Cause.BAD_REPLY,
}


def make_send(
    now: float,
    started_send: dispatch.StartedSend,
    send: attempts.Send,
    part: attempts.Part,
    query: model.Query,
) -> events.SendToServer:
    """Return the action that sends a sub-request.

    Parameters
    ----------
    now : float
        Time in seconds.
    begun : dispatch.StartedSend
        The send, as accounted for.
    send : attempts.Send
        Decision of scatter.
    part : attempts.Part
        Part of the plan.
    query : model.Query
        The query.
    """
    timeout_s = send.deadline - now
    ranges = ",".join(f"{keys.start}-{keys.end}" for keys in send.ranges)
    headers = (
        ("content-type", "application/json"),
        ("x-request-id", send.request_id),
        ("x-index", part.index),
        ("x-index-version", str(send.version)),
        ("x-partition-map", str(part.partition_map)),
        ("x-key-ranges", ranges),
        ("x-deadline-ms", str(max(1, int(timeout_s * 1000)))),
    )
    body: bodies.ServerQuery = {
        "kind": query.kind.value,
        "key": query.key,
        "limit": query.limit,
        "body": query.body,
    }
    return events.SendToServer(
        started_send.send_id,
        send.address,
        "POST",
        "/query",
        headers,
        bodies.encode(body),
        timeout_s,
        may_connect=started_send.may_connect,
    )


def read_failure(attempt: int, event: events.SendFailed) -> attempts.Failed:
    """Turn the failure of an exchange into an event of scatter."""
    return attempts.Failed(attempt, _CAUSES[event.cause])


def read_reply(
    attempt: int, index: str, event: events.ServerReplied
) -> attempts.Reply | attempts.Failed:
    """Turn the HTTP reply of a backend server into an event of scatter."""
    versions = ((index, max(event.report.versions, default=0)),)
    if event.status == 503:
        return attempts.Failed(
            attempt, attempts.Cause.SHED, versions, event.report.retry_after_s
        )
    if event.status == CONFLICT_STATUS:
        return attempts.Failed(attempt, _read_conflict(event.body), versions)
    if event.status != 200:
        return attempts.Failed(attempt, attempts.Cause.REFUSED, versions)
    decoded = bodies.decode(event.body, bodies.ServerReply, True)
    if isinstance(decoded, result.Err):
        return attempts.Failed(attempt, attempts.Cause.BAD_REPLY, versions)
    reply = decoded.ok_value
    return attempts.Reply(
        attempt,
        reply["request_id"],
        reply["index"],
        reply["version"],
        reply["partition_map"],
        tuple(model.KeyRange(start, end) for start, end in reply["ranges"]),
        tuple(reply["rows"]),
        True,
    )


def _read_conflict(body: bytes) -> attempts.Cause:
    decoded = bodies.decode(body, bodies.ServerError, True)
    kind = "" if isinstance(decoded, result.Err) else decoded.ok_value["kind"]
    if kind == "map_changed":
        return attempts.Cause.MAP_CHANGED
    if kind == "version_gone":
        return attempts.Cause.VERSION_GONE
    return attempts.Cause.REFUSED
