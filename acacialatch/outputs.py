"""Output of an entry instance: log, audit trail, metrics and explanation records."""

import abc
import contextlib
import os
import sys
import typing

import trio

from acacialatch import audit, events, logs, metrics, records, settings

_OPEN_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND


class Output(abc.ABC):
    """Executes the output actions of the engine without blocking."""

    @abc.abstractmethod
    def write(self, now: float, action: events.Action) -> None:
        """Write a `WriteRecord`, `WriteAudit`, `WriteLog` or a metric."""

    @abc.abstractmethod
    def log(self, prefix: str, text: str) -> None:
        """Write a log message; `prefix` is a value of `logs.Part`."""


class MemoryOutput(Output):
    """Stores the output in memory, for tests."""

    def __init__(self) -> None:
        self.actions: list[tuple[float, events.Action]] = []
        self.lines: list[str] = []

    def write(self, now: float, action: events.Action) -> None:
        """Store an action; see `Output`."""
        self.actions.append((now, action))

    def log(self, prefix: str, text: str) -> None:
        """Store a log message; see `Output`."""
        self.lines.append(f"{prefix} {text}")


class _DisabledMetrics(metrics.Metrics):
    """Discards all values, for settings without a statsd address."""

    def _store(self, name: str, kind: metrics.Kind, value: float) -> None:
        del name, kind, value


class StandardOutput(Output):
    """Writes to the log, the audit trail and statsd.

    Parameters
    ----------
    log : logs.Log
        Log, which also receives the audit trail and the explanation records.
    metric_sink : metrics.Metrics
        Destination of the metrics.
    audit_sink : audit.AuditSink
        Destination of the audit trail.
    record_limit : records.RateLimit
        Rate limit of explanation records; those above it are dropped.
    """

    def __init__(
        self,
        log: logs.Log,
        metric_sink: metrics.Metrics,
        audit_sink: audit.AuditSink,
        record_limit: records.RateLimit,
    ):
        self._log = log
        self._metric_sink = metric_sink
        self._audit_sink = audit_sink
        self._record_limit = record_limit
        self._counted_drops: dict[str, int] = {}

    def write(self, now: float, action: events.Action) -> None:
        """Write an action; see `Output`."""
        match action:
            case events.WriteRecord():
                self._write_record(now, action)
            case events.WriteAudit():
                self._audit_sink.record(audit.Change(*action, now))
                if action.subject.startswith("server "):
                    self._metric_sink.count("server_changes")
            case events.WriteLog():
                self.log(action.prefix, action.text)
            case events.CountMetric():
                self._metric_sink.count(action.name, action.value)
            case events.SetMetric():
                self._metric_sink.set(action.name, action.value)
                self._count_drops()
            case events.TimeMetric():
                self._metric_sink.time(action.name, action.value_s)

    def log(self, prefix: str, text: str) -> None:
        """Write a log message; see `Output`."""
        logs.write(logs.Part(prefix), text)

    async def run(self) -> None:
        """Write out buffered log messages and metrics until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._log.run)
            if isinstance(self._metric_sink, metrics.StatsdMetrics):
                nursery.start_soon(self._metric_sink.run)

    def _count_drops(self) -> None:
        """Add log messages and metric values dropped since the last call to counters.

        Runs with each gauge, and the engine sets gauges once a second.
        """
        for name, dropped in (
            ("log_dropped", self._log.dropped),
            ("metrics_dropped", self._metric_sink.dropped),
        ):
            self._metric_sink.count(name, dropped - self._counted_drops.get(name, 0))
            self._counted_drops[name] = dropped

    def _write_record(self, now: float, action: events.WriteRecord) -> None:
        if self._record_limit.allows(now, len(action.data)):
            text = action.data.decode()
            logs.write(
                logs.Part.RECORD,
                "Answer recorded.",
                answer_id=action.answer_id,
                record=text,
            )


@contextlib.contextmanager
def open_output(loaded: settings.Settings) -> typing.Iterator[StandardOutput]:
    """Open the log and the metrics that the settings name.

    Raises
    ------
    OSError
        If the log file cannot be opened or the statsd address cannot be used.
    """
    metric_sink: metrics.Metrics = _DisabledMetrics()
    if loaded.statsd_address is not None:
        metric_sink = metrics.StatsdMetrics(loaded.statsd_address)
    record_limit = records.RateLimit(
        loaded.record_rate_per_s, loaded.record_bytes_per_s
    )
    with _open_log(loaded.log_path) as descriptor:
        yield StandardOutput(
            logs.Log(descriptor), metric_sink, audit.LogAuditSink(), record_limit
        )


@contextlib.contextmanager
def _open_log(path: str) -> typing.Iterator[int]:
    if path == settings.STANDARD_ERROR:
        yield sys.stderr.fileno()
        return
    descriptor = os.open(path, _OPEN_FLAGS, 0o644)
    try:
        yield descriptor
    finally:
        os.close(descriptor)
