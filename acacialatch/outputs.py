"""Everything that an entry instance writes: log, audit trail, metrics, records."""

import abc
import contextlib
import os
import sys
import typing

import trio

from acacialatch import audit, events, logs, metrics, records, settings

_OPEN_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND


class Output(abc.ABC):
    """Receiver of the output actions of the engine. It never blocks."""

    @abc.abstractmethod
    def write(self, now: float, action: events.Action) -> None:
        """Write a `WriteRecord`, `WriteAudit`, `WriteLog` or a metric."""

    @abc.abstractmethod
    def log(self, prefix: str, text: str) -> None:
        """Write a log line; `prefix` is a value of `logs.Part`."""


class MemoryOutput(Output):
    """Keeps the output in memory, for tests."""

    def __init__(self) -> None:
        self.actions: list[tuple[float, events.Action]] = []
        self.lines: list[str] = []

    def write(self, now: float, action: events.Action) -> None:
        """Keep an action; see `Output`."""
        self.actions.append((now, action))

    def log(self, prefix: str, text: str) -> None:
        """Keep a log line; see `Output`."""
        self.lines.append(f"{prefix} {text}")


class _NoMetrics(metrics.Metrics):
    """Drops all values, for settings without a statsd address."""

    def _take(self, name: str, kind: metrics.Kind, value: float) -> None:
        del name, kind, value


class StandardOutput(Output):
    """Writes to the log, to the audit trail and to statsd.

    Parameters
    ----------
    log : logs.Log
        Log, which also takes audit trail and records.
    meter : metrics.Metrics
        Metrics.
    trail : audit.AuditSink
        Audit trail.
    limit : records.RateLimit
        Rate bound of explanation records.
    """

    def __init__(
        self,
        log: logs.Log,
        meter: metrics.Metrics,
        trail: audit.AuditSink,
        limit: records.RateLimit,
    ):
        self._log = log
        self._meter = meter
        self._trail = trail
        self._limit = limit
        self._reported: dict[str, int] = {}

    def write(self, now: float, action: events.Action) -> None:
        """Write an action; see `Output`."""
        match action:
            case events.WriteRecord():
                self._write_record(now, action)
            case events.WriteAudit():
                self._trail.record(audit.Change(*action, now))
                if action.subject.startswith("server "):
                    self._meter.count("server_changes")
            case events.WriteLog():
                self.log(action.prefix, action.text)
            case events.CountMetric():
                self._meter.count(action.name, action.value)
            case events.SetMetric():
                self._meter.set(action.name, action.value)
                self._report_drops()
            case events.TimeMetric():
                self._meter.time(action.name, action.value_s)

    def log(self, prefix: str, text: str) -> None:
        """Write a log line; see `Output`."""
        logs.write(logs.Part(prefix), text)

    async def run(self) -> None:
        """Write buffered output until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._log.run)
            if isinstance(self._meter, metrics.StatsdMetrics):
                nursery.start_soon(self._meter.run)

    def _report_drops(self) -> None:
        """Count what was dropped since the last call; gauges come every second."""
        for name, dropped in (
            ("log_dropped", self._log.dropped),
            ("metrics_dropped", self._meter.dropped),
        ):
            self._meter.count(name, dropped - self._reported.get(name, 0))
            self._reported[name] = dropped

    def _write_record(self, now: float, action: events.WriteRecord) -> None:
        if self._limit.allows(now, len(action.data)):
            text = action.data.decode()
            logs.write(
                logs.Part.RECORD,
                "Answer recorded.",
                answer_id=action.answer_id,
                record=text,
            )


@contextlib.contextmanager
def open_output(chosen: settings.Settings) -> typing.Iterator[StandardOutput]:
    """Open the outputs that the settings name.

    Raises
    ------
    OSError
        The log file cannot be opened or the statsd address cannot be used.
    """
    meter: metrics.Metrics = _NoMetrics()
    if chosen.statsd_address is not None:
        meter = metrics.StatsdMetrics(chosen.statsd_address)
    limit = records.RateLimit(chosen.record_rate_per_s, chosen.record_bytes_per_s)
    with _open_log(chosen.log_path) as descriptor:
        yield StandardOutput(logs.Log(descriptor), meter, audit.LogAuditSink(), limit)


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
