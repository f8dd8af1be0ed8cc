"""Tests of encoding jobs in parts, result keys and job identifiers."""

import msgspec
import pytest

from briarrill.errors import BadRequestError, InternalError
from briarrill.state.stored_jobs import (
    ItemState,
    StoredItem,
    StoredJob,
    StoredResult,
    check_job_id,
    decode_job_parts,
    decode_result,
    job_creation_changes,
    result_creation_changes,
)


def make_job(job_id='j1', count=3, body=b'body', submitted_at=1000.0):
    """Return a job with numbered items."""
    stored = tuple(
        StoredItem(f'{job_id}-{number}', '/p/x', {'h': 'v'}, body, 100)
        for number in range(count)
    )
    return StoredJob(job_id, 'r-batch', 'host', submitted_at, stored)


@pytest.mark.parametrize('size', [50, 1000, 1_000_000])
def test_job_split_into_parts_decodes_to_an_equal_job(size):
    job = make_job(body=b'x' * 300)
    changes = job_creation_changes(job, size)
    assert all(len(change.body) <= size for change in changes)
    assert [change.key for change in changes] == sorted(
        change.key for change in changes
    )
    bodies = [change.body for change in changes]
    assert decode_job_parts(bodies) == job
    if len(bodies) > 1:
        assert decode_job_parts(bodies[:-1]) is None


@pytest.mark.parametrize('field', ['customer', 'prefix'])
def test_job_of_an_earlier_release_lacks_what_it_did_not_store(field):
    (change,) = job_creation_changes(make_job(), 1_000_000)
    record = msgspec.msgpack.decode(change.body[2:])
    record.pop(field)
    old = change.body[:2] + msgspec.msgpack.encode(record)
    assert decode_job_parts([old]) == make_job()


def test_job_of_a_later_release_is_read():
    (change,) = job_creation_changes(make_job(), 1_000_000)
    record = msgspec.msgpack.decode(change.body[2:])
    record['unknown'] = 'x'
    new = change.body[:2] + msgspec.msgpack.encode(record)
    assert decode_job_parts([new]) == make_job()


def test_damaged_job_or_result_raises_internal_error():
    (change,) = job_creation_changes(make_job(), 1_000_000)
    with pytest.raises(InternalError):
        decode_job_parts([change.body[:-3]])
    with pytest.raises(InternalError):
        decode_result(b'nonsense')


def test_result_creation_changes_require_unused_keys_from_position_on():
    results = [StoredResult('a', ItemState.COMPLETED, 'x')] * 2
    changes = result_creation_changes('j1', 4, results)
    assert {change.mod_revision for change in changes} == {0}
    assert [change.key[-6:] for change in changes] == ['000004', '000005']


@pytest.mark.parametrize('job_id', ['', 'a/b', '../x', 'x' * 101, 'ä'])
def test_invalid_job_identifier_raises_bad_request(job_id):
    with pytest.raises(BadRequestError):
        check_job_id(job_id)
