"""A search for jobs without an owner beside records that are damaged."""

import zlib

import pytest

from briarrill.batch.job_finder import JobFinder
from briarrill.batch.job_store import JobStore
from briarrill.state.job_records import JobRecord, encode_record
from briarrill.state.keys import job_key, lease_key, open_job_key
from briarrill.state.membership import Membership
from briarrill.transport.instance_list import Instance, Role
from briarrill.transport.key_value import KeyChange
from standins.memory_key_value import MemoryKeyValue
from tests.odd_bodies import UNREADABLE_JSON

PROCESS = 'b1.batch.1'
INSTANCE = Instance('b1', '127.0.0.1', 'a', 'r', (Role.BATCH,))

ODD, SOUND = (job_key('c', job_id) for job_id in ('j1', 'j2'))

RECORD = JobRecord(
    job_id='j2',
    contract='c',
    input_file_id='f',
    total=1,
    endpoint='/v1/chat/completions',
    created_at=1_700_000_000,
    due_at=1_700_086_400,
    writer='w',
)


async def _search(odd_changes):
    """Search beside one odd job; return the offered jobs and the service."""
    service = MemoryKeyValue()
    await service.transact(
        [
            KeyChange(lease_key(PROCESS), b''),
            KeyChange(SOUND, encode_record(RECORD)),
            KeyChange(open_job_key(SOUND), b'1700000000'),
            *odd_changes,
        ]
    )
    store = JobStore(service, None, PROCESS, INSTANCE.host)
    finder = JobFinder(store, Membership((INSTANCE,)), None, 0)
    await finder._search(0)
    return set(finder._claimable_at), service


@pytest.mark.parametrize(
    'body',
    [b'', b'x', *(zlib.compress(one.values[0]) for one in UNREADABLE_JSON)],
)
async def test_damaged_record_hides_no_other_job(body):
    offered, service = await _search(
        [
            KeyChange(ODD, body),
            KeyChange(open_job_key(ODD), b'1700000000'),
        ]
    )
    assert offered == {SOUND}
    assert await service.read(open_job_key(ODD))


@pytest.mark.parametrize('body', [b'', b'x', b'nan', b'\xff', b'9' * 400])
async def test_odd_entry_without_a_job_is_removed_from_the_index(body):
    offered, service = await _search([KeyChange(open_job_key(ODD), body)])
    assert offered == {SOUND}
    assert not await service.read(open_job_key(ODD))
