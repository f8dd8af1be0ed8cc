"""briarrill.entry.intake: turns an uploaded file into stored segments."""

import time
from collections.abc import AsyncIterator

import xxhash

from ..errors import InvalidLinesError, TooLargeError
from ..protocol.callers_api import check_input_line
from ..state.job_records import FileRecord, SegmentRef
from ..state.segment_copies import SegmentCopies
from ..state.segments import SEGMENT_BYTES

__all__ = ('FileIntake',)

# wrong lines named in one error
MAX_REPORTED_LINES = 20


class FileIntake:
    """Checks the lines of one file and stores them.

    :param copies: stores the segments.
    :param contract: the file's contract.
    :param max_bytes: size at which the file is refused.
    """

    def __init__(
        self, copies: SegmentCopies, contract: str, max_bytes: int
    ) -> None:
        """Start with an empty file."""
        self._copies = copies
        self._contract = contract
        self._max_bytes = max_bytes
        self._digest = xxhash.xxh3_128(contract.encode())
        self._size = 0
        self._line_number = 0
        self._segments: list[SegmentRef] = []
        self._wrong: list[str] = []
        self._ids: set[int] = set()

    async def store(self, body: AsyncIterator[bytes]) -> FileRecord:
        """Read the body to its end and return the file's record.

        :raises InvalidLinesError: names the wrong lines.
        :raises TooLargeError: the file is larger than the bound.
        """
        pending = b''
        lines: list[bytes] = []
        async for received in body:
            self._count(received)
            *whole, pending = (pending + received).split(b'\n')
            for line in whole:
                self._check_line(line, lines)
            if sum(map(len, lines)) >= SEGMENT_BYTES:
                await self._store_segment(lines)
                lines = []
        self._check_line(pending, lines)
        await self._store_segment(lines)
        return self._record()

    def _count(self, received: bytes) -> None:
        self._size += len(received)
        self._digest.update(received)
        if self._size > self._max_bytes:
            raise TooLargeError(
                f'a file holds at most {self._max_bytes} bytes'
            )

    def _check_line(self, line: bytes, lines: list[bytes]) -> None:
        self._line_number += 1
        if not line.strip():
            return
        try:
            parsed = check_input_line(line)
            self._check_unique(parsed.custom_id)
        except InvalidLinesError as exc:
            if len(self._wrong) < MAX_REPORTED_LINES:
                self._wrong.append(f'line {self._line_number}: {exc.message}')
            return
        lines.append(b'%b\n' % line)

    def _check_unique(self, custom_id: str) -> None:
        digest = xxhash.xxh3_64_intdigest(custom_id.encode())
        if digest in self._ids:
            raise InvalidLinesError(f'custom_id: {custom_id!r} occurs twice')
        self._ids.add(digest)

    async def _store_segment(self, lines: list[bytes]) -> None:
        if not lines or self._wrong:
            return
        ref = await self._copies.put(b''.join(lines), len(lines))
        self._segments.append(ref)

    def _record(self) -> FileRecord:
        if self._wrong:
            raise InvalidLinesError('; '.join(self._wrong))
        if not self._segments:
            raise InvalidLinesError('the file holds no lines')
        return FileRecord(
            file_id=f'file-{self._digest.hexdigest()}',
            contract=self._contract,
            size=self._size,
            created_at=int(time.time()),
            segments=tuple(self._segments),
        )
