"""Changes of state as actions for the audit trail and the log."""

import typing

from acacialatch import events, membership, revisions, servers


def audit_server_changes(
    changes: typing.Iterable[servers.Change],
) -> list[events.Action]:
    """Return the audit actions for transitions of backend servers."""
    return [
        events.WriteAudit(
            f"server {change.address}",
            change.before.value,
            change.after.value,
            change.cause,
        )
        for change in changes
    ]


def audit_revision_change(change: revisions.Change) -> list[events.Action]:
    """Return the actions for a change of the configuration or of its freshness."""

    def show(version: revisions.ConfigurationVersion | None) -> str:
        return (
            "none" if version is None else f"{version.revision}/{version.sha256[:12]}"
        )

    actions: list[events.Action] = [
        events.WriteAudit(
            "configuration",
            show(change.before),
            show(change.after),
            f"{change.cause.value} from {change.source}",
        ),
    ]
    if change.cause is revisions.Cause.REFUSED:
        actions.append(events.CountMetric("configuration_refused"))
    offered = show(change.offered) if change.offered else show(change.after)
    text = f"revision {offered} {change.cause.value}, source {change.source}"
    actions.append(events.WriteLog("config:", text))
    for problem in change.notes[:3]:
        actions.append(events.WriteLog("config:", problem.describe()))
    return actions


def audit_member_changes(
    changes: typing.Iterable[membership.Change],
) -> list[events.Action]:
    """Return the actions for changes of the list of entry instances."""
    return [
        events.WriteAudit(
            f"entry {change.name}",
            change.before,
            change.after,
            f"{change.cause.value} by {change.source}",
        )
        for change in changes
    ]
