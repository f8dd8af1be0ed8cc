"""Lists of a contract's jobs."""

import zlib

import pytest

from briarrill.state.job_directory import JobDirectory
from briarrill.state.job_records import JobRecord, encode_record
from briarrill.state.keys import job_key
from briarrill.transport.key_value import KeyChange
from standins.memory_key_value import MemoryKeyValue

RECORD = JobRecord(
    job_id='j2',
    contract='c',
    input_file_id='f',
    total=1,
    endpoint='/v1/chat/completions',
    created_at=1,
    due_at=2,
    writer='w',
)


@pytest.mark.parametrize('body', [b'', b'x', zlib.compress(b'{}')])
async def test_damaged_record_is_left_out_of_a_list(body):
    service = MemoryKeyValue()
    await service.transact(
        [
            KeyChange(job_key('c', 'j1'), body),
            KeyChange(job_key('c', 'j2'), encode_record(RECORD)),
        ]
    )
    directory = JobDirectory(service, None, None, 0, None)
    assert await directory.list_jobs('c', after='', limit=10) == [RECORD]
