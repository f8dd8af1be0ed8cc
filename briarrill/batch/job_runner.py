"""briarrill.batch.job_runner: runs one owned job to its end or release."""

import collections
import enum

import attrs
import trio
from eliot import Action, log_message, start_action

from ..errors import BriarrillError, SegmentLostError, VersionConflictError
from ..metrics import DUPLICATES
from ..protocol.callers_api import InputLine, parse_input_line, result_line
from ..protocol.messages import BatchItem, ItemOutcome
from ..result_codes import ResultCode
from ..state.job_records import JobState, SegmentRef
from ..state.segment_replicas import SegmentReplicas
from .index_set import IndexSet
from .item_dispatcher import ItemDispatcher
from .item_queue import ItemQueue
from .item_sources import ItemSource
from .job_store import JobStore, OwnedJob
from .outcomes import MAX_SIDECAR_LOSSES, is_retryable, sidecars_lost_outcome
from .ownership import Ownership
from .result_writer import STORAGE_RETRY_DELAY_S, ResultWriter

__all__ = ('JobRunner',)

# failed attempts after which an item ends with an error line
MAX_ITEM_ATTEMPTS = 3

# epoch of a job's first owner
FIRST_EPOCH = 1

# poll interval for outstanding items of a job that is stopping
OUTSTANDING_POLL_INTERVAL_S = 0.05

# queued items at which reading of the input pauses
READ_AHEAD_LIMIT_ITEMS = 5000


class _StopReason(enum.Enum):
    """Why a job stops assigning items before all of them are done."""

    CANCEL = enum.auto()
    RELEASE = enum.auto()


@attrs.define
class _PendingItem:
    """An item that was read from the input and has no result yet.

    :param sidecar_losses: sidecars that were lost while they had the item.
    """

    batch_item: BatchItem
    custom_id: str
    sidecar_losses: int = 0


class JobRunner(ItemSource):
    """Supplies items of one owned job and records their results.

    :param job: the job, owned by this process.
    :param store: commits under the job's epoch.
    :param segment_replicas: reads the input and stores results.
    :param dispatcher: assigns the items to sidecars.
    """

    def __init__(
        self,
        job: OwnedJob,
        store: JobStore,
        segment_replicas: SegmentReplicas,
        dispatcher: ItemDispatcher,
    ) -> None:
        """Initialize the finished items from the job's record."""
        self.job = job.key
        self.contract = job.record.contract
        self.due_at = job.record.due_at
        self.writer = ResultWriter(job, store, segment_replicas)
        self._owned_job = job
        self._ownership = Ownership(job, store)
        self._store = store
        self._segment_replicas = segment_replicas
        self._dispatcher = dispatcher
        self._done_indexes = IndexSet.unpack(
            job.record.done_map, job.record.total
        )
        self._pending_items: dict[int, _PendingItem] = {}
        self._queue = ItemQueue()
        self._read_ahead_wakeup = trio.Event()
        self._stop_reason: _StopReason | None = None
        self._dispatch_ended = trio.Event()
        self._action: Action | None = None

    def next_item(
        self, models: tuple[str, ...], sidecar: str
    ) -> BatchItem | None:
        """Remove and return the next queued item for one of the models.

        Returns ``None`` when no such item is queued, the job is stopping, the
        result buffer is full or the claim may have expired.
        """
        if self._dispatch_ended.is_set() or self.writer.is_buffer_full:
            return None
        if not self._ownership.may_assign:
            return None
        while True:
            batch_item = self._queue.pop(models, sidecar)
            if (
                batch_item is None
                or batch_item.index not in self._done_indexes
            ):
                break
        if len(self._queue) < READ_AHEAD_LIMIT_ITEMS:
            self._read_ahead_wakeup.set()
        if batch_item is None:
            return None
        # the claim may have been renewed under a new epoch since the read
        return attrs.evolve(
            batch_item,
            epoch=self._owned_job.record.epoch,
            trace=self._new_trace_id(),
        )

    def requeue_lost(self, batch_item: BatchItem) -> None:
        """Queue an item again whose sidecar was lost.

        Ends the item with an error line after MAX_SIDECAR_LOSSES losses. An
        item with a result or a newer attempt is ignored.
        """
        pending = self._pending_items.get(batch_item.index)
        if pending is None or pending.batch_item.attempt != batch_item.attempt:
            return
        pending.sidecar_losses += 1
        if pending.sidecar_losses >= MAX_SIDECAR_LOSSES:
            self._record_result(
                batch_item.index, sidecars_lost_outcome(batch_item)
            )
            return
        self._queue.add_to_front(batch_item)
        self._dispatcher.assign_to_all()

    def cancel(self) -> None:
        """Stop the job's items and end it as cancelled."""
        self._stop(_StopReason.CANCEL)

    def release(self) -> None:
        """Stop new assignments, await outstanding items, release the job."""
        if self._stop_reason is None:
            self._stop(_StopReason.RELEASE)

    async def run(self) -> None:
        """Run until the job is finished, released or has another owner."""
        record = self._owned_job.record
        with start_action(
            action_type='job:run', job=record.job_id, epoch=record.epoch
        ) as action:
            self._action = action
            if record.epoch > FIRST_EPOCH:
                self._dispatcher.announce_claim(self.job, record.epoch)
            self._dispatcher.add_source(self)
            try:
                await self._run_to_end()
            except* VersionConflictError as group:
                log_message('job:ownership-lost', reason=repr(group))
            finally:
                self._dispatcher.remove_source(
                    self, self._owned_job.record.epoch
                )

    def record_outcome(self, outcome: ItemOutcome, sidecar: str) -> None:
        """Record an item's outcome, or schedule a retry if it may succeed.

        An item that was cancelled at a sidecar is queued again. Outcomes
        without a pending item, of a newer epoch than this owner's, and
        retryable ones of another attempt are counted as duplicates.
        """
        pending = self._pending_items.get(outcome.index)
        if pending is None or outcome.epoch > self._owned_job.record.epoch:
            DUPLICATES.inc()
            return
        if outcome.code is ResultCode.CANCELLED:
            self._ownership.request_record_check()
            self._queue.add_retry(pending.batch_item, sidecar)
            return
        attempt = pending.batch_item.attempt
        if is_retryable(outcome):
            if outcome.attempt != attempt:
                DUPLICATES.inc()
                return
            if attempt + 1 < MAX_ITEM_ATTEMPTS:
                self._schedule_retry(pending, sidecar)
                return
        self._record_result(outcome.index, outcome)

    @property
    def _is_cancelled(self) -> bool:
        return self._stop_reason is _StopReason.CANCEL

    def _new_trace_id(self) -> str:
        """Return an eliot task identifier; each attempt needs its own."""
        if self._action is None:
            return ''
        return str(self._action.serialize_task_id().decode())

    def _stop(self, reason: _StopReason) -> None:
        """Stop assigning items and reading the input."""
        self._stop_reason = reason
        self._dispatch_ended.set()
        self._read_ahead_wakeup.set()

    def _schedule_retry(self, pending: _PendingItem, sidecar: str) -> None:
        attempt = pending.batch_item.attempt + 1
        pending.batch_item = attrs.evolve(pending.batch_item, attempt=attempt)
        self._queue.add_retry(pending.batch_item, sidecar)

    def _record_result(self, index: int, outcome: ItemOutcome) -> None:
        """Buffer the result line; end the dispatch after the last one."""
        pending = self._pending_items.pop(index)
        self._done_indexes.add(index)
        line = result_line(
            pending.custom_id,
            outcome.http_status,
            outcome.body,
            outcome.message,
            int(outcome.code),
        )
        is_error = outcome.code is not ResultCode.OK
        self.writer.add(index, line, is_error=is_error)
        if self._done_indexes.is_full:
            self._dispatch_ended.set()

    async def _run_to_end(self) -> None:
        """Assign and collect items until the job ends or is stopped."""
        if self._owned_job.record.state is JobState.CANCELLING:
            self.cancel()
        if self._done_indexes.is_full:
            self._dispatch_ended.set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.writer.run)
            async with trio.open_nursery() as reading:
                reading.start_soon(self._read_input)
                reading.start_soon(self._watch_cancellation)
                await self._dispatch_ended.wait()
                reading.cancel_scope.cancel()
            await self._drain_outstanding_items()
            self.writer.close()
        await self.writer.flush()
        await self._finish_or_release_with_retry()

    async def _watch_cancellation(self) -> None:
        """Cancel the job once its record says so."""
        await self._ownership.wait_until_cancelled()
        self.cancel()

    async def _drain_outstanding_items(self) -> None:
        """Wait for outstanding items; revoke them if the job is cancelled."""
        while self._dispatcher.count_outstanding(self.job):
            if self._is_cancelled:
                self._dispatcher.remove_source(self, None)
            await trio.sleep(OUTSTANDING_POLL_INTERVAL_S)

    async def _finish_or_release_with_retry(self) -> None:
        """Finish or release the job; retry through platform outages."""
        while True:
            try:
                return await self._finish_or_release()
            except VersionConflictError:
                raise
            except BriarrillError as exc:
                log_message('job:write-failed', reason=exc.message)
            await trio.sleep(STORAGE_RETRY_DELAY_S)

    async def _finish_or_release(self) -> None:
        """Write the final state; release a job that is not done."""
        if self._done_indexes.is_full:
            state = JobState.COMPLETED
        elif self._is_cancelled:
            state = JobState.CANCELLED
        else:
            await self._store.release(self._owned_job)
            log_message('job:released')
            return
        await self._store.finish(self._owned_job, state)
        log_message('job:finished', state=state.value)

    async def _read_input(self) -> None:
        """Queue the unfinished items of all input segments.

        A segment that cannot be read is retried after the others.
        """
        unread_segments: collections.deque[tuple[SegmentRef, int]] = (
            collections.deque()
        )
        first_index = 0
        for ref in self._owned_job.input_file.segments:
            if not self._done_indexes.contains_range(
                first_index, first_index + ref.lines
            ):
                unread_segments.append((ref, first_index))
            first_index += ref.lines
        while unread_segments:
            ref, first_index = unread_segments.popleft()
            if not await self._read_segment(ref, first_index):
                unread_segments.append((ref, first_index))
                await trio.sleep(STORAGE_RETRY_DELAY_S)

    async def _read_segment(self, ref: SegmentRef, first_index: int) -> bool:
        """Queue a segment's unfinished items; return False if unreadable."""
        while len(self._queue) >= READ_AHEAD_LIMIT_ITEMS:
            self._read_ahead_wakeup = trio.Event()
            await self._read_ahead_wakeup.wait()
        try:
            body = await self._segment_replicas.get(ref)
        except SegmentLostError as exc:
            log_message('segment:unreadable', reason=exc.message)
            return False
        for offset, line in enumerate(body.split(b'\n')[:-1]):
            index = first_index + offset
            if index not in self._done_indexes:
                self._queue_item(index, parse_input_line(line))
        self._dispatcher.assign_to_all()
        return True

    def _queue_item(self, index: int, line: InputLine) -> None:
        """Track an unfinished item and queue it for assignment."""
        record = self._owned_job.record
        batch_item = BatchItem(
            job=self.job,
            index=index,
            epoch=record.epoch,
            contract=record.contract,
            model=line.model,
            url=line.url,
            body=bytes(line.body),
        )
        self._pending_items[index] = _PendingItem(batch_item, line.custom_id)
        self._queue.add(batch_item)
