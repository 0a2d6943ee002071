"""Tests of the names in acacialatch.forwarding that appear in counters and the log."""

import pytest
import test_forwarder

from acacialatch import exchanges, forwarding, sending

KINDS = {
    "not_sent": forwarding.FailureKind.NOT_SENT,
    "shed": forwarding.FailureKind.SHED,
    "wrong_server": forwarding.FailureKind.WRONG_SERVER,
    "cut": forwarding.FailureKind.CONNECTION_LOST,
    "garbled": forwarding.FailureKind.MALFORMED_REPLY,
    "other_request": forwarding.FailureKind.OTHER_REQUEST,
}


def find_ended(harness):
    """Return the fields of the log line of the only request that has ended."""
    (entry,) = harness.log_entries
    assert (entry.part, entry.text) == ("request:", "ended")
    return entry.values


def test_failure_kinds_keep_their_values():
    """Guards against a new name of a failure in the log and in the metrics."""
    assert {kind.value: kind for kind in forwarding.FailureKind} == KINDS


@pytest.mark.parametrize("value", KINDS)
def test_failed_attempt_is_counted_and_logged_under_its_value(value):
    """Guards against a counter or a trace of an attempt that changes its name."""
    harness = test_forwarder.ForwarderHarness()
    harness.submit("/lookup/1")
    ((number, first),) = harness.sends.items()
    harness.fail(number, forwarding.FailureKind(value))
    ((number, second),) = harness.sends.items()
    harness.reply(number)
    counts = harness.core.counts
    failed = {name: counts[name] for name in counts if name.startswith("failed_")}
    assert failed == {f"failed_{value}": 1}
    assert find_ended(harness)["unusual"] == [
        f"ledger: {first.identity} {value}, {second.identity} 200"
    ]


@pytest.mark.parametrize("value", KINDS)
def test_failed_batch_is_counted_under_its_value(value):
    """Guards against a counter of failed batches that changes its name."""
    harness = test_forwarder.RemoteHarness()
    harness.submit("/page/1")
    number, _ = harness.batches.popitem()
    failure = forwarding.SendFailure(forwarding.FailureKind(value))
    harness.perform(harness.core.handle_batch_failure(harness.now, number, failure))
    counts = harness.core.counts
    failed = {name: counts[name] for name in counts if name.startswith("batches_")}
    assert failed == {f"batches_{value}": 1}


def test_line_of_an_ended_request_keeps_its_fields():
    """Guards against a field of the log line that is renamed, lost or mixed up."""
    calls = [exchanges.ServiceCall(name) for name in test_forwarder.SHARDS]
    for call in calls[:3]:
        call.reply = test_forwarder.make_reply()
    exchange = exchanges.Exchange(
        1,
        test_forwarder.make_request("/page/1"),
        test_forwarder.PAGE,
        9,
        100.0,
        102.0,
        calls,
        hedges=5,
        retries=6,
        batches=7,
        arrived=3,
    )
    entry = exchange.make_log_entry(100.25, "answered", 8)
    assert (entry.part, entry.text) == ("request:", "ended")
    assert entry.values == {
        "id": "r-1",
        "outcome": "answered",
        "route": "page",
        "version": 9,
        "ms": 250.0,
        "arrived": 3,
        "shards": 4,
        "hedges": 5,
        "retries": 6,
        "batches": 7,
        "instances": 8,
        "unusual": ["shard-3: no reply"],
    }


def test_line_of_a_refused_request_keeps_its_fields():
    """Guards against a refusal whose log line or counter changes its name."""
    harness = test_forwarder.ForwarderHarness()
    harness.submit("/other/")
    (entry,) = harness.log_entries
    assert (entry.part, entry.text) == ("request:", "refused")
    assert entry.values == {
        "id": "r-1",
        "error": "unknown_path",
        "host": "search.example",
        "path": "/other/",
        "version": 1,
    }
    assert harness.core.counts == {"unknown_path": 1}


def test_outcome_of_an_answered_request_keeps_its_name():
    """Guards against an answered request that is counted or logged otherwise."""
    harness = test_forwarder.ForwarderHarness()
    harness.submit("/lookup/1")
    harness.reply(*harness.sends)
    assert harness.core.counts == {"answered": 1}
    assert find_ended(harness)["outcome"] == "answered"


def test_outcome_of_a_batch_keeps_its_name():
    """Guards against a batch for a peer that is counted like a caller's request."""
    harness = test_forwarder.ForwarderHarness()
    test_forwarder.accept_batch_of(harness)
    for number in list(harness.sends):
        harness.reply(number)
    assert harness.core.counts == {"gathered": 1}
    assert find_ended(harness)["outcome"] == "gathered"


def test_outcome_of_a_request_without_its_caller_keeps_its_name():
    """Guards against a new name of the counter that is built from the log's text."""
    harness = test_forwarder.ForwarderHarness()
    number = harness.submit("/lookup/1")
    harness.perform(harness.core.handle_caller_gone(harness.now, number))
    assert harness.core.counts == {"caller_gone": 1}
    assert find_ended(harness)["outcome"] == "caller gone"


def test_outcome_of_a_batch_without_a_continuation_keeps_its_name():
    """Guards against a new name of the counter that is built from the log's text."""
    harness = test_forwarder.ForwarderHarness()
    test_forwarder.accept_batch_of(harness)
    harness.advance_to(harness.now + 0.05 + sending.GRACE_PERIOD_S)
    assert harness.core.counts == {"rest_not_asked_for": 1}
    assert find_ended(harness)["outcome"] == "rest not asked for"
