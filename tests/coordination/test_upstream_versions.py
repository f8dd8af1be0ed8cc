"""Tests of which versions served lately, and of replaced processes."""

from briarrill.coordination.upstream_versions import (
    MAX_REPLACED,
    UpstreamVersions,
)
from briarrill.coordination.version_records import (
    VERSION_RETENTION_S,
    ServedVersion,
)

V1 = ServedVersion('llm', 'v1')
OTHER = ServedVersion('other', 'v9')


def test_version_that_left_counts_for_the_time_of_a_stream():
    clock = [100.0]
    versions = UpstreamVersions(lambda: clock[0])
    versions.record_departure('llm', 'v1')
    versions.record_departure('other', 'v9')
    assert versions.left_lately == {V1, OTHER}
    clock[0] += VERSION_RETENTION_S
    assert versions.left_lately == set()
    versions.record_departure('llm', 'v2')
    assert len(versions._left_at) == 1


def test_number_of_replaced_processes_is_bounded():
    versions = UpstreamVersions()
    for number in range(MAX_REPLACED + 1):
        versions.mark_replaced(f'i/{number}')
    assert not versions.is_replaced('i/0')
    assert versions.is_replaced(f'i/{MAX_REPLACED}')
