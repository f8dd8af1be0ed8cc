"""briarrill.entry.intake: checks an uploaded file and stores its segments."""

import time
from collections.abc import AsyncIterator

import xxhash

from ..errors import InvalidLinesError, TooLargeError
from ..protocol.callers_api import check_input_line
from ..state.job_records import FileRecord, SegmentRef
from ..state.segment_replicas import SegmentReplicas
from ..state.segments import TARGET_SEGMENT_BYTES

__all__ = ('FileIntake',)

MAX_REPORTED_LINE_ERRORS = 20


class FileIntake:
    """Checks the lines of one uploaded file and stores them in segments.

    :param segment_replicas: stores the segments.
    :param contract: name of the contract that owns the file.
    :param max_bytes: largest accepted size.
    """

    def __init__(
        self, segment_replicas: SegmentReplicas, contract: str, max_bytes: int
    ) -> None:
        """Create an intake that has read nothing."""
        self._segment_replicas = segment_replicas
        self._contract = contract
        self._max_bytes = max_bytes
        self._file_digest = xxhash.xxh3_128(contract.encode())
        self._size = 0
        self._line_number = 0
        self._segments: list[SegmentRef] = []
        self._line_errors: list[str] = []
        self._custom_id_digests: set[int] = set()

    async def store(self, body: AsyncIterator[bytes]) -> FileRecord:
        """Read the body to its end and return the file's record.

        :raises InvalidLinesError: there are invalid lines, named by number,
            or no lines.
        :raises TooLargeError: the file is larger than ``max_bytes``.
        """
        pending = b''
        segment_lines: list[bytes] = []
        async for received in body:
            self._count_bytes(received)
            *whole_lines, pending = (pending + received).split(b'\n')
            for line in whole_lines:
                self._check_line(line, segment_lines)
            if sum(map(len, segment_lines)) >= TARGET_SEGMENT_BYTES:
                await self._store_segment(segment_lines)
                segment_lines = []
        self._check_line(pending, segment_lines)
        await self._store_segment(segment_lines)
        return self._file_record()

    def _count_bytes(self, received: bytes) -> None:
        """Add received bytes to the size and the digest of the file.

        :raises TooLargeError: the file is larger than ``max_bytes``.
        """
        self._size += len(received)
        self._file_digest.update(received)
        if self._size > self._max_bytes:
            raise TooLargeError(
                f'the file is larger than the limit of {self._max_bytes} bytes'
            )

    def _check_line(self, line: bytes, segment_lines: list[bytes]) -> None:
        """Append a valid line to the segment; record an invalid one."""
        self._line_number += 1
        if not line.strip():
            return
        try:
            parsed = check_input_line(line)
            self._check_unique(parsed.custom_id)
        except InvalidLinesError as exc:
            if len(self._line_errors) < MAX_REPORTED_LINE_ERRORS:
                self._line_errors.append(
                    f'line {self._line_number}: {exc.message}'
                )
            return
        segment_lines.append(b'%b\n' % line)

    def _check_unique(self, custom_id: str) -> None:
        """Check that a ``custom_id`` is new in this file.

        :raises InvalidLinesError: an earlier line has the same one.
        """
        digest = xxhash.xxh3_64_intdigest(custom_id.encode())
        if digest in self._custom_id_digests:
            raise InvalidLinesError(f'custom_id: {custom_id!r} occurs twice')
        self._custom_id_digests.add(digest)

    async def _store_segment(self, segment_lines: list[bytes]) -> None:
        """Store lines as a segment, unless the file has invalid lines."""
        if not segment_lines or self._line_errors:
            return
        ref = await self._segment_replicas.put(
            b''.join(segment_lines), len(segment_lines)
        )
        self._segments.append(ref)

    def _file_record(self) -> FileRecord:
        """Return the file's record.

        :raises InvalidLinesError: there are invalid lines, or no lines.
        """
        if self._line_errors:
            raise InvalidLinesError('; '.join(self._line_errors))
        if not self._segments:
            raise InvalidLinesError('the file has no lines')
        return FileRecord(
            file_id=f'file-{self._file_digest.hexdigest()}',
            contract=self._contract,
            size=self._size,
            created_at=int(time.time()),
            segments=tuple(self._segments),
        )
