"""Queue of waiting sub-requests of one service, bounded by size and by deadline."""

import collections
import heapq
import typing

import result

from acacialatch import errors, model

# Kinds from the most to the least urgent.
KIND_ORDER = (
    model.QueryKind.URGENT,
    model.QueryKind.FULL_PAGE,
    model.QueryKind.LOOKUP,
)
# Every fourth grant goes to the longest waiting entry (section 4.7 of the design).
GRANTS_PER_TURN = 4
# A heap is rebuilt when it holds this many times more positions than live entries.
_STALE_FACTOR = 2
_STALE_MIN = 64

_Item = typing.TypeVar("_Item", bound=typing.Hashable)


class _Entry(typing.NamedTuple):
    item: typing.Hashable
    kind: model.QueryKind
    deadline: float


class AdmissionQueue(typing.Generic[_Item]):
    """Queue that serves by kind, then by deadline, and starves no kind.

    Three grants in four go to the most urgent kind with an entry, in order of
    deadline. Every fourth grant goes to the entry that has waited longest, so an
    entry with `p` entries before it in order of arrival waits for at most
    `4 * (p + 1)` grants.

    A full queue refuses the new entry. An accepted entry is never evicted, since a
    continuous stream of urgent entries would otherwise evict every lookup. The limit
    of each kind keeps the less urgent kinds from filling the queue; with
    `3 * limit_per_kind <= limit` no kind takes room from another.

    All operations take amortised logarithmic time in the number of entries.

    Parameters
    ----------
    limit : int
        Most entries in the queue.
    limit_per_kind : int
        Most entries of one kind.

    Raises
    ------
    ValueError
        If a limit is below 1.
    """

    def __init__(self, limit: int, limit_per_kind: int) -> None:
        if limit < 1 or limit_per_kind < 1:
            raise ValueError("The limits must be at least 1.")
        self._limit = limit
        self._limit_per_kind = limit_per_kind
        self._serial = 0
        self._grants = 0
        self._entries: collections.OrderedDict[int, _Entry] = collections.OrderedDict()
        self._serials: dict[_Item, int] = {}
        self._counts = dict.fromkeys(KIND_ORDER, 0)
        self._heaps: dict[model.QueryKind, list[tuple[float, int]]] = {
            kind: [] for kind in KIND_ORDER
        }
        self._expired: dict[_Item, None] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def count(self, kind: model.QueryKind) -> int:
        """Return the number of entries of one kind."""
        return self._counts[kind]

    def push(
        self, now: float, item: _Item, kind: model.QueryKind, deadline: float
    ) -> result.Result[None, errors.Failure]:
        """Add an entry.

        Parameters
        ----------
        now : float
            Time in seconds.
        item : hashable
            The entry; it must not be in the queue already.
        kind : model.QueryKind
            Kind of the query.
        deadline : float
            Time in seconds from which the entry is no longer granted.

        Returns
        -------
        Result
            Err with `OVERLOADED` if the queue or the kind is full, or with
            `DEADLINE_EXCEEDED` if the deadline has passed.

        Raises
        ------
        ValueError
            If the item is in the queue already.
        """
        self._collect_expired(now)
        if item in self._serials or item in self._expired:
            raise ValueError("The item is already in the queue.")
        if deadline <= now:
            return result.Err(errors.Failure(errors.ErrorKind.DEADLINE_EXCEEDED))
        if len(self) >= self._limit or self._counts[kind] >= self._limit_per_kind:
            return result.Err(errors.Failure(errors.ErrorKind.OVERLOADED, "queue full"))
        self._serial += 1
        self._entries[self._serial] = _Entry(item, kind, deadline)
        self._serials[item] = self._serial
        self._counts[kind] += 1
        heapq.heappush(self._heaps[kind], (deadline, self._serial))
        return result.Ok(None)

    def pop(self, now: float) -> _Item | None:
        """Grant one entry and remove it.

        Entries past their deadline are set aside for the next `expire`.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        item or None
            The granted entry; None if the queue holds none before its deadline.
        """
        self._collect_expired(now)
        if not self._entries:
            return None
        self._grants += 1
        if self._grants % GRANTS_PER_TURN == 0:
            serial = next(iter(self._entries))
        else:
            serial = self._find_most_urgent()
        return self._drop(serial).item

    def expire(self, now: float) -> list[_Item]:
        """Remove and return the entries whose deadline has passed.

        Each entry is returned once, also if an earlier `push` or `pop` set it aside.
        """
        self._collect_expired(now)
        expired = list(self._expired)
        self._expired.clear()
        return expired

    def remove(self, item: _Item) -> bool:
        """Remove an entry and return whether it was in the queue."""
        if item in self._expired:
            del self._expired[item]
            return True
        serial = self._serials.get(item)
        if serial is None:
            return False
        self._drop(serial)
        return True

    def next_deadline(self) -> float | None:
        """Return the earliest deadline in seconds; None if the queue is empty."""
        heads = [self._peek(kind) for kind in KIND_ORDER]
        return min((head[0] for head in heads if head is not None), default=None)

    def _find_most_urgent(self) -> int:
        heads = (self._peek(kind) for kind in KIND_ORDER)
        return next(head[1] for head in heads if head is not None)

    def _collect_expired(self, now: float) -> None:
        for kind in KIND_ORDER:
            head = self._peek(kind)
            while head is not None and head[0] <= now:
                self._expired[self._drop(head[1]).item] = None
                head = self._peek(kind)

    def _peek(self, kind: model.QueryKind) -> tuple[float, int] | None:
        heap = self._heaps[kind]
        while heap and heap[0][1] not in self._entries:
            heapq.heappop(heap)
        return heap[0] if heap else None

    def _drop(self, serial: int) -> _Entry:
        entry = self._entries.pop(serial)
        del self._serials[entry.item]
        self._counts[entry.kind] -= 1
        self._compact(entry.kind)
        return entry

    def _compact(self, kind: model.QueryKind) -> None:
        # Removed entries stay in the heap until they reach its head. Without a rebuild,
        # cancelled entries with late deadlines would accumulate.
        heap = self._heaps[kind]
        if len(heap) > _STALE_FACTOR * self._counts[kind] + _STALE_MIN:
            heap[:] = [place for place in heap if place[1] in self._entries]
            heapq.heapify(heap)


class ServiceQueues(typing.Generic[_Item]):
    """One queue for each service that has waiting entries.

    Parameters
    ----------
    limit, limit_per_kind : int
        See `AdmissionQueue`.
    """

    def __init__(self, limit: int, limit_per_kind: int) -> None:
        self._limits = (limit, limit_per_kind)
        self._queues: dict[str, AdmissionQueue[_Item]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def list_services(self) -> list[str]:
        """Return the services that have waiting entries."""
        return list(self._queues)

    def count(self, service: str) -> int:
        """Return the number of entries that wait for a service."""
        return len(self._queues.get(service, ()))

    def push(
        self,
        now: float,
        service: str,
        item: _Item,
        kind: model.QueryKind,
        deadline: float,
    ) -> result.Result[None, errors.Failure]:
        """Add an entry, in place of an equal one; see `AdmissionQueue.push`."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = AdmissionQueue(*self._limits)
        queue.remove(item)
        return queue.push(now, item, kind, deadline)

    def pop(self, now: float, service: str) -> _Item | None:
        """Grant one entry of a service; expired ones are dropped."""
        queue = self._queues.get(service)
        if queue is None:
            return None
        item = queue.pop(now)
        queue.expire(now)
        if not queue:
            del self._queues[service]
        return item

    def remove(self, service: str, item: _Item) -> None:
        """Remove an entry if it waits."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.remove(item)
