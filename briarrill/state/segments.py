"""briarrill.state.segments: immutable, checksummed files on a data folder.

A segment's name is the checksum of its bytes, so a copy verifies itself and
storing it twice is idempotent. It is written to a temporary name, synced,
and renamed: after a crash at any byte it is either whole or absent.
"""

import os
from pathlib import Path

import xxhash

from ..errors import NotFoundError, SegmentLostError, StoreFullError

__all__ = ('SegmentFolder', 'segment_name')

# bytes of lines collected in one segment
SEGMENT_BYTES = 1_000_000

_PARTIAL_SUFFIX = '.partial'


def segment_name(body: bytes) -> str:
    """Return the name of a segment with these bytes."""
    return xxhash.xxh3_128_hexdigest(body)


class SegmentFolder:
    """Segments under one folder.

    :param folder: created when it does not exist.
    :param max_bytes: disk space that segments may take.
    """

    def __init__(self, folder: str, max_bytes: int) -> None:
        """Drop partial files of an earlier run and count the space."""
        self._folder = Path(folder)
        self._folder.mkdir(parents=True, exist_ok=True)
        for partial in self._folder.glob(f'*{_PARTIAL_SUFFIX}'):
            partial.unlink()
        self._max_bytes = max_bytes
        self._used_bytes = sum(
            path.stat().st_size for path in self._folder.iterdir()
        )

    @property
    def used_bytes(self) -> int:
        """Return the disk space that segments take."""
        return self._used_bytes

    def put(self, name: str, body: bytes) -> None:
        """Store a segment durably.

        :raises StoreFullError: no room; nothing was stored.
        :raises SegmentLostError: the bytes do not match the name.
        """
        path = self._folder / name
        if segment_name(body) != name:
            raise SegmentLostError(f'segment {name}: checksum differs')
        if path.exists():
            return
        if self._used_bytes + len(body) > self._max_bytes:
            raise StoreFullError('the data folder is full')
        self._write(path, body)
        self._used_bytes += len(body)

    def get(self, name: str) -> bytes:
        """Read and verify a segment.

        :raises NotFoundError: no such segment here.
        :raises SegmentLostError: the copy is damaged.
        """
        try:
            body = (self._folder / name).read_bytes()
        except FileNotFoundError as exc:
            raise NotFoundError(f'segment {name} is not here') from exc
        if segment_name(body) != name:
            raise SegmentLostError(f'segment {name}: checksum differs')
        return body

    def _write(self, path: Path, body: bytes) -> None:
        partial = path.with_suffix(_PARTIAL_SUFFIX)
        with partial.open('wb') as stream:
            stream.write(body)
            stream.flush()
            os.fsync(stream.fileno())
        partial.rename(path)
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
