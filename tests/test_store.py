"""Tests of the watcher of the platform's store and of the registry."""

import pytest
import result
import trio

from acacialatch import (
    backends,
    deployment,
    errors,
    forwarder,
    freshness,
    registry,
    sending,
    store,
)

SCHEDULE = freshness.plan_reads(3.0).ok_value
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
        self.afters = []
        self.reads = 0

    async def read_all(self):
        self.reads += 1
        await trio.sleep(0.004)
        return self.content

    async def watch(self, after, wait_s):
        self.waits.append(wait_s)
        self.afters.append(after)
        if self.watches:
            await trio.sleep(0.004)
            return self.watches.pop(0)
        await trio.sleep(wait_s)
        return result.Ok(registry.Changes(after, ()))


def start_watcher(nursery, scripted, pause_s=0.45):
    core = forwarder.Forwarder("ba", sending.Budgets(), 1)
    evidence = freshness.Evidence(SCHEDULE)
    watcher = store.StoreWatcher(
        scripted,
        registry.Registry(core, evidence),
        lambda log_entries: None,
        SCHEDULE,
        lambda: pause_s,
        evidence,
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


@pytest.mark.parametrize("is_snapshot", [True, False])
def test_change_that_cannot_be_applied_affects_no_other(monkeypatch, is_snapshot):
    """Guards against one item that keeps all later changes from coming into force."""
    core = forwarder.Forwarder("ba", sending.Budgets(), 1)
    target = registry.Registry(core, freshness.Evidence())
    put = core.backends.put

    def put_or_raise(now, entry):
        if entry.identity == "odd":
            raise OverflowError("a number that nobody thought of")
        return put(now, entry)

    monkeypatch.setattr(core.backends, "put", put_or_raise)
    changes = (make_backend("odd", 2), make_backend("a", 3), make_deployment(4, 4))
    apply = target.apply_snapshot if is_snapshot else target.apply_changes
    entries = apply(1.0, registry.Changes(4, changes))
    assert core.backends.list_identities() == {"a"}
    assert core.deployment.version == 4
    assert target.revision == 4
    assert target.invalid_values == 1
    refused = [one for one in entries if one.text == "unreadable value"]
    assert [one.values["key"] for one in refused] == ["odd"]
    assert "OverflowError" in refused[0].values["reason"]


@pytest.mark.parametrize("fails_at_start", [True, False])
async def test_read_that_raises_an_exception_has_only_failed(
    nursery, autojump_clock, fails_at_start
):
    """Guards against a process that ends since a read of the store raised."""

    class RaisingStore(ScriptedStore):
        raises = fails_at_start

        async def read_all(self):
            if self.raises:
                raise RecursionError("deep")
            return await super().read_all()

        async def watch(self, after, wait_s):
            if self.raises:
                raise RecursionError("deep")
            return await super().watch(after, wait_s)

    scripted = RaisingStore()
    core = start_watcher(nursery, scripted)
    await trio.sleep(1.0)
    scripted.raises = True
    await trio.sleep(5.0)
    scripted.raises = False
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


def make_registry_after_an_outage():
    """Return a forwarder and a registry with a server, 10 s after the last answer."""
    core = forwarder.Forwarder("ba", sending.Budgets(), 1)
    evidence = freshness.Evidence(SCHEDULE, lapse_s=2.4)
    target = registry.Registry(core, evidence)
    evidence.record_contact(1.0, 1.0)
    target.apply_snapshot(1.0, registry.Changes(2, (make_backend("a", 2),)))
    evidence.record_failure()
    evidence.record_contact(10.0, 10.0)
    return core, target


def test_missing_registration_is_kept_for_a_grace_period_after_an_outage():
    """Guards against losing live servers whose registrations expired in an outage."""
    core, target = make_registry_after_an_outage()
    target.apply_snapshot(10.0, registry.Changes(5, ()))
    assert core.backends.find("a").is_usable(11.0)
    target.handle_timers(10.0 + backends.MISSING_GRACE_S)
    assert core.backends.find("a") is None


def test_registration_that_returns_after_an_outage_counts_again():
    """Guards against removing a server that registered again in the grace period."""
    core, target = make_registry_after_an_outage()
    target.apply_snapshot(10.0, registry.Changes(5, ()))
    target.apply_changes(11.0, registry.Changes(6, (make_backend("a", 6),)))
    target.handle_timers(20.0)
    assert core.backends.find("a").is_usable(20.0)


def test_removed_server_gets_no_work_at_once():
    """Guards against a grace period for removals without an outage."""
    core = forwarder.Forwarder("ba", sending.Budgets(), 1)
    target = registry.Registry(core, freshness.Evidence())
    target.record_contact(1.0)
    target.apply_snapshot(1.0, registry.Changes(2, (make_backend("a", 2),)))
    target.apply_changes(9.0, registry.Changes(3, (registry.Removed("a", 3),)))
    assert core.backends.find("a") is None


def test_zone_out_of_service_gets_no_work_until_it_is_back():
    """Guards against work for a zone that is out of service, or none afterwards."""
    core = forwarder.Forwarder("ba", sending.Budgets(), 1)
    target = registry.Registry(core, freshness.Evidence())
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
    pause_s = SCHEDULE.idle_pause_s
    start_watcher(nursery, scripted, pause_s)
    await trio.sleep(10.0)
    silence_s = SCHEDULE.silence_s
    expected = [silence_s - pause_s, silence_s - pause_s, silence_s]
    assert scripted.waits[:3] == pytest.approx(expected)


async def test_idle_instance_reads_a_series_of_changes_less_often(
    nursery, autojump_clock
):
    """Guards against a large fleet whose idle instances use up the store's rate."""
    reads = []
    for pause_s in (SCHEDULE.pause_s, SCHEDULE.idle_pause_s):
        scripted = ScriptedStore()
        scripted.watches += [
            result.Ok(registry.Changes(n, (make_deployment(n, n),)))
            for n in range(2, 100)
        ]
        start_watcher(nursery, scripted, pause_s)
        await trio.sleep(20.0)
        reads.append(len(scripted.waits))
    assert reads[1] < 0.5 * reads[0]


OUT = registry.ZoneOut("out/ba", 30, "ba")
RESTORED_AT = 20.0


class RestoredStore:
    """Registry of a store whose content is lost from a moment on.

    Parameters
    ----------
    copy : tuple of Change
        Content that the store comes back with, in a new era.
    lost : tuple of Change
        Changes after the copy.
    """

    def __init__(self, copy, lost):
        self.core = forwarder.Forwarder("ba", sending.Budgets(), 1)
        self.registry = registry.Registry(self.core, freshness.Evidence())
        self.copy = copy
        self.registry.apply_snapshot(1.0, registry.Changes(10, copy, 1))
        self.registry.apply_changes(10.0, registry.Changes(40, lost, 1))

    def restore(self, revision=10):
        copy = registry.Changes(revision, self.copy, 2)
        self.registry.apply_snapshot(RESTORED_AT, copy)

    def write(self, now, *changes):
        """Apply changes that are written after the restore."""
        revision = max(change.revision for change in changes)
        self.registry.apply_changes(now, registry.Changes(revision, changes, 2))

    def find_usable(self, now):
        """Return the identities of the servers that get requests."""
        self.registry.handle_timers(now)
        servers = self.core.backends.list_servers("ledger")
        return {one.entry.identity for one in servers if one.is_usable(now)}


def test_change_after_a_restore_is_in_force_and_none_comes_back():
    """Guards against changes ignored for their revisions, and older ones taken."""
    scene = RestoredStore((make_deployment(7, 9),), (make_deployment(10, 35),))
    scene.restore()
    assert scene.core.deployment.version == 10
    assert scene.registry.revision == 10
    scene.write(21.0, make_deployment(12, 11))
    assert scene.core.deployment.version == 12


async def test_watch_of_a_restored_store_begins_at_its_revision(
    nursery, autojump_clock
):
    """Guards against a watch after a revision that the store no longer has."""
    scripted = ScriptedStore()
    scripted.content = result.Ok(registry.Changes(55, (make_deployment(10, 55),), 1))
    scripted.watches = [LOST]
    core = start_watcher(nursery, scripted)
    await trio.sleep(0.006)
    scripted.content = result.Ok(registry.Changes(50, (make_deployment(7, 50),), 2))
    await trio.sleep(0.5)
    later = registry.Changes(51, (make_deployment(12, 51),), 2)
    scripted.watches.append(result.Ok(later))
    await trio.sleep(3.0)
    assert scripted.afters[:3] == [55, 50, 51]
    assert core.deployment.version == 12


async def test_watch_answered_by_another_era_leads_to_a_whole_read(
    nursery, autojump_clock
):
    """Guards against changes below a revision that the restored store has passed."""
    scripted = ScriptedStore()
    scripted.content = result.Ok(registry.Changes(55, (make_deployment(10, 55),), 1))
    core = start_watcher(nursery, scripted)
    await trio.sleep(0.006)
    whole = registry.Changes(60, (make_deployment(12, 53), make_backend("a", 60)), 2)
    scripted.content = result.Ok(whole)
    partial = registry.Changes(60, (make_backend("a", 60),), 2)
    scripted.watches.append(result.Ok(partial))
    await trio.sleep(3.0)
    assert core.deployment.version == 12
    assert core.backends.find("a") is not None


async def test_answer_of_an_earlier_era_is_not_applied(nursery, autojump_clock):
    """Guards against an answer that was overtaken by a restore of the store."""
    scripted = ScriptedStore()
    content = registry.Changes(20, (make_backend("b", 20),), 2)
    scripted.content = result.Ok(content)
    late = registry.Changes(55, (make_backend("a", 55),), 1)
    scripted.watches = [result.Ok(late)]
    core = start_watcher(nursery, scripted)
    await trio.sleep(3.0)
    assert core.backends.list_identities() == {"b"}
    assert set(scripted.afters) == {20}


def test_server_that_began_to_drain_before_a_restore_gets_no_work():
    """Guards against a copy in which a leaving server is still ready."""
    ready = make_backend("a", 5, sequence=4)
    draining = make_backend("a", 35, sequence=9, draining=True)
    scene = RestoredStore((ready,), (draining,))
    scene.restore()
    assert scene.find_usable(RESTORED_AT + 1) == set()
    scene.write(22.0, make_backend("a", 11, sequence=10, draining=True))
    assert scene.find_usable(RESTORED_AT + 60) == set()


def test_server_that_left_before_a_restore_gets_no_work_until_it_registers():
    """Guards against a copy that still has a server that has ended."""
    registered = make_backend("a", 5, sequence=4)
    scene = RestoredStore((registered,), (registry.Removed("a", 35),))
    scene.restore()
    assert scene.find_usable(RESTORED_AT + 1) == set()
    scene.write(22.0, registry.Removed("a", 11))
    assert scene.find_usable(RESTORED_AT + 60) == set()
    scene.write(90.0, make_backend("a", 12, sequence=1, started_ms=90_000))
    assert scene.find_usable(91.0) == {"a"}


def test_server_that_a_restored_store_keeps_is_used_in_the_end():
    """Guards against a live server that is lost since it had been missing before."""
    registered = make_backend("a", 5, sequence=4)
    scene = RestoredStore((registered,), (registry.Removed("a", 35),))
    scene.restore()
    assert scene.find_usable(RESTORED_AT + 60) == {"a"}


def test_server_that_joined_before_a_restore_stays_in_use():
    """Guards against live servers that a copy lacks, and gone ones that are kept."""
    joined = (make_backend("a", 35, sequence=1), make_backend("b", 36, sequence=1))
    scene = RestoredStore((make_deployment(1, 1),), joined)
    scene.restore()
    assert scene.find_usable(RESTORED_AT + 1) == {"a", "b"}
    scene.write(21.5, make_backend("a", 11, sequence=2))
    assert scene.find_usable(RESTORED_AT + backends.MISSING_GRACE_S) == {"a"}


def test_restarted_server_is_not_replaced_by_its_earlier_run_in_a_copy():
    """Guards against the address that a server had before its restart."""
    first = make_backend("a", 5, sequence=40, started_ms=1, address="127.0.0.1:1")
    second = make_backend("a", 35, sequence=2, started_ms=9, address="127.0.0.1:2")
    scene = RestoredStore((first,), (second,))
    scene.restore()
    assert scene.core.backends.find("a").entry.address == "127.0.0.1:2"


def test_warm_server_is_not_cold_again_after_a_restore():
    """Guards against a copy that is as old as the start of its servers."""
    cold = make_backend("a", 5, sequence=1, cold_s=3.0)
    scene = RestoredStore((cold,), ())
    scene.restore()
    assert scene.core.backends.find("a").cold_until == 4.0


def test_zone_that_was_taken_out_before_a_restore_stays_out():
    """Guards against work for a zone since the copy lacks that it is out."""
    scene = RestoredStore((make_backend("a", 5),), (OUT,))
    scene.restore()
    assert scene.find_usable(RESTORED_AT + 5) == set()
    scene.write(27.0, OUT._replace(revision=12))
    assert scene.find_usable(RESTORED_AT + 90) == set()
    scene.write(120.0, registry.Removed("out/ba", 13))
    assert scene.find_usable(121.0) == {"a"}


def test_zone_that_no_one_takes_out_again_after_a_restore_is_back_in_the_end():
    """Guards against a zone that stays out for good."""
    scene = RestoredStore((make_backend("a", 5),), (OUT,))
    scene.restore()
    assert scene.find_usable(RESTORED_AT + 90) == {"a"}


def test_restore_of_a_store_that_tells_no_era_is_found_by_its_revision():
    """Guards against a missing header field that hides a restore."""
    scene = RestoredStore((make_deployment(7, 9),), (make_deployment(10, 35),))
    copy = registry.Changes(10, scene.copy)
    scene.registry.apply_snapshot(RESTORED_AT, copy)
    later = registry.Changes(11, (make_deployment(12, 11),))
    scene.registry.apply_changes(21.0, later)
    assert scene.core.deployment.version == 12
