"""briarrill.batch.result_writer: stores results, then commits them.

Storing needs the data folders, committing the key-value service. While the
service is down, results go on to the data folders and all that were stored
are committed by the first write that succeeds.
"""

import attrs
import trio
from eliot import log_message

from ..errors import BriarrillError, VersionConflictError
from ..metrics import BATCH_COMMITS
from ..state.job_records import ResultSegment
from ..state.segment_copies import SegmentCopies
from ..state.segments import SEGMENT_BYTES
from .index_set import IndexSet
from .job_store import JobStore, OwnedJob

__all__ = ('PLATFORM_RETRY_S', 'ResultWriter')

# how long a result waits for its commit; grows with the segments that the
# record names, so a slow job does not fill its record with small ones
COMMIT_INTERVAL_S = 5.0
MAX_COMMIT_INTERVAL_S = 60.0
SEGMENTS_PER_INTERVAL_STEP = 64

# segments in the record after which further ones are made larger
SEGMENTS_PER_SIZE_STEP = 256

# bytes that wait to be stored before no more items are handed out
MAX_BUFFER_SEGMENTS = 4

# between tries of a write to the platform or the data folders
PLATFORM_RETRY_S = 1.0


@attrs.define
class _Buffer:
    """Results that wait to be stored."""

    lines: list[bytes] = attrs.field(factory=list)
    indexes: list[int] = attrs.field(factory=list)
    size: int = 0
    failed: int = 0

    def add(self, index: int, line: bytes, *, is_error: bool) -> None:
        self.lines.append(line)
        self.indexes.append(index)
        self.size += len(line)
        self.failed += is_error


class ResultWriter:
    """Results of one owned job.

    :param job: the job, owned by this process.
    :param store: commits under the job's epoch.
    :param copies: keeps the result segments.
    """

    def __init__(
        self, job: OwnedJob, store: JobStore, copies: SegmentCopies
    ) -> None:
        """Start with what the record says is done."""
        self._owned = job
        self._store = store
        self._copies = copies
        record = job.record
        self._committed = IndexSet.unpack(record.done_map, record.total)
        self._buffer = _Buffer()
        self._stored: list[ResultSegment] = []
        self._wake = trio.Event()
        self._is_closed = False

    @property
    def is_backed_up(self) -> bool:
        """Whether results wait that cannot be stored now."""
        return self._buffer.size >= MAX_BUFFER_SEGMENTS * self._segment_bytes

    def add(self, index: int, line: bytes, *, is_error: bool) -> None:
        """Take a result."""
        self._buffer.add(index, line, is_error=is_error)
        if self._buffer.size >= self._segment_bytes:
            self._wake.set()

    def close(self) -> None:
        """Let :meth:`run` end after the write that is under way."""
        self._is_closed = True
        self._wake.set()

    async def run(self) -> None:
        """Write when a segment is full or a result has waited long enough.

        :raises VersionConflictError: another process owns the job now.
        """
        while not self._is_closed:
            with trio.move_on_after(self._interval_s):
                await self._wake.wait()
            self._wake = trio.Event()
            await self._write()

    async def flush(self) -> None:
        """Write all results, through outages.

        :raises VersionConflictError: another process owns the job now.
        """
        while not await self._write():
            await trio.sleep(PLATFORM_RETRY_S)

    @property
    def _segment_bytes(self) -> int:
        steps = len(self._owned.record.results) // SEGMENTS_PER_SIZE_STEP
        return SEGMENT_BYTES * (1 + steps)

    @property
    def _interval_s(self) -> float:
        if self._stored:
            return PLATFORM_RETRY_S
        steps = len(self._owned.record.results) // SEGMENTS_PER_INTERVAL_STEP
        return min(COMMIT_INTERVAL_S * (1 + steps), MAX_COMMIT_INTERVAL_S)

    async def _write(self) -> bool:
        """Try once; return whether nothing is left to write."""
        try:
            await self._store_buffer()
            await self._commit_stored()
        except VersionConflictError:
            raise
        except BriarrillError as exc:
            BATCH_COMMITS.labels('retried').inc()
            log_message('job:write-failed', reason=exc.message)
            return False
        return True

    async def _store_buffer(self) -> None:
        buffer, self._buffer = self._buffer, _Buffer()
        if not buffer.lines:
            return
        try:
            ref = await self._copies.put(
                b''.join(buffer.lines), len(buffer.lines)
            )
        except BriarrillError:
            self._put_back(buffer)
            raise
        self._committed.add_all(buffer.indexes)
        self._stored.append(ResultSegment(ref=ref, failed=buffer.failed))

    def _put_back(self, buffer: _Buffer) -> None:
        newer, self._buffer = self._buffer, buffer
        buffer.lines.extend(newer.lines)
        buffer.indexes.extend(newer.indexes)
        buffer.size += newer.size
        buffer.failed += newer.failed

    async def _commit_stored(self) -> None:
        segments = tuple(self._stored)
        if not segments:
            return
        await self._store.commit(self._owned, segments, self._committed.pack())
        self._stored = self._stored[len(segments) :]
        BATCH_COMMITS.labels('ok').inc()
        log_message(
            'job:committed', items=sum(row.ref.lines for row in segments)
        )
