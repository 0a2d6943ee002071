"""Tests of the order of the calls that wait for a limited server."""

from acacialatch import exchanges, waiting


def make_queues(*priorities):
    """Return queues, and calls with these priorities that wait in this order."""
    queues = waiting.WaitQueues()
    calls = [exchanges.ServiceCall("ledger") for _ in priorities]
    for call, priority in zip(calls, priorities, strict=True):
        queues.add(call, priority)
    return queues, calls


def test_urgent_calls_go_first_and_patient_ones_are_not_starved():
    """Guards against a low priority that waits until no other call is left."""
    queues, calls = make_queues(*[2] * 4, *[0] * 12)
    granted = []
    while not queues.is_empty("ledger"):
        call = next(one for one in calls if queues.is_next(one, "s-1"))
        queues.grant(call)
        granted.append(calls.index(call))
    assert granted[:3] == [4, 5, 6]
    assert [granted.index(patient) for patient in range(4)] == [3, 7, 11, 15]


def test_call_counts_what_is_sent_before_it():
    """Guards against an urgent call that is refused because of patient ones."""
    queues, (first, second) = make_queues(2, 2)
    assert queues.count_ahead("ledger", 2, second) == 1
    assert queues.count_ahead("ledger", 2) == 2
    assert queues.count_ahead("ledger", 0) == 0
    queues.remove(first)
    assert queues.is_next(second, "s-1")


def test_call_that_has_tried_a_server_does_not_hold_up_the_others():
    """Guards against a server whose share is unused while calls wait for it."""
    queues, (first, second) = make_queues(0, 2)
    first.tried.add("s-1")
    assert queues.is_next(second, "s-1")
    assert queues.is_next(first, "s-2")
