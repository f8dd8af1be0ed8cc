"""briarrill.item_runs.result_commits: writes results to the key-value service.

Results that arrive within a short time are written in one transaction, at
the positions after the known results. If another process has written these
positions, its results are read and the write is repeated after them. An item
that has a result by then gets no second one.

A result that the service refuses for good is set aside, so that it does not
hold up the others. Its item does not run again and has no result until its
job expires.
"""

import itertools
import time
from collections.abc import Container, Sequence

import attrs
import trio
from eliot import log_message

from ..coordination.job_table import JobTable, TrackedJob
from ..errors import BriarrillError, WriteRefusedError
from ..metrics import BATCH_COMMITS
from ..state.stored_jobs import (
    ItemState,
    StoredResult,
    result_creation_changes,
)
from ..transport.key_value import KeyValueService
from .item import ItemProgress
from .wait_reasons import WaitReason

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

# output bytes in one write, unless a single result has more
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
    _refused: set[tuple[str, str]] = attrs.field(factory=set, init=False)
    _withdrawable: set[tuple[str, str]] = attrs.field(factory=set, init=False)
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
        """Return the items whose results peers may not have read yet.

        Peers never read those that the service refuses.
        """
        return [
            *(
                item_id
                for by_item in self._pending.values()
                for item_id in by_item
            ),
            *(item_id for _, item_id in self._refused),
            *self.written_items,
        ]

    @property
    def written_items(self) -> list[str]:
        """Return the items whose results were written a moment ago."""
        now = time.monotonic()
        for item_id, written_at in list(self._written_at.items()):
            if now - written_at > RESULT_PROPAGATION_S:
                self._written_at.pop(item_id)
        return list(self._written_at)

    def has_pending(self, job_id: str, item_id: str) -> bool:
        """Whether an item's result waits to be written."""
        return item_id in self._pending.get(job_id, ())

    def why_unwritten(
        self, key: tuple[str, str], tracked: TrackedJob
    ) -> WaitReason | None:
        """Return why a finished item has no result, none if it may run."""
        if key in self._refused:
            return WaitReason.RESULT_REFUSED
        if not self.has_pending(*key):
            return None
        if tracked.is_blocked:
            return WaitReason.RESULT_BLOCKED
        return WaitReason.RESULT_UNWRITTEN

    def add(
        self,
        progress: ItemProgress,
        state: ItemState,
        *,
        is_withdrawable: bool = False,
    ) -> None:
        """Queue the result of a finished item.

        :param is_withdrawable: whether :meth:`withdraw` removes it.
        """
        result = progress.result(state)
        queued = self._pending.setdefault(progress.job_id, {})
        queued[result.item_id] = result
        self._refused.discard(progress.key)
        self._withdrawable.discard(progress.key)
        if is_withdrawable:
            self._withdrawable.add(progress.key)
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

    def withdraw(
        self, job_id: str, kept: Container[str] = ()
    ) -> list[ItemProgress]:
        """Remove and return a job's withdrawable items not written yet.

        :param kept: IDs of the items that stay queued.
        """
        keys = [
            key
            for key in self._withdrawable
            if key[0] == job_id and key[1] not in kept
        ]
        withdrawn = [self._uncommitted[key] for key in keys]
        for _, item_id in keys:
            self._remove(job_id, item_id)
        return withdrawn

    async def run(self) -> None:
        """Write queued results until cancelled."""
        while True:
            with trio.move_on_after(BLOCKED_READ_INTERVAL_S):
                await self._wake.wait()
            await trio.sleep(COMMIT_DELAY_S)
            self._wake = trio.Event()
            self._forget_finished_refused()
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
        """Write a job's queued results.

        On a conflict nothing is written and the known results are updated.
        """
        tracked = self.jobs.find(job_id)
        if tracked is None:
            self._blocked_until.pop(job_id, None)
            for item_id in list(self._pending.get(job_id, ())):
                self._remove(job_id, item_id)
            return
        if await self._is_blocked(tracked):
            return
        while chosen := self._choose_results(tracked):
            if not await self._write(tracked, chosen):
                break
        if self._remove_committed(tracked):
            self._wake.set()

    async def _write(
        self, tracked: TrackedJob, chosen: Sequence[StoredResult]
    ) -> bool:
        """Write results after the known ones; return whether that is done.

        A write that the service refuses is repeated with its first half, so
        that at last the result that it does not take is set aside.
        """
        position = len(tracked.results)
        changes = result_creation_changes(tracked.job_id, position, chosen)
        try:
            revision = await self.service.transact(changes)
        except WriteRefusedError as exc:
            BATCH_COMMITS.labels('refused').inc()
            if len(chosen) > 1:
                return await self._write(tracked, chosen[: len(chosen) // 2])
            self._set_aside(tracked.job_id, chosen[0], exc)
            return True
        if revision is None:
            BATCH_COMMITS.labels('conflict').inc()
            await self.jobs.read_results(tracked)
            return False
        BATCH_COMMITS.labels('made').inc()
        self._record_commit(tracked, position, chosen)
        return True

    def _set_aside(
        self, job_id: str, result: StoredResult, exc: WriteRefusedError
    ) -> None:
        """Remove a result that the service refuses from the queue."""
        log_message(
            'commit:refused',
            job=job_id,
            request_id=result.item_id,
            output_bytes=len(result.output),
            reason=exc.message,
        )
        self._remove(job_id, result.item_id)
        self._refused.add((job_id, result.item_id))

    def _forget_finished_refused(self) -> None:
        """Forget refused results of items that are no longer open."""
        for job_id, item_id in list(self._refused):
            tracked = self.jobs.find(job_id)
            if (
                tracked is None
                or not tracked.is_open
                or item_id in tracked.finished_item_ids
            ):
                self._refused.discard((job_id, item_id))

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
        limits = self.service.limits
        queued = self._pending.get(tracked.job_id, {}).values()
        chosen: list[StoredResult] = []
        output_bytes = 0
        for result in itertools.islice(queued, limits.max_entries):
            output_bytes += len(result.output)
            if chosen and output_bytes > MAX_COMMIT_BYTES:
                break
            chosen.append(result)
        changes = result_creation_changes(
            tracked.job_id, len(tracked.results), chosen
        )
        # one that does not fit alone is refused and set aside
        return chosen[: max(1, limits.count_leading(changes))]

    def _record_commit(
        self,
        tracked: TrackedJob,
        position: int,
        chosen: Sequence[StoredResult],
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
        self._withdrawable.discard((job_id, item_id))
        if not queued:
            self._pending.pop(job_id, None)
