"""Tests for acacialatch.audit; test_logs covers `LogAuditSink`."""

import eliot

from acacialatch import audit


def test_memory_sink_is_bounded():
    """Guards against memory use that grows with each change."""
    sink = audit.MemoryAuditSink(limit=2)
    for number in range(3):
        sink.record(audit.Change("a", "b", "c", "d", float(number)))
    assert [change.time for change in sink.changes] == [1.0, 2.0]


def test_line_keeps_its_fields():
    """Guards against a field of the audit line that is renamed, lost or mixed up."""
    lines = []
    eliot.add_destinations(lines.append)
    try:
        change = audit.Change("server a", "ready", "cold", "restarted", 1.5)
        audit.LogAuditSink().record(change)
    finally:
        eliot.remove_destination(lines.append)
    fields = {"task_uuid", "task_level", "timestamp", "message_type"}
    assert {name: lines[-1][name] for name in lines[-1].keys() - fields} == {
        "subject": "server a",
        "before": "ready",
        "after": "cold",
        "cause": "restarted",
        "time": 1.5,
    }
