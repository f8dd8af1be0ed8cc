"""briarrill.batch.ownership: whether this process may still act for a job.

The lease of the claim is checked by the monotonic clock right before each
item is handed out, so a process that was frozen past its lease hands out
nothing when it thaws. When the lease has lapsed, only the key-value service
knows who owns the job: if it does not answer either, nobody else can claim
the job, and it goes on; if it answers, the job is claimed anew or lost.
"""

import trio
from eliot import log_message

from ..errors import BriarrillError, VersionConflictError
from ..state.job_records import JobState
from .job_store import JobStore, OwnedJob

__all__ = ('Ownership',)

CHECK_INTERVAL_S = 0.25


class Ownership:
    """The hold on one job.

    :param job: the job, owned by this process when it was claimed.
    """

    def __init__(self, job: OwnedJob, store: JobStore) -> None:
        """Start with a fresh claim."""
        self.job = job
        self._store = store
        self._is_outage = False
        self._check = trio.Event()

    @property
    def may_act(self) -> bool:
        """Whether items may be handed out now."""
        return self._is_outage or self._store.holds(self.job)

    def check_record(self) -> None:
        """Read the record soon: a sidecar says that the job is cancelled."""
        self._check.set()

    async def wait_cancelled(self) -> None:
        """Keep the hold until the record says that the job is cancelled.

        :raises VersionConflictError: another process owns the job now.
        """
        while self.job.record.state is not JobState.CANCELLING:
            with trio.move_on_after(CHECK_INTERVAL_S):
                await self._check.wait()
            if self._check.is_set() or not self._store.holds(self.job):
                self._check = trio.Event()
                await self._ask_service()

    async def _ask_service(self) -> None:
        try:
            await self._read_or_renew()
        except VersionConflictError:
            raise
        except BriarrillError as exc:
            self._set_outage(reason=exc.message)
        else:
            self._is_outage = False

    async def _read_or_renew(self) -> None:
        if self._store.lease.is_valid and not self._store.holds(self.job):
            await self._store.renew_claim(self.job)
            log_message('job:claim-renewed', epoch=self.job.record.epoch)
        else:
            await self._store.refresh(self.job)

    def _set_outage(self, reason: str) -> None:
        if not self._is_outage:
            log_message('job:outage', reason=reason)
        self._is_outage = True
