"""briarrill.batch.index_set: which items of a job are done."""

import zlib
from collections.abc import Iterable
from typing import Self

from ..errors import InternalError

__all__ = ('IndexSet',)

# the fastest; most maps are one long run
_COMPRESSION_LEVEL = 1


class IndexSet:
    """A set of indexes below a bound, one byte each.

    :param size: the bound.
    """

    def __init__(self, size: int) -> None:
        """Start empty."""
        self._members = bytearray(size)
        self._count = 0

    @classmethod
    def unpack(cls, packed: bytes, size: int) -> Self:
        """Return the set of a packed form; nothing packed is empty.

        :raises InternalError: damaged, or of another size.
        """
        found = cls(size)
        if packed:
            found.add_members(_decompress(packed, size))
        return found

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

    def pack(self) -> bytes:
        """Return the compressed form."""
        return zlib.compress(self._members, _COMPRESSION_LEVEL)

    def add(self, index: int) -> None:
        """Add an index."""
        if not self._members[index]:
            self._members[index] = 1
            self._count += 1

    def add_all(self, indexes: Iterable[int]) -> None:
        """Add several indexes."""
        for index in indexes:
            self.add(index)

    def add_members(self, members: bytes) -> None:
        """Replace the set by one byte for each index."""
        self._members = bytearray(members)
        self._count = sum(self._members)

    def covers(self, first: int, after: int) -> bool:
        """Return whether all indexes from first up to after are in."""
        return 0 not in self._members[first:after]


def _decompress(packed: bytes, size: int) -> bytes:
    try:
        members = zlib.decompress(packed)
    except zlib.error as exc:
        raise InternalError(f'damaged map of finished items: {exc}') from exc
    if len(members) != size:
        raise InternalError('map of finished items has another size')
    return members
