"""briarrill.entry.jobs: creates, finds and cancels jobs."""

import uuid

import attrs
import trio
from eliot import log_message

from ..control import Control
from ..coordination.rendezvous import rank
from ..errors import BriarrillError, NotFoundError, VersionConflictError
from ..protocol.messages import CancelJob, JobNotice, Message
from ..state.job_records import (
    FileRecord,
    JobRecord,
    JobState,
    decode_file_record,
    decode_job_record,
    encode_record,
)
from ..state.keys import JOBS, file_key, job_key
from ..transport.instance_list import Role
from ..transport.key_value import KeyValue

__all__ = ('JobDirectory',)

CANCEL_ATTEMPTS = 10


@attrs.frozen
class JobDirectory:
    """Records of files and jobs, and notices to the batch processes.

    :param nursery: runs the notices, which nobody waits for.
    """

    control: Control
    nursery: trio.Nursery

    async def create_file(self, record: FileRecord) -> FileRecord:
        """Store a file's record; the same file again is the same record."""
        key = file_key(record.contract, record.file_id)
        service = self.control.platform.key_value
        body = encode_record(record)
        if await service.compare_and_swap(key, body, mod_revision=0):
            return record
        return await self.find_file(record.contract, record.file_id)

    async def find_file(self, contract: str, file_id: str) -> FileRecord:
        """Return a file's record.

        :raises NotFoundError: the contract has no such file.
        """
        key = file_key(contract, file_id)
        found = await self.control.platform.key_value.read(key)
        if found is None:
            raise NotFoundError(f'no file {file_id}')
        return decode_file_record(found.body)

    async def create(self, job: JobRecord) -> JobRecord:
        """Accept a job; the same job again is the accepted one."""
        key = job_key(job.contract, job.job_id)
        body = encode_record(job)
        service = self.control.platform.key_value
        if await service.compare_and_swap(key, body, mod_revision=0):
            log_message('job:accepted', job=job.job_id, items=job.total)
            self._notify(job, JobNotice(job=key))
            return job
        return await self.find(job.contract, job.job_id)

    async def find(self, contract: str, job_id: str) -> JobRecord:
        """Return a job's record.

        :raises NotFoundError: the contract has no such job.
        """
        return decode_job_record((await self._read(contract, job_id)).body)

    async def list_jobs(
        self, contract: str, *, after: str, limit: int
    ) -> list[JobRecord]:
        """Return some jobs of a contract in the order of their names."""
        found = await self.control.platform.key_value.read_prefix(
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
                self._notify(job, CancelJob(job=found.key))
                return job
        raise VersionConflictError('the job changed while it was cancelled')

    async def _replace(self, found: KeyValue, job: JobRecord) -> bool:
        written = await self.control.platform.key_value.compare_and_swap(
            found.key, encode_record(job), mod_revision=found.mod_revision
        )
        return written is not None

    async def _read(self, contract: str, job_id: str) -> KeyValue:
        key = job_key(contract, job_id)
        found = await self.control.platform.key_value.read(key)
        if found is None:
            raise NotFoundError(f'no batch job {job_id}')
        return found

    def _notify(self, job: JobRecord, message: Message) -> None:
        hosts = {
            instance.name: instance.host
            for instance in self.control.membership.live(Role.BATCH)
        }
        ranked = [hosts[name] for name in rank(job.job_id, hosts)]
        host = job.owner_host or next(iter(ranked), '')
        if host:
            self.nursery.start_soon(self._send_notice, host, message)

    async def _send_notice(self, host: str, message: Message) -> None:
        """Tell a batch process; it finds the record by itself otherwise."""
        port = self.control.ports.batch_store
        try:
            await self.control.caller.call(host, port, message)
        except BriarrillError as exc:
            log_message('job:notice-lost', reason=exc.message)
