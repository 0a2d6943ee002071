"""Tests for acacialatch.admission."""

import time

import hypothesis
import pytest
from hypothesis import stateful, strategies

from acacialatch import admission, errors

URGENT, FULL_PAGE, LOOKUP = admission.KIND_ORDER
FAR_DEADLINE_S = 1e9
SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=100
)


@SETTINGS
@hypothesis.given(
    strategies.lists(strategies.sampled_from([URGENT, FULL_PAGE]), max_size=20),
    strategies.integers(1, 3),
)
def test_lookup_does_not_starve(before, arrivals):
    """Guards against a lookup that never leaves the queue while urgent ones arrive."""
    queue = admission.AdmissionQueue(10_000, 5_000)
    for number, kind in enumerate(before):
        queue.push(0.0, number, kind, FAR_DEADLINE_S)
    queue.push(0.0, "lookup", LOOKUP, FAR_DEADLINE_S)
    bound = admission.OLDEST_FIRST_INTERVAL * (len(before) + 1)
    granted = []
    for grant in range(bound):
        for number in range(arrivals):
            queue.push(0.0, ("urgent", grant, number), URGENT, FAR_DEADLINE_S - 1)
        granted.append(queue.pop(0.0))
    assert "lookup" in granted


class QueueMachine(stateful.RuleBasedStateMachine):
    """Compares the queue with a dictionary of its entries."""

    LIMIT = 6
    LIMIT_PER_KIND = 3

    def __init__(self):
        super().__init__()
        self.queue = admission.AdmissionQueue(self.LIMIT, self.LIMIT_PER_KIND)
        self.now = 0.0
        self.serial = 0
        self.grants = 0
        self.waiting = {}
        self.gone = set()

    def list_unexpired(self):
        return {i: e for i, e in self.waiting.items() if e[1] > self.now}

    @stateful.rule(
        kind=strategies.sampled_from(admission.KIND_ORDER),
        lifetime_s=strategies.floats(-1, 9),
    )
    def push(self, kind, lifetime_s):
        """Add an entry; it is refused only if expired or if a limit is reached."""
        unexpired = self.list_unexpired()
        self.serial += 1
        deadline = self.now + lifetime_s
        answer = self.queue.push(self.now, self.serial, kind, deadline)
        same = [entry for entry in unexpired.values() if entry[0] == kind]
        full = len(unexpired) >= self.LIMIT or len(same) >= self.LIMIT_PER_KIND
        if deadline <= self.now:
            assert answer.unwrap_err().kind == errors.ErrorKind.DEADLINE_EXCEEDED
        elif full:
            assert answer.unwrap_err().kind == errors.ErrorKind.OVERLOADED
        else:
            assert answer.is_ok()
            self.waiting[self.serial] = (kind, deadline)

    @stateful.rule()
    def pop(self):
        """Pop the entry that is next in the order of section 4.7 of the design."""
        unexpired = self.list_unexpired()
        item = self.queue.pop(self.now)
        if not unexpired:
            assert item is None
            return
        self.grants += 1
        if self.grants % 4 == 0:
            assert item == min(unexpired)
        else:
            rank = admission.KIND_ORDER.index
            assert item == min(
                unexpired, key=lambda i: (rank(unexpired[i][0]), unexpired[i][1], i)
            )
        del self.waiting[item]

    @stateful.rule()
    def expire(self):
        """Check that each expired entry is returned once."""
        expired = self.queue.expire(self.now)
        assert set(expired) == set(self.waiting) - set(self.list_unexpired())
        assert len(expired) == len(set(expired))
        for item in expired:
            del self.waiting[item]

    @stateful.rule(number=strategies.integers(0, 30))
    def remove(self, number):
        """Remove an entry, and check that a second removal reports its absence."""
        items = list(self.waiting)
        item = items[number % len(items)] if items else number
        assert self.queue.remove(item) == bool(items)
        assert not self.queue.remove(item)
        self.waiting.pop(item, None)

    @stateful.rule(seconds=strategies.floats(0, 5))
    def advance_time(self, seconds):
        """Advance the clock."""
        self.now += seconds

    @stateful.invariant()
    def next_deadline_is_a_lower_bound(self):
        """Check that no entry expires before the deadline that the queue reports."""
        deadlines = [deadline for _, deadline in self.list_unexpired().values()]
        known = self.queue.next_deadline()
        assert not deadlines or (known is not None and known <= min(deadlines))


QueueMachine.TestCase.settings = hypothesis.settings(SETTINGS, stateful_step_count=60)
TestQueue = QueueMachine.TestCase


def test_duplicate_item_is_rejected():
    """Guards against one sub-request that is sent twice."""
    queue = admission.AdmissionQueue(4, 4)
    queue.push(0.0, "a", LOOKUP, FAR_DEADLINE_S)
    with pytest.raises(ValueError, match="already"):
        queue.push(0.0, "a", URGENT, FAR_DEADLINE_S)


def test_removed_entries_are_freed():
    """Guards against cancelled entries that stay in the heap until their deadline."""
    queue = admission.AdmissionQueue(100, 100)
    queue.push(0.0, -1, LOOKUP, 1.0)
    for number in range(10_000):
        queue.push(0.0, number, LOOKUP, FAR_DEADLINE_S)
        queue.remove(number)
    assert sum(len(heap) for heap in queue._heaps.values()) < 100


def measure_cpu_time(count):
    """Return the CPU time to fill a queue and empty it, in seconds."""
    queue = admission.AdmissionQueue(count, count)
    start = time.process_time()
    for number in range(count):
        queue.push(
            0.0, number, admission.KIND_ORDER[number % 3], FAR_DEADLINE_S - number
        )
    while queue.pop(0.0) is not None:
        pass
    return time.process_time() - start


def test_cost_is_not_quadratic():
    """Guards against a linear scan in each call of `pop`."""
    small = min(measure_cpu_time(1_000) for _ in range(3))
    large = min(measure_cpu_time(16_000) for _ in range(3))
    # 16 times the entries take 22 times as long with heaps, 256 times with scans.
    assert large < 80 * small
