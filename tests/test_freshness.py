"""Tests of how soon changes of the platform's store are in force."""

import keyvalue
import trio

from acacialatch import forwarder, registry, sending, store


class Reader:
    """Watcher of a store, and the forwarder that it updates."""

    def __init__(self, nursery, served):
        self.core = forwarder.Forwarder("a", sending.Budgets(), 1)
        self.watcher = store.StoreWatcher(
            keyvalue.DirectStore(served),
            registry.Registry(self.core),
            lambda log_entries: None,
            4.0,
            lambda: 2.25,
            0.75,
        )
        nursery.start_soon(self.watcher.run)

    def get_version(self):
        return self.core.deployment.version if self.core.deployment else 0

    async def wait_for_version(self, version):
        while self.get_version() < version:
            await trio.sleep(0.005)


async def test_deployment_behind_a_long_series_of_changes_is_not_late(
    nursery, autojump_clock
):
    """Guards against a pause between the parts of an answer that the store has cut."""
    served = keyvalue.KeyValueStore()
    served.put("op/config", keyvalue.make_deployment(1))
    reader = Reader(nursery, served)
    await reader.wait_for_version(1)
    for number in range(6 * keyvalue.PART_ITEMS_MAX):
        entry = keyvalue.make_server("ledger", "127.0.0.1:1", sequence=number)
        served.put(f"servers/i-{number % 400}", entry)
    served.put("op/config", keyvalue.make_deployment(2))
    with trio.fail_after(5.0):
        await reader.wait_for_version(2)
