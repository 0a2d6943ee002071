"""Tests for acacialatch.metrics."""

import socket

import pytest

from acacialatch import metrics


@pytest.fixture
def receiver():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(2)
        yield server


def make_metrics(receiver):
    return metrics.StatsdMetrics(f"127.0.0.1:{receiver.getsockname()[1]}")


def test_values_of_a_period_share_a_packet(receiver):
    """Guards against a packet for each value, lost counts and wrong units."""
    sink = make_metrics(receiver)
    for _ in range(1_000):
        sink.count("sub_requests", 2)
    sink.set("revision", 6)
    sink.set("revision", 7)
    sink.time("query_time", 0.25)
    sink.flush()
    sink.flush()
    lines = sorted(receiver.recv(512).decode().splitlines())
    assert lines == [
        "acacialatch.query_time:250.000000|ms",
        "acacialatch.revision:7|g",
        "acacialatch.sub_requests:2000|c",
    ]
    receiver.setblocking(False)
    with pytest.raises(BlockingIOError):
        receiver.recv(512)


def test_invalid_values_are_dropped_and_counted(receiver):
    """Guards against an exception while serving, by an invalid name or value."""
    sink = make_metrics(receiver)
    sink.count("no_such_name")
    sink.set("queries", 1)
    sink.set("service_age", float("inf"))
    for _ in range(metrics.TIMINGS_PER_FLUSH_MAX + 5):
        sink.time("query_time", 0.1)
    assert sink.dropped == 8


class FullSocket:
    """Rejects every packet, like a socket with a full send buffer."""

    def sendto(self, data, address):
        raise BlockingIOError


def test_unavailable_sink_never_raises(receiver):
    """Guards against an exception while serving when statsd is down or slow."""
    sink = make_metrics(receiver)
    assert sink._client._sock.getblocking() is False
    receiver.close()
    for _ in range(3):
        sink.count("queries")
        sink.flush()
    sink._client._sock.close()
    sink._client._sock = FullSocket()
    before = sink.failures
    sink.count("queries")
    sink.flush()
    assert sink.failures == before + 1


def test_every_metric_is_described():
    """Guards against a metric without a unit or meaning."""
    assert all(metric.unit and metric.meaning for metric in metrics.METRICS.values())
