"""Tests for acacialatch.audit; test_logs covers `LogAuditSink`."""

from acacialatch import audit


def test_memory_sink_is_bounded():
    """Guards against memory use that grows with each change."""
    sink = audit.MemoryAuditSink(limit=2)
    for number in range(3):
        sink.record(audit.Change("a", "b", "c", "d", float(number)))
    assert [change.time for change in sink.changes] == [1.0, 2.0]
