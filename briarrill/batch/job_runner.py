"""briarrill.batch.job_runner: runs one owned job to its end."""

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
from ..state.segment_copies import SegmentCopies
from .handout import Handout
from .index_set import IndexSet
from .item_queue import ItemQueue
from .item_sources import ItemSource
from .job_store import JobStore, OwnedJob
from .outcomes import MAX_ITEM_LOSSES, is_retryable, lost_outcome
from .ownership import Ownership
from .result_writer import PLATFORM_RETRY_S, ResultWriter

__all__ = ('JobRunner',)

# attempts that fail before an item ends with an error line
MAX_ITEM_ATTEMPTS = 3

# time between checks whether a stopping job's items have come back
STOP_POLL_S = 0.05

# items read ahead of the hand-out
READ_AHEAD_ITEMS = 5000


class _Stop(enum.Enum):
    """Why the hand-out of a job ends before all items are done."""

    CANCEL = enum.auto()
    RELEASE = enum.auto()


@attrs.define
class _HeldItem:
    """An item that was read and has no result."""

    batch_item: BatchItem
    custom_id: str
    losses: int = 0


class JobRunner(ItemSource):
    """Hands out a job's items and collects their results.

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
        self.job = job.key
        self.contract = job.record.contract
        self.due_at = job.record.due_at
        self.writer = ResultWriter(job, store, copies)
        self._owned = job
        self._ownership = Ownership(job, store)
        self._store = store
        self._copies = copies
        self._handout = handout
        self._done = IndexSet.unpack(job.record.done_map, job.record.total)
        self._held: dict[int, _HeldItem] = {}
        self._queue = ItemQueue()
        self._wake_feed = trio.Event()
        self._stop_reason: _Stop | None = None
        self._ended = trio.Event()
        self._action: Action | None = None

    def next_item(
        self, models: tuple[str, ...], sidecar: str
    ) -> BatchItem | None:
        """Return the next item that the sidecar can run."""
        if self._ended.is_set() or self.writer.is_backed_up:
            return None
        if not self._ownership.may_act:
            return None
        while True:
            batch_item = self._queue.pop(models, sidecar)
            if batch_item is None or batch_item.index not in self._done:
                break
        if len(self._queue) < READ_AHEAD_ITEMS:
            self._wake_feed.set()
        if batch_item is None:
            return None
        # the claim may have been renewed since the item was read
        return attrs.evolve(
            batch_item,
            epoch=self._owned.record.epoch,
            trace=self._new_trace(),
        )

    def take_back(self, batch_item: BatchItem) -> None:
        """Hand an item out again that was lost with its sidecar."""
        held = self._held.get(batch_item.index)
        if held is None or held.batch_item.attempt != batch_item.attempt:
            return
        held.losses += 1
        if held.losses >= MAX_ITEM_LOSSES:
            self._record(batch_item.index, lost_outcome(batch_item))
            return
        self._queue.add_first(batch_item)
        self._handout.fill()

    def cancel(self) -> None:
        """Stop the job: its record says so."""
        self._stop(_Stop.CANCEL)

    def release(self) -> None:
        """Hand the job over: finish what runs, then give it up."""
        if self._stop_reason is None:
            self._stop(_Stop.RELEASE)

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
            except* VersionConflictError as group:
                log_message('job:ownership-lost', reason=repr(group))
            finally:
                self._handout.remove_source(self, self._owned.record.epoch)

    def take_outcome(self, outcome: ItemOutcome, sidecar: str) -> None:
        """Record an outcome, or repeat the item if it may succeed later."""
        held = self._held.get(outcome.index)
        if held is None or outcome.epoch > self._owned.record.epoch:
            DUPLICATES.inc()
            return
        if outcome.code is ResultCode.CANCELLED:
            self._ownership.check_record()
            self._queue.add_retry(held.batch_item, sidecar)
            return
        attempt = held.batch_item.attempt
        if is_retryable(outcome):
            if outcome.attempt != attempt:
                DUPLICATES.inc()
                return
            if attempt + 1 < MAX_ITEM_ATTEMPTS:
                self._repeat(held, sidecar)
                return
        self._record(outcome.index, outcome)

    @property
    def _is_cancelled(self) -> bool:
        return self._stop_reason is _Stop.CANCEL

    def _new_trace(self) -> str:
        """Return a task identifier; each attempt needs one of its own."""
        if self._action is None:
            return ''
        return str(self._action.serialize_task_id().decode())

    def _stop(self, reason: _Stop) -> None:
        self._stop_reason = reason
        self._ended.set()
        self._wake_feed.set()

    def _repeat(self, held: _HeldItem, sidecar: str) -> None:
        attempt = held.batch_item.attempt + 1
        held.batch_item = attrs.evolve(held.batch_item, attempt=attempt)
        self._queue.add_retry(held.batch_item, sidecar)

    def _record(self, index: int, outcome: ItemOutcome) -> None:
        held = self._held.pop(index)
        self._done.add(index)
        line = result_line(
            held.custom_id,
            outcome.http_status,
            outcome.body,
            outcome.message,
            int(outcome.code),
        )
        is_error = outcome.code is not ResultCode.OK
        self.writer.add(index, line, is_error=is_error)
        if self._done.is_full:
            self._ended.set()

    async def _run_to_end(self) -> None:
        if self._owned.record.state is JobState.CANCELLING:
            self.cancel()
        if self._done.is_full:
            self._ended.set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.writer.run)
            async with trio.open_nursery() as feeding:
                feeding.start_soon(self._feed)
                feeding.start_soon(self._follow_record)
                await self._ended.wait()
                feeding.cancel_scope.cancel()
            await self._stop_items()
            self.writer.close()
        await self.writer.flush()
        await self._leave()

    async def _follow_record(self) -> None:
        await self._ownership.wait_cancelled()
        self.cancel()

    async def _stop_items(self) -> None:
        """Stop running items of a cancelled job, await those of a released."""
        while self._handout.count_outstanding(self.job):
            if self._is_cancelled:
                self._handout.remove_source(self, None)
            await trio.sleep(STOP_POLL_S)

    async def _leave(self) -> None:
        """Write the final state, or the release; repeat through outages."""
        while True:
            try:
                return await self._write_end()
            except VersionConflictError:
                raise
            except BriarrillError as exc:
                log_message('job:write-failed', reason=exc.message)
            await trio.sleep(PLATFORM_RETRY_S)

    async def _write_end(self) -> None:
        if self._done.is_full:
            state = JobState.COMPLETED
        elif self._is_cancelled:
            state = JobState.CANCELLED
        else:
            await self._store.release(self._owned)
            log_message('job:released')
            return
        await self._store.finish(self._owned, state)
        log_message('job:finished', state=state.value)

    async def _feed(self) -> None:
        """Read input segments ahead of the hand-out.

        One that cannot be read now is tried again after the others.
        """
        waiting: collections.deque[tuple[SegmentRef, int]] = (
            collections.deque()
        )
        first = 0
        for ref in self._owned.input_file.segments:
            if not self._done.covers(first, first + ref.lines):
                waiting.append((ref, first))
            first += ref.lines
        while waiting:
            ref, first = waiting.popleft()
            if not await self._feed_segment(ref, first):
                waiting.append((ref, first))
                await trio.sleep(PLATFORM_RETRY_S)

    async def _feed_segment(self, ref: SegmentRef, first: int) -> bool:
        while len(self._queue) >= READ_AHEAD_ITEMS:
            self._wake_feed = trio.Event()
            await self._wake_feed.wait()
        try:
            body = await self._copies.get(ref)
        except SegmentLostError as exc:
            log_message('segment:unreadable', reason=exc.message)
            return False
        for offset, line in enumerate(body.split(b'\n')[:-1]):
            index = first + offset
            if index not in self._done:
                self._add_item(index, parse_input_line(line))
        self._handout.fill()
        return True

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
        )
        self._held[index] = _HeldItem(batch_item, line.custom_id)
        self._queue.add(batch_item)
