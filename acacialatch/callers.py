"""Callers that wait for an answer, with their deadlines."""

import heapq
import typing

Entry = typing.TypeVar("Entry")


class CallerTable(typing.Generic[Entry]):
    """Bounded table of waiting callers, each with what it waits for.

    Parameters
    ----------
    size_max : int
        Callers that may wait at the same time.
    """

    def __init__(self, size_max: int) -> None:
        self._size_max = size_max
        self._entries: dict[str, tuple[float, Entry]] = {}
        self._heap: list[tuple[float, str]] = []

    def __contains__(self, caller: str) -> bool:
        return caller in self._entries

    def is_full(self) -> bool:
        """Return whether no further caller may wait."""
        return len(self._entries) >= self._size_max

    def add(self, caller: str, deadline: float, entry: Entry) -> None:
        """Add a caller that is not in the table.

        Parameters
        ----------
        caller : str
            Identifier of the caller.
        deadline : float
            Time by which its answer must leave, in seconds.
        entry : Entry
            What the caller waits for.
        """
        self._entries[caller] = (deadline, entry)
        heapq.heappush(self._heap, (deadline, caller))
        if len(self._heap) > 2 * self._size_max:
            # Callers answered early leave their heap items behind.
            self._heap = [(due, name) for name, (due, _) in self._entries.items()]
            heapq.heapify(self._heap)

    def get(self, caller: str) -> Entry | None:
        """Return what a caller waits for, None if it does not wait."""
        found = self._entries.get(caller)
        return None if found is None else found[1]

    def remove(self, caller: str) -> Entry | None:
        """Remove a caller and return what it waited for, None if it did not wait."""
        found = self._entries.pop(caller, None)
        return None if found is None else found[1]

    def list_callers(self) -> tuple[str, ...]:
        """Return all waiting callers in the order in which they came."""
        return tuple(self._entries)

    def find_due(self, now: float) -> str | None:
        """Return a caller whose deadline has passed, None if there is none.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds. A deadline equal to it has
            passed.
        """
        deadline = self.next_deadline()
        return None if deadline is None or deadline > now else self._heap[0][1]

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of a waiting caller, in seconds."""
        while self._heap:
            deadline, caller = self._heap[0]
            found = self._entries.get(caller)
            if found is not None and found[0] == deadline:
                return deadline
            heapq.heappop(self._heap)
        return None
