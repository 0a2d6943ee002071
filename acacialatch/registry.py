"""Applies the changes of the platform's store to the forwarder.

The store holds the deployment, the registrations of backend servers and the
availability zones out of service, each under a key with a revision.
"""

import math
import typing

from acacialatch import (
    backends,
    decoding,
    deployment,
    forwarder,
    forwarding,
    freshness,
)

ZONE_GRACE_S = 30.0
"""Time in seconds for which a zone stays out that a restored store lacks.

Operators write again what the store has lost; until then their last word counts.
"""

REGISTRATION_LIFETIME_S = 10.0
"""Time in seconds within which the store drops registrations of servers that ended.

The operators of the store drop them after three reports that did not come.
"""

LAPSE_S = 5.0
"""Shortest outage in seconds in which registrations of live servers can lapse."""

REPORT_LIFETIME_S = 300.0
"""Time in seconds for which the last report of a removed server is remembered.

A copy of the store that is older may bring the server back.
"""


class DeploymentPut(typing.NamedTuple):
    """A deployment was written."""

    key: str
    revision: int
    deployment: deployment.Deployment


class BackendPut(typing.NamedTuple):
    """A backend server registered, or its registration changed."""

    key: str
    revision: int
    entry: backends.Entry


class ZoneOut(typing.NamedTuple):
    """Operators took an availability zone out of service."""

    key: str
    revision: int
    zone: str


class Removed(typing.NamedTuple):
    """A key was removed."""

    key: str
    revision: int


class InvalidValue(typing.NamedTuple):
    """A value was written that cannot be decoded; it counts as removed."""

    key: str
    revision: int
    reason: str


class IgnoredKey(typing.NamedTuple):
    """A key changed that this software does not use."""

    key: str
    revision: int


Change = DeploymentPut | BackendPut | ZoneOut | Removed | InvalidValue | IgnoredKey


class Changes(typing.NamedTuple):
    """Changes and the revision of the store up to which they are complete.

    Attributes
    ----------
    revision : int
        Revision of the store.
    changes : tuple of Change
        The changes.
    era : int or None
        Era of the store, which rises each time that the store comes back from an older
        copy; revisions of different eras cannot be compared. None if it is not told.
    may_continue : bool
        Whether the store may have cut the answer, so that it has further changes.
    """

    revision: int
    changes: tuple[Change, ...]
    era: int | None = None
    may_continue: bool = False


class _Report(typing.NamedTuple):
    """Latest report that is known of a server.

    Attributes
    ----------
    started_ms, sequence : int
        Start of the server and number of the report; see `backends.Entry`.
    removed_at : float
        Time in seconds at which the registration was removed; infinity if it was not.
    """

    started_ms: int
    sequence: int
    removed_at: float = math.inf


class Registry:
    """Applies the store's changes to the forwarder.

    Within one era of the store, revisions order all changes. A store that was restored
    from a copy begins a new era; what the copy holds may be older than what is known.
    It is then compared by what it says itself: deployments by version, registrations
    by the start of the server and the number of its report.

    Attributes
    ----------
    revision : int
        Revision of the store up to which all changes are applied.
    era : int or None
        Era of the store; None if it tells none.
    invalid_values : int
        Values that could not be decoded.

    Parameters
    ----------
    target : forwarder.Forwarder
        Receives deployments and backend servers.
    evidence : freshness.Evidence
        Tells when the last outage of the store ended.
    registration_lifetime_s : float
        Time in seconds within which the store drops registrations of servers that
        ended.
    """

    def __init__(
        self,
        target: forwarder.Forwarder,
        evidence: freshness.Evidence,
        registration_lifetime_s: float = REGISTRATION_LIFETIME_S,
    ):
        self._target = target
        self._evidence = evidence
        self._registration_lifetime_s = registration_lifetime_s
        self._identity_by_key: dict[str, str] = {}
        self._excluded_zones: dict[str, str] = {}
        self._revision_by_key: dict[str, int] = {}
        self._latest_reports: dict[str, _Report] = {}
        # Registrations of a restored store that are older than what is known, with the
        # time in seconds at which they count nevertheless.
        self._held_registrations: dict[str, tuple[float, BackendPut]] = {}
        # Keys of zones that a restored store lacks, with the time of their end.
        self._missing_zones: dict[str, float] = {}
        self._restored_at = -math.inf
        self._last_contact_at: float | None = None
        self.revision = 0
        self.era: int | None = None
        self.invalid_values = 0

    @property
    def last_contact_at(self) -> float | None:
        """Time of the store's latest answer, in seconds; None before the first."""
        return self._last_contact_at

    @property
    def position(self) -> freshness.Position:
        """How far the store is applied."""
        deployed = self._target.deployment
        version = deployed.version if deployed is not None else 0
        return freshness.Position(version, self.era or 0, self.revision)

    def record_contact(self, now: float) -> None:
        """Record an answer of the store."""
        self._last_contact_at = now

    def _compute_grace_end(self) -> float:
        """Return until when servers without a registration stay in use, in seconds.

        The registrations of live servers may lapse in an outage of the store, and a
        copy may lack them. They are back within `backends.MISSING_GRACE_S` afterwards.
        Outside this time, a server without a registration has left.
        """
        returned_at = max(self._evidence.outage_ended_at, self._restored_at)
        return returned_at + backends.MISSING_GRACE_S

    def is_of_earlier_era(self, changes: Changes) -> bool:
        """Return whether a restore of the store has overtaken an answer."""
        return (
            changes.era is not None and self.era is not None and changes.era < self.era
        )

    def is_of_later_era(self, changes: Changes) -> bool:
        """Return whether the store was restored since it was last read.

        An answer that tells no era shows it by a lower revision.
        """
        if changes.era is None or self.era is None:
            return changes.revision < self.revision
        return changes.era > self.era

    def apply_snapshot(
        self, now: float, snapshot: Changes
    ) -> list[forwarding.LogEntry]:
        """Apply the whole content of the store; keys missing from it were removed.

        A snapshot of an earlier era is ignored.
        """
        if self.is_of_earlier_era(snapshot):
            return []
        log_entries: list[forwarding.LogEntry] = []
        is_restored = self.is_of_later_era(snapshot)
        if is_restored:
            self._begin_era(now, snapshot, log_entries)
        if snapshot.era is not None:
            self.era = snapshot.era
        self._apply(now, snapshot, is_restored, log_entries)
        present = {change.key for change in snapshot.changes}
        for key in list(self._excluded_zones):
            if key in present:
                continue
            if is_restored:
                self._missing_zones.setdefault(key, now + ZONE_GRACE_S)
            elif key not in self._missing_zones:
                self._remove(now, key, log_entries)
        for key in [*self._identity_by_key, *self._held_registrations]:
            if key not in present:
                self._remove(now, key, log_entries)
        return log_entries

    def apply_changes(self, now: float, changes: Changes) -> list[forwarding.LogEntry]:
        """Apply the changes after the last revision, which are of the same era."""
        log_entries: list[forwarding.LogEntry] = []
        self._apply(now, changes, False, log_entries)
        return log_entries

    def handle_timers(self, now: float) -> list[forwarding.LogEntry]:
        """Apply what has been held back, and remove what is still missing."""
        log_entries: list[forwarding.LogEntry] = []
        lapsed = self._target.backends.remove_expired(now)
        for key, identity in list(self._identity_by_key.items()):
            if identity in lapsed:
                del self._identity_by_key[key]
        for identity in lapsed:
            self._mark_removed(now, identity)
            values = {"server": identity}
            log_entries.append(forwarding.LogEntry("server:", "lapsed", values))
        for until, change in list(self._held_registrations.values()):
            if until <= now:
                self._apply_backend(now, change, log_entries)
        for key, until in list(self._missing_zones.items()):
            if until <= now:
                self._remove(now, key, log_entries)
        forgotten = [
            identity
            for identity, report in self._latest_reports.items()
            if now - report.removed_at >= REPORT_LIFETIME_S
        ]
        for identity in forgotten:
            del self._latest_reports[identity]
        return log_entries

    def _begin_era(
        self, now: float, snapshot: Changes, log_entries: list[forwarding.LogEntry]
    ) -> None:
        """Forget the revisions, which say nothing of those of a restored store."""
        values = {
            "era": snapshot.era,
            "before": self.era,
            "revision": snapshot.revision,
            "known": self.revision,
        }
        log_entries.append(forwarding.LogEntry("config:", "store was restored", values))
        self._revision_by_key.clear()
        self._held_registrations.clear()
        self.revision = 0
        self._restored_at = now

    def _apply(
        self,
        now: float,
        changes: Changes,
        is_restored: bool,
        log_entries: list[forwarding.LogEntry],
    ) -> None:
        """Apply the changes that are newer than what is known of their keys.

        `is_restored` tells that they are the copy from which the store was restored.
        """
        for change in changes.changes:
            if change.revision <= self._revision_by_key.get(change.key, 0):
                continue
            self._revision_by_key[change.key] = change.revision
            try:
                self._apply_change(now, change, is_restored, log_entries)
            except Exception as error:
                # The changes after it must come into force all the same.
                reason = f"cannot be applied: {decoding.describe(error)}"
                invalid = InvalidValue(change.key, change.revision, reason)
                self._refuse(now, invalid, log_entries)
        self.revision = max(self.revision, changes.revision)

    def _apply_change(
        self,
        now: float,
        change: Change,
        is_restored: bool,
        log_entries: list[forwarding.LogEntry],
    ) -> None:
        match change:
            case DeploymentPut():
                self._apply_deployment(change, log_entries)
            case BackendPut():
                if is_restored and self._is_older_report(change.entry):
                    self._hold(now, change, log_entries)
                else:
                    self._apply_backend(now, change, log_entries)
            case ZoneOut():
                self._missing_zones.pop(change.key, None)
                self._excluded_zones[change.key] = change.zone
                self._exclude_zone(change, log_entries)
            case Removed():
                self._revision_by_key.pop(change.key)
                self._remove(now, change.key, log_entries)
            case InvalidValue():
                self._refuse(now, change, log_entries)
            case IgnoredKey():
                pass

    def _refuse(
        self, now: float, change: InvalidValue, log_entries: list[forwarding.LogEntry]
    ) -> None:
        """Count and report a value that cannot be used, and remove its key."""
        self.invalid_values += 1
        values = {"key": change.key, "reason": change.reason}
        log_entries.append(forwarding.LogEntry("config:", "unreadable value", values))
        self._remove(now, change.key, log_entries)

    def _is_older_report(self, entry: backends.Entry) -> bool:
        """Return whether a registration differs from what is known, but is no newer."""
        latest = self._latest_reports.get(entry.identity)
        if latest is None:
            return False
        registered = self._target.backends.find(entry.identity)
        if registered is not None and registered.entry == entry:
            return False
        known = (latest.started_ms, latest.sequence)
        return (entry.started_ms, entry.sequence) <= known

    def _hold(
        self, now: float, change: BackendPut, log_entries: list[forwarding.LogEntry]
    ) -> None:
        """Hold a registration of a restored store back, and go on with what is known.

        If its server has ended, the store drops it before it counts.
        """
        until = now + self._registration_lifetime_s
        self._held_registrations[change.key] = (until, change)
        identity = change.entry.identity
        self._target.backends.keep(identity)
        values = {"server": identity, "revision": change.revision}
        log_entries.append(
            forwarding.LogEntry("server:", "older registration held back", values)
        )

    def _mark_removed(self, now: float, identity: str) -> None:
        report = self._latest_reports.get(identity)
        if report is not None:
            self._latest_reports[identity] = report._replace(removed_at=now)

    def _apply_deployment(
        self, change: DeploymentPut, log_entries: list[forwarding.LogEntry]
    ) -> None:
        new = change.deployment
        applied = self._target.apply_deployment(new)
        values = {
            "version": new.version,
            "revision": change.revision,
            "routes": len(new.routes),
        }
        text = "deployment in force" if applied else "older deployment ignored"
        log_entries.append(forwarding.LogEntry("config:", text, values))

    def _apply_backend(
        self, now: float, change: BackendPut, log_entries: list[forwarding.LogEntry]
    ) -> None:
        entry = change.entry
        self._held_registrations.pop(change.key, None)
        self._latest_reports[entry.identity] = _Report(entry.started_ms, entry.sequence)
        self._identity_by_key[change.key] = entry.identity
        if self._target.backends.put(now, entry):
            values = {
                "server": entry.identity,
                "service": entry.service,
                "address": entry.address,
                "draining": entry.draining,
                "cold_s": entry.cold_s,
                "revision": change.revision,
            }
            log_entries.append(forwarding.LogEntry("server:", "registered", values))

    def _remove(
        self, now: float, key: str, log_entries: list[forwarding.LogEntry]
    ) -> None:
        """Remove what is known under a key.

        Soon after an outage, a server that is not draining is kept until the grace
        period ends.
        """
        self._held_registrations.pop(key, None)
        self._missing_zones.pop(key, None)
        if self._excluded_zones.pop(key, None) is not None:
            self._target.backends.set_zones_out(self._excluded_zones.values())
            log_entries.append(
                forwarding.LogEntry("config:", "zone is back", {"key": key})
            )
        identity = self._identity_by_key.get(key)
        if identity is None:
            return
        values: dict[str, typing.Any] = {"server": identity}
        found = self._target.backends.find(identity)
        grace_end = self._compute_grace_end()
        if now < grace_end and found is not None and not found.entry.draining:
            self._target.backends.schedule_expiry(identity, grace_end)
            text = "missing after an outage"
            values["grace_s"] = round(grace_end - now, 3)
        else:
            del self._identity_by_key[key]
            self._target.backends.remove(identity)
            self._mark_removed(now, identity)
            text = "removed"
        log_entries.append(forwarding.LogEntry("server:", text, values))

    def _exclude_zone(
        self, change: ZoneOut, log_entries: list[forwarding.LogEntry]
    ) -> None:
        self._target.backends.set_zones_out(self._excluded_zones.values())
        values = {"zone": change.zone, "revision": change.revision}
        log_entries.append(forwarding.LogEntry("config:", "zone is out", values))
