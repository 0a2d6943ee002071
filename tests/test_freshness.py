"""Tests of how soon changes of the platform's store are in force."""

import math

import keyvalue
import pytest
import result
import trio

from acacialatch import forwarder, freshness, registry, sending, store


class Reader:
    """Watcher of a store at an idle instance, and the forwarder that it updates."""

    def __init__(self, nursery, served, bound_s=5.0, delay_s=0.004):
        self.schedule = freshness.plan_reads(bound_s).ok_value
        self.core = forwarder.Forwarder("a", sending.Budgets(), 1)
        self.watcher = store.StoreWatcher(
            keyvalue.DirectStore(served, self.schedule.call_timeout_s, delay_s),
            registry.Registry(self.core),
            lambda log_entries: None,
            self.schedule,
            lambda: self.schedule.idle_pause_s,
        )
        nursery.start_soon(self.watcher.run)

    def get_version(self):
        return self.core.deployment.version if self.core.deployment else 0

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
    delays_s = sum(schedule.retry_first_s * 2**n for n in range(1 + freshness.REFUSED_READS))
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
