"""What the platform's store says, in the order of its revisions."""

import typing

from acacialatch import backends, deployment, forwarder, forwarding


class DeploymentPut(typing.NamedTuple):
    """A configuration was written."""

    key: str
    revision: int
    deployment: deployment.Deployment


class BackendPut(typing.NamedTuple):
    """A backend server registered, or its registration changed."""

    key: str
    revision: int
    entry: backends.Entry


class ZoneOut(typing.NamedTuple):
    """Operators took an availability zone out."""

    key: str
    revision: int
    zone: str


class Removed(typing.NamedTuple):
    """A key was removed."""

    key: str
    revision: int


class InvalidValue(typing.NamedTuple):
    """A value that names nothing to use."""

    key: str
    revision: int
    reason: str


class IgnoredKey(typing.NamedTuple):
    """A key that means nothing here."""

    key: str
    revision: int


Change = DeploymentPut | BackendPut | ZoneOut | Removed | InvalidValue | IgnoredKey


class Changes(typing.NamedTuple):
    """Changes with the revision up to which they are complete."""

    revision: int
    changes: tuple[Change, ...]


class Registry:
    """Applies the store's changes to the forwarder.

    Parameters
    ----------
    target : forwarder.Forwarder
        Gets deployments and backend servers.
    """

    def __init__(self, target: forwarder.Forwarder):
        self._target = target
        self._identities: dict[str, str] = {}
        self._zones_out: dict[str, str] = {}
        self._revisions: dict[str, int] = {}
        self._lapse_until = 0.0
        self._heard_at: float | None = None
        self.revision = 0
        self.invalid_values = 0

    @property
    def last_contact_at(self) -> float | None:
        """When the store last answered; None before the first answer."""
        return self._heard_at

    def record_contact(self, now: float, after_outage: bool) -> None:
        """Note an answer of the store.

        After an outage, entries of live servers may have lapsed, so removals only
        count a while later.
        """
        if after_outage:
            self._lapse_until = now + backends.MISSING_GRACE_S
        self._heard_at = now

    def apply_snapshot(
        self, now: float, snapshot: Changes
    ) -> list[forwarding.LogEntry]:
        """Take everything that the store holds; what is missing was removed."""
        notes = self._take(now, snapshot)
        present = {change.key for change in snapshot.changes}
        for key in list(self._identities) + list(self._zones_out):
            if key not in present:
                self._remove(now, key, notes)
        return notes

    def apply_changes(self, now: float, changes: Changes) -> list[forwarding.LogEntry]:
        """Take changes after the last revision."""
        return self._take(now, changes)

    def handle_timers(self, now: float) -> list[forwarding.LogEntry]:
        """Remove servers whose entries lapsed and did not come back."""
        return [
            forwarding.LogEntry("server:", "lapsed", {"server": identity})
            for identity in self._target.backends.remove_expired(now)
        ]

    def _take(self, now: float, changes: Changes) -> list[forwarding.LogEntry]:
        notes: list[forwarding.LogEntry] = []
        for change in changes.changes:
            if change.revision <= self._revisions.get(change.key, 0):
                continue
            self._revisions[change.key] = change.revision
            match change:
                case DeploymentPut():
                    self._put_deployment(change, notes)
                case BackendPut():
                    self._put_backend(now, change, notes)
                case ZoneOut():
                    self._zones_out[change.key] = change.zone
                    self._change_zones(change, notes)
                case Removed():
                    self._revisions.pop(change.key)
                    self._remove(now, change.key, notes)
                case InvalidValue():
                    self.invalid_values += 1
                    values = {"key": change.key, "reason": change.reason}
                    notes.append(
                        forwarding.LogEntry("config:", "unreadable value", values)
                    )
                    self._remove(now, change.key, notes)
                case IgnoredKey():
                    pass
        self.revision = max(self.revision, changes.revision)
        return notes

    def _put_deployment(
        self, change: DeploymentPut, notes: list[forwarding.LogEntry]
    ) -> None:
        new = change.deployment
        applied = self._target.apply_deployment(new)
        values = {
            "version": new.version,
            "revision": change.revision,
            "routes": len(new.routes),
        }
        text = "deployment in force" if applied else "older deployment ignored"
        notes.append(forwarding.LogEntry("config:", text, values))

    def _put_backend(
        self, now: float, change: BackendPut, notes: list[forwarding.LogEntry]
    ) -> None:
        entry = change.entry
        self._identities[change.key] = entry.identity
        if self._target.backends.put(now, entry):
            values = {
                "server": entry.identity,
                "service": entry.service,
                "address": entry.address,
                "draining": entry.draining,
                "cold_s": entry.cold_s,
                "revision": change.revision,
            }
            notes.append(forwarding.LogEntry("server:", "registered", values))

    def _remove(self, now: float, key: str, notes: list[forwarding.LogEntry]) -> None:
        if self._zones_out.pop(key, None) is not None:
            self._target.backends.set_zones_out(self._zones_out.values())
            notes.append(forwarding.LogEntry("config:", "zone is back", {"key": key}))
        identity = self._identities.get(key)
        if identity is None:
            return
        found = self._target.backends.find(identity)
        if now < self._lapse_until and found is not None and not found.entry.draining:
            self._target.backends.schedule_expiry(now, identity)
            text = "missing after an outage"
        else:
            del self._identities[key]
            self._target.backends.remove(identity)
            text = "removed"
        notes.append(forwarding.LogEntry("server:", text, {"server": identity}))

    def _change_zones(self, change: ZoneOut, notes: list[forwarding.LogEntry]) -> None:
        self._target.backends.set_zones_out(self._zones_out.values())
        values = {"zone": change.zone, "revision": change.revision}
        notes.append(forwarding.LogEntry("config:", "zone is out", values))
