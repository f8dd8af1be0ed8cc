"""briarrill.batch.index_set: compressible set of item indexes."""

import zlib
from collections.abc import Iterable
from typing import Self

from ..decoding import decompress
from ..errors import InternalError, MalformedMessageError

__all__ = ('IndexSet',)

# fastest level; most maps are one long run
_COMPRESSION_LEVEL = 1


class IndexSet:
    """A set of indexes below a bound, stored as one byte for each index.

    :param size: exclusive upper bound of the indexes.
    """

    def __init__(self, size: int) -> None:
        """Create an empty set."""
        self._members = bytearray(size)
        self._count = 0

    @classmethod
    def unpack(cls, packed: bytes, size: int) -> Self:
        """Return the set from its packed form; no bytes mean an empty set.

        :raises InternalError: the bytes are damaged or of another size.
        """
        unpacked = cls(size)
        if packed:
            unpacked.replace_members(_decompress(packed, size))
        return unpacked

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
        """Return the zlib-compressed form, for :meth:`unpack`."""
        return zlib.compress(self._members, _COMPRESSION_LEVEL)

    def add(self, index: int) -> None:
        """Add an index."""
        if not self._members[index]:
            self._members[index] = 1
            self._count += 1

    def add_all(self, indexes: Iterable[int]) -> None:
        """Add all given indexes."""
        for index in indexes:
            self.add(index)

    def replace_members(self, members: bytes) -> None:
        """Replace the members of the set.

        :param members: one byte for each index, 1 if it is in the set.
        """
        self._members = bytearray(members)
        self._count = sum(self._members)

    def contains_range(self, first: int, after: int) -> bool:
        """Return whether the set contains all indexes of a range.

        :param first: first index of the range.
        :param after: index after the last one.
        """
        return 0 not in self._members[first:after]


def _decompress(packed: bytes, size: int) -> bytes:
    try:
        members = decompress(packed)
    except MalformedMessageError as exc:
        raise InternalError(
            f'damaged map of finished items: {exc.message}'
        ) from exc
    if len(members) != size:
        raise InternalError(
            f'map of finished items has {len(members)} entries, not {size}'
        )
    return members
