"""Tests of what is known of a stream's first version."""

import pytest

from briarrill.coordination.stream_versions import (
    MAX_STREAMS,
    STREAM_RETENTION_S,
    StreamOrigins,
    infer_origin,
)
from briarrill.protocol.stream_origins import StreamOrigin

V1 = StreamOrigin('v1')
UNKNOWN = StreamOrigin(None)


@pytest.fixture
def clock():
    return [100.0]


@pytest.fixture
def origins(clock):
    return StreamOrigins(lambda: clock[0])


def test_origin_is_remembered_for_the_time_of_a_stream(origins, clock):
    origins.record(1, V1)
    clock[0] += STREAM_RETENTION_S
    assert origins.find(1) == V1
    clock[0] += 1
    assert origins.find(1) is None


def test_contradicting_reports_leave_an_origin_unknown(origins):
    origins.record(1, V1)
    origins.record(1, V1)
    assert origins.find(1) == V1
    origins.record(1, StreamOrigin('v2'))
    assert origins.find(1) == UNKNOWN
    origins.record(1, V1)
    assert origins.find(1) == UNKNOWN


def test_number_of_remembered_streams_is_bounded(origins):
    for stream in range(2 * MAX_STREAMS):
        origins.record(stream, V1)
    assert len(origins._origins) == MAX_STREAMS
    assert origins.find(2 * MAX_STREAMS - 1) == V1
    assert origins.find(0) is None


@pytest.mark.parametrize(
    ('known', 'versions', 'is_complete', 'expected'),
    [
        (V1, {'v1', 'v2'}, False, V1),
        (V1, {'v2'}, True, V1),
        (UNKNOWN, {'v1'}, True, UNKNOWN),
        (None, {'v1'}, True, V1),
        (None, {''}, True, StreamOrigin('')),
        (None, {'v1'}, False, UNKNOWN),
        (None, {'v1', 'v2'}, True, UNKNOWN),
        (None, set(), True, UNKNOWN),
    ],
)
def test_origin_is_inferred_only_if_there_is_no_other_version(
    known, versions, is_complete, expected
):
    candidates = set(map(StreamOrigin, versions))
    found = infer_origin(known, candidates, is_complete=is_complete)
    assert found == expected


def test_one_version_of_two_services_is_no_origin():
    candidates = {StreamOrigin('v1', 'llm'), StreamOrigin('v1', 'other')}
    assert infer_origin(None, candidates, is_complete=True) == UNKNOWN
