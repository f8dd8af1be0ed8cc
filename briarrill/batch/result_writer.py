"""briarrill.batch.result_writer: stores a job's results and commits them.

Results are stored as segments on data folders and committed in the job's
record in the key-value service. While the service is unavailable, results are
still stored; the first successful commit includes all segments stored by then.
"""

import attrs
import trio
from eliot import log_message

from ..errors import BriarrillError, VersionConflictError
from ..metrics import BATCH_COMMITS
from ..state.job_records import ResultSegment
from ..state.segment_replicas import SegmentReplicas
from ..state.segments import TARGET_SEGMENT_BYTES
from .index_set import IndexSet
from .job_store import JobStore, OwnedJob

__all__ = ('STORAGE_RETRY_DELAY_S', 'ResultWriter')

# longest time from a result to its commit; increases by COMMIT_INTERVAL_S for
# every 64 segments in the record, so that a slow job does not fill its record
# with small segments
COMMIT_INTERVAL_S = 5.0
MAX_COMMIT_INTERVAL_S = 60.0
SEGMENTS_PER_COMMIT_INTERVAL_STEP = 64

# segments in the record for each increase of the segment size by
# TARGET_SEGMENT_BYTES
SEGMENTS_PER_SEGMENT_SIZE_STEP = 256

# buffered segments at which the job stops assigning items
MAX_BUFFER_SEGMENTS = 4

# delay before failed access to the platform or the data folders is retried
STORAGE_RETRY_DELAY_S = 1.0


@attrs.define
class _Buffer:
    """Result lines that are not stored yet.

    :param size: bytes in all lines.
    :param failed: number of error lines.
    """

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
    """Stores and commits the results of one owned job.

    :param job: the job, owned by this process.
    :param store: commits under the job's epoch.
    :param segment_replicas: stores the result segments.
    """

    def __init__(
        self, job: OwnedJob, store: JobStore, segment_replicas: SegmentReplicas
    ) -> None:
        """Initialize the stored items from the job's record."""
        self._owned_job = job
        self._store = store
        self._segment_replicas = segment_replicas
        record = job.record
        self._stored_indexes = IndexSet.unpack(record.done_map, record.total)
        self._buffer = _Buffer()
        self._uncommitted_segments: list[ResultSegment] = []
        self._write_wakeup = trio.Event()
        self._is_closed = False

    @property
    def is_buffer_full(self) -> bool:
        """Whether unstored results exceed the buffer limit."""
        return self._buffer.size >= MAX_BUFFER_SEGMENTS * self._segment_bytes

    def add(self, index: int, line: bytes, *, is_error: bool) -> None:
        """Buffer an item's result line.

        :param is_error: whether it is an error line.
        """
        self._buffer.add(index, line, is_error=is_error)
        if self._buffer.size >= self._segment_bytes:
            self._write_wakeup.set()

    def close(self) -> None:
        """Make :meth:`run` return, after at most one more write."""
        self._is_closed = True
        self._write_wakeup.set()

    async def run(self) -> None:
        """Write when a segment is full or the commit interval has passed.

        :raises VersionConflictError: another process owns the job now.
        """
        while not self._is_closed:
            with trio.move_on_after(self._interval_s):
                await self._write_wakeup.wait()
            self._write_wakeup = trio.Event()
            await self._write()

    async def flush(self) -> None:
        """Write all results; retry until the platform is available.

        :raises VersionConflictError: another process owns the job now.
        """
        while not await self._write():
            await trio.sleep(STORAGE_RETRY_DELAY_S)

    @property
    def _segment_bytes(self) -> int:
        steps = (
            len(self._owned_job.record.results)
            // SEGMENTS_PER_SEGMENT_SIZE_STEP
        )
        return TARGET_SEGMENT_BYTES * (1 + steps)

    @property
    def _interval_s(self) -> float:
        """Longest wait until the next write, in seconds."""
        if self._uncommitted_segments:
            return STORAGE_RETRY_DELAY_S
        steps = (
            len(self._owned_job.record.results)
            // SEGMENTS_PER_COMMIT_INTERVAL_STEP
        )
        return min(COMMIT_INTERVAL_S * (1 + steps), MAX_COMMIT_INTERVAL_S)

    async def _write(self) -> bool:
        """Store and commit once; return whether it succeeded."""
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
        """Store buffered results as a segment; keep them if that fails."""
        buffer, self._buffer = self._buffer, _Buffer()
        if not buffer.lines:
            return
        try:
            ref = await self._segment_replicas.put(
                b''.join(buffer.lines), len(buffer.lines)
            )
        except BriarrillError:
            self._restore_buffer(buffer)
            raise
        self._stored_indexes.add_all(buffer.indexes)
        self._uncommitted_segments.append(
            ResultSegment(ref=ref, failed=buffer.failed)
        )

    def _restore_buffer(self, buffer: _Buffer) -> None:
        """Put unstored results back in front of newer ones."""
        newer, self._buffer = self._buffer, buffer
        buffer.lines.extend(newer.lines)
        buffer.indexes.extend(newer.indexes)
        buffer.size += newer.size
        buffer.failed += newer.failed

    async def _commit_stored(self) -> None:
        """Commit all segments that are stored but not in the record."""
        segments = tuple(self._uncommitted_segments)
        if not segments:
            return
        await self._store.commit(
            self._owned_job, segments, self._stored_indexes.pack()
        )
        self._uncommitted_segments = self._uncommitted_segments[
            len(segments) :
        ]
        BATCH_COMMITS.labels('ok').inc()
        log_message(
            'job:committed',
            items=sum(segment.ref.lines for segment in segments),
        )
