"""Tests of reading the results that a table of jobs lacks."""

from briarrill.coordination.job_table import JobTable
from briarrill.state.stored_jobs import (
    ItemState,
    StoredResult,
    result_creation_changes,
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
