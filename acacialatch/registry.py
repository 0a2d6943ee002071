"""Applies the changes of the platform's store to the forwarder.

The store holds the deployment, the registrations of backend servers and the
availability zones out of service, each under a key with a revision.
"""

import typing

from acacialatch import backends, deployment, forwarder, forwarding


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
    """

    revision: int
    changes: tuple[Change, ...]
    era: int | None = None


class Registry:
    """Applies the store's changes to the forwarder.

    Parameters
    ----------
    target : forwarder.Forwarder
        Receives deployments and backend servers.
    """

    def __init__(self, target: forwarder.Forwarder):
        self._target = target
        self._identity_by_key: dict[str, str] = {}
        self._excluded_zones: dict[str, str] = {}
        self._revision_by_key: dict[str, int] = {}
        self._grace_until = 0.0
        self._last_contact_at: float | None = None
        self.revision = 0
        self.era: int | None = None
        self.invalid_values = 0

    @property
    def last_contact_at(self) -> float | None:
        """Time of the store's latest answer, in seconds; None before the first."""
        return self._last_contact_at

    def record_contact(self, now: float, after_outage: bool) -> None:
        """Record an answer of the store.

        During an outage the registrations of live servers may expire. So for
        `backends.MISSING_GRACE_S` after one, a missing registration only starts a
        grace period, in which the server stays in use.
        """
        if after_outage:
            self._grace_until = now + backends.MISSING_GRACE_S
        self._last_contact_at = now

    def apply_snapshot(
        self, now: float, snapshot: Changes
    ) -> list[forwarding.LogEntry]:
        """Apply the whole content of the store; keys missing from it were removed."""
        log_entries = self._apply(now, snapshot)
        present = {change.key for change in snapshot.changes}
        for key in list(self._identity_by_key) + list(self._excluded_zones):
            if key not in present:
                self._remove(now, key, log_entries)
        return log_entries

    def apply_changes(self, now: float, changes: Changes) -> list[forwarding.LogEntry]:
        """Apply the changes after the last revision."""
        return self._apply(now, changes)

    def handle_timers(self, now: float) -> list[forwarding.LogEntry]:
        """Remove servers whose registration is still missing after the grace period."""
        return [
            forwarding.LogEntry("server:", "lapsed", {"server": identity})
            for identity in self._target.backends.remove_expired(now)
        ]

    def _apply(self, now: float, changes: Changes) -> list[forwarding.LogEntry]:
        """Apply the changes that are newer than what is known of their keys."""
        log_entries = self._record_era(changes)
        for change in changes.changes:
            known_revision = self._revision_by_key.get(change.key, 0)
            if change.revision <= known_revision:
                if change.revision < known_revision:
                    values = {
                        "key": change.key,
                        "revision": change.revision,
                        "known": known_revision,
                    }
                    log_entries.append(
                        forwarding.LogEntry("config:", "older change ignored", values)
                    )
                continue
            self._revision_by_key[change.key] = change.revision
            match change:
                case DeploymentPut():
                    self._apply_deployment(change, log_entries)
                case BackendPut():
                    self._apply_backend(now, change, log_entries)
                case ZoneOut():
                    self._excluded_zones[change.key] = change.zone
                    self._exclude_zone(change, log_entries)
                case Removed():
                    self._revision_by_key.pop(change.key)
                    self._remove(now, change.key, log_entries)
                case InvalidValue():
                    self.invalid_values += 1
                    values = {"key": change.key, "reason": change.reason}
                    log_entries.append(
                        forwarding.LogEntry("config:", "unreadable value", values)
                    )
                    self._remove(now, change.key, log_entries)
                case IgnoredKey():
                    pass
        self.revision = max(self.revision, changes.revision)
        return log_entries

    def _record_era(self, changes: Changes) -> list[forwarding.LogEntry]:
        if changes.era is None or changes.era == self.era:
            return []
        previous, self.era = self.era, changes.era
        if previous is None:
            return []
        values = {
            "era": changes.era,
            "before": previous,
            "revision": changes.revision,
            "known": self.revision,
        }
        return [forwarding.LogEntry("config:", "store was restored", values)]

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

        Soon after an outage, a server that is not draining is kept for a grace period.
        """
        if self._excluded_zones.pop(key, None) is not None:
            self._target.backends.set_zones_out(self._excluded_zones.values())
            log_entries.append(
                forwarding.LogEntry("config:", "zone is back", {"key": key})
            )
        identity = self._identity_by_key.get(key)
        if identity is None:
            return
        found = self._target.backends.find(identity)
        if now < self._grace_until and found is not None and not found.entry.draining:
            self._target.backends.schedule_expiry(now, identity)
            text = "missing after an outage"
        else:
            del self._identity_by_key[key]
            self._target.backends.remove(identity)
            text = "removed"
        log_entries.append(forwarding.LogEntry("server:", text, {"server": identity}))

    def _exclude_zone(
        self, change: ZoneOut, log_entries: list[forwarding.LogEntry]
    ) -> None:
        self._target.backends.set_zones_out(self._excluded_zones.values())
        values = {"zone": change.zone, "revision": change.revision}
        log_entries.append(forwarding.LogEntry("config:", "zone is out", values))
