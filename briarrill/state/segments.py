"""briarrill.state.segments: immutable, checksummed files in a data folder.

A segment's name is the checksum of its bytes, so each replica can be verified
and storing one twice is idempotent. It is written to a temporary name, synced,
and renamed: after a crash at any byte it is either complete or absent.
"""

import os
from pathlib import Path

import xxhash

from ..errors import NotFoundError, SegmentLostError, StoreFullError

__all__ = ('SegmentFolder', 'segment_name')

# size at which a segment of lines is stored and the next one begins
TARGET_SEGMENT_BYTES = 1_000_000

_PARTIAL_SUFFIX = '.partial'


def segment_name(body: bytes) -> str:
    """Return a segment's name, the checksum of its bytes."""
    return xxhash.xxh3_128_hexdigest(body)


class SegmentFolder:
    """The segments in one data folder.

    :param folder: path; created when it does not exist.
    :param max_bytes: disk space limit of all segments.
    """

    def __init__(self, folder: str, max_bytes: int) -> None:
        """Delete partial files of an earlier run and sum the used space."""
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
        """Disk space of all segments in bytes."""
        return self._used_bytes

    def put(self, name: str, body: bytes) -> None:
        """Store a segment durably, unless it is stored already.

        :raises StoreFullError: it would exceed max_bytes; nothing is stored.
        :raises SegmentLostError: the bytes do not match the name.
        """
        path = self._folder / name
        if segment_name(body) != name:
            raise SegmentLostError(f'segment {name}: checksum differs')
        if path.exists():
            return
        if self._used_bytes + len(body) > self._max_bytes:
            raise StoreFullError(
                f'the data folder is full: {self._used_bytes} of '
                f'{self._max_bytes} bytes used, {len(body)} more needed'
            )
        self._write_durably(path, body)
        self._used_bytes += len(body)

    def get(self, name: str) -> bytes:
        """Read a segment and verify its checksum.

        :raises NotFoundError: the folder has no such segment.
        :raises SegmentLostError: the replica is damaged.
        """
        try:
            body = (self._folder / name).read_bytes()
        except FileNotFoundError as exc:
            raise NotFoundError(
                f'segment {name} is not in the data folder'
            ) from exc
        if segment_name(body) != name:
            raise SegmentLostError(f'segment {name}: checksum differs')
        return body

    def _write_durably(self, path: Path, body: bytes) -> None:
        """Write, sync and rename a file, and sync the folder."""
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
