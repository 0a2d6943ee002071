"""Follows the platform's store."""

import abc
import random
import typing

import result
import trio

from acacialatch import errors, forwarding, logs, registry

RETRY_FIRST_S = 0.1
RETRY_MAX_S = 1.0
"""Bounds in seconds of the delay after a failed read, drawn with full jitter."""


class HistoryLost(typing.NamedTuple):
    """The store no longer has the changes asked for."""


ReadResult = result.Result[registry.Changes, errors.SourceFailure]
WatchResult = result.Result[registry.Changes | HistoryLost, errors.SourceFailure]


class Store(abc.ABC):
    """Reads deployments and registrations; nothing is ever written."""

    @abc.abstractmethod
    async def read_all(self) -> ReadResult:
        """Return everything, with a revision from which to watch."""

    @abc.abstractmethod
    async def watch(self, after: int, wait_s: float) -> WatchResult:
        """Return the changes after a revision, as soon as there are any."""


class StoreWatcher:
    """Keeps a registry up to date with the store.

    Parameters
    ----------
    store : Store
        The platform's store.
    target : registry.Registry
        Takes what was read.
    on_change : callable
        Called with the notes of each read.
    watch_s : float
        Longest wait of one watch in seconds. A watch that the store has lost is only
        found after it, so it must be shorter than the time in which changes must be
        in force.
    pause_s : float
        Pause after a change in seconds, so that a series of changes takes few reads.
    """

    def __init__(
        self,
        store: Store,
        target: registry.Registry,
        on_change: typing.Callable[[list[forwarding.LogEntry]], None],
        watch_s: float,
        pause_s: float,
    ):
        self._store = store
        self._registry = target
        self._on_change = on_change
        self._watch_s = watch_s
        self._pause_s = pause_s
        self._reachable = False
        self.reads = 0
        self.failures = 0

    async def run(self) -> None:
        """Follow the store until cancelled."""
        synchronized = False
        delay_s = RETRY_FIRST_S
        while True:
            self.reads += 1
            if synchronized:
                answer = await self._store.watch(self._registry.revision, self._watch_s)
            else:
                answer = await self._store.read_all()
            if isinstance(answer, result.Err):
                self._note_failure(answer.err_value)
                # The store may have dropped changes that a new watch would wait for.
                synchronized = False
                await trio.sleep(random.uniform(0.3, 1.0) * delay_s)
                delay_s = min(RETRY_MAX_S, 2 * delay_s)
                continue
            delay_s = RETRY_FIRST_S
            self._note_success()
            changes = answer.ok_value
            if isinstance(changes, HistoryLost):
                logs.write(logs.Part.CONFIG, "history of the store was dropped")
                synchronized = False
                continue
            now = trio.current_time()
            if synchronized:
                notes = self._registry.apply_changes(now, changes)
            else:
                notes = self._registry.apply_snapshot(now, changes)
            synchronized = True
            self._on_change(notes)
            if changes.changes:
                await trio.sleep(self._pause_s)

    def _note_failure(self, failure: errors.SourceFailure) -> None:
        self.failures += 1
        if self._reachable or self.failures == 1:
            values = {"error": failure.kind.value, "detail": failure.detail}
            logs.write(logs.Part.CONFIG, "store is lost", **values)
        self._reachable = False

    def _note_success(self) -> None:
        now = trio.current_time()
        if not self._reachable:
            last_contact_at = self._registry.last_contact_at
            age_s = None if last_contact_at is None else round(now - last_contact_at, 3)
            logs.write(logs.Part.CONFIG, "store is reachable", silent_s=age_s)
        self._registry.record_contact(now, not self._reachable)
        self._reachable = True
