"""Tests of reading the results that a table of jobs lacks."""

import pytest

from briarrill.coordination.job_table import JobTable
from briarrill.coordination.mirror import Mirror, MirrorChanges
from briarrill.state.keys import job_results_prefix
from briarrill.state.stored_jobs import (
    ItemState,
    StoredResult,
    job_creation_changes,
    result_creation_changes,
)
from briarrill.transport.key_value import (
    KeyChange,
    KeySnapshot,
    KeyValue,
    WatchEvent,
)
from standins.memory_key_value import MemoryKeyValue
from tests.state.test_stored_jobs import make_job


async def test_only_missing_results_are_read_in_one_call():
    service = MemoryKeyValue()
    table = JobTable(service)
    tracked = table.add(make_job(count=4))
    stored = [
        StoredResult(f'j1-{number}', ItemState.COMPLETED, 'text')
        for number in range(4)
    ]
    for position in (0, 2):
        changes = result_creation_changes(
            'j1', position, stored[position : position + 2]
        )
        await service.transact(changes)
        calls_before = service.calls.total()
        await table.read_results(tracked)
        assert service.calls.total() == calls_before + 1
        assert tracked.results == stored[: position + 2]
    assert not tracked.is_open


def _key_values(changes, revision):
    return tuple(
        KeyValue(change.key, change.body, revision) for change in changes
    )


def test_job_keeps_its_results_when_an_older_snapshot_lacks_its_record():
    """The snapshot's first page is older than the job, its last is not."""
    table = JobTable(MemoryKeyValue())
    mirror = Mirror(MemoryKeyValue(), '', table)
    stored = [StoredResult('j1-0', ItemState.COMPLETED, 'text')]
    record = _key_values(job_creation_changes(make_job(), 1_000_000), 4)
    results = _key_values(result_creation_changes('j1', 0, stored), 5)
    keys = tuple(entry.key for entry in (*record, *results))
    mirror.apply_changes(MirrorChanges(keys, (*record, *results)))
    mirror._apply_snapshot(KeySnapshot(results, 3))
    for entry in record:
        mirror._apply_event(
            WatchEvent(entry.key, entry.body, entry.mod_revision)
        )
    assert table.find('j1').results == stored


@pytest.mark.parametrize('number', ['', 'x', '-1', '1_0', '9' * 5000])
async def test_result_at_an_odd_position_is_skipped(number):
    service = MemoryKeyValue()
    table = JobTable(service)
    result = StoredResult('j1-0', ItemState.COMPLETED)
    changes = [
        *job_creation_changes(make_job(), 1_000_000),
        *result_creation_changes('j1', 0, [result]),
    ]
    odd_key = f'{job_results_prefix("j1")}{number}'
    await service.transact([*changes, KeyChange(odd_key, changes[-1].body)])
    tracked = await table.read('j1')
    assert tracked.results == [result]
