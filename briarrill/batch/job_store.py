"""briarrill.batch.job_store: ownership of jobs in the key-value service."""

import time
import uuid
from collections.abc import Callable, Iterable

import attrs

from ..coordination.leases import Lease
from ..errors import InternalError, VersionConflictError
from ..state.job_records import (
    FileRecord,
    JobRecord,
    JobState,
    ResultSegment,
    decode_file_record,
    decode_job_record,
    encode_record,
)
from ..state.keys import LEASES_PREFIX, file_key, open_job_key
from ..transport.key_value import KeyValueService

__all__ = ('JobStore', 'OwnedJob')

MAX_RECORD_UPDATE_ATTEMPTS = 5


@attrs.define
class OwnedJob:
    """A job's record as this owner last read or wrote it.

    :param key: key of the record.
    :param mod_revision: revision of the record, for compare-and-swap.
    :param lease_id: lease under which the job was claimed.
    """

    key: str
    record: JobRecord
    mod_revision: int
    lease_id: int
    input_file: FileRecord


@attrs.frozen
class JobStore:
    """Reads, claims and commits jobs for one batch process.

    :param lease: lease of this process; writes need it to be valid.
    :param process: name written as the owner; unique to each start of the
        process, so that jobs of an earlier start are not taken for its own.
    :param host: address at which entries reach the owner.
    """

    service: KeyValueService
    lease: Lease
    process: str
    host: str

    def is_claim_valid(self, job: OwnedJob) -> bool:
        """Return whether the lease of the job's claim is still valid."""
        return self.lease.is_valid and self.lease.lease_id == job.lease_id

    async def claim(self, key: str) -> OwnedJob | None:
        """Make this process the owner of a job, under a new epoch.

        Returns ``None`` if the job is missing or final, has a live owner, or
        its record changed during the claim.

        :raises InternalError: the record of the input file is missing.
        """
        stored = await self.service.read(key)
        if stored is None:
            return None
        record = decode_job_record(stored.body)
        if record.state.is_final or not await self._is_orphan(record):
            return None
        self.lease.check()
        job = OwnedJob(
            key=key,
            record=record,
            mod_revision=stored.mod_revision,
            lease_id=self.lease.lease_id,
            input_file=await self._read_input_file_record(record),
        )
        return (
            job
            if await self._write(job, self._with_this_owner(record))
            else None
        )

    async def renew_claim(self, job: OwnedJob) -> None:
        """Claim a job again after its lease expired and a new one was granted.

        Another process may claim it at the same time, so the
        compare-and-swap of the record decides.

        :raises VersionConflictError: another process owns the job now.
        """
        lease_id = self.lease.lease_id
        self.lease.check()
        await self.refresh(job)
        if not await self._write(job, self._with_this_owner(job.record)):
            raise VersionConflictError(
                f'{job.key}: another process claimed the job'
            )
        job.lease_id = lease_id

    async def release(self, job: OwnedJob) -> None:
        """Remove the owner, so that another process can claim the job at once.

        :raises VersionConflictError: another process owns the job now.
        """
        await self._update(
            job, lambda record: attrs.evolve(record, owner='', owner_host='')
        )

    async def commit(
        self, job: OwnedJob, segments: Iterable[ResultSegment], done: bytes
    ) -> None:
        """Add result segments to the job's record.

        An earlier commit may have taken effect although its reply was lost,
        so segments that the record already names are not added again.

        :param done: packed map of the finished items.
        :raises VersionConflictError: another process owns the job now.
        """
        added = tuple(segments)
        await self._update(
            job, lambda record: _add_missing_segments(record, added, done)
        )

    async def finish(self, job: OwnedJob, state: JobState) -> None:
        """Write the job's final state and remove it from the index.

        :raises VersionConflictError: another process owns the job now.
        """
        await self._update(
            job,
            lambda record: attrs.evolve(
                record, state=state, finished_at=int(time.time())
            ),
        )
        await self.remove_from_index(job.key)

    async def remove_from_index(self, key: str) -> None:
        """Delete a finished job's entry in the index of open jobs."""
        index_key = open_job_key(key)
        stored = await self.service.read(index_key)
        if stored is not None:
            await self.service.delete(
                index_key, mod_revision=stored.mod_revision
            )

    async def refresh(self, job: OwnedJob) -> None:
        """Read the job's record again.

        :raises VersionConflictError: the record is missing, or another
            process owns the job now.
        """
        stored = await self.service.read(job.key)
        if stored is None:
            raise VersionConflictError(f'{job.key}: the record is missing')
        record = decode_job_record(stored.body)
        is_own = record.owner == self.process
        if not is_own or record.epoch < job.record.epoch:
            raise VersionConflictError(
                f'{job.key}: the owner is now {record.owner!r}'
            )
        job.record = record
        job.mod_revision = stored.mod_revision

    async def _update(
        self, job: OwnedJob, change: Callable[[JobRecord], JobRecord]
    ) -> None:
        """Write a changed record; read it again and retry on a conflict.

        :raises VersionConflictError: another process owns the job now, or
            MAX_RECORD_UPDATE_ATTEMPTS writes conflicted.
        """
        for _ in range(MAX_RECORD_UPDATE_ATTEMPTS):
            self.lease.check()
            if await self._write(job, change(job.record)):
                return
            await self.refresh(job)
        raise VersionConflictError(
            f'{job.key}: {MAX_RECORD_UPDATE_ATTEMPTS} updates conflicted'
        )

    def _with_this_owner(self, record: JobRecord) -> JobRecord:
        """Return the record with this owner and the next epoch."""
        return attrs.evolve(
            record,
            owner=self.process,
            owner_host=self.host,
            epoch=record.epoch + 1,
        )

    async def _is_orphan(self, record: JobRecord) -> bool:
        """Return whether no other live process owns the job."""
        if record.owner in {'', self.process}:
            return True
        return (
            await self.service.read(f'{LEASES_PREFIX}{record.owner}') is None
        )

    async def _read_input_file_record(self, record: JobRecord) -> FileRecord:
        key = file_key(record.contract, record.input_file_id)
        stored = await self.service.read(key)
        if stored is None:
            raise InternalError(
                f'record {key} of the input file of {record.job_id} is missing'
            )
        return decode_file_record(stored.body)

    async def _write(self, job: OwnedJob, record: JobRecord) -> bool:
        """Replace the record; return False if it changed since the read."""
        written_record = attrs.evolve(record, writer=uuid.uuid4().hex)
        revision = await self.service.compare_and_swap(
            job.key,
            encode_record(written_record),
            mod_revision=job.mod_revision,
        )
        if revision is None:
            return False
        job.record = written_record
        job.mod_revision = revision
        return True


def _add_missing_segments(
    record: JobRecord, segments: tuple[ResultSegment, ...], done: bytes
) -> JobRecord:
    """Return the record with segments that it does not name yet."""
    recorded_names = {segment.ref.name for segment in record.results}
    added = [
        segment
        for segment in segments
        if segment.ref.name not in recorded_names
    ]
    return attrs.evolve(
        record, results=(*record.results, *added), done_map=done
    )
