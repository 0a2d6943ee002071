"""Tests of the choice of a server and of the time of a hedge."""

import hypothesis
import pytest
from hypothesis import strategies

from acacialatch import backends, hedging, scoring

NORMAL = scoring.Standing(1.0, 0.0, 0, 3, False, True)
ZONES = ("ba", "nadi", "suva")


def test_paused_server_loses_its_requests_to_another_zone():
    """Guards against requests that wait for the end of a pause."""
    elsewhere = NORMAL._replace(is_local=False, in_flight=2)
    paused = NORMAL._replace(is_stalled=True)
    assert scoring.compute_score(elsewhere) < scoring.compute_score(paused)


@pytest.mark.parametrize("slowness", [1.0, 1.6, 3.0])
def test_server_that_is_only_slower_keeps_its_requests(slowness):
    """Guards against traffic between zones that makes no answer better."""
    slower = NORMAL._replace(slowness=slowness)
    elsewhere = NORMAL._replace(is_local=False)
    assert scoring.compute_score(slower) < scoring.compute_score(elsewhere)


def test_requests_held_up_by_one_pause_count_once():
    """Guards against a replica that is avoided long after its pause."""
    once = scoring.NEW.add_success(1.0, 8.0, 0.7)
    held_up = once
    for _ in range(5):
        held_up = held_up.add_success(1.0, 8.0, 0.8)
    assert held_up == once
    assert held_up.add_success(1.1, 1.0, 1.05).slowness < once.slowness


def test_server_that_stays_slow_is_remembered():
    """Guards against a slow server that each query tries anew."""
    reputation = scoring.NEW
    for at in (1.0, 2.0, 3.0, 4.0):
        reputation = reputation.add_success(at, 8.0, at - 0.5)
    slow = NORMAL._replace(slowness=reputation.decay(4.0).slowness)
    elsewhere = NORMAL._replace(is_local=False)
    assert scoring.compute_score(slow) > scoring.compute_score(elsewhere)


@pytest.mark.parametrize(("error_rate", "loses"), [(0.1, False), (0.3, True)])
def test_server_that_sheds_often_loses_its_requests_to_another_zone(error_rate, loses):
    """Guards against a resend budget spent on servers of the zone that refuse."""
    shedding = NORMAL._replace(error_rate=error_rate)
    elsewhere = NORMAL._replace(is_local=False)
    local_score = scoring.compute_score(shedding)
    assert (local_score > scoring.compute_score(elsewhere)) is loses


def test_errors_count_against_a_server_and_fade():
    """Guards against a server that fails and is chosen first, or never again."""
    failed = scoring.NEW.add_error(1.0)
    assert failed.decay(1.0).error_rate == pytest.approx(scoring.OBSERVATION_WEIGHT)
    assert failed.decay(60.0).error_rate < 0.001


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(ZONES),
            strategies.floats(0.25, 8.0),
            strategies.floats(0.0, 1.0),
            strategies.integers(0, 4),
            strategies.booleans(),
        ),
        min_size=1,
        max_size=5,
    )
)
def test_server_with_the_lowest_score_is_chosen(rows):
    """Guards against a server that is left out before its score is compared."""
    table = backends.BackendTable("ba")
    for index, (zone, slowness, error_rate, open_sends, stalled) in enumerate(rows):
        entry = backends.Entry(f"i{index}", "s", "a", zone, 3, False, 0.0)
        table.put(0.0, entry)
        server = table.find(entry.identity)
        server.reputation = scoring.Reputation(slowness, error_rate, 1.0)
        for number in range(open_sends):
            server.start_send(number, 0.5 if stalled else 9.0)
    chosen = table.choose(1.0, "s", (), lambda server: True)
    scores = [
        server.score(1.0, server.entry.zone == "ba")
        for server in table.list_servers("s")
    ]
    assert chosen.score(1.0, chosen.entry.zone == "ba") == min(scores)


@pytest.mark.parametrize(
    ("median_s", "is_sharded", "expected_s"),
    [
        (None, True, 0.1),
        (0.02, True, 0.05),
        (0.2, True, 0.1),
        (None, False, 0.125),
        (0.02, False, 0.036),
    ],
)
def test_hedge_follows_the_median_up_to_a_share_of_the_objective(
    median_s, is_sharded, expected_s
):
    """Guards against hedges of normal replies, and hedges too late for the answer."""
    pace = hedging.Pace(0.25, median_s, is_sharded)
    assert hedging.compute_delay(pace) == pytest.approx(expected_s)
