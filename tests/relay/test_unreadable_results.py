"""Reads of a job with a result that cannot be read."""

import json

import pytest

from briarrill.coordination.relay_protocol import IntentKind
from briarrill.errors import PlatformUnavailableError
from briarrill.state.keys import (
    job_body_prefix,
    job_results_prefix,
    numbered_key,
)
from briarrill.state.stored_jobs import (
    ItemState,
    StoredResult,
    job_creation_changes,
    result_creation_changes,
)
from briarrill.transport.key_value import KeyChange
from standins.memory_key_value import MemoryKeyValue
from tests.relay.test_job_calls import EntryHandler
from tests.state.test_stored_jobs import make_job

DAMAGED_KEY = numbered_key(job_results_prefix('j1'), 1)


async def _read(entry, position, job_id='j1'):
    """Return the identifiers of the results from a position on."""
    status, body = await entry(
        IntentKind.READ_RESULTS, position=position, job_id=job_id
    )
    assert status == 200
    return [result['id'] for result in json.loads(body)['results']]


@pytest.fixture
async def service():
    """Return a service with the results of two jobs, one of them damaged."""
    service = MemoryKeyValue()
    for job_id in ('j1', 'j2'):
        job = make_job(job_id)
        await service.transact(job_creation_changes(job, 1_000_000))
        results = [
            StoredResult(stored.item_id, ItemState.COMPLETED, 'x')
            for stored in job.items
        ]
        await service.transact(result_creation_changes(job_id, 0, results))
    await service.transact([KeyChange(DAMAGED_KEY, b'\xc1')])
    return service


@pytest.mark.parametrize('is_behind', [False, True])
@pytest.mark.parametrize('is_followed', [False, True])
async def test_position_that_cannot_be_read_is_refused(
    service, is_followed, is_behind
):
    entry = EntryHandler(service)
    entry.is_behind = is_behind
    if is_followed:
        for stored in await service.read_prefix(''):
            entry.table.apply_key(stored.key, stored.body)
    assert await _read(entry, 0) == ['j1-0']
    for _ in range(3):
        with pytest.raises(PlatformUnavailableError) as caught:
            await _read(entry, 1)
        assert caught.value.retry_after_s
    assert await _read(entry, 0) == ['j1-0']
    assert len(await _read(entry, 0, 'j2')) == 3


async def test_position_is_answered_once_it_can_be_read(
    service, autojump_clock
):
    entry = EntryHandler(service)
    with pytest.raises(PlatformUnavailableError):
        await _read(entry, 1)
    (repaired,) = result_creation_changes(
        'j1', 1, [StoredResult('j1-1', ItemState.COMPLETED, 'x')]
    )
    await service.transact([KeyChange(DAMAGED_KEY, repaired.body)])
    status, body = await entry(IntentKind.READ_RESULTS, position=1, wait_s=1.0)
    assert status == 200
    assert len(json.loads(body)['results']) == 2


async def test_job_whose_record_cannot_be_read_is_refused(service):
    """It is stored, so it is not unknown."""
    (record,) = await service.read_prefix(job_body_prefix('j1'))
    await service.transact([KeyChange(record.key, b'\xc1')])
    entry = EntryHandler(service)
    for kind in (
        IntentKind.READ_RESULTS,
        IntentKind.READ_ITEM,
        IntentKind.END_JOB,
    ):
        with pytest.raises(PlatformUnavailableError) as caught:
            await entry(kind, item_id='j1-0')
        assert caught.value.retry_after_s
    assert len(await _read(entry, 0, 'j2')) == 3
    await service.transact([KeyChange(record.key, record.body)])
    assert await _read(entry, 0) == ['j1-0']
