"""Exact count of the keys that the replies to a query cover."""

import bisect
import typing

import result

from acacialatch import model


class Gap(typing.NamedTuple):
    """A key range of one leaf service that no verified reply covers.

    Attributes
    ----------
    service : str
        Name of the leaf service.
    keys : model.KeyRange
        The range, in keys of the service's index.
    """

    service: str
    keys: model.KeyRange


class _LeafCoverage:
    """Covered ranges of one leaf service, sorted, disjoint and not adjacent.

    Range `i` goes from `starts[i]` to before `ends[i]`.
    """

    __slots__ = ("covered", "ends", "keys", "starts")

    def __init__(self, keys: model.KeyRange) -> None:
        self.keys = keys
        self.covered = 0
        self.starts: list[int] = []
        self.ends: list[int] = []

    def add(self, start: int, end: int) -> int:
        """Add a range; return the number of keys that were not covered before."""
        # The stored ranges from `first` to before `last` overlap the new range or are
        # adjacent to it, and are merged with it.
        first = bisect.bisect_left(self.ends, start)
        last = bisect.bisect_right(self.starts, end)
        merged = 0
        if first < last:
            start = min(start, self.starts[first])
            end = max(end, self.ends[last - 1])
            merged = sum(self.ends[first:last]) - sum(self.starts[first:last])
        self.starts[first:last] = [start]
        self.ends[first:last] = [end]
        added = end - start - merged
        self.covered += added
        return added

    def list_missing(self) -> tuple[model.KeyRange, ...]:
        edges = [self.keys.start]
        for start, end in zip(self.starts, self.ends, strict=True):
            edges += (start, end)
        edges.append(self.keys.end)
        pairs = zip(edges[::2], edges[1::2], strict=True)
        return tuple(model.KeyRange(*pair) for pair in pairs if pair[0] < pair[1])


class Coverage:
    """Keys that verified replies cover, each counted once.

    Parameters
    ----------
    leaves : iterable of tuple
        Name and key range of each leaf service, with distinct names.

    Raises
    ------
    ValueError
        If a name occurs twice or a range ends before its start.
    """

    def __init__(self, leaves: typing.Iterable[tuple[str, model.KeyRange]]) -> None:
        self._leaves: dict[str, _LeafCoverage] = {}
        self._covered = 0
        self._total = 0
        for service, keys in leaves:
            if service in self._leaves:
                raise ValueError(f"leaf service {service!r} is given twice")
            if keys.end < keys.start:
                raise ValueError(f"range of {service!r} ends before its start")
            self._leaves[service] = _LeafCoverage(keys)
            self._total += keys.size()

    @property
    def covered(self) -> int:
        """Number of covered keys."""
        return self._covered

    @property
    def total(self) -> int:
        """Number of keys of all leaf services together."""
        return self._total

    def add(self, service: str, keys: model.KeyRange) -> result.Result[int, str]:
        """Mark a range as covered.

        Parameters
        ----------
        service : str
            Name of the leaf service.
        keys : model.KeyRange
            Non-empty range inside the range of the leaf service.

        Returns
        -------
        result.Result
            Number of keys that were not covered before, or the reason why the
            range is rejected. A rejected range changes nothing.
        """
        leaf = self._leaves.get(service)
        if leaf is None:
            return result.Err(f"{service!r} is not a leaf service of the plan")
        if keys.start >= keys.end:
            return result.Err(f"range {keys.start}-{keys.end} is empty")
        if keys.start < leaf.keys.start or keys.end > leaf.keys.end:
            return result.Err(f"range {keys.start}-{keys.end} is outside {service!r}")
        added = leaf.add(keys.start, keys.end)
        self._covered += added
        return result.Ok(added)

    def list_gaps(self) -> tuple[Gap, ...]:
        """Return all uncovered ranges, by leaf service and start."""
        return tuple(
            Gap(service, keys)
            for service, leaf in self._leaves.items()
            for keys in leaf.list_missing()
        )

    def list_missing(self, service: str) -> tuple[model.KeyRange, ...]:
        """Return the uncovered ranges of one leaf service, by start.

        Raises
        ------
        KeyError
            If the leaf service is not known.
        """
        return self._leaves[service].list_missing()

    def is_full(self) -> bool:
        """Return whether every key is covered."""
        return self._covered == self._total

    def meets_floor(self, floor: tuple[int, int]) -> bool:
        """Return whether the covered share is at least the floor.

        Parameters
        ----------
        floor : tuple of int
            Numerator and positive denominator. Integers are compared, since a share
            just below the floor could be rounded up to it.
        """
        numerator, denominator = floor
        return self._covered * denominator >= numerator * self._total
