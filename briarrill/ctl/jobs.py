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
from ..state.keys import JOBS, OPEN_JOBS
from ..state.membership import Membership
from ..state.settings import CtlSettings
from ..transport.key_value import KeyValue, KeyValueService
from .arguments import Arguments, read_settings
from .tables import print_rows

__all__ = ('cancel_job', 'list_jobs', 'show_job')

# keys read in one call
PAGE = 100

# time for the batch processes to hear of a cancelled job
NOTICE_TIMEOUT_S = 2.0


@attrs.frozen
class JobRow:
    """A job as operators see it."""

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
    """Print unfinished jobs, or all of them."""
    settings = read_settings(arguments)
    rows = []
    async with open_platform(settings.platform) as platform:
        jobs = _all_jobs if arguments['--all'] else _open_jobs
        async for job in jobs(platform.key_value):
            rows.append(_row(job))
    print_rows(rows, as_json=arguments['--json'])


async def show_job(arguments: Arguments) -> None:
    """Print one job."""
    settings = read_settings(arguments)
    async with (
        open_platform(settings.platform) as platform,
        _open_directory(settings, platform) as directory,
    ):
        job = await directory.find(arguments['CONTRACT'], arguments['JOB'])
    print_rows([_row(job)], as_json=arguments['--json'])


async def cancel_job(arguments: Arguments) -> None:
    """Cancel a job and print it."""
    settings = read_settings(arguments)
    async with (
        open_platform(settings.platform) as platform,
        _open_directory(settings, platform) as directory,
    ):
        job = await directory.cancel(arguments['CONTRACT'], arguments['JOB'])
    print_rows([_row(job)], as_json=arguments['--json'])


@contextlib.asynccontextmanager
async def _open_directory(
    settings: CtlSettings, platform: Platform
) -> AsyncIterator[JobDirectory]:
    """Open a directory of jobs; its notices are sent before it closes."""
    instances = await platform.instance_list.fetch()
    async with open_rpc_pool() as caller:
        with trio.move_on_after(NOTICE_TIMEOUT_S) as limit:
            limit.deadline = float('inf')
            async with trio.open_nursery() as nursery:
                yield JobDirectory(
                    key_value=platform.key_value,
                    caller=caller,
                    membership=Membership(instances),
                    port=settings.ports.batch_store,
                    nursery=nursery,
                )
                limit.deadline = trio.current_time() + NOTICE_TIMEOUT_S


async def _open_jobs(service: KeyValueService) -> AsyncIterator[JobRecord]:
    async for entry in _entries(service, OPEN_JOBS):
        name = entry.key.removeprefix(OPEN_JOBS)
        found = await service.read(f'{JOBS}{name}')
        if found is not None:
            yield decode_job_record(found.body)


async def _all_jobs(service: KeyValueService) -> AsyncIterator[JobRecord]:
    async for entry in _entries(service, JOBS):
        yield decode_job_record(entry.body)


async def _entries(
    service: KeyValueService, prefix: str
) -> AsyncIterator[KeyValue]:
    """Yield all keys under a prefix, a page at a time."""
    after = ''
    while page := await service.read_prefix(prefix, after=after, limit=PAGE):
        for entry in page:
            yield entry
        after = page[-1].key


def _row(job: JobRecord) -> JobRow:
    return JobRow(
        contract=job.contract,
        job=job.job_id,
        state=job.state.value,
        done=job.done,
        failed=job.failed,
        total=job.total,
        owner=job.owner or '-',
        due=_moment(job.due_at),
        expected_end=_expected_end(job),
    )


def _expected_end(job: JobRecord) -> str:
    """Return the end if the job goes on at its average pace."""
    if job.state.is_final:
        return _moment(job.finished_at)
    if not job.done:
        return '-'
    now = time.time()
    pace_s = (now - job.created_at) / job.done
    return _moment(now + pace_s * (job.total - job.done))


def _moment(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, tz=datetime.UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%SZ')
