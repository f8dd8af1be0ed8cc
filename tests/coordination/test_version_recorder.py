"""Records of versions in the key-value service."""

import itertools
import time

import attrs
import msgspec
import pytest
import trio

from briarrill.coordination import mirror, version_records
from briarrill.coordination.upstream_table import (
    RegisteredUpstream,
    UpstreamTable,
)
from briarrill.coordination.version_recorder import VersionRecorder
from briarrill.coordination.version_records import (
    RECORD_RETENTION_S,
    ServedVersion,
    VersionRecords,
)
from briarrill.errors import PlatformUnavailableError
from briarrill.state.keys import (
    MAX_KEY_BYTES,
    UPSTREAM_VERSIONS_PREFIX,
    upstream_version_key,
)
from standins.memory_key_value import MemoryKeyValue

ODD_NAMES = (
    ('llm', 'v1'),
    ('llm', ''),
    ('a/b', 'c'),
    ('a', 'b/c'),
    ('..', '../%2F é\n\0'),
    ('x' * 300, 'y' * 10_000),
    ('x' * 300, 'y' * 10_001),
)


class RejectingWrites(MemoryKeyValue):
    """A service that may reject writes of keys that contain a text."""

    rejected = None

    async def transact(self, changes):
        if self.rejected is not None and self.rejected in changes[0].key:
            raise PlatformUnavailableError('rejected')
        return await super().transact(changes)


@attrs.define
class RejectedRead:
    """A service that rejects the first read."""

    service: MemoryKeyValue
    reads: int = 0

    async def read_prefix(self, prefix):
        self.reads += 1
        if self.reads == 1:
            raise PlatformUnavailableError('rejected')
        return await self.service.read_prefix(prefix)


@attrs.define
class Process:
    """The parts of one process that record versions."""

    name: str
    service: MemoryKeyValue
    names: tuple = ('p0', 'p1', 'p2')
    may_write: bool = True
    table: UpstreamTable = attrs.field(init=False)
    recorder: VersionRecorder = attrs.field(init=False)

    def __attrs_post_init__(self):
        # reads the time that the fixture has put in place
        clock = time.monotonic
        self.table = UpstreamTable(
            lambda: True, VersionRecords(lambda: True, float, clock)
        )
        self.recorder = VersionRecorder(
            self.service,
            self.table,
            self.name,
            lambda: self.may_write,
            lambda: [name for name in self.names if name != self.name],
        )

    @property
    def recorded(self):
        return set(self.table.records._seen_at)

    def register(self, service, version):
        self.table.register(
            RegisteredUpstream(
                upstream_id=f'{service}-{version}',
                service=service,
                address=('127.0.0.1', 1),
                failure_domain='a',
                slots=1,
                version=version,
            )
        )

    async def read_keys(self):
        """Receive all records, as from a mirror."""
        for entry in await self.service.read_prefix(UPSTREAM_VERSIONS_PREFIX):
            self.recorder.apply_key(entry.key, entry.body)


@pytest.fixture
def clock(monkeypatch):
    """Return the time, which the test advances."""
    now = [1000.0]
    monkeypatch.setattr(mirror.time, 'monotonic', lambda: now[0])
    return now


def _make_fleet(service):
    fleet = [Process(f'p{number}', service) for number in range(3)]
    for process in fleet:
        process.register('llm', 'v1')
    return fleet


async def _keys(service):
    entries = await service.read_prefix(UPSTREAM_VERSIONS_PREFIX)
    return [entry.key for entry in entries]


async def test_one_process_writes_a_record(clock):
    service = MemoryKeyValue()
    fleet = _make_fleet(service)
    for process in fleet:
        assert await process.recorder.write_due()
    assert await _keys(service) == [upstream_version_key('llm', 'v1')]
    assert service.calls['txn'] == 1


async def test_another_process_writes_if_the_first_may_not(clock):
    service = MemoryKeyValue()
    fleet = _make_fleet(service)
    for process in fleet:
        process.may_write = process.recorder._rank(
            ServedVersion('llm', 'v1')
        ) not in {0, 1}
    for _ in range(3):
        for process in fleet:
            assert await process.recorder.write_due()
        clock[0] += version_records.RANK_DELAY_S
    assert await _keys(service) == [upstream_version_key('llm', 'v1')]


async def test_record_survives_all_processes_and_then_goes(clock):
    service = MemoryKeyValue()
    for process in _make_fleet(service):
        await process.recorder.write_due()
    fleet = _make_fleet(service)
    for process in fleet:
        process.table.unregister('llm-v1')
        process.table.versions._left_at.clear()
        process.register('llm', 'v2')
        await process.read_keys()
        assert process.table.records.served_lately('llm') == {'v1'}
    for _ in range(2):
        clock[0] += RECORD_RETENTION_S + 2 * version_records.RANK_DELAY_S
        for process in fleet:
            await process.recorder.write_due()
            await process.read_keys()
    assert await _keys(service) == [upstream_version_key('llm', 'v2')]
    for process in fleet:
        assert process.table.records.served_lately('llm') == {'v2'}


@pytest.mark.parametrize('read', ['missed', 'received', 'nothing'])
async def test_record_of_a_version_that_came_back_unseen_is_not_deleted(
    read, clock
):
    """The process stood still while upstreams of a version came back."""
    service = MemoryKeyValue()
    process = Process('p0', service, names=())
    process.register('llm', 'v1')
    await process.recorder.write_due()
    process.table.unregister('llm-v1')
    clock[0] += RECORD_RETENTION_S

    async def find_missed():
        if read == 'received':
            process.register('llm', 'v1')
            return set()
        return {ServedVersion('llm', 'v1')} if read == 'missed' else None

    process.table.find_missed = find_missed
    assert await process.recorder.write_due() is (read != 'nothing')
    assert await _keys(service) == [upstream_version_key('llm', 'v1')]


async def test_streams_wait_for_no_other_keys_than_the_records(clock):
    service = MemoryKeyValue()
    for process in _make_fleet(service):
        await process.recorder.write_due()
    process = Process('p0', RejectedRead(service))
    process.table.records.is_read = bool
    process.table.records.hold_s = 60
    process.register('llm', 'v1')
    served = ServedVersion('llm', 'v1')
    assert process.table.records.is_held(served)
    with trio.fail_after(30):
        await _run_until_not_held(process, served)
    assert process.service.reads == 2


async def _run_until_not_held(process, served):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(process.recorder.run)
        while process.table.records.is_held(served):
            await trio.sleep(0.01)
        nursery.cancel_scope.cancel()


async def test_records_are_not_read_twice(clock):
    service = MemoryKeyValue()
    process = Process('p0', service)
    await process.recorder.read_records()
    assert not service.calls


async def test_lost_reply_of_a_record_is_made_up_for(clock):
    service = MemoryKeyValue()
    service.lose_replies = 1
    process = Process('p0', service, names=())
    process.register('llm', 'v1')
    assert not await process.recorder.write_due()
    assert await process.recorder.write_due()
    assert process.recorded == {ServedVersion('llm', 'v1')}


async def test_rejected_record_holds_up_no_other(clock):
    service = RejectingWrites()
    service.rejected = 'v1'
    process = Process('p0', service, names=())
    process.register('llm', 'v1')
    process.register('llm', 'v2')
    assert not await process.recorder.write_due()
    assert await _keys(service) == [upstream_version_key('llm', 'v2')]
    service.rejected = None
    assert await process.recorder.write_due()
    assert len(await _keys(service)) == 2


def test_record_that_cannot_be_read_names_no_version():
    process = Process('p0', MemoryKeyValue())
    for body in (b'', b'{}', b'{"service": "llm", "version": 3}', b'\xff'):
        process.recorder.apply_key(f'{UPSTREAM_VERSIONS_PREFIX}x', body)
    process.recorder.apply_key(f'{UPSTREAM_VERSIONS_PREFIX}x', None)
    assert not process.recorded


def test_record_under_the_key_of_another_version_names_none():
    process = Process('p0', MemoryKeyValue())
    body = msgspec.json.encode(ServedVersion('llm', 'v1'))
    process.recorder.apply_key(upstream_version_key('llm', 'v2'), body)
    assert not process.recorded
    process.recorder.apply_key(upstream_version_key('llm', 'v1'), body)
    assert process.recorded == {ServedVersion('llm', 'v1')}


async def test_odd_names_are_recorded_and_read_back(clock):
    service = MemoryKeyValue()
    process = Process('p0', service, names=())
    for service_name, version in ODD_NAMES:
        process.register(service_name, version)
    assert await process.recorder.write_due()
    reader = Process('p1', service)
    await reader.read_keys()
    assert reader.recorded == set(itertools.starmap(ServedVersion, ODD_NAMES))
    for key in await _keys(service):
        assert len(key.encode()) <= MAX_KEY_BYTES
        reader.recorder.apply_key(key, None)
    assert not reader.recorded


def test_records_are_json_objects_with_both_names():
    raw = msgspec.json.encode(ServedVersion('llm', 'v1'))
    assert msgspec.json.decode(raw) == {'service': 'llm', 'version': 'v1'}
