"""Versions that served lately, from each of the sources that tell of them."""

import time

import attrs

from briarrill.coordination.recent_versions import (
    exclude_held,
    find_recent_versions,
    update_records,
)
from briarrill.coordination.upstream_table import (
    RegisteredUpstream,
    UpstreamTable,
)
from briarrill.coordination.version_records import (
    ServedVersion,
    VersionRecords,
)

UPSTREAM = RegisteredUpstream(
    'i-1', 'llm', ('10.0.0.1', 80), 'a', 8, version='v1'
)


def make_table():
    table = UpstreamTable(lambda: True, VersionRecords(lambda: True))
    table.register(UPSTREAM)
    return table


def test_registered_left_and_recorded_versions_served_lately():
    table = make_table()
    table.register(attrs.evolve(UPSTREAM, upstream_id='i-2', version='v2'))
    table.unregister('i-2')
    table.records.add(ServedVersion('llm', 'v3'))
    assert find_recent_versions(table, 'llm') == {'v1', 'v2', 'v3'}


def test_versions_of_other_services_are_not_among_them():
    table = make_table()
    table.register(
        attrs.evolve(UPSTREAM, upstream_id='i-2', service='other', version='x')
    )
    table.records.add(ServedVersion('other', 'y'))
    assert find_recent_versions(table, 'llm') == {'v1'}


def test_versions_without_a_record_are_to_be_recorded():
    table = make_table()
    table.register(attrs.evolve(UPSTREAM, upstream_id='i-2', version='v2'))
    table.records.add(ServedVersion('llm', 'v1'))
    update_records(table)
    assert table.records.due_creates(lambda served: 0) == [
        ServedVersion('llm', 'v2')
    ]


def test_version_begins_no_streams_beside_one_that_is_recorded():
    table = make_table()
    table.records.hold_s = 60
    table.records.add(ServedVersion('llm', 'v1'))
    second = attrs.evolve(UPSTREAM, upstream_id='i-2', version='v2')
    table.register(second)
    assert exclude_held(table, table.registered_upstreams) == [UPSTREAM]
    # the record of the first one, which has left, tells the two apart
    assert exclude_held(table, [second]) == [second]
    table.records.add(ServedVersion('llm', 'v2'))
    assert exclude_held(table, [UPSTREAM, second]) == [UPSTREAM, second]


def test_version_waits_for_its_record_as_long_as_a_recorded_one_accepts(
    monkeypatch,
):
    table = make_table()
    now = [500.0]
    monkeypatch.setattr(table.records, '_clock', lambda: now[0])
    table.records.hold_s = 1.5
    table.records.add(ServedVersion('llm', 'v1'))
    second = attrs.evolve(UPSTREAM, upstream_id='i-2', version='v2')
    table.register(second)
    now[0] += 600
    assert exclude_held(table, [UPSTREAM, second]) == [UPSTREAM]
    assert exclude_held(table, [second]) == [second]


def test_versions_begin_streams_at_last_if_none_can_be_recorded(monkeypatch):
    table = make_table()
    # the table has read the real clock
    now = [time.monotonic()]
    monkeypatch.setattr(table.records, '_clock', lambda: now[0])
    table.records.hold_s = 1.5
    second = attrs.evolve(UPSTREAM, upstream_id='i-2', version='v2')
    table.register(second)
    update_records(table)
    assert exclude_held(table, [UPSTREAM, second]) == []
    now[0] += 600
    assert exclude_held(table, [UPSTREAM, second]) == [UPSTREAM, second]


def test_no_version_begins_streams_before_the_first_record():
    table = make_table()
    table.records.hold_s = 60
    assert exclude_held(table, [UPSTREAM]) == []
    table.records.add(ServedVersion('other', 'v1'))
    assert exclude_held(table, [UPSTREAM]) == []
    table.records.add(ServedVersion('llm', 'v1'))
    assert exclude_held(table, [UPSTREAM]) == [UPSTREAM]


def test_peers_are_asked_once_for_a_version_of_many_upstreams():
    asked = []

    def is_read_by_peers():
        asked.append(None)
        return True

    table = make_table()
    table.records.is_read = bool
    table.records.is_read_by_peers = is_read_by_peers
    table.records.hold_s = 60
    table.records.add(ServedVersion('llm', 'v1'))
    upstreams = [
        attrs.evolve(UPSTREAM, upstream_id=f'i-{number}')
        for number in range(20)
    ]
    assert exclude_held(table, upstreams) == upstreams
    assert not asked
    second = [attrs.evolve(one, version='v2') for one in upstreams]
    table.register(second[0])
    assert exclude_held(table, upstreams + second) == upstreams + second
    assert len(asked) == 1
