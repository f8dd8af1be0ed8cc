"""briarrill.item_runs.commits: results get their positions.

Results that finish within a short time are written together. When another
process was first at a position, its results are read and the others follow
them; an item that has a result by then gets no second one.
"""

import time

import attrs
import trio
from eliot import log_message

from ..coordination.job_table import JobTable, KnownJob
from ..errors import BriarrillError
from ..metrics import BATCH_COMMITS
from ..state.stored_jobs import ItemState, StoredResult, result_changes
from ..transport.key_value import KeyValueService
from .item import ItemProgress

__all__ = ('Committer',)

# time over which results are gathered
GATHER_S = 0.25

# time in which other processes learn of a result from the service
SPREAD_S = 2.0

# pause after a failed write
RETRY_S = 0.5

# results and bytes of one write; the service takes 32 changes at once
MAX_RESULTS = 30
MAX_BYTES = 600_000


@attrs.define
class Committer:
    """Writes results of all jobs."""

    service: KeyValueService
    jobs: JobTable
    _pending: dict[str, dict[str, StoredResult]] = attrs.field(
        factory=dict, init=False
    )
    _ended: dict[tuple[str, str], ItemProgress] = attrs.field(
        factory=dict, init=False
    )
    _written_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _wake: trio.Event = attrs.field(factory=trio.Event, init=False)

    @property
    def is_idle(self) -> bool:
        """Whether all results are written."""
        return not self._pending

    @property
    def ended(self) -> list[ItemProgress]:
        """Return the items whose results are not written."""
        return list(self._ended.values())

    @property
    def recent_items(self) -> list[str]:
        """Return the items whose results others may not know yet."""
        now = time.monotonic()
        for item_id, since in list(self._written_at.items()):
            if now - since > SPREAD_S:
                self._written_at.pop(item_id)
        return [
            *(
                item_id
                for found in self._pending.values()
                for item_id in found
            ),
            *self._written_at,
        ]

    def has_pending(self, job_id: str, item_id: str) -> bool:
        """Tell whether an item's result waits to be written."""
        return item_id in self._pending.get(job_id, ())

    def add(self, progress: ItemProgress, state: ItemState) -> None:
        """Take an item that has ended."""
        result = progress.result(state)
        waiting = self._pending.setdefault(progress.job_id, {})
        waiting[result.item_id] = result
        self._ended[progress.key] = progress
        self._wake.set()

    def give_back(self) -> list[ItemProgress]:
        """Return the completed items whose results are not written."""
        given = [progress for progress in self.ended if progress.is_whole]
        for progress in given:
            self._drop(progress.job_id, progress.stored.item_id)
        return given

    async def run(self) -> None:
        """Write results until cancelled."""
        while True:
            await self._wake.wait()
            await trio.sleep(GATHER_S)
            self._wake = trio.Event()
            for job_id in list(self._pending):
                try:
                    await self._commit(job_id)
                except BriarrillError as exc:
                    BATCH_COMMITS.labels('failed').inc()
                    log_message(
                        'commit:failed', job=job_id, reason=exc.message
                    )
                    self._wake.set()
                    await trio.sleep(RETRY_S)

    async def _commit(self, job_id: str) -> None:
        """Write a job's results, or leave some for the next time."""
        known = self.jobs.find(job_id)
        if known is None:
            for item_id in list(self._pending[job_id]):
                self._drop(job_id, item_id)
            return
        chosen = self._choose(known)
        if chosen:
            position = len(known.results)
            changes = result_changes(job_id, position, chosen)
            if await self.service.transact(changes) is None:
                BATCH_COMMITS.labels('conflict').inc()
                await self.jobs.read(job_id)
            else:
                BATCH_COMMITS.labels('made').inc()
                self._take(known, position, chosen)
        if self._drop_finished(known):
            self._wake.set()

    def _choose(self, known: KnownJob) -> list[StoredResult]:
        """Return the results of the next write."""
        self._drop_finished(known)
        chosen: list[StoredResult] = []
        size = 0
        for result in self._pending.get(known.job_id, {}).values():
            size += len(result.output)
            if chosen and (size > MAX_BYTES or len(chosen) >= MAX_RESULTS):
                break
            chosen.append(result)
        return chosen

    def _take(
        self, known: KnownJob, position: int, chosen: list[StoredResult]
    ) -> None:
        for number, result in enumerate(chosen, position):
            known.take_result(number, result)
            self._written_at[result.item_id] = time.monotonic()
            log_message(
                'item:committed',
                job=known.job_id,
                request_id=result.item_id,
                position=number,
                state=result.state.value,
            )

    def _drop_finished(self, known: KnownJob) -> bool:
        """Drop results that are written; return whether some are left."""
        waiting = self._pending.get(known.job_id, {})
        for item_id in list(waiting):
            if item_id in known.finished:
                self._drop(known.job_id, item_id)
        return known.job_id in self._pending

    def _drop(self, job_id: str, item_id: str) -> None:
        waiting = self._pending.get(job_id, {})
        waiting.pop(item_id, None)
        self._ended.pop((job_id, item_id), None)
        if not waiting:
            self._pending.pop(job_id, None)
