"""Explanation records: encoding, verification and rate limit.

A record holds the events and decisions of one query as JSON lines: a header, one line
for each step, an end line and a line with the SHA-256 of the record.
"""

import math
import re
import typing

import msgspec
import result

from acacialatch import attempts, digests, model

FORMAT = 1
"""Version of the record format."""

RECORD_BYTES_MAX = 262_144
"""Default size limit of a record, in bytes; about 1,000 steps with two replicas."""

RECORD_BYTES_MIN = 4_096
"""Lowest size limit of a record, in bytes; leaves room for the header and the end."""

_END_BYTES_MAX = 512
"""Size reserved for the last two lines, in bytes."""

_EVENTS = {
    kind.__name__: kind
    for kind in (
        attempts.Start,
        attempts.View,
        attempts.Reply,
        attempts.Failed,
        attempts.Timer,
        attempts.Replan,
        attempts.CallerGone,
    )
}
_DECISIONS = {
    kind.__name__: kind
    for kind in (
        attempts.Choose,
        attempts.Send,
        attempts.Cancel,
        attempts.Wait,
        attempts.WakeAt,
        attempts.Restart,
        attempts.Finish,
    )
}


class Header(typing.TypedDict):
    """Input of a replay apart from the events, and the context of the query.

    Attributes
    ----------
    answer_id : str
        Identifier of the answer.
    entry_instance : str
        Address of the entry instance.
    incarnation : str
        Incarnation of the entry instance; each start of the process has a new one.
    revision : int
        Configuration revision in force at the start.
    configuration_sha256 : str
        SHA-256 of the configuration text, in hexadecimal.
    membership : tuple of str
        Entry instances known to this one.
    query : model.Query
        The query.
    floor : tuple of int
        Numerator and denominator of the smallest coverage of a full-page query.
    seed : int
        Seed of the query.
    policy : str
        Class name of the replica policy.
    """

    answer_id: str
    entry_instance: str
    incarnation: str
    revision: int
    configuration_sha256: str
    membership: tuple[str, ...]
    query: model.Query
    floor: tuple[int, int]
    seed: int
    policy: str


class Step(typing.NamedTuple):
    """One event and the decisions that followed from it.

    The rows of `Reply` and `Finish` are replaced by their number and SHA-256.
    """

    time: float
    event: attempts.Event
    decisions: tuple[attempts.Decision, ...]


class Record(typing.NamedTuple):
    """A verified record.

    Attributes
    ----------
    header : Header
        Query and context.
    steps : tuple of Step
        Events in order.
    dropped : int
        Number of steps that were left out at the end.
    reason : str or None
        Why the record is incomplete; None if it is complete.
    """

    header: Header
    steps: tuple[Step, ...]
    dropped: int
    reason: str | None


class Problem(typing.NamedTuple):
    """Why a record is invalid, and the line, counted from 1, and field at fault."""

    line: int
    field: str
    text: str


class _End(typing.TypedDict):
    steps: int
    dropped: int
    reason: str | None


class _HeaderLine(typing.TypedDict):
    format: int
    header: Header


class _StepLine(typing.TypedDict):
    time: float
    event: tuple[str, msgspec.Raw]
    decisions: tuple[tuple[str, msgspec.Raw], ...]


class _EndLine(typing.TypedDict):
    end: _End


class RecordWriter:
    """Encodes one record in memory, up to a size limit.

    Parameters
    ----------
    header : Header
        Query and context. If it takes more than half of the size limit, the
        membership and the query body are left out and the record is incomplete.
    bytes_max : int
        Size limit of the record, in bytes.

    Raises
    ------
    ValueError
        If the size limit is below `RECORD_BYTES_MIN`.
    """

    def __init__(self, header: Header, bytes_max: int = RECORD_BYTES_MAX) -> None:
        if bytes_max < RECORD_BYTES_MIN:
            raise ValueError(
                f"record size limit must be at least {RECORD_BYTES_MIN} bytes"
            )
        self._bytes_max = bytes_max
        self._chain = digests.Chain()
        self._lines: list[bytes] = []
        self._size = 0
        self._steps = 0
        self._dropped = 0
        self._reason: str | None = None
        content = _encode({"format": FORMAT, "header": header})
        if content is None or len(content) > bytes_max // 2:
            self._reason = "the header is too large or cannot be encoded"
            query = header["query"]._replace(body="")
            header = {**header, "membership": (), "query": query}
            content = msgspec.json.encode({"format": FORMAT, "header": header})
        self._append_line(content)

    def add(
        self,
        now: float,
        event: attempts.Event,
        decisions: typing.Sequence[attempts.Decision],
    ) -> None:
        """Add a step.

        A step that exceeds the size limit or cannot be encoded is left out, as are all
        later ones; they are only counted.

        Parameters
        ----------
        now : float
            Time of the event, in seconds.
        event : attempts.Event
            Event passed to `Scatter.handle`.
        decisions : sequence of attempts.Decision
            Decisions that it returned.
        """
        if self._dropped:
            self._dropped += 1
            return
        content = _encode_step(now, event, decisions)
        if content is None:
            self._drop_step("a step cannot be encoded")
        elif self._size + len(content) + _END_BYTES_MAX > self._bytes_max:
            self._drop_step(f"the record exceeds {self._bytes_max} bytes")
        else:
            self._append_line(content)
            self._steps += 1

    def finish(self) -> bytes:
        """Return the record as JSON lines, with its SHA-256 in the last one.

        To be called once, after the last step.
        """
        end = {"steps": self._steps, "dropped": self._dropped, "reason": self._reason}
        self._append_line(msgspec.json.encode({"end": end}))
        self._lines.append(self._chain.make_last_line())
        return b"".join(self._lines)

    def _drop_step(self, reason: str) -> None:
        self._dropped += 1
        self._reason = self._reason or reason

    def _append_line(self, content: bytes) -> None:
        line = self._chain.add(content)
        self._lines.append(line)
        self._size += len(line)


def _encode(line: dict[str, typing.Any]) -> bytes | None:
    try:
        return msgspec.json.encode(line)
    except (TypeError, ValueError):
        return None


def _encode_step(
    now: float,
    event: attempts.Event,
    decisions: typing.Sequence[attempts.Decision],
) -> bytes | None:
    if not _is_finite(now, event):
        return None
    try:
        tagged = [_tag(item) for item in (event, *decisions)]
    except (TypeError, ValueError):
        return None
    line = {"time": float(now), "event": tagged[0], "decisions": tagged[1:]}
    return _encode(line)


def _is_finite(now: float, event: attempts.Event) -> bool:
    # JSON has no infinity and no NaN; msgspec would encode them as null.
    numbers = [now]
    if isinstance(event, attempts.View):
        numbers += [event.hedge_delay_s or 0.0, event.attempt_timeout_s]
        numbers += [candidate.latency_s for candidate in event.candidates]
    elif isinstance(event, attempts.Failed):
        numbers.append(event.retry_after_s)
    return all(map(math.isfinite, numbers))


def _tag(item: attempts.Event | attempts.Decision) -> tuple[str, typing.Any]:
    """Return the class name of an item, and the item with its rows as a digest."""
    if isinstance(item, attempts.Reply):
        item = item._replace(rows=digests.digest_rows(item.rows))
    elif isinstance(item, attempts.Finish):
        rows = digests.digest_rows(item.outcome.rows)
        item = attempts.Finish(item.outcome._replace(rows=rows))
    return type(item).__name__, item


def read(data: bytes) -> result.Result[Record, Problem]:
    """Verify and decode a record.

    The hashes reveal corruption and manual edits. They are not signatures: an edit that
    also recomputes them is not detected.

    Parameters
    ----------
    data : bytes
        Record as returned by `RecordWriter.finish`.

    Returns
    -------
    result.Result
        The record, or the first place at which it was edited or truncated.
    """
    lines = data.split(b"\n")
    if lines.pop() != b"":
        return result.Err(Problem(len(lines) + 1, "sha256", "the record is truncated"))
    chain = digests.Chain()
    for number, line in enumerate(lines, 1):
        if line.startswith(b'{"sha256"'):
            if line + b"\n" != chain.make_last_line():
                return result.Err(
                    Problem(number, "sha256", "the SHA-256 does not match the record")
                )
            if number < len(lines):
                text = "data follows the end of the record"
                return result.Err(Problem(number + 1, "line", text))
            return _decode_record(lines[:-1])
        problem = _verify_line(number, line, chain)
        if problem is not None:
            return result.Err(problem)
    return result.Err(Problem(len(lines) + 1, "sha256", "the record is truncated"))


class _LogLine(typing.TypedDict):
    answer_id: str
    record: str


def find_in_log(data: bytes, answer_id: str) -> typing.Iterator[bytes]:
    """Yield the records in a log; other lines are skipped.

    Parameters
    ----------
    data : bytes
        Content of the log, one JSON object in each line.
    answer_id : str
        Identifier of the answer whose records are yielded; empty for all.
    """
    for line in data.splitlines():
        if b'"record"' not in line:
            continue
        try:
            message = msgspec.json.decode(line, type=_LogLine)
        except msgspec.MsgspecError:
            continue
        if answer_id in ("", message["answer_id"]):
            yield message["record"].encode()


def _verify_line(number: int, line: bytes, chain: digests.Chain) -> Problem | None:
    content = digests.remove_check(line)
    if content is None:
        return Problem(number, "check", "the line has no checksum")
    if chain.add(content) != line + b"\n":
        problem = _find_malformed_field(number, line)
        return problem or Problem(
            number, "check", "the line does not match its checksum"
        )
    return None


def _find_malformed_field(number: int, line: bytes) -> Problem | None:
    kind = _HeaderLine if number == 1 else _StepLine
    if line.startswith(b'{"end"'):
        kind = _EndLine
    try:
        msgspec.json.decode(line, type=kind)
    except msgspec.DecodeError as error:
        return _make_problem(number, "line", error)
    return None


def _make_problem(number: int, field: str, error: Exception) -> Problem:
    path = re.search(r"`\$\.?(.*)`$", str(error))
    if path and path[1]:
        field = path[1] if field == "line" else f"{field}.{path[1]}"
    return Problem(number, field, str(error))


def _decode_record(lines: list[bytes]) -> result.Result[Record, Problem]:
    number, steps = 1, []
    try:
        if len(lines) < 2:
            return result.Err(Problem(1, "header", "header or end is missing"))
        first = msgspec.json.decode(lines[0], type=_HeaderLine)
        if first["format"] != FORMAT:
            return result.Err(Problem(1, "format", f"format is {first['format']}"))
        for number, line in enumerate(lines[1:-1], 2):
            decoded = _decode_step(number, line)
            if isinstance(decoded, result.Err):
                return decoded
            steps.append(decoded.ok_value)
        number = len(lines)
        end = msgspec.json.decode(lines[-1], type=_EndLine)["end"]
    except msgspec.DecodeError as error:
        return result.Err(_make_problem(number, "line", error))
    if end["steps"] != len(steps):
        return result.Err(Problem(number, "end.steps", "steps are missing"))
    return result.Ok(
        Record(first["header"], tuple(steps), end["dropped"], end["reason"])
    )


def _decode_step(number: int, line: bytes) -> result.Result[Step, Problem]:
    field = "line"
    try:
        step = msgspec.json.decode(line, type=_StepLine)
        field = "event"
        event = _untag(step["event"], _EVENTS)
        decisions = []
        for position, decision in enumerate(step["decisions"]):
            field = f"decisions[{position}]"
            decisions.append(_untag(decision, _DECISIONS))
    except msgspec.DecodeError as error:
        return result.Err(_make_problem(number, field, error))
    return result.Ok(Step(step["time"], event, tuple(decisions)))


def _untag(tagged: tuple[str, msgspec.Raw], kinds: dict[str, type]) -> typing.Any:
    """Decode an item encoded by `_tag`; `kinds` has the allowed classes by name."""
    name, raw = tagged
    if name not in kinds:
        raise msgspec.ValidationError(f"unknown event or decision {name!r}")
    item = msgspec.json.decode(raw, type=kinds[name])
    if isinstance(item, attempts.Reply):
        _check_rows_digest(item.rows)
    elif isinstance(item, attempts.Finish):
        _check_rows_digest(item.outcome.rows)
    return item


def _check_rows_digest(rows: typing.Sequence[typing.Any]) -> None:
    try:
        msgspec.convert(list(rows), type=tuple[int, str])
    except msgspec.ValidationError as error:
        raise msgspec.ValidationError(f"rows are not a digest: {error}") from error


class RateLimit:
    """Limits records and bytes per second, with bursts of at most one second's quota.

    Parameters
    ----------
    records_per_s : float
        Maximum number of records per second.
    bytes_per_s : float
        Maximum number of bytes per second; a larger record is always dropped.
    """

    def __init__(self, records_per_s: float, bytes_per_s: float) -> None:
        self._rates = (records_per_s, bytes_per_s)
        self._tokens = [records_per_s, bytes_per_s]
        self._time: float | None = None
        self.dropped_records = 0
        self.dropped_bytes = 0

    def allows(self, now: float, size: int) -> bool:
        """Return whether a record may be written; if not, count it as dropped.

        Parameters
        ----------
        now : float
            Time, in seconds.
        size : int
            Size of the record, in bytes.
        """
        elapsed = max(0.0, now - self._time) if self._time is not None else 0.0
        self._time = now if self._time is None else max(now, self._time)
        for i, rate in enumerate(self._rates):
            self._tokens[i] = min(rate, self._tokens[i] + elapsed * rate)
        if self._tokens[0] < 1 or self._tokens[1] < size:
            self.dropped_records += 1
            self.dropped_bytes += size
            return False
        self._tokens[0] -= 1
        self._tokens[1] -= size
        return True
