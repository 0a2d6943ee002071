"""Watches the platform's store and keeps the registry up to date."""

import abc
import contextlib
import random
import typing

import result
import trio

from acacialatch import (
    decoding,
    defects,
    errors,
    forwarding,
    freshness,
    logs,
    registry,
)

RETRY_JITTER_MIN = 0.3
"""Smallest share of the delay before a read is repeated, which is drawn at random."""


class HistoryLost(typing.NamedTuple):
    """The store no longer has the requested changes."""


ReadResult = result.Result[registry.Changes, errors.SourceFailure]
WatchResult = result.Result[registry.Changes | HistoryLost, errors.SourceFailure]

_Content = typing.TypeVar("_Content")


class Store(abc.ABC):
    """Read-only access to deployments and registrations."""

    @abc.abstractmethod
    async def read_all(self) -> ReadResult:
        """Return the whole content, with the revision after which to watch."""

    @abc.abstractmethod
    async def watch(self, after: int, wait_s: float) -> WatchResult:
        """Return the changes after a revision, as soon as there are any.

        The result has no changes if none came within `wait_s` seconds, and the first
        of them if the store cuts a long series. It is `HistoryLost` if the store has
        dropped changes after the revision.
        """


class StoreWatcher:
    """Keeps a registry up to date with the store.

    Parameters
    ----------
    store : Store
        The platform's store.
    target : registry.Registry
        Receives the content and the changes.
    on_change : callable
        Called with the log entries of each read that succeeded.
    schedule : freshness.ReadSchedule
        Times of the reads. A watch that the store has lost goes unnoticed until it
        ends, so a pause and the watch after it together take `silence_s` at most.
    choose_pause : callable
        Returns the pause after a change, in seconds, so that a series of changes takes
        few reads.
    evidence : freshness.Evidence
        Receives the times of the answers.
    defect_log : defects.DefectLog or None
        Receives unexpected exceptions; None makes a new one.
    """

    def __init__(
        self,
        store: Store,
        target: registry.Registry,
        on_change: typing.Callable[[list[forwarding.LogEntry]], None],
        schedule: freshness.ReadSchedule,
        choose_pause: typing.Callable[[], float],
        evidence: freshness.Evidence,
        defect_log: defects.DefectLog | None = None,
    ):
        self._store = store
        self._defects = defect_log or defects.DefectLog()
        self._registry = target
        self._on_change = on_change
        self._schedule = schedule
        self._choose_pause = choose_pause
        self._evidence = evidence
        self._retry_delay_s = schedule.retry_first_s
        self._wait_scope: trio.CancelScope | None = None
        self._hasten_from = 0.0
        self._is_reachable = False
        self.reads = 0
        self.failures = 0
        self.hastened = 0

    def hasten(self) -> None:
        """Read at once, since the store must have changes that are not known yet.

        Ends a pause. A watch that the store has not lost is answered within the timeout
        of a call, so it is replaced only after that.
        """
        if self._wait_scope is None:
            return
        self.hastened += 1
        ends_at = max(trio.current_time(), self._hasten_from)
        self._wait_scope.deadline = min(self._wait_scope.deadline, ends_at)

    async def run(self) -> None:
        """Read the store, then watch it for changes, until cancelled.

        After a failure or lost history, everything is read again.
        """
        is_synchronized = False
        pause_s = 0.0
        while True:
            self.reads += 1
            started_at = trio.current_time()
            after = self._registry.revision
            if is_synchronized:
                wait_s = self._schedule.silence_s - pause_s
                with self._allow_haste(self._schedule.call_timeout_s) as scope:
                    answer = await self._read(self._store.watch(after, wait_s))
                if scope.cancelled_caught:
                    logs.write(logs.Part.CONFIG, "watch replaced", after=after)
                    pause_s = 0.0
                    continue
            else:
                pause_s = 0.0
                answer = await self._read(self._store.read_all())
            if isinstance(answer, result.Err):
                self._record_failure(answer.err_value)
                # The store may meanwhile drop changes that a new watch would miss.
                is_synchronized = False
                await self._wait_for_retry()
                continue
            self._record_success(started_at)
            changes = answer.ok_value
            if isinstance(changes, HistoryLost):
                logs.write(logs.Part.CONFIG, "history of the store was dropped")
                is_synchronized = False
                continue
            if self._registry.is_of_earlier_era(changes):
                logs.write(logs.Part.CONFIG, "answer of an earlier era ignored")
                is_synchronized = False
                await self._wait_for_retry()
                continue
            if is_synchronized and self._registry.is_of_later_era(changes):
                # Changes below the revision that was watched are not in this answer.
                is_synchronized = False
                continue
            try:
                self._apply(changes, is_synchronized)
            except Exception as error:
                self._defects.record("store changes", error)
                is_synchronized = False
                await self._wait_for_retry()
                continue
            if changes.changes:
                logs.write(
                    logs.Part.CONFIG,
                    "store read",
                    whole=not is_synchronized,
                    after=after,
                    revision=changes.revision,
                    changes=len(changes.changes),
                    paused_s=round(pause_s, 3),
                    took_s=round(trio.current_time() - started_at, 3),
                )
            self._evidence.record_answer(
                trio.current_time(), started_at, changes.may_continue
            )
            self._retry_delay_s = self._schedule.retry_first_s
            is_synchronized = True
            pause_s = 0.0
            if changes.changes and not changes.may_continue:
                pause_s = self._choose_pause()
                with self._allow_haste(0.0):
                    await trio.sleep(pause_s)

    async def _read(
        self, read: typing.Awaitable[result.Result[_Content, errors.SourceFailure]]
    ) -> result.Result[_Content, errors.SourceFailure]:
        """Return the result of a read; one that raises an exception has failed."""
        try:
            return await read
        except Exception as error:
            self._defects.record("store read", error)
            detail = decoding.describe(error)
            kind = errors.SourceErrorKind.MALFORMED
            return result.Err(errors.SourceFailure(kind, detail))

    @contextlib.contextmanager
    def _allow_haste(self, after_s: float) -> typing.Iterator[trio.CancelScope]:
        """Let `hasten` end the block, once it has run for `after_s` seconds."""
        with trio.CancelScope() as scope:
            self._wait_scope = scope
            self._hasten_from = trio.current_time() + after_s
            try:
                yield scope
            finally:
                self._wait_scope = None

    async def _wait_for_retry(self) -> None:
        """Wait before a read is repeated, longer after each failure in a row."""
        jitter = random.uniform(RETRY_JITTER_MIN, 1.0)
        await trio.sleep(jitter * self._retry_delay_s)
        self._retry_delay_s = min(self._schedule.retry_max_s, 2 * self._retry_delay_s)

    def _apply(self, changes: registry.Changes, is_synchronized: bool) -> None:
        """Apply the answer to a watch, or the whole content, and report it."""
        now = trio.current_time()
        if is_synchronized:
            log_entries = self._registry.apply_changes(now, changes)
        else:
            log_entries = self._registry.apply_snapshot(now, changes)
        self._on_change(log_entries)

    def _record_failure(self, failure: errors.SourceFailure) -> None:
        """Count a failed read; log it only if the store was reachable before."""
        self.failures += 1
        self._evidence.record_failure()
        if self._is_reachable or self.failures == 1:
            values = {"error": failure.kind.value, "detail": failure.detail}
            logs.write(logs.Part.CONFIG, "store is lost", **values)
        self._is_reachable = False

    def _record_success(self, started_at: float) -> None:
        """Record an answer; log it if the store was not reachable before."""
        now = trio.current_time()
        self._evidence.record_contact(now, started_at)
        if not self._is_reachable:
            last_contact_at = self._registry.last_contact_at
            age_s = None if last_contact_at is None else round(now - last_contact_at, 3)
            logs.write(
                logs.Part.CONFIG,
                "store is reachable",
                silent_s=age_s,
                outage=self._evidence.outage_ended_at >= (last_contact_at or now),
            )
        self._registry.record_contact(now)
        self._is_reachable = True
