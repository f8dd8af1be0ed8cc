"""briarrill.batch.index_set: which items of a job are done."""

from collections.abc import Iterable

__all__ = ('IndexSet', 'ranges_of')


def ranges_of(indexes: Iterable[int]) -> tuple[tuple[int, int], ...]:
    """Return the first and last index of each run."""
    ranges: list[tuple[int, int]] = []
    for index in sorted(indexes):
        if ranges and ranges[-1][1] + 1 == index:
            ranges[-1] = (ranges[-1][0], index)
        else:
            ranges.append((index, index))
    return tuple(ranges)


class IndexSet:
    """A set of indexes below a bound, one byte each.

    :param size: the bound.
    """

    def __init__(self, size: int) -> None:
        """Start empty."""
        self._members = bytearray(size)
        self._count = 0

    def __contains__(self, index: int) -> bool:
        """Return whether the index is in the set."""
        return bool(self._members[index])

    def __len__(self) -> int:
        """Return the number of indexes in the set."""
        return self._count

    @property
    def is_full(self) -> bool:
        """Whether all indexes below the bound are in the set."""
        return self._count == len(self._members)

    def add(self, index: int) -> None:
        """Add an index."""
        if not self._members[index]:
            self._members[index] = 1
            self._count += 1

    def add_ranges(self, ranges: Iterable[tuple[int, int]]) -> None:
        """Add runs of indexes, their last ones included."""
        for first, last in ranges:
            for index in range(first, last + 1):
                self.add(index)

    def covers(self, first: int, after: int) -> bool:
        """Return whether all indexes from first up to after are in."""
        return 0 not in self._members[first:after]
