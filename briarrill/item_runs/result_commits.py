"""briarrill.item_runs.result_commits: writes results to the key-value service.

Results that arrive within a short time are written in one transaction, at
the positions after the known results. If another process has written these
positions, its results are read and the write is repeated after them. An item
that has a result by then gets no second one.
"""

import time

import attrs
import trio
from eliot import log_message

from ..coordination.job_table import JobTable, TrackedJob
from ..errors import BriarrillError
from ..metrics import BATCH_COMMITS
from ..state.stored_jobs import (
    ItemState,
    StoredResult,
    result_creation_changes,
)
from ..transport.key_value import KeyValueService
from .item import ItemProgress

__all__ = ('Committer',)

# results that arrive within this time are written together
COMMIT_DELAY_S = 0.25

# time until all processes have read a result from the service
RESULT_PROPAGATION_S = 2.0

# delay before a failed write is repeated
COMMIT_RETRY_DELAY_S = 0.5

# pause between two reads of a job whose next stored result cannot be read; its
# results wait, since positions must follow each other
BLOCKED_READ_INTERVAL_S = 5.0

# limits of one write; the service accepts 32 changes in one transaction
MAX_COMMIT_RESULTS = 30
MAX_COMMIT_BYTES = 600_000


@attrs.define
class Committer:
    """Writes the results of items of all jobs."""

    service: KeyValueService
    jobs: JobTable
    _pending: dict[str, dict[str, StoredResult]] = attrs.field(
        factory=dict, init=False
    )
    _uncommitted: dict[tuple[str, str], ItemProgress] = attrs.field(
        factory=dict, init=False
    )
    _written_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _blocked_until: dict[str, float] = attrs.field(factory=dict, init=False)
    _wake: trio.Event = attrs.field(factory=trio.Event, init=False)

    @property
    def is_idle(self) -> bool:
        """Whether no result waits to be written."""
        return not self._pending

    @property
    def uncommitted_items(self) -> list[ItemProgress]:
        """Return the finished items whose results are not written."""
        return list(self._uncommitted.values())

    @property
    def unpropagated_items(self) -> list[str]:
        """Return the items whose results peers may not have read yet."""
        now = time.monotonic()
        for item_id, written_at in list(self._written_at.items()):
            if now - written_at > RESULT_PROPAGATION_S:
                self._written_at.pop(item_id)
        return [
            *(
                item_id
                for by_item in self._pending.values()
                for item_id in by_item
            ),
            *self._written_at,
        ]

    def has_pending(self, job_id: str, item_id: str) -> bool:
        """Whether an item's result waits to be written."""
        return item_id in self._pending.get(job_id, ())

    def add(self, progress: ItemProgress, state: ItemState) -> None:
        """Queue the result of a finished item."""
        result = progress.result(state)
        queued = self._pending.setdefault(progress.job_id, {})
        queued[result.item_id] = result
        self._uncommitted[progress.key] = progress
        self._wake.set()

    def release_completed(self) -> list[ItemProgress]:
        """Remove and return the completed items not written yet."""
        released = [
            progress
            for progress in self.uncommitted_items
            if progress.is_complete
        ]
        for progress in released:
            self._remove(progress.job_id, progress.stored.item_id)
        return released

    async def run(self) -> None:
        """Write queued results until cancelled."""
        while True:
            with trio.move_on_after(BLOCKED_READ_INTERVAL_S):
                await self._wake.wait()
            await trio.sleep(COMMIT_DELAY_S)
            self._wake = trio.Event()
            for job_id in list(self._pending):
                try:
                    await self._commit_job(job_id)
                except BriarrillError as exc:
                    BATCH_COMMITS.labels('failed').inc()
                    log_message(
                        'commit:failed', job=job_id, reason=exc.message
                    )
                    self._wake.set()
                    await trio.sleep(COMMIT_RETRY_DELAY_S)

    async def _commit_job(self, job_id: str) -> None:
        """Write a job's queued results, up to the limits of one write.

        On a conflict nothing is written and the known results are updated.
        """
        tracked = self.jobs.find(job_id)
        if tracked is None:
            self._blocked_until.pop(job_id, None)
            for item_id in list(self._pending[job_id]):
                self._remove(job_id, item_id)
            return
        if await self._is_blocked(tracked):
            return
        chosen = self._choose_results(tracked)
        if chosen:
            position = len(tracked.results)
            changes = result_creation_changes(job_id, position, chosen)
            if await self.service.transact(changes) is None:
                BATCH_COMMITS.labels('conflict').inc()
                await self.jobs.read_results(tracked)
            else:
                BATCH_COMMITS.labels('made').inc()
                self._record_commit(tracked, position, chosen)
        if self._remove_committed(tracked):
            self._wake.set()

    async def _is_blocked(self, tracked: TrackedJob) -> bool:
        """Whether a stored result that cannot be read is in the way.

        Reads it again at intervals.
        """
        now = trio.current_time()
        if not tracked.is_blocked:
            self._blocked_until.pop(tracked.job_id, None)
        elif now >= self._blocked_until.get(tracked.job_id, now):
            self._blocked_until[tracked.job_id] = now + BLOCKED_READ_INTERVAL_S
            log_message(
                'commit:blocked',
                job=tracked.job_id,
                position=len(tracked.results),
            )
            await self.jobs.read_results(tracked)
        return tracked.is_blocked

    def _choose_results(self, tracked: TrackedJob) -> list[StoredResult]:
        """Return the queued results that fit into one write."""
        self._remove_committed(tracked)
        chosen: list[StoredResult] = []
        output_bytes = 0
        for result in self._pending.get(tracked.job_id, {}).values():
            output_bytes += len(result.output)
            if chosen and (
                output_bytes > MAX_COMMIT_BYTES
                or len(chosen) >= MAX_COMMIT_RESULTS
            ):
                break
            chosen.append(result)
        return chosen

    def _record_commit(
        self, tracked: TrackedJob, position: int, chosen: list[StoredResult]
    ) -> None:
        """Add written results to the job table and log them."""
        for number, result in enumerate(chosen, position):
            tracked.add_result(number, result)
            self._written_at[result.item_id] = time.monotonic()
            log_message(
                'item:committed',
                job=tracked.job_id,
                request_id=result.item_id,
                position=number,
                state=result.state.value,
            )

    def _remove_committed(self, tracked: TrackedJob) -> bool:
        """Remove committed results; return whether queued ones remain."""
        queued = self._pending.get(tracked.job_id, {})
        for item_id in list(queued):
            if item_id in tracked.finished_item_ids:
                self._remove(tracked.job_id, item_id)
        return tracked.job_id in self._pending

    def _remove(self, job_id: str, item_id: str) -> None:
        """Remove an item's result from the queue."""
        queued = self._pending.get(job_id, {})
        queued.pop(item_id, None)
        self._uncommitted.pop((job_id, item_id), None)
        if not queued:
            self._pending.pop(job_id, None)
