"""Tests for acacialatch.admission."""

import time

import hypothesis
import pytest
from hypothesis import stateful, strategies

from acacialatch import admission, errors

URGENT, FULL_PAGE, LOOKUP = admission.KIND_ORDER
FAR = 1e9
BOUNDED = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=100
)


@BOUNDED
@hypothesis.given(
    strategies.lists(strategies.sampled_from([URGENT, FULL_PAGE]), max_size=20),
    strategies.integers(1, 3),
)
def test_no_lookup_starves_under_urgent_stream(before, arrivals):
    """Guards against a lookup that waits for ever behind urgent queries."""
    queue = admission.AdmissionQueue(10_000, 5_000)
    for number, kind in enumerate(before):
        queue.push(0.0, number, kind, FAR)
    queue.push(0.0, "lookup", LOOKUP, FAR)
    bound = admission.OLDEST_FIRST_INTERVAL * (len(before) + 1)
    granted = []
    for grant in range(bound):
        for number in range(arrivals):
            queue.push(0.0, ("urgent", grant, number), URGENT, FAR - 1)
        granted.append(queue.pop(0.0))
    assert "lookup" in granted


class QueueMachine(stateful.RuleBasedStateMachine):
    """Compares the queue with a plain list."""

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

    def list_live(self):
        return {i: e for i, e in self.waiting.items() if e[1] > self.now}

    @stateful.rule(
        kind=strategies.sampled_from(admission.KIND_ORDER),
        lasts=strategies.floats(-1, 9),
    )
    def push(self, kind, lasts):
        """Add an entry; a refusal needs a reason."""
        live = self.list_live()
        self.serial += 1
        deadline = self.now + lasts
        answer = self.queue.push(self.now, self.serial, kind, deadline)
        same = [entry for entry in live.values() if entry[0] == kind]
        full = len(live) >= self.LIMIT or len(same) >= self.LIMIT_PER_KIND
        if deadline <= self.now:
            assert answer.unwrap_err().kind == errors.ErrorKind.DEADLINE_EXCEEDED
        elif full:
            assert answer.unwrap_err().kind == errors.ErrorKind.OVERLOADED
        else:
            assert answer.is_ok()
            self.waiting[self.serial] = (kind, deadline)

    @stateful.rule()
    def pop(self):
        """Grant the entry that the order of section 4.7 names."""
        live = self.list_live()
        item = self.queue.pop(self.now)
        if not live:
            assert item is None
            return
        self.grants += 1
        if self.grants % 4 == 0:
            assert item == min(live)
        else:
            rank = admission.KIND_ORDER.index
            assert item == min(live, key=lambda i: (rank(live[i][0]), live[i][1], i))
        del self.waiting[item]

    @stateful.rule()
    def expire(self):
        """Return each expired entry once."""
        expired = self.queue.expire(self.now)
        assert set(expired) == set(self.waiting) - set(self.list_live())
        assert len(expired) == len(set(expired))
        for item in expired:
            del self.waiting[item]

    @stateful.rule(number=strategies.integers(0, 30))
    def remove(self, number):
        """Remove an entry that is there, and report one that is not."""
        items = list(self.waiting)
        item = items[number % len(items)] if items else number
        assert self.queue.remove(item) == bool(items)
        assert not self.queue.remove(item)
        self.waiting.pop(item, None)

    @stateful.rule(seconds=strategies.floats(0, 5))
    def wait(self, seconds):
        """Let time pass."""
        self.now += seconds

    @stateful.invariant()
    def deadline_is_known(self):
        """Check that no live entry expires before the next deadline."""
        deadlines = [deadline for _, deadline in self.list_live().values()]
        known = self.queue.next_deadline()
        assert not deadlines or (known is not None and known <= min(deadlines))


QueueMachine.TestCase.settings = hypothesis.settings(BOUNDED, stateful_step_count=60)
TestQueue = QueueMachine.TestCase


def test_item_is_in_the_queue_once():
    """Guards against one sub-request that is granted twice."""
    queue = admission.AdmissionQueue(4, 4)
    queue.push(0.0, "a", LOOKUP, FAR)
    with pytest.raises(ValueError, match="already"):
        queue.push(0.0, "a", URGENT, FAR)


def test_removed_entries_free_their_memory():
    """Guards against cancelled entries that stay in the heap until their deadline."""
    queue = admission.AdmissionQueue(100, 100)
    queue.push(0.0, -1, LOOKUP, 1.0)
    for number in range(10_000):
        queue.push(0.0, number, LOOKUP, FAR)
        queue.remove(number)
    assert sum(len(heap) for heap in queue._heaps.values()) < 100


def measure_grants(count):
    """Return the processor seconds to fill a queue and empty it."""
    queue = admission.AdmissionQueue(count, count)
    start = time.process_time()
    for number in range(count):
        queue.push(0.0, number, admission.KIND_ORDER[number % 3], FAR - number)
    while queue.pop(0.0) is not None:
        pass
    return time.process_time() - start


def test_cost_does_not_grow_with_the_square_of_the_length():
    """Guards against a linear scan for each grant."""
    small = min(measure_grants(1_000) for _ in range(3))
    large = min(measure_grants(16_000) for _ in range(3))
    # 16 times the entries cost 22 times in heaps and 256 times with a scan.
    assert large < 80 * small
