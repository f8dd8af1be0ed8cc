"""briarrill.state.job_directory: creates, finds and cancels jobs."""

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
)
from .keys import FILES, JOBS, file_key, job_key, open_job_key
from .membership import Membership
from .rendezvous import rank

__all__ = ('JobDirectory',)

CANCEL_ATTEMPTS = 10

NOTICE_TIMEOUT_S = 0.4

# batch processes that are told of a new job, one after the other
OFFERS = 3


@attrs.frozen
class JobDirectory:
    """Records of files and jobs, and notices to the batch processes.

    :param port: store port of the batch processes.
    :param nursery: runs the notices, which nobody waits for.
    """

    key_value: KeyValueService
    caller: RpcCaller
    membership: Membership
    port: int
    nursery: trio.Nursery

    async def check_available(self) -> None:
        """Ask the key-value service for a sign of life.

        :raises PlatformUnavailableError: new work cannot be recorded now.
        """
        await self.key_value.read(FILES)

    async def create_file(self, record: FileRecord) -> FileRecord:
        """Store a file's record; the same file again is the same record."""
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
        found = await self.key_value.read(key)
        if found is None:
            raise NotFoundError(f'no file {file_id}')
        return decode_file_record(found.body)

    async def create(self, job: JobRecord) -> JobRecord:
        """Accept a job; the same job again is the accepted one.

        The index entry is written first: a job without one would not be
        found, while an entry without a job is dropped later.

        :raises ConflictError: the job's name stands for another input file.
        :raises WriteUnknownError: the job may be accepted; sending it again
            is safe.
        """
        key = job_key(job.contract, job.job_id)
        service = self.key_value
        await self._write_index(key, job)
        body = encode_record(job)
        if await service.compare_and_swap(key, body, mod_revision=0):
            log_message('job:accepted', job=job.job_id, items=job.total)
            self.nursery.start_soon(self._find_owner, job)
            return job
        return await self._find_same(job)

    async def find(self, contract: str, job_id: str) -> JobRecord:
        """Return a job's record.

        :raises NotFoundError: the contract has no such job.
        """
        return decode_job_record((await self._read(contract, job_id)).body)

    async def list_jobs(
        self, contract: str, *, after: str, limit: int
    ) -> list[JobRecord]:
        """Return some jobs of a contract in the order of their names."""
        found = await self.key_value.read_prefix(
            f'{JOBS}{contract}/',
            after=job_key(contract, after) if after else '',
            limit=limit,
        )
        return [decode_job_record(entry.body) for entry in found]

    async def cancel(self, contract: str, job_id: str) -> JobRecord:
        """Record that a job is to stop and tell its owner.

        :raises VersionConflictError: the record changed too often.
        """
        for _ in range(CANCEL_ATTEMPTS):
            found = await self._read(contract, job_id)
            job = decode_job_record(found.body)
            if job.state is not JobState.IN_PROGRESS:
                return job
            job = attrs.evolve(
                job, state=JobState.CANCELLING, writer=uuid.uuid4().hex
            )
            if await self._replace(found, job):
                self.nursery.start_soon(self._stop_streams, job)
                return job
        raise VersionConflictError('the job changed while it was cancelled')

    async def _write_index(self, key: str, job: JobRecord) -> None:
        try:
            await self.key_value.compare_and_swap(
                open_job_key(key), str(job.created_at).encode(), mod_revision=0
            )
        except WriteUnknownError as exc:
            # without the record, the entry alone runs nothing
            raise PlatformUnavailableError(
                exc.message, retry_after_s=exc.retry_after_s
            ) from exc

    async def _find_same(self, job: JobRecord) -> JobRecord:
        found = await self.find(job.contract, job.job_id)
        if found.input_file_id != job.input_file_id:
            raise ConflictError(
                f'{job.job_id} was created with input file '
                f'{found.input_file_id}'
            )
        return found

    async def _replace(self, found: KeyValue, job: JobRecord) -> bool:
        written = await self.key_value.compare_and_swap(
            found.key, encode_record(job), mod_revision=found.mod_revision
        )
        return written is not None

    async def _read(self, contract: str, job_id: str) -> KeyValue:
        key = job_key(contract, job_id)
        found = await self.key_value.read(key)
        if found is None:
            raise NotFoundError(f'no batch job {job_id}')
        return found

    async def _find_owner(self, job: JobRecord) -> None:
        """Offer a new job; it is found without this, but later."""
        key = job_key(job.contract, job.job_id)
        for host in self._batch_hosts(job)[:OFFERS]:
            if await self._notify(host, JobNotice(job=key)):
                return

    async def _stop_streams(self, job: JobRecord) -> None:
        """Have the job's items stopped, by its owner and one other.

        Every sidecar pulls from every batch process, so any of them can
        stop the job's items when the owner is lost or does not answer.
        """
        message = CancelJob(job=job_key(job.contract, job.job_id))
        async with trio.open_nursery() as nursery:
            if job.owner_host:
                nursery.start_soon(self._notify, job.owner_host, message)
            for host in self._batch_hosts(job):
                is_owner = host == job.owner_host
                if not is_owner and await self._notify(host, message):
                    return

    def _batch_hosts(self, job: JobRecord) -> list[str]:
        """Return the batch processes, the job's likely owner first."""
        hosts = {
            instance.name: instance.host
            for instance in self.membership.live(Role.BATCH)
        }
        return [hosts[name] for name in rank(job.contract, hosts)]

    async def _notify(self, host: str, message: Message) -> bool:
        try:
            await self.caller.call(host, self.port, message, NOTICE_TIMEOUT_S)
        except BriarrillError as exc:
            log_message('job:notice-lost', reason=exc.message)
            return False
        return True
