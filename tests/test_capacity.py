"""Tests for bench.capacity and the modules that it uses."""

import pytest

from acacialatch import configuration, model
from bench import capacity, sizes, spread


@pytest.mark.parametrize("replicas", [2, 110, 500, sizes.REPLICAS])
def test_texts_have_the_stated_size(replicas):
    """Guards against slopes over a text of another size, or a refused one."""
    parsed = configuration.parse(sizes.render(replicas)).unwrap()
    leaves = [service for service in parsed.services.values() if service.is_leaf()]
    addresses = {replica.address for leaf in leaves for replica in leaf.replicas}
    assert len(addresses) == replicas


def test_queries_run_to_their_answer():
    """Guards against a cost per sub-request of queries that are refused or wait."""
    driver = sizes.Driver(sizes.render(sizes.GROUP_REPLICAS), 8)
    driver.settle()
    driver.reset()
    assert driver.query() == sizes.PARTS
    assert len(driver.records) == 1
    servers = driver.core.describe(driver.now)["servers"]
    assert servers == {model.ServerState.READY.value: sizes.GROUP_REPLICAS}


def test_spread_reaches_all():
    """Guards against a time of the last daemon that leaves some out."""
    delays = spread.Delays(0.03, 0.1)
    found = spread.simulate(1, range(10), delays, spread.choose_uniformly(1))
    assert found.reached == sizes.DAEMONS
    assert 0 < found.half_s < found.most_s <= found.last_s


def test_spread_without_targets_stays():
    """Guards against a simulation that spreads without messages."""
    delays = spread.Delays(0.03, 0.1)
    found = spread.simulate(1, range(10), delays, lambda daemon, now: ())
    assert (found.reached, found.last_s) == (10, 0.0)


def test_verdicts():
    """Guards against a missed budget that is printed as met."""
    assert capacity.judge(7_000, 7_000, "B/s") == "met: budget 7,000 B/s"
    assert capacity.judge(7_001, 7_000, "B/s").startswith("MISSED")
