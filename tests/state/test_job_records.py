"""Tests of the size of job records, which each commit rewrites."""

import random

import attrs

from briarrill.batch.index_set import IndexSet
from briarrill.state.job_records import (
    JobRecord,
    Place,
    ResultSegment,
    SegmentRef,
    decode_job_record,
    encode_record,
)

ITEM_COUNT = 670_000
SEGMENT_COUNT = 1400
MAX_RECORD_BYTES = 250_000
SEED = 7


def _make_job(rng):
    places = tuple(
        Place(f'entry-{number}', f'10.0.0.{number}', f'domain-{number}')
        for number in range(2)
    )
    results = tuple(
        ResultSegment(SegmentRef(rng.randbytes(16).hex(), 478, 10**6, places))
        for _ in range(SEGMENT_COUNT)
    )
    return JobRecord(
        job_id='batch-1',
        contract='kinship',
        input_file_id='file-1',
        total=ITEM_COUNT,
        endpoint='/v1/chat/completions',
        created_at=1,
        due_at=2,
        writer='w',
        results=results,
    )


def test_record_of_largest_job_half_done_at_random_stays_below_limit():
    """A random half of the items makes the map compress worst."""
    rng = random.Random(SEED)
    done = IndexSet(ITEM_COUNT)
    done.add_all(rng.sample(range(ITEM_COUNT), ITEM_COUNT // 2))
    job = attrs.evolve(_make_job(rng), done_map=done.pack())
    body = encode_record(job)
    assert len(body) < MAX_RECORD_BYTES
    assert decode_job_record(body) == job
    unpacked = IndexSet.unpack(job.done_map, ITEM_COUNT)
    assert len(unpacked) == ITEM_COUNT // 2
    assert all(
        (index in unpacked) == (index in done) for index in range(ITEM_COUNT)
    )
