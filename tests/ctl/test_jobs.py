"""Job commands against an in-memory key-value service."""

import contextlib
import json

import pytest
import trio

from briarrill.ctl import jobs
from briarrill.ctl.main import main
from briarrill.runtime import Platform
from briarrill.state.job_records import (
    JobRecord,
    JobState,
    ResultSegment,
    SegmentRef,
    decode_job_record,
    encode_record,
)
from briarrill.state.keys import job_key, open_job_key
from briarrill.state.settings import CtlSettings, PlatformSettings
from standins.memory_key_value import MemoryKeyValue

SETTINGS = CtlSettings(
    PlatformSettings('http://127.0.0.1:2379', 'http://127.0.0.1:8500')
)


class _NoInstances:
    async def fetch(self):
        return ()


@pytest.fixture
def service(monkeypatch):
    """Return the in-memory key-value service that the commands use."""
    store = MemoryKeyValue()
    platform = Platform(store, _NoInstances())

    @contextlib.asynccontextmanager
    async def open_platform(_cfg):
        yield platform

    monkeypatch.setattr(jobs, 'open_platform', open_platform)
    monkeypatch.setattr(jobs, 'read_settings', lambda _arguments: SETTINGS)
    return store


def _job(job_id, state, done=0):
    ref = SegmentRef('s', done, 1, ())
    return JobRecord(
        job_id=job_id,
        contract='kinship',
        input_file_id='file-1',
        total=10,
        endpoint='/v1/chat/completions',
        created_at=1_700_000_000,
        due_at=1_700_086_400,
        writer='w',
        state=state,
        results=(ResultSegment(ref, failed=1),) if done else (),
        finished_at=1_700_000_060 if state.is_final else 0,
    )


async def _write_job(service, job):
    key = job_key(job.contract, job.job_id)
    await service.compare_and_swap(key, encode_record(job), mod_revision=0)
    if not job.state.is_final:
        index = open_job_key(key)
        await service.compare_and_swap(index, b'1', mod_revision=0)


async def _run(capsys, command, job='', is_all=False):
    """Run a command; return the rows that it printed as JSON."""
    arguments = {
        '--settings': 'ctl.toml',
        '--all': is_all,
        '--json': True,
        'CONTRACT': 'kinship',
        'JOB': job,
    }
    with trio.fail_after(10):
        await command(arguments)
    return json.loads(capsys.readouterr().out)


async def test_list_shows_unfinished_jobs_and_with_all_every_job(
    service, capsys
):
    await _write_job(service, _job('open', JobState.IN_PROGRESS, done=4))
    await _write_job(service, _job('done', JobState.COMPLETED, done=10))
    rows = await _run(capsys, jobs.list_jobs)
    assert [(row['job'], row['done'], row['failed']) for row in rows] == [
        ('open', 4, 1)
    ]
    rows = await _run(capsys, jobs.list_jobs, is_all=True)
    assert sorted(row['job'] for row in rows) == ['done', 'open']


async def test_show_finished_job_prints_its_end(service, capsys):
    await _write_job(service, _job('done', JobState.COMPLETED, done=10))
    rows = await _run(capsys, jobs.show_job, 'done')
    assert rows[0]['expected_end'] == '2023-11-14T22:14:20Z'


async def test_cancel_sets_job_state_to_cancelling(service, capsys):
    await _write_job(service, _job('open', JobState.IN_PROGRESS))
    rows = await _run(capsys, jobs.cancel_job, 'open')
    assert rows[0]['state'] == 'cancelling'
    entry = await service.read(job_key('kinship', 'open'))
    assert decode_job_record(entry.body).state is JobState.CANCELLING


def test_cancel_unknown_job_prints_one_line_and_fails(
    service, capsys, monkeypatch
):
    argv = ['briarrill-ctl', 'cancel', 'kinship', 'none']
    monkeypatch.setattr('sys.argv', argv)
    assert main() == 1
    assert capsys.readouterr().err == 'NOT_FOUND (120): no batch job none\n'


async def test_list_as_table_has_a_column_for_each_field(service, capsys):
    await _write_job(service, _job('open', JobState.IN_PROGRESS))
    arguments = {'--settings': '', '--all': False, '--json': False}
    await jobs.list_jobs(arguments)
    head, row = capsys.readouterr().out.splitlines()
    assert head.split()[:3] == ['contract', 'job', 'state']
    assert row.split()[:3] == ['kinship', 'open', 'in_progress']
