"""briarrill.state.job_directory: creates, finds and cancels batch jobs."""

import uuid

import attrs
import trio
from eliot import log_message

from ..errors import (
    BriarrillError,
    ConflictError,
    NotFoundError,
    PlatformUnavailableError,
    VersionConflictError,
    WriteUnknownError,
)
from ..protocol.messages import CancelJob, JobNotice, Message
from ..protocol.rpc import RpcCaller
from ..transport.instance_list import Role
from ..transport.key_value import KeyValue, KeyValueService
from .job_records import (
    FileRecord,
    JobRecord,
    JobState,
    decode_file_record,
    decode_job_record,
    encode_record,
    readable_job_records,
)
from .keys import FILES_PREFIX, JOBS_PREFIX, file_key, job_key, open_job_key
from .membership import Membership
from .rendezvous import rank_nodes

__all__ = ('JobDirectory',)

MAX_CANCEL_ATTEMPTS = 10

NOTICE_TIMEOUT_S = 0.4

# batch processes to which a new job is offered, in turn, until one accepts
MAX_JOB_NOTICES = 3


@attrs.frozen
class JobDirectory:
    """Stores records of files and jobs, and notifies the batch processes.

    :param port: store port of the batch processes.
    :param nursery: runs the tasks that send notices.
    """

    key_value: KeyValueService
    caller: RpcCaller
    membership: Membership
    port: int
    nursery: trio.Nursery

    async def check_available(self) -> None:
        """Check that the key-value service responds to a read.

        :raises PlatformUnavailableError: it does not, so new jobs cannot be
            recorded.
        """
        await self.key_value.read(FILES_PREFIX)

    async def create_file(self, record: FileRecord) -> FileRecord:
        """Store a file's record, or return the existing one of the file."""
        key = file_key(record.contract, record.file_id)
        service = self.key_value
        body = encode_record(record)
        if await service.compare_and_swap(key, body, mod_revision=0):
            return record
        return await self.find_file(record.contract, record.file_id)

    async def find_file(self, contract: str, file_id: str) -> FileRecord:
        """Return a file's record.

        :raises NotFoundError: the contract has no such file.
        """
        key = file_key(contract, file_id)
        entry = await self.key_value.read(key)
        if entry is None:
            raise NotFoundError(f'no file {file_id}')
        return decode_file_record(entry.body)

    async def create_job(self, job: JobRecord) -> JobRecord:
        """Store a job's record, or return the existing one of the same job.

        The index entry is written first: a job without an entry would not be
        found by batch processes, while an entry without a job is deleted
        later.

        :raises ConflictError: the job exists with another input file.
        :raises WriteUnknownError: the job may have been created; creating it
            again is safe.
        :raises PlatformUnavailableError: the job was not created.
        """
        key = job_key(job.contract, job.job_id)
        service = self.key_value
        await self._create_index_entry(key, job)
        body = encode_record(job)
        if await service.compare_and_swap(key, body, mod_revision=0):
            log_message('job:accepted', job=job.job_id, items=job.total)
            self.nursery.start_soon(self._notify_new_job, job)
            return job
        return await self._find_existing_job(job)

    async def find_job(self, contract: str, job_id: str) -> JobRecord:
        """Return a job's record.

        :raises NotFoundError: the contract has no such job.
        """
        return decode_job_record((await self._read_job(contract, job_id)).body)

    async def list_jobs(
        self, contract: str, *, after: str, limit: int
    ) -> list[JobRecord]:
        """Return jobs of a contract in the order of their identifiers.

        Those whose records are damaged are left out.

        :param after: identifier after which the list starts, empty for all.
        :param limit: maximum number of jobs.
        """
        entries = await self.key_value.read_prefix(
            f'{JOBS_PREFIX}{contract}/',
            after=job_key(contract, after) if after else '',
            limit=limit,
        )
        return list(readable_job_records(entries))

    async def cancel_job(self, contract: str, job_id: str) -> JobRecord:
        """Set a running job to CANCELLING and notify batch processes.

        A job in another state is returned unchanged.

        :raises NotFoundError: the contract has no such job.
        :raises VersionConflictError: MAX_CANCEL_ATTEMPTS writes conflicted.
        """
        for _ in range(MAX_CANCEL_ATTEMPTS):
            entry = await self._read_job(contract, job_id)
            job = decode_job_record(entry.body)
            if job.state is not JobState.IN_PROGRESS:
                return job
            job = attrs.evolve(
                job, state=JobState.CANCELLING, writer=uuid.uuid4().hex
            )
            if await self._replace_job(entry, job):
                self.nursery.start_soon(self._notify_cancellation, job)
                return job
        raise VersionConflictError(
            f'batch job {job_id}: {MAX_CANCEL_ATTEMPTS} writes of the '
            'cancellation conflicted'
        )

    async def _create_index_entry(self, key: str, job: JobRecord) -> None:
        """Create the job's entry in the index of open jobs."""
        try:
            await self.key_value.compare_and_swap(
                open_job_key(key), str(job.created_at).encode(), mod_revision=0
            )
        except WriteUnknownError as exc:
            # an index entry without a job record has no effect
            raise PlatformUnavailableError(
                exc.message, retry_after_s=exc.retry_after_s
            ) from exc

    async def _find_existing_job(self, job: JobRecord) -> JobRecord:
        """Return the existing job; reject another input file."""
        existing = await self.find_job(job.contract, job.job_id)
        if existing.input_file_id != job.input_file_id:
            raise ConflictError(
                f'{job.job_id} was created with input file '
                f'{existing.input_file_id}'
            )
        return existing

    async def _replace_job(self, entry: KeyValue, job: JobRecord) -> bool:
        """Write a job's record unless its entry has changed."""
        written = await self.key_value.compare_and_swap(
            entry.key, encode_record(job), mod_revision=entry.mod_revision
        )
        return written is not None

    async def _read_job(self, contract: str, job_id: str) -> KeyValue:
        key = job_key(contract, job_id)
        entry = await self.key_value.read(key)
        if entry is None:
            raise NotFoundError(f'no batch job {job_id}')
        return entry

    async def _notify_new_job(self, job: JobRecord) -> None:
        """Offer a new job to batch processes until one accepts.

        If none does, their periodic search finds the job later.
        """
        key = job_key(job.contract, job.job_id)
        for host in self._ranked_batch_hosts(job)[:MAX_JOB_NOTICES]:
            if await self._send_notice(host, JobNotice(job=key)):
                return

    async def _notify_cancellation(self, job: JobRecord) -> None:
        """Notify the job's owner and one other process of the cancellation.

        Every sidecar pulls from every batch process, so any of them can
        revoke the job's items when the owner is lost or does not respond.
        """
        message = CancelJob(job=job_key(job.contract, job.job_id))
        async with trio.open_nursery() as nursery:
            if job.owner_host:
                nursery.start_soon(self._send_notice, job.owner_host, message)
            for host in self._ranked_batch_hosts(job):
                is_owner = host == job.owner_host
                if not is_owner and await self._send_notice(host, message):
                    return

    def _ranked_batch_hosts(self, job: JobRecord) -> list[str]:
        """Return hosts of live batch processes, the likely owner's first."""
        hosts = {
            instance.name: instance.host
            for instance in self.membership.live_instances(Role.BATCH)
        }
        return [hosts[name] for name in rank_nodes(job.contract, hosts)]

    async def _send_notice(self, host: str, message: Message) -> bool:
        """Send a notice; return whether the process accepted it."""
        try:
            await self.caller.call(host, self.port, message, NOTICE_TIMEOUT_S)
        except BriarrillError as exc:
            log_message('job:notice-lost', reason=exc.message)
            return False
        return True
