"""briarrill.ctl.jobs: commands on batch jobs."""

import contextlib
import datetime
import time
from collections.abc import AsyncIterator

import attrs
import trio

from ..protocol.rpc import open_rpc_pool
from ..runtime import Platform, open_platform
from ..state.job_directory import JobDirectory
from ..state.job_records import JobRecord, decode_job_record
from ..state.keys import JOBS_PREFIX, OPEN_JOBS_PREFIX
from ..state.membership import Membership
from ..state.settings import CtlSettings
from ..transport.key_value import KeyValue, KeyValueService
from .arguments import Arguments, read_settings
from .tables import print_rows

__all__ = ('cancel_job', 'list_jobs', 'show_job')

# keys read in one call to the key-value service
KEYS_PER_PAGE = 100

# time limit for notifying the batch processes of a cancelled job
NOTICE_TIMEOUT_S = 2.0


@attrs.frozen
class JobRow:
    """Row of a job in the output of the job commands.

    :param due: end of the completion window, in UTC.
    :param expected_end: end of a finished job, otherwise an estimate, in
        UTC; ``-`` before the first item is done.
    """

    contract: str
    job: str
    state: str
    done: int
    failed: int
    total: int
    owner: str
    due: str
    expected_end: str


async def list_jobs(arguments: Arguments) -> None:
    """Print unfinished jobs; with ``--all`` finished ones too."""
    settings = read_settings(arguments)
    rows = []
    async with open_platform(settings.platform) as platform:
        jobs = _read_all_jobs if arguments['--all'] else _read_open_jobs
        async for job in jobs(platform.key_value):
            rows.append(_job_row(job))
    print_rows(rows, as_json=arguments['--json'])


async def show_job(arguments: Arguments) -> None:
    """Print one job.

    :raises NotFoundError: the contract has no such job.
    """
    settings = read_settings(arguments)
    async with (
        open_platform(settings.platform) as platform,
        _open_directory(settings, platform) as directory,
    ):
        job = await directory.find_job(arguments['CONTRACT'], arguments['JOB'])
    print_rows([_job_row(job)], as_json=arguments['--json'])


async def cancel_job(arguments: Arguments) -> None:
    """Cancel a job and print it.

    :raises NotFoundError: the contract has no such job.
    """
    settings = read_settings(arguments)
    async with (
        open_platform(settings.platform) as platform,
        _open_directory(settings, platform) as directory,
    ):
        job = await directory.cancel_job(
            arguments['CONTRACT'], arguments['JOB']
        )
    print_rows([_job_row(job)], as_json=arguments['--json'])


@contextlib.asynccontextmanager
async def _open_directory(
    settings: CtlSettings, platform: Platform
) -> AsyncIterator[JobDirectory]:
    """Open the job directory; its notices are sent before it closes.

    Closing waits for them at most ``NOTICE_TIMEOUT_S``.
    """
    instances = await platform.instance_list.fetch()
    async with open_rpc_pool() as caller:
        with trio.move_on_after(NOTICE_TIMEOUT_S) as notice_scope:
            notice_scope.deadline = float('inf')
            async with trio.open_nursery() as nursery:
                yield JobDirectory(
                    key_value=platform.key_value,
                    caller=caller,
                    membership=Membership(instances),
                    port=settings.ports.batch_store,
                    nursery=nursery,
                )
                notice_scope.deadline = trio.current_time() + NOTICE_TIMEOUT_S


async def _read_open_jobs(
    service: KeyValueService,
) -> AsyncIterator[JobRecord]:
    """Yield the jobs in the index of unfinished jobs."""
    async for index_entry in _read_entries(service, OPEN_JOBS_PREFIX):
        name = index_entry.key.removeprefix(OPEN_JOBS_PREFIX)
        entry = await service.read(f'{JOBS_PREFIX}{name}')
        if entry is not None:
            yield decode_job_record(entry.body)


async def _read_all_jobs(service: KeyValueService) -> AsyncIterator[JobRecord]:
    async for entry in _read_entries(service, JOBS_PREFIX):
        yield decode_job_record(entry.body)


async def _read_entries(
    service: KeyValueService, prefix: str
) -> AsyncIterator[KeyValue]:
    """Yield the keys under a prefix in key order, read in pages."""
    after = ''
    while page := await service.read_prefix(
        prefix, after=after, limit=KEYS_PER_PAGE
    ):
        for entry in page:
            yield entry
        after = page[-1].key


def _job_row(job: JobRecord) -> JobRow:
    return JobRow(
        contract=job.contract,
        job=job.job_id,
        state=job.state.value,
        done=job.done,
        failed=job.failed,
        total=job.total,
        owner=job.owner or '-',
        due=_format_time(job.due_at),
        expected_end=_expected_end(job),
    )


def _expected_end(job: JobRecord) -> str:
    """Return the end of a finished job, or an estimate, as UTC text.

    The estimate assumes the average rate of items since the job's creation.
    """
    if job.state.is_final:
        return _format_time(job.finished_at)
    if not job.done:
        return '-'
    now = time.time()
    s_per_item = (now - job.created_at) / job.done
    return _format_time(now + s_per_item * (job.total - job.done))


def _format_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, tz=datetime.UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%SZ')
