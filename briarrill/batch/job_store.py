"""briarrill.batch.job_store: ownership of jobs in the key-value service."""

import time
import uuid
from collections.abc import Callable

import attrs

from ..coordination.leases import Lease
from ..errors import VersionConflictError
from ..state.job_records import (
    JobRecord,
    JobState,
    ResultSegment,
    decode_job_record,
    encode_record,
)
from ..state.keys import JOBS, LEASES
from ..transport.key_value import KeyValueService

__all__ = ('JobStore', 'OwnedJob')

COMMIT_ATTEMPTS = 5


@attrs.define
class OwnedJob:
    """A job as its owner last wrote or read it."""

    key: str
    record: JobRecord
    mod_revision: int


@attrs.frozen
class JobStore:
    """Reads, claims and commits jobs for one batch process.

    :param process: name of the owner.
    :param host: address at which entries reach the owner.
    """

    service: KeyValueService
    lease: Lease
    process: str
    host: str

    async def find_unowned(self) -> list[str]:
        """Return keys of unfinished jobs whose owner has no lease."""
        alive = {
            entry.key.removeprefix(LEASES)
            for entry in await self.service.read_prefix(LEASES)
        }
        return [
            entry.key
            for entry in await self.service.read_prefix(JOBS)
            if _waits_for_owner(decode_job_record(entry.body), alive)
        ]

    async def claim(self, key: str) -> OwnedJob | None:
        """Become the owner under a new epoch, unless another was faster."""
        found = await self.service.read(key)
        if found is None:
            return None
        record = decode_job_record(found.body)
        if record.state.is_final or not await self._is_orphan(record):
            return None
        self.lease.check()
        claimed = attrs.evolve(
            record,
            owner=self.process,
            owner_host=self.host,
            epoch=record.epoch + 1,
            writer=uuid.uuid4().hex,
        )
        revision = await self._write(key, claimed, found.mod_revision)
        if revision is None:
            return None
        return OwnedJob(key, claimed, revision)

    async def commit(self, job: OwnedJob, segment: ResultSegment) -> None:
        """Add a result segment to the job's record.

        :raises VersionConflictError: another process owns the job now.
        """
        await self._update(job, lambda record: _with_segment(record, segment))

    async def finish(self, job: OwnedJob, state: JobState) -> None:
        """Write the job's final state."""
        await self._update(
            job,
            lambda record: attrs.evolve(
                record, state=state, finished_at=int(time.time())
            ),
        )

    async def refresh(self, job: OwnedJob) -> None:
        """Read the record anew.

        :raises VersionConflictError: another process owns the job now.
        """
        found = await self.service.read(job.key)
        if found is None:
            raise VersionConflictError('the job was deleted')
        record = decode_job_record(found.body)
        if record.epoch != job.record.epoch:
            raise VersionConflictError('the job has another owner')
        job.record = record
        job.mod_revision = found.mod_revision

    async def _update(
        self, job: OwnedJob, change: Callable[[JobRecord], JobRecord]
    ) -> None:
        for _ in range(COMMIT_ATTEMPTS):
            self.lease.check()
            changed = attrs.evolve(change(job.record), writer=uuid.uuid4().hex)
            revision = await self._write(job.key, changed, job.mod_revision)
            if revision is not None:
                job.record = changed
                job.mod_revision = revision
                return
            await self.refresh(job)
        raise VersionConflictError('the job changed too often')

    async def _is_orphan(self, record: JobRecord) -> bool:
        if record.owner in {'', self.process}:
            return True
        return await self.service.read(f'{LEASES}{record.owner}') is None

    async def _write(
        self, key: str, record: JobRecord, mod_revision: int
    ) -> int | None:
        return await self.service.compare_and_swap(
            key, encode_record(record), mod_revision=mod_revision
        )


def _waits_for_owner(record: JobRecord, alive: set[str]) -> bool:
    return not record.state.is_final and record.owner not in alive


def _with_segment(record: JobRecord, segment: ResultSegment) -> JobRecord:
    return attrs.evolve(record, results=(*record.results, segment))
