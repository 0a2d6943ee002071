"""Tests for bench.capacity and the modules that it uses."""

import pytest

from acacialatch import configuration, model
from bench import capacity, sizes, spread


@pytest.mark.parametrize("replicas", [2, 110, 500, sizes.REPLICA_COUNT])
def test_texts_have_the_stated_size(replicas):
    """Guards against costs measured with a text of another size or an invalid text."""
    parsed = configuration.parse(sizes.render_text(replicas)).unwrap()
    leaves = [service for service in parsed.services.values() if service.is_leaf()]
    addresses = {replica.address for leaf in leaves for replica in leaf.replicas}
    assert len(addresses) == replicas


def test_queries_run_to_their_answer():
    """Guards against costs measured with queries that are refused or have to wait."""
    driver = sizes.EngineDriver(sizes.render_text(sizes.REPLICAS_PER_GROUP), 8)
    driver.warm_up()
    driver.reset()
    assert driver.run_next_query() == sizes.PARTS_PER_QUERY
    assert len(driver.records) == 1
    servers = driver.core.describe(driver.now)["servers"]
    assert servers == {model.ServerState.READY.value: sizes.REPLICAS_PER_GROUP}


def test_spread_reaches_all_entry_instances():
    """Guards against a last time that ignores entry instances without the change."""
    delays = spread.Delays(0.03, 0.1)
    found = spread.simulate(1, range(10), delays, spread.make_uniform_chooser(1))
    assert found.reached == sizes.ENTRY_INSTANCES
    assert 0 < found.half_s < found.p99_s <= found.last_s


def test_spread_without_targets_reaches_no_others():
    """Guards against a simulation in which a change spreads without digests."""
    delays = spread.Delays(0.03, 0.1)
    found = spread.simulate(1, range(10), delays, lambda instance, now: ())
    assert (found.reached, found.last_s) == (10, 0.0)


def test_verdict_says_whether_the_budget_is_met():
    """Guards against a missed budget that is printed as met."""
    assert capacity.format_verdict(7_000, 7_000, "B/s") == "met: budget 7,000 B/s"
    assert capacity.format_verdict(7_001, 7_000, "B/s").startswith("MISSED")
