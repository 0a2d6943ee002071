"""Table of the callers that wait for an answer, with their deadlines."""

import heapq
import typing

Item = typing.TypeVar("Item")


class CallerTable(typing.Generic[Item]):
    """Bounded table of waiting callers, each with the item that it waits for.

    Parameters
    ----------
    capacity : int
        Maximum number of callers.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._items: dict[str, tuple[float, Item]] = {}
        self._deadlines: list[tuple[float, str]] = []

    def __contains__(self, caller: str) -> bool:
        return caller in self._items

    def is_full(self) -> bool:
        """Return whether no further caller may be added."""
        return len(self._items) >= self._capacity

    def add(self, caller: str, deadline: float, item: Item) -> None:
        """Add a caller that is not in the table.

        Parameters
        ----------
        caller : str
            Identifier of the caller.
        deadline : float
            Time by which its answer must be sent, in seconds.
        item : Item
            State of what the caller waits for.
        """
        self._items[caller] = (deadline, item)
        heapq.heappush(self._deadlines, (deadline, caller))
        if len(self._deadlines) > 2 * self._capacity:
            # Removed callers leave their deadlines in the heap. Rebuilding it bounds
            # its size.
            self._deadlines = [(due, name) for name, (due, _) in self._items.items()]
            heapq.heapify(self._deadlines)

    def get(self, caller: str) -> Item | None:
        """Return the item of a caller, None if it is not in the table."""
        found = self._items.get(caller)
        return None if found is None else found[1]

    def remove(self, caller: str) -> Item | None:
        """Remove a caller and return its item, None if it is not in the table."""
        found = self._items.pop(caller, None)
        return None if found is None else found[1]

    def list_callers(self) -> tuple[str, ...]:
        """Return all callers in the order in which they were added."""
        return tuple(self._items)

    def find_overdue(self, now: float) -> str | None:
        """Return a caller whose deadline has passed, None if there is none.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds. A deadline equal to it has
            passed.
        """
        deadline = self.next_deadline()
        return None if deadline is None or deadline > now else self._deadlines[0][1]

    def next_deadline(self) -> float | None:
        """Return the earliest deadline in seconds, None if the table is empty."""
        while self._deadlines:
            deadline, caller = self._deadlines[0]
            found = self._items.get(caller)
            if found is not None and found[0] == deadline:
                return deadline
            heapq.heappop(self._deadlines)
        return None
