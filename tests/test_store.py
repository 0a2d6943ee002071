"""Tests of the watcher of the platform's store and of the registry."""

import pytest
import result
import trio

from acacialatch import (
    backends,
    deployment,
    errors,
    forwarder,
    registry,
    sending,
    store,
)

LOST = result.Err(errors.SourceFailure(errors.SourceErrorKind.UNREACHABLE, "cut"))


def make_deployment(version, revision):
    deployed = deployment.Deployment(version, (), {}, deployment.CallerLimits())
    return registry.DeploymentPut("config", revision, deployed)


def make_backend(identity, revision, **values):
    entry = backends.Entry(identity, "ledger", "127.0.0.1:1", "ba", 3, False, 0.0)
    return registry.BackendPut(identity, revision, entry._replace(**values))


class ScriptedStore(store.Store):
    """Returns prepared answers; a watch without one ends after its wait."""

    def __init__(self):
        self.content = result.Ok(registry.Changes(1, (make_deployment(1, 1),)))
        self.watches = []
        self.waits = []
        self.reads = 0

    async def read_all(self):
        self.reads += 1
        await trio.sleep(0.004)
        return self.content

    async def watch(self, after, wait_s):
        self.waits.append(wait_s)
        if self.watches:
            await trio.sleep(0.004)
            return self.watches.pop(0)
        await trio.sleep(wait_s)
        return result.Ok(registry.Changes(after, ()))


def start_watcher(nursery, scripted, pause_s=0.45):
    core = forwarder.Forwarder("ba", sending.Budgets(), 1)
    watcher = store.StoreWatcher(
        scripted,
        registry.Registry(core),
        lambda log_entries: None,
        2.4,
        lambda: pause_s,
        0.45,
    )
    nursery.start_soon(watcher.run)
    return core


async def test_everything_is_read_again_after_a_failed_watch(nursery, autojump_clock):
    """Guards against a new watch that misses changes that the store has dropped."""
    scripted = ScriptedStore()
    scripted.watches = [LOST]
    core = start_watcher(nursery, scripted)
    await trio.sleep(0.006)
    scripted.content = result.Ok(registry.Changes(5, (make_deployment(4, 5),)))
    await trio.sleep(2.0)
    assert core.deployment.version == 4


async def test_everything_is_read_again_after_history_was_dropped(
    nursery, autojump_clock
):
    """Guards against a watch that goes on after changes that it never received."""
    scripted = ScriptedStore()
    scripted.watches = [result.Ok(store.HistoryLost())]
    core = start_watcher(nursery, scripted)
    await trio.sleep(0.006)
    scripted.content = result.Ok(registry.Changes(5, (make_deployment(4, 5),)))
    await trio.sleep(2.0)
    assert core.deployment.version == 4


async def test_lost_watch_is_replaced_within_its_wait(nursery, autojump_clock):
    """Guards against a change that comes into force late after an outage.

    In an outage the store lost all watches without closing them; a change was in
    force only 11 s later.
    """
    scripted = ScriptedStore()
    core = start_watcher(nursery, scripted)
    await trio.sleep(0.1)
    scripted.content = result.Ok(registry.Changes(5, (make_deployment(4, 5),)))
    scripted.watches = [LOST]
    await trio.sleep(3.0)
    assert core.deployment.version == 4


async def test_older_version_never_comes_back(nursery, autojump_clock):
    """Guards against a deployment that is replaced by an older version."""
    scripted = ScriptedStore()
    newer, older = make_deployment(9, 8), make_deployment(3, 9)
    scripted.watches = [
        result.Ok(registry.Changes(8, (newer,))),
        result.Ok(registry.Changes(9, (older,))),
    ]
    core = start_watcher(nursery, scripted)
    await trio.sleep(3.0)
    assert core.deployment.version == 9


def test_missing_registration_is_kept_for_a_grace_period_after_an_outage():
    """Guards against losing live servers whose registrations expired in an outage."""
    core = forwarder.Forwarder("ba", sending.Budgets(), 1)
    target = registry.Registry(core)
    target.apply_snapshot(1.0, registry.Changes(2, (make_backend("a", 2),)))
    target.record_contact(10.0, True)
    target.apply_snapshot(10.0, registry.Changes(5, ()))
    assert core.backends.find("a").is_usable(11.0)
    target.handle_timers(10.0 + backends.MISSING_GRACE_S)
    assert core.backends.find("a") is None


def test_registration_that_returns_after_an_outage_counts_again():
    """Guards against removing a server that registered again in the grace period."""
    core = forwarder.Forwarder("ba", sending.Budgets(), 1)
    target = registry.Registry(core)
    target.apply_snapshot(1.0, registry.Changes(2, (make_backend("a", 2),)))
    target.record_contact(10.0, True)
    target.apply_snapshot(10.0, registry.Changes(5, ()))
    target.apply_changes(11.0, registry.Changes(6, (make_backend("a", 6),)))
    target.handle_timers(20.0)
    assert core.backends.find("a").is_usable(20.0)


def test_removed_server_gets_no_work_at_once():
    """Guards against a grace period for removals without an outage."""
    core = forwarder.Forwarder("ba", sending.Budgets(), 1)
    target = registry.Registry(core)
    target.record_contact(1.0, False)
    target.apply_snapshot(1.0, registry.Changes(2, (make_backend("a", 2),)))
    target.apply_changes(9.0, registry.Changes(3, (registry.Removed("a", 3),)))
    assert core.backends.find("a") is None


def test_zone_out_of_service_gets_no_work_until_it_is_back():
    """Guards against work for a zone that is out of service, or none afterwards."""
    core = forwarder.Forwarder("ba", sending.Budgets(), 1)
    target = registry.Registry(core)
    out = registry.ZoneOut("out/ba", 3, "ba")
    target.apply_snapshot(1.0, registry.Changes(3, (make_backend("a", 2), out)))
    assert not core.backends.list_servers("ledger")
    back = registry.Removed("out/ba", 4)
    target.apply_changes(2.0, registry.Changes(4, (back,)))
    assert core.backends.list_servers("ledger")


class BusyStore(ScriptedStore):
    """Returns one new change every 0.1 s."""

    async def watch(self, after, wait_s):
        self.reads += 1
        await trio.sleep(0.1)
        revision = int(10 * trio.current_time()) + 2
        change = make_backend("a", revision, cold_s=float(revision))
        return result.Ok(registry.Changes(revision, (change,)))


async def test_series_of_changes_takes_few_reads(nursery, autojump_clock):
    """Guards against one read for each change of a series.

    A start of all backend servers took 20 reads of every entry instance.
    """
    scripted = BusyStore()
    start_watcher(nursery, scripted)
    await trio.sleep(9.0)
    assert scripted.reads <= 9.0 / 0.45 + 1


async def test_change_that_cannot_be_applied_does_not_end_the_watch(
    nursery, autojump_clock
):
    """Guards against one unexpected value of the store that ends the process."""
    scripted = ScriptedStore()
    scripted.watches.append(result.Ok(registry.Changes(2, (None,))))
    core = start_watcher(nursery, scripted)
    await trio.sleep(1.0)
    later = registry.Changes(3, (make_deployment(2, 3),))
    scripted.content = result.Ok(later)
    scripted.watches.append(result.Ok(later))
    await trio.sleep(5.0)
    assert core.deployment.version == 2
    assert scripted.reads >= 2


async def test_watch_after_a_longer_pause_is_shorter(nursery, autojump_clock):
    """Guards against a change that is in force too late if the store loses a watch."""
    scripted = ScriptedStore()
    scripted.watches.append(result.Ok(registry.Changes(2, (make_deployment(2, 2),))))
    start_watcher(nursery, scripted, pause_s=1.35)
    await trio.sleep(10.0)
    assert scripted.waits[:3] == pytest.approx([1.5, 1.5, 2.4])


async def test_idle_instance_reads_a_series_of_changes_less_often(
    nursery, autojump_clock
):
    """Guards against a large fleet whose idle instances use up the store's rate."""
    reads = []
    for pause_s in (0.45, 1.35):
        scripted = ScriptedStore()
        scripted.watches += [
            result.Ok(registry.Changes(n, (make_deployment(n, n),)))
            for n in range(2, 100)
        ]
        start_watcher(nursery, scripted, pause_s)
        await trio.sleep(20.0)
        reads.append(len(scripted.waits))
    assert reads[1] < 0.5 * reads[0]
