"""Everything that an entry instance writes: log, audit trail, metrics, records."""

import abc
import contextlib

from acacialatch import events, settings


class Output(abc.ABC):
    """Receiver of the output actions of the engine. It never blocks."""

    @abc.abstractmethod
    def write(self, now: float, action: events.Action) -> None:
        """Write one of `WriteRecord`, `NoteChange`, `WriteLog` or a metric."""

    @abc.abstractmethod
    def log(self, prefix: str, text: str) -> None:
        """Write a log line."""

    async def run(self) -> None:
        """Write buffered output until cancelled."""

    async def flush(self) -> None:
        """Write what is buffered, for a bounded time."""


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


@contextlib.contextmanager
def open_outputs(chosen: settings.Settings):
    """TODO."""
    yield MemoryOutput()
