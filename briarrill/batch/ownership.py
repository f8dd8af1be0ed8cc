"""briarrill.batch.ownership: checks whether this process still owns a job.

The lease of the claim is checked by the monotonic clock right before each item
is assigned, so a process that was suspended past its lease assigns nothing
after it resumes. Once the lease has expired, only the key-value service knows
the owner. If the service responds, the claim is renewed or lost. If it does
not, this process continues, until a sidecar stops one of its items: then the
job was cancelled, or the service responds to another process, which owns it.
"""

import trio
from eliot import log_message

from ..errors import BriarrillError, VersionConflictError
from ..state.job_records import JobState
from .job_store import JobStore, OwnedJob

__all__ = ('Ownership',)

LEASE_CHECK_INTERVAL_S = 0.25


class Ownership:
    """Tracks whether this process still owns one job.

    :param job: the job, owned by this process when it was claimed.
    """

    def __init__(self, job: OwnedJob, store: JobStore) -> None:
        """Start with the claim valid and the service available."""
        self.job = job
        self._store = store
        self._is_service_down = False
        self._is_contested = False
        self._check_requested = trio.Event()

    @property
    def may_assign(self) -> bool:
        """Whether items of the job may be assigned now.

        True while the claim's lease is valid, or while the key-value service
        is unavailable and the lease could not be verified; False from an item
        that came back cancelled until the record was read.
        """
        if self._is_contested:
            return False
        return self._is_service_down or self._store.is_claim_valid(self.job)

    def request_record_check(self) -> None:
        """Schedule a read of the record after an item came back cancelled."""
        self._is_contested = True
        self._check_requested.set()

    async def wait_until_cancelled(self) -> None:
        """Verify the ownership until the record's state is CANCELLING.

        :raises VersionConflictError: another process owns the job now.
        """
        while self.job.record.state is not JobState.CANCELLING:
            with trio.move_on_after(LEASE_CHECK_INTERVAL_S):
                await self._check_requested.wait()
            if self._is_contested or not self._store.is_claim_valid(self.job):
                self._check_requested = trio.Event()
                await self._check_ownership()

    async def _check_ownership(self) -> None:
        """Verify or renew the claim; detect an outage of the service."""
        try:
            await self._refresh_or_renew_claim()
        except VersionConflictError:
            raise
        except BriarrillError as exc:
            self._mark_service_down(reason=exc.message)
        else:
            self._is_service_down = False
            self._is_contested = self._check_requested.is_set()

    async def _refresh_or_renew_claim(self) -> None:
        """Renew the claim under a new lease, else read the record."""
        if self._store.lease.is_valid and not self._store.is_claim_valid(
            self.job
        ):
            await self._store.renew_claim(self.job)
            log_message('job:claim-renewed', epoch=self.job.record.epoch)
        else:
            await self._store.refresh(self.job)

    def _mark_service_down(self, reason: str) -> None:
        if not self._is_service_down:
            log_message('job:outage', reason=reason)
        self._is_service_down = True
