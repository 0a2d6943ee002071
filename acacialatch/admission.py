"""Queues of sub-requests that wait for a replica, bounded by size and deadline."""

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
# Every n-th pop serves the entry that has waited longest, whatever its kind (section
# 4.7 of the design).
OLDEST_FIRST_INTERVAL = 4
# A heap is rebuilt when its size exceeds this multiple of its live entries, plus the
# minimum.
_STALE_FACTOR = 2
_STALE_MIN = 64

_Item = typing.TypeVar("_Item", bound=typing.Hashable)


class _Entry(typing.NamedTuple):
    item: typing.Hashable
    kind: model.QueryKind
    deadline: float


class AdmissionQueue(typing.Generic[_Item]):
    """Priority queue by kind, then by deadline, in which no kind starves.

    Three of four calls of `pop` return the entry of the most urgent kind with the
    earliest deadline. Every fourth call returns the entry that has waited longest, so
    that an entry that arrived after `p` others is returned after at most `4 * (p + 1)`
    calls.

    A full queue refuses new entries. It never evicts an entry, since a continuous
    stream of urgent entries would otherwise evict every lookup. The limit of each kind
    keeps the less urgent kinds from filling the queue; with
    `3 * limit_per_kind <= limit`, each kind can reach its limit whatever the others
    hold.

    All operations take amortised logarithmic time in the number of entries.

    Parameters
    ----------
    limit : int
        Maximum number of entries.
    limit_per_kind : int
        Maximum number of entries of one kind.

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
        self._pop_count = 0
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
            Time in seconds from which `pop` no longer returns the entry.

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
        self._move_expired(now)
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
        """Remove and return the next entry.

        Entries past their deadline are kept for the next call of `expire`.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        item or None
            The entry; None if there is none before its deadline.
        """
        self._move_expired(now)
        if not self._entries:
            return None
        self._pop_count += 1
        if self._pop_count % OLDEST_FIRST_INTERVAL == 0:
            serial = next(iter(self._entries))
        else:
            serial = self._find_most_urgent()
        return self._remove_entry(serial).item

    def expire(self, now: float) -> list[_Item]:
        """Remove and return the entries whose deadline has passed.

        These include the entries that `push` or `pop` found to be expired. Each entry
        is returned once.
        """
        self._move_expired(now)
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
        self._remove_entry(serial)
        return True

    def next_deadline(self) -> float | None:
        """Return the earliest deadline in seconds; None if the queue is empty."""
        heads = [self._find_head(kind) for kind in KIND_ORDER]
        return min((head[0] for head in heads if head is not None), default=None)

    def _find_most_urgent(self) -> int:
        heads = (self._find_head(kind) for kind in KIND_ORDER)
        return next(head[1] for head in heads if head is not None)

    def _move_expired(self, now: float) -> None:
        for kind in KIND_ORDER:
            head = self._find_head(kind)
            while head is not None and head[0] <= now:
                self._expired[self._remove_entry(head[1]).item] = None
                head = self._find_head(kind)

    def _find_head(self, kind: model.QueryKind) -> tuple[float, int] | None:
        heap = self._heaps[kind]
        while heap and heap[0][1] not in self._entries:
            heapq.heappop(heap)
        return heap[0] if heap else None

    def _remove_entry(self, serial: int) -> _Entry:
        entry = self._entries.pop(serial)
        del self._serials[entry.item]
        self._counts[entry.kind] -= 1
        self._compact(entry.kind)
        return entry

    def _compact(self, kind: model.QueryKind) -> None:
        # A removed entry stays in the heap until it reaches the head. Without rebuilds,
        # cancelled entries with late deadlines would accumulate.
        heap = self._heaps[kind]
        if len(heap) > _STALE_FACTOR * self._counts[kind] + _STALE_MIN:
            heap[:] = [pair for pair in heap if pair[1] in self._entries]
            heapq.heapify(heap)


class ServiceQueues(typing.Generic[_Item]):
    """Admission queues of all services; `pop` deletes a queue that is empty.

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
        """Return the services that have a queue, which may hold no live entry."""
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
        """Add an entry and remove an equal one; see `AdmissionQueue.push`."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = AdmissionQueue(*self._limits)
        queue.remove(item)
        return queue.push(now, item, kind, deadline)

    def pop(self, now: float, service: str) -> _Item | None:
        """Remove and return the next entry of a service; discard expired ones."""
        queue = self._queues.get(service)
        if queue is None:
            return None
        item = queue.pop(now)
        queue.expire(now)
        if not queue:
            del self._queues[service]
        return item

    def remove(self, service: str, item: _Item) -> None:
        """Remove an entry if it is in the queue of the service."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.remove(item)
