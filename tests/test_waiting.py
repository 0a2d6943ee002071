"""Tests of the order of the calls that wait for a limited server."""

from acacialatch import waiting


def grant_all(queues):
    """Grant requests until no call waits; return the calls in that order."""
    granted = []
    while not queues.is_empty("ledger"):
        call = next(one for one in CALLS if queues.is_next("ledger", one))
        queues.grant("ledger", call)
        granted.append(call)
    return granted


CALLS = [f"patient-{index}" for index in range(4)]
CALLS += [f"urgent-{index}" for index in range(12)]


def test_urgent_calls_go_first_and_patient_ones_are_not_starved():
    """Guards against a low priority that waits until no other call is left."""
    queues = waiting.WaitQueues()
    for call in CALLS:
        queues.add("ledger", call, 2 if call.startswith("patient") else 0)
    granted = grant_all(queues)
    assert granted[:3] == ["urgent-0", "urgent-1", "urgent-2"]
    assert [granted.index(f"patient-{index}") for index in range(4)] == [3, 7, 11, 15]


def test_call_counts_what_is_sent_before_it():
    """Guards against an urgent call that is refused because of patient ones."""
    queues = waiting.WaitQueues()
    queues.add("ledger", "first", 2)
    queues.add("ledger", "second", 2)
    assert queues.count_ahead("ledger", 2, "second") == 1
    assert queues.count_ahead("ledger", 2) == 2
    assert queues.count_ahead("ledger", 0) == 0
    queues.remove("ledger", "first")
    assert queues.is_next("ledger", "second")
