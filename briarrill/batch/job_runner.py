"""briarrill.batch.job_runner: runs one owned job to its end."""

import collections
from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
import trio
from eliot import Action, log_message, start_action

from ..errors import BriarrillError, SegmentLostError, VersionConflictError
from ..metrics import BATCH_COMMITS, DUPLICATES
from ..protocol.callers_api import InputLine, parse_input_line, result_line
from ..protocol.messages import BatchItem, ItemOutcome
from ..result_codes import ResultCode
from ..state.job_records import JobState, ResultSegment, SegmentRef
from ..state.segment_copies import SegmentCopies
from ..state.segments import SEGMENT_BYTES
from .handout import Handout
from .index_set import IndexSet, ranges_of
from .job_store import JobStore, OwnedJob

__all__ = ('JobRunner',)

_Written = TypeVar('_Written')

# attempts before an item ends with an error line
MAX_ITEM_ATTEMPTS = 3

# longest time that a result waits for its commit
COMMIT_INTERVAL_S = 5.0

PLATFORM_RETRY_S = 1.0

# items read ahead of the hand-out
READ_AHEAD_ITEMS = 5000


@attrs.define
class _ResultBuffer:
    """Results that wait for their commit."""

    lines: list[bytes] = attrs.field(factory=list)
    indexes: list[int] = attrs.field(factory=list)
    size: int = 0
    failed: int = 0

    def add(self, index: int, line: bytes, *, is_error: bool) -> None:
        self.lines.append(line)
        self.indexes.append(index)
        self.size += len(line)
        self.failed += is_error


class JobRunner:
    """Hands out a job's items and commits their results.

    :param job: the job, owned by this process.
    :param store: commits under the job's epoch.
    :param copies: reads input and keeps results.
    """

    def __init__(
        self,
        job: OwnedJob,
        store: JobStore,
        copies: SegmentCopies,
        handout: Handout,
    ) -> None:
        """Start from what the record says is done."""
        self._owned = job
        self._store = store
        self._copies = copies
        self._handout = handout
        self._done = IndexSet(job.record.total)
        for segment in job.record.results:
            self._done.add_ranges(segment.ranges)
        self._held: dict[int, BatchItem] = {}
        self._pending: collections.deque[BatchItem] = collections.deque()
        self._custom_ids: dict[int, str] = {}
        self._buffer = _ResultBuffer()
        self._wake_feed = trio.Event()
        self._wake_commit = trio.Event()
        self._cancelled = trio.Event()
        self._action: Action | None = None

    @property
    def job(self) -> str:
        """Return the job's key."""
        return self._owned.key

    def next_item(self, models: tuple[str, ...]) -> BatchItem | None:
        """Return the next item if a sidecar serves its model."""
        if not self._pending or self._cancelled.is_set():
            return None
        if self._pending[0].model not in models:
            return None
        if len(self._pending) < READ_AHEAD_ITEMS:
            self._wake_feed.set()
        return self._pending.popleft()

    def take_back(self, batch_item: BatchItem) -> None:
        """Hand an item out again that was lost with its sidecar."""
        self._repeat(batch_item)

    def cancel(self) -> None:
        """Stop the hand-out: the record says so."""
        self._cancelled.set()

    async def run(self) -> None:
        """Run until the job is finished or another process owns it."""
        record = self._owned.record
        with start_action(
            action_type='job:run', job=record.job_id, epoch=record.epoch
        ) as action:
            self._action = action
            self._handout.add_source(self)
            try:
                await self._run_to_end()
            except VersionConflictError as exc:
                log_message('job:ownership-lost', reason=exc.message)
            finally:
                self._handout.remove_source(self.job)

    def take_outcome(self, outcome: ItemOutcome) -> None:
        """Record an outcome, or repeat the item if it may succeed later."""
        is_stale = outcome.epoch != self._owned.record.epoch
        if is_stale or outcome.index in self._done:
            DUPLICATES.inc()
            return
        held = self._held.get(outcome.index)
        if held is None:
            DUPLICATES.inc()
            return
        if _is_retryable(outcome) and held.attempt + 1 < MAX_ITEM_ATTEMPTS:
            self._repeat(held)
            return
        self._record(outcome)

    def _repeat(self, batch_item: BatchItem) -> None:
        again = attrs.evolve(
            batch_item,
            attempt=batch_item.attempt + 1,
            trace=self._new_trace(),
        )
        self._held[again.index] = again
        self._pending.append(again)
        self._handout.fill()

    def _record(self, outcome: ItemOutcome) -> None:
        self._done.add(outcome.index)
        self._held.pop(outcome.index)
        line = result_line(
            self._custom_ids.pop(outcome.index),
            outcome.http_status,
            outcome.body,
            outcome.message,
            int(outcome.code),
        )
        is_error = outcome.code is not ResultCode.OK
        self._buffer.add(outcome.index, line, is_error=is_error)
        if self._buffer.size >= SEGMENT_BYTES or self._done.is_full:
            self._wake_commit.set()

    async def _run_to_end(self) -> None:
        if self._owned.record.state is JobState.CANCELLING:
            self.cancel()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._feed)
            nursery.start_soon(self._watch_cancel, nursery.cancel_scope)
            while not self._done.is_full:
                await self._commit_when_due()
            nursery.cancel_scope.cancel()
        await self._commit()
        state = JobState.COMPLETED
        if not self._done.is_full:
            state = JobState.CANCELLED
        await self._until_written(
            lambda: self._store.finish(self._owned, state)
        )
        log_message('job:finished', state=state.value)

    async def _watch_cancel(self, scope: trio.CancelScope) -> None:
        await self._cancelled.wait()
        self._handout.remove_source(self.job)
        scope.cancel()

    async def _feed(self) -> None:
        """Read input segments ahead of the hand-out."""
        first = 0
        for ref in self._owned.record.input_file.segments:
            after = first + ref.lines
            if not self._done.covers(first, after):
                await self._feed_segment(ref, first)
            first = after

    async def _feed_segment(self, ref: SegmentRef, first: int) -> None:
        while len(self._pending) >= READ_AHEAD_ITEMS:
            self._wake_feed = trio.Event()
            await self._wake_feed.wait()
        body = await self._read_segment(ref)
        for offset, line in enumerate(body.splitlines()):
            index = first + offset
            if index not in self._done:
                self._add_item(index, parse_input_line(line))
        self._handout.fill()

    async def _read_segment(self, ref: SegmentRef) -> bytes:
        while True:
            try:
                return await self._copies.get(ref)
            except SegmentLostError as exc:
                log_message('segment:unreadable', reason=exc.message)
                await trio.sleep(PLATFORM_RETRY_S)

    def _add_item(self, index: int, line: InputLine) -> None:
        record = self._owned.record
        batch_item = BatchItem(
            job=self.job,
            index=index,
            epoch=record.epoch,
            contract=record.contract,
            model=line.model,
            url=line.url,
            body=bytes(line.body),
            trace=self._new_trace(),
        )
        self._custom_ids[index] = line.custom_id
        self._held[index] = batch_item
        self._pending.append(batch_item)

    def _new_trace(self) -> str:
        """Return a task identifier; each attempt needs one of its own."""
        if self._action is None:
            return ''
        return str(self._action.serialize_task_id().decode())

    async def _commit_when_due(self) -> None:
        with trio.move_on_after(COMMIT_INTERVAL_S):
            await self._wake_commit.wait()
        self._wake_commit = trio.Event()
        await self._commit()

    async def _commit(self) -> None:
        """Store buffered results, then name them in the record."""
        buffer, self._buffer = self._buffer, _ResultBuffer()
        if not buffer.lines:
            return
        body = b''.join(buffer.lines)
        ref = await self._until_written(
            lambda: self._copies.put(body, len(buffer.lines))
        )
        segment = ResultSegment(
            ref=ref,
            ranges=ranges_of(buffer.indexes),
            failed=buffer.failed,
        )
        await self._until_written(
            lambda: self._store.commit(self._owned, segment)
        )
        BATCH_COMMITS.labels('ok').inc()
        log_message('job:committed', items=len(buffer.lines))

    async def _until_written(
        self, write: Callable[[], Awaitable[_Written]]
    ) -> _Written:
        """Repeat a write through outages; stop when ownership is lost."""
        while True:
            try:
                return await write()
            except VersionConflictError:
                raise
            except BriarrillError as exc:
                BATCH_COMMITS.labels('retried').inc()
                log_message('job:write-failed', reason=exc.message)
            await trio.sleep(PLATFORM_RETRY_S)


def _is_retryable(outcome: ItemOutcome) -> bool:
    return outcome.code not in {ResultCode.OK, ResultCode.BAD_REQUEST}
