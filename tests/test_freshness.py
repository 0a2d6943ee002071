"""Tests of how soon changes of the platform's store are in force."""

import math

import keyvalue
import pytest
import result
import trio

from acacialatch import (
    backends,
    forwarder,
    freshness,
    members,
    registry,
    sending,
    store,
)

LAPSE_S = 2.4


def make_report(version, revision, answered_s=0.1, reachable_s=60.0):
    position = freshness.Position(version, 0, revision)
    return freshness.Report(position, answered_s, reachable_s)


class Reader:
    """Watcher of a store at an idle instance, and the forwarder that it updates."""

    def __init__(self, nursery, served, bound_s=5.0, delay_s=0.004):
        self.schedule = freshness.plan_reads(bound_s).ok_value
        self.core = forwarder.Forwarder("a", sending.Budgets(), 1)
        self.evidence = freshness.Evidence(self.schedule, LAPSE_S)
        self.registry = registry.Registry(self.core, self.evidence)
        self.watcher = store.StoreWatcher(
            keyvalue.DirectStore(served, self.schedule.call_timeout_s, delay_s),
            self.registry,
            lambda log_entries: None,
            self.schedule,
            lambda: self.schedule.idle_pause_s,
            self.evidence,
        )
        nursery.start_soon(self.watcher.run)

    def get_version(self):
        return self.core.deployment.version if self.core.deployment else 0

    def find_usable(self):
        """Return the identities of the servers that get requests."""
        now = trio.current_time()
        self.registry.handle_timers(now)
        servers = self.core.backends.list_servers("ledger")
        return {one.entry.identity for one in servers if one.is_usable(now)}

    async def hear_reports(self, report):
        """Receive the report of another instance as often as by digests."""
        while True:
            now = trio.current_time()
            if self.evidence.record_reports(now, self.registry.position, [report]):
                self.watcher.hasten()
            await trio.sleep(members.PERIOD_S)

    async def wait_for_version(self, version):
        while self.get_version() < version:
            await trio.sleep(0.005)


async def start_reader(nursery, bound_s=5.0):
    """Return a store and the reader that has read deployment 1 from it."""
    served = keyvalue.KeyValueStore()
    served.put("op/config", keyvalue.make_deployment(1))
    reader = Reader(nursery, served, bound_s)
    await reader.wait_for_version(1)
    return served, reader


async def test_deployment_behind_a_long_series_of_changes_is_not_late(
    nursery, autojump_clock
):
    """Guards against a pause between the parts of an answer that the store has cut."""
    served, reader = await start_reader(nursery)
    for number in range(6 * keyvalue.PART_ITEMS_MAX):
        entry = keyvalue.make_server("ledger", "127.0.0.1:1", sequence=number)
        served.put(f"servers/i-{number % 400}", entry)
    served.put("op/config", keyvalue.make_deployment(2))
    with trio.fail_after(reader.schedule.bound_s):
        await reader.wait_for_version(2)


@pytest.mark.parametrize("bound_s", [3.0, 5.0])
@pytest.mark.parametrize("after_pause", [False, True])
@pytest.mark.parametrize("share", [0.0, 0.1, 0.3])
async def test_change_is_in_force_in_time_although_watch_and_reads_fail(
    nursery, autojump_clock, bound_s, after_pause, share
):
    """Guards against time limits each within the bound whose sum is not."""
    served, reader = await start_reader(nursery, bound_s)
    if after_pause:
        served.put("servers/i-1", keyvalue.make_server("ledger", "127.0.0.1:1"))
    begun = served.watches
    while served.watches < begun + 2:
        await trio.sleep(0.005)
    await trio.sleep(share * bound_s)
    served.lose_watches()
    served.put("op/config", keyvalue.make_deployment(2))
    with trio.fail_after(bound_s):
        await reader.wait_for_version(2)


@pytest.mark.parametrize("bound_s", [0.5, 2.6, 3.0, 5.0, 60.0])
def test_parts_of_the_longest_read_add_up_to_the_bound(bound_s):
    """Guards against a schedule whose longest case exceeds the bound."""
    schedule = freshness.plan_reads(bound_s).ok_value
    delays_s = sum(
        schedule.retry_first_s * 2**n for n in range(1 + freshness.REFUSED_READS)
    )
    read_s = freshness.WHOLE_READ_SHARE * bound_s
    lateness_s = freshness.LATENESS_SHARE * bound_s
    after_loss_s = schedule.call_timeout_s + delays_s + read_s + lateness_s
    assert schedule.silence_s + after_loss_s <= bound_s * 1.000001
    outage_delays_s = (1 + freshness.REFUSED_READS) * schedule.retry_max_s
    after_outage_s = schedule.call_timeout_s + outage_delays_s + read_s + lateness_s
    assert after_outage_s <= bound_s * 1.000001
    assert schedule.idle_pause_s < schedule.silence_s


@pytest.mark.parametrize("bound_s", [0.0, -1.0, 0.49, math.nan])
def test_bound_that_reads_cannot_keep_is_refused(bound_s):
    """Guards against a process that starts although it cannot keep a bound."""
    assert isinstance(freshness.plan_reads(bound_s), result.Err)


async def test_deployment_that_a_peer_has_is_read_although_the_watch_is_lost(
    nursery, autojump_clock
):
    """Guards against an instance that stays behind while its peers know more."""
    served, reader = await start_reader(nursery)
    await trio.sleep(2 * reader.schedule.silence_s)
    begun = served.watches
    while served.watches == begun:
        await trio.sleep(0.005)
    served.lose_watches()
    served.refusals = 0
    served.put("op/config", keyvalue.make_deployment(2))
    nursery.start_soon(reader.hear_reports, make_report(2, served.revision))
    with trio.fail_after(reader.schedule.call_timeout_s + members.PERIOD_S):
        await reader.wait_for_version(2)


async def test_server_that_a_peer_lost_is_read_although_the_watch_is_lost(
    nursery, autojump_clock
):
    """Guards against a server that stays in use while peers know that it has left."""
    served, reader = await start_reader(nursery, 20.0)
    served.put("servers/i-1", keyvalue.make_server("ledger", "127.0.0.1:1"))
    await trio.sleep(2 * reader.schedule.silence_s)
    begun = served.watches
    while served.watches == begun:
        await trio.sleep(0.005)
    served.lose_watches()
    served.refusals = 0
    served.remove("servers/i-1")
    nursery.start_soon(reader.hear_reports, make_report(1, served.revision))
    schedule = reader.schedule
    with trio.fail_after(schedule.idle_pause_s + 2 * members.PERIOD_S):
        while reader.core.backends.find("i-1") is not None:
            await trio.sleep(0.005)


async def test_reported_deployment_that_the_store_lacks_causes_few_reads(
    nursery, autojump_clock
):
    """Guards against a false report after which an instance reads without end."""
    served, reader = await start_reader(nursery)
    nursery.start_soon(reader.hear_reports, make_report(9, served.revision))
    begun = served.watches
    await trio.sleep(10 * reader.schedule.silence_s)
    assert served.watches - begun <= 10 + 3


async def test_steady_changes_read_in_time_are_not_hastened(nursery, autojump_clock):
    """Guards against peers that are a little ahead and cause a read each time."""
    served, reader = await start_reader(nursery)
    for number in range(200):
        entry = keyvalue.make_server("ledger", "127.0.0.1:1", sequence=number)
        served.put("servers/i-1", entry)
        report = make_report(1, served.revision)
        now = trio.current_time()
        assert not reader.evidence.record_reports(
            now, reader.registry.position, [report]
        )
        await trio.sleep(0.1)


@pytest.mark.parametrize(
    ("report", "answered_at", "may_continue", "is_behind"),
    [
        (make_report(1, 1), 10.0, False, False),
        (make_report(1, 9), 10.0, False, False),
        (make_report(2, 9), 10.0, False, True),
        (make_report(1, 1), 10.0, True, True),
        (make_report(1, 1), 4.9, False, True),
    ],
    ids=["current", "other change", "newer deployment", "cut answer", "overdue"],
)
def test_missing_deployment_is_noticed(report, answered_at, may_continue, is_behind):
    """Guards against an instance that takes itself for current, or never does."""
    evidence = freshness.Evidence(freshness.plan_reads(5.0).ok_value)
    evidence.record_answer(answered_at, answered_at, may_continue)
    evidence.record_reports(10.0, freshness.Position(1, 0, 1), [report])
    assert evidence.is_behind(10.0, 1) is is_behind
    if is_behind:
        late = 10.0 + freshness.REPORT_LIFETIME_S
        evidence.record_answer(late, late, False)
        assert not evidence.is_behind(late, 1)


async def start_reader_of_two_servers(nursery):
    """Return a store and an idle reader that uses two servers."""
    served, reader = await start_reader(nursery, 3.0)
    for name in ("i-1", "i-2"):
        served.put(f"servers/{name}", keyvalue.make_server("ledger", "127.0.0.1:1"))
    await trio.sleep(2 * reader.schedule.silence_s)
    assert reader.find_usable() == {"i-1", "i-2"}
    return served, reader


@pytest.mark.parametrize("delay_s", [0.01, 0.5, 1.2, 2.0])
async def test_server_that_leaves_after_a_cut_watch_is_not_kept_for_an_outage(
    nursery, autojump_clock, delay_s
):
    """Guards against the grace period of an outage after any failed read."""
    served, reader = await start_reader_of_two_servers(nursery)
    served.cut_watches()
    await trio.sleep(delay_s)
    served.remove("servers/i-1")
    await trio.sleep(reader.schedule.bound_s)
    assert reader.find_usable() == {"i-2"}


async def test_server_that_leaves_while_the_store_refuses_one_instance_is_not_kept(
    nursery, autojump_clock
):
    """Guards against an outage assumed although peers had answers of the store."""
    served, reader = await start_reader_of_two_servers(nursery)
    nursery.start_soon(reader.hear_reports, make_report(1, 1))
    served.refusals = 10_000
    served.cut_watches()
    await trio.sleep(6.0)
    served.remove("servers/i-1")
    served.refusals = 0
    await trio.sleep(reader.schedule.retry_max_s + 0.1)
    assert reader.find_usable() == {"i-2"}


@pytest.mark.parametrize("returns", [True, False])
async def test_server_whose_registration_lapsed_in_an_outage_is_kept(
    nursery, autojump_clock, returns
):
    """Guards against losing live servers after an outage, and keeping gone ones."""
    served, reader = await start_reader_of_two_servers(nursery)
    served.refusals = 10_000
    served.cut_watches()
    await trio.sleep(6.0)
    served.remove("servers/i-1")
    served.refusals = 0
    nursery.start_soon(reader.hear_reports, make_report(1, 1, 0.0, 0.0))
    await trio.sleep(reader.schedule.retry_max_s + 0.1)
    assert reader.find_usable() == {"i-1", "i-2"}
    if returns:
        entry = keyvalue.make_server("ledger", "127.0.0.1:1", sequence=9)
        served.put("servers/i-1", entry)
    await trio.sleep(backends.MISSING_GRACE_S)
    assert reader.find_usable() == ({"i-1", "i-2"} if returns else {"i-2"})


async def test_grace_after_an_outage_ends_at_one_time_for_all_servers(
    nursery, autojump_clock
):
    """Guards against a grace period that begins again when a removal is read."""
    served, reader = await start_reader_of_two_servers(nursery)
    served.refusals = 10_000
    served.cut_watches()
    await trio.sleep(6.0)
    served.refusals = 0
    await trio.sleep(reader.schedule.retry_max_s)
    returned_at = reader.evidence.outage_ended_at
    await trio.sleep_until(returned_at + backends.MISSING_GRACE_S - 0.5)
    served.remove("servers/i-1")
    await trio.sleep_until(returned_at + backends.MISSING_GRACE_S + 0.1)
    assert reader.find_usable() == {"i-2"}
