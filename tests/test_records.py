"""Tests for acacialatch.records and acacialatch.replay."""

import hashlib
import math

import msgspec
import pytest
import test_scatter
from hypothesis import given, settings
from hypothesis import strategies as st

from acacialatch import attempts, model, records, replay, routing, scatter

QUERY = model.Query("q1", "desk", model.QueryKind.FULL_PAGE, 1.0, None, 10, "text")
HEADER = test_scatter.make_header(QUERY, (1, 1), 5, "LeastLoaded")
INTERVALS_S = st.sampled_from([0.0, 0.01, 0.05, 0.15, 4.0])
SIZES_BYTES = st.sampled_from([1, 2, 20, 900])
PLAN = attempts.Plan(
    3, (attempts.Part("desk", "i", model.KeyRange(0, 4), 1),), (("i", 8),)
)


def make_view(purpose):
    candidates = tuple(
        test_scatter.make_candidate(address, n, address != "c")
        for n, address in enumerate(["10.0.0.1:1", "10.0.0.2:1", "c"])
    )
    return attempts.View(0, purpose, candidates, True, 0.02, 0.5)


def make_events():
    whole = (model.KeyRange(0, 4),)
    yield 0.0, attempts.Start(PLAN)
    yield 0.0, make_view(attempts.Purpose.FIRST)
    yield 0.02, attempts.Timer()
    yield 0.02, make_view(attempts.Purpose.HEDGE)
    yield 0.03, attempts.Failed(1, attempts.Cause.SHED, (("i", 8),), 0.25)
    yield 0.04, attempts.Reply(2, "q1-2", "i", 8, 1, whole[:0], (), True)
    yield 0.04, make_view(attempts.Purpose.RETRY)
    yield 0.05, attempts.Reply(3, "q1-3", "i", 8, 1, whole, ("x", {"a": 1.5}), True)


def write_record(events=None, bytes_max=records.RECORD_BYTES_MAX):
    machine = scatter.Scatter(QUERY, (1, 1), 5)
    writer = records.RecordWriter(HEADER, bytes_max)
    for now, event in events or make_events():
        writer.add(now, event, machine.handle(now, event))
    return writer.finish(), machine


def test_round_trip_and_explanation():
    """Guards against a record that cannot be replayed or explains too little."""
    data, machine = write_record()
    assert machine.finished
    record = records.read(data).unwrap()
    assert record.header == HEADER
    assert (record.dropped, record.reason) == (0, None)
    assert [step.time for step in record.steps] == [now for now, _ in make_events()]
    body, end = data[: data.rindex(b"{")], data[data.rindex(b"{") :]
    assert msgspec.json.decode(end) == {"sha256": hashlib.sha256(body).hexdigest()}
    outcome = record.steps[-1].decisions[-1].outcome
    digest = hashlib.sha256(b'["x",{"a":1.5}]').hexdigest()
    assert list(outcome.rows) == [2, digest]
    assert outcome.sources == ((3, 2),)
    compared = replay.replay(record)
    assert (compared.same, compared.complete) == (True, True)
    text = "\n".join(compared.lines)
    for part in (
        "asked 10.0.0.1:1",
        "asked 10.0.0.2:1",
        "(hedge)",
        "skipped c (zone z, dead, 2 in flight, 10.0 ms): dead",
        "an attempt is in progress there",
        "attempt 1 failed: shed",
        "asked for no request yet",
        "reply not used: no range is covered",
        "gave up attempt 2: no range is covered",
        "answered: covered 4 of 4 keys",
    ):
        assert part in text


def test_any_changed_byte_is_detected():
    """Guards against an edited record that is accepted."""
    data, _ = write_record()
    starts = [0] + [n + 1 for n, byte in enumerate(data) if byte == 0x0A]
    for position, byte in enumerate(data):
        line = sum(start <= position for start in starts)
        for change in (1, 0x20, 0x80, byte ^ 0x0A):
            if not change:
                continue
            edited = data[:position] + bytes([byte ^ change]) + data[position + 1 :]
            outcome = records.read(edited)
            assert outcome.is_err()
            # A changed line feed joins the line with the next one.
            assert outcome.err_value.line in (line, line + 1)
            assert outcome.err_value.field


@pytest.mark.parametrize("size", [1, 7, 100])
def test_truncated_or_extended_record_is_rejected(size):
    """Guards against accepting a record without its end, or with data after it."""
    data, _ = write_record()
    for length in range(0, len(data), size):
        problem = records.read(data[:length]).err_value
        assert problem.line == data[:length].count(b"\n") + 1
        assert problem.field
    problem = records.read(data + data[-size:]).err_value
    assert problem.line in (data.count(b"\n") + 1, data.count(b"\n") + 2)
    problem = records.read(data + b"\n").err_value
    assert problem[:2] == (data.count(b"\n") + 1, "line")
    lines = data.splitlines(keepends=True)
    for n in range(len(lines)):
        assert records.read(b"".join(lines[:n] + lines[n + 1 :])).is_err()


def test_error_names_line_and_field():
    """Guards against an error that does not say where a record was edited."""
    data, _ = write_record()
    edited = data.replace(b'"time":0.03', b'"time":"03"')
    assert records.read(edited).err_value[:2] == (6, "time")
    edited = data.replace(b'"seed":5', b'"seed":6')
    assert records.read(edited).err_value[:2] == (1, "check")


def test_replay_reports_first_difference():
    """Guards against a replay that accepts a decision that `Scatter` does not make."""
    machine = scatter.Scatter(QUERY, (1, 1), 5)
    writer = records.RecordWriter(HEADER)
    for now, event in make_events():
        decisions = machine.handle(now, event)
        if isinstance(event, attempts.Failed):
            decisions = [*decisions, attempts.Wait(0)]
        writer.add(now, event, decisions)
    compared = replay.replay(records.read(writer.finish()).unwrap())
    assert not compared.same
    assert compared.difference.step == 5
    assert compared.difference.recorded[-1] == attempts.Wait(0)
    assert compared.difference.replayed == compared.difference.recorded[:-1]


@settings(max_examples=60, derandomize=True, database=None, deadline=None)
@given(
    st.integers(records.RECORD_BYTES_MIN, 9000),
    st.integers(0, 40),
    st.integers(0, 9000),
)
def test_record_size_is_limited(bytes_max, repeats, body):
    """Guards against a record that exceeds its limit or hides dropped steps."""
    header = {**HEADER, "query": QUERY._replace(body="b" * body)}
    writer = records.RecordWriter(header, bytes_max)
    for n in range(repeats):
        writer.add(float(n), make_view(attempts.Purpose.FIRST), [])
    data = writer.finish()
    assert len(data) <= bytes_max
    record = records.read(data).unwrap()
    assert len(record.steps) + record.dropped == repeats
    is_cut = record.dropped > 0 or record.header["query"].body != "b" * body
    assert (record.reason is not None) == is_cut


@pytest.mark.parametrize(
    "event",
    [
        make_view(attempts.Purpose.FIRST)._replace(attempt_timeout_s=math.inf),
        attempts.Failed(1, attempts.Cause.SHED, (), math.nan),
        attempts.Reply(1, "\ud800", "i", 8, 1, (), (), True),
        attempts.Reply(1, "r", "i", 8, 1, (), ("\ud800",), True),
    ],
)
def test_unencodable_step_marks_record_incomplete(event):
    """Guards against an exception for a value without JSON form, or a changed value."""
    writer = records.RecordWriter(HEADER)
    writer.add(0.0, event, [])
    writer.add(0.1, attempts.Timer(), [])
    record = records.read(writer.finish()).unwrap()
    assert (record.steps, record.dropped) == ((), 2)
    assert record.reason == "a step cannot be encoded"
    assert not replay.replay(record).complete


def test_unknown_event_is_rejected():
    """Guards against a record with valid hashes that makes the replay fail."""
    writer = records.RecordWriter(HEADER)
    writer.add(0.0, attempts.Cancel(1), [])
    problem = records.read(writer.finish()).err_value
    assert (problem.line, problem.field) == (2, "event")


@settings(max_examples=100, derandomize=True, database=None, deadline=None)
@given(st.lists(st.tuples(INTERVALS_S, SIZES_BYTES), min_size=40, max_size=60))
def test_rate_limit_holds_in_every_window(arrivals):
    """Guards against bursts above the rate and against uncounted dropped records."""
    limit = records.RateLimit(5.0, 1000.0)
    now, allowed, dropped = 0.0, [], []
    for interval_s, size in arrivals:
        now += interval_s
        (allowed if limit.allows(now, size) else dropped).append((now, size))
    for start, _ in allowed:
        window = [size for time, size in allowed if start <= time <= start + 2]
        assert len(window) <= 5 * 3
        assert sum(window) <= 1000 * 3
    assert limit.dropped_records == len(dropped)
    assert limit.dropped_bytes == sum(size for _, size in dropped)
    assert limit.allows(now + 1.0, 1000), "the limit never recovers"


def test_tags_in_a_stored_record_are_kept():
    """Guards against a renamed class that makes the records stored so far unreadable.

    The tag of an event or a decision is the name of its class.
    """
    part = PLAN.parts[0]
    first = attempts.Purpose.FIRST
    events = {
        "Start": attempts.Start(PLAN),
        "View": make_view(first),
        "Reply": attempts.Reply(1, "r", "i", 8, 1, (), (), True),
        "Failed": attempts.Failed(1, attempts.Cause.SHED),
        "Timer": attempts.Timer(),
        "Replan": attempts.Replan(None),
        "CallerGone": attempts.CallerGone(),
    }
    decisions = {
        "Choose": attempts.Choose(0, first),
        "Send": attempts.Send(0, 1, "a:1", first, "r", 8, 1.0, (part.keys,)),
        "Cancel": attempts.Cancel(1),
        "Wait": attempts.Wait(0),
        "WakeAt": attempts.WakeAt(1.0),
        "Restart": attempts.Restart("reason"),
        "Finish": attempts.Finish(attempts.Outcome(None, (), (), (), 0, 4, ())),
    }
    writer = records.RecordWriter(HEADER)
    for event in events.values():
        writer.add(0.0, event, list(decisions.values()))
    data = writer.finish()
    steps = [msgspec.json.decode(line) for line in data.splitlines()[1:-2]]
    assert [step["event"][0] for step in steps] == list(events)
    for step in steps:
        assert [tag for tag, _ in step["decisions"]] == list(decisions)
    assert records.read(data).unwrap().dropped == 0


@pytest.mark.parametrize(
    ("name", "kind"),
    [
        ("LeastLoaded", routing.LeastLoaded),
        ("Sticky", routing.Sticky),
        ("FirstReplica", routing.FirstReplica),
    ],
)
def test_policy_names_in_a_stored_record_are_kept(name, kind):
    """Guards against a renamed policy that stored records name but replays lack."""
    assert kind.__name__ == name
    assert type(replay.find_policy(name)) is kind
