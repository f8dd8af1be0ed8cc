"""Versions that a process may lack, read from the key-value service."""

import attrs
import msgspec
import pytest
import trio

from briarrill.coordination.latest_versions import (
    READ_INTERVAL_S,
    READ_TIMEOUT_S,
    LatestVersions,
)
from briarrill.coordination.version_records import (
    ServedVersion,
    VersionRecords,
)
from briarrill.errors import PlatformUnavailableError
from briarrill.state.keys import upstream_version_key
from briarrill.transport.key_value import (
    KeySnapshot,
    KeyValue,
    WatchEvent,
    WatchProgress,
)

V1 = ServedVersion('llm', 'v1')
V2 = ServedVersion('llm', 'v2')
PREFIX = 'upstreams/'

# what a caller waits for an event, in the deployments' rule
CALLER_PATIENCE_S = 2.0


@attrs.define
class Service:
    """A service that replies as of the time of the call, after a delay."""

    changes: list = attrs.field(factory=list)
    recorded: list = attrs.field(factory=list)
    delay_s: float = 0.01
    is_unreachable: bool = False
    is_compacted: bool = False
    reads: int = 0

    async def follow_prefix(self, prefix, min_interval_s=0, after_revision=0):
        assert prefix == PREFIX
        self.reads += 1
        shown = [
            change
            for change in self.changes
            if change.mod_revision > after_revision
        ]
        await self._reply()
        if self.is_compacted:
            yield KeySnapshot(())
        for change in shown:
            yield change
        yield WatchProgress(
            max((one.mod_revision for one in shown), default=1)
        )
        await trio.sleep_forever()

    async def read_prefix(self, prefix):
        shown = [
            KeyValue(
                upstream_version_key(served.service, served.version),
                msgspec.json.encode(served),
                1,
            )
            for served in self.recorded
        ]
        await self._reply()
        return [entry for entry in shown if entry.key.startswith(prefix)]

    def register(self, served):
        self._change(msgspec.json.encode(served))

    def unregister(self):
        self._change(None)

    async def _reply(self):
        await trio.sleep(self.delay_s)
        if self.is_unreachable:
            raise PlatformUnavailableError('rejected')

    def _change(self, body):
        revision = len(self.changes) + 1
        self.changes.append(WatchEvent(f'{PREFIX}i-1', body, revision))


def _decode(key, body):
    return msgspec.json.decode(body, type=ServedVersion)


def make_latest(service, position=0):
    records = VersionRecords(lambda: True)
    records.add(V1)
    return LatestVersions(service, records, PREFIX, lambda: position, _decode)


async def test_what_the_process_has_received_is_not_missed(autojump_clock):
    service = Service(recorded=[V1])
    service.register(V1)
    assert await make_latest(service, position=1).find_missed() == set()


async def test_version_that_registered_and_left_again_is_missed(
    autojump_clock,
):
    service = Service(recorded=[V1])
    service.register(V1)
    service.register(V2)
    service.unregister()
    assert await make_latest(service, position=1).find_missed() == {V2}


async def test_version_of_which_only_a_record_is_left_is_missed(
    autojump_clock,
):
    service = Service(recorded=[V1, V2])
    assert await make_latest(service).find_missed() == {V2}


async def test_versions_are_unknown_if_changes_were_discarded(autojump_clock):
    service = Service(is_compacted=True)
    assert await make_latest(service).find_missed() is None


@pytest.mark.parametrize(
    'fault', [{'is_unreachable': True}, {'delay_s': CALLER_PATIENCE_S}]
)
async def test_versions_are_unknown_without_a_reply(fault, autojump_clock):
    latest = make_latest(Service(**fault))
    with trio.fail_after(CALLER_PATIENCE_S):
        assert await latest.find_missed() is None


async def test_read_that_began_before_a_stream_was_taken_up_is_not_used(
    autojump_clock,
):
    """The process stands still while the reply to the first read waits."""
    service = Service(delay_s=READ_TIMEOUT_S / 4)
    latest = make_latest(service)
    found = []

    async def find():
        found.append(await latest.find_missed())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(find)
        await trio.sleep(service.delay_s / 2)
        service.register(V2)
        nursery.start_soon(find)
    assert found == [set(), {V2}]


async def test_streams_that_are_taken_up_together_share_reads(autojump_clock):
    service = Service()
    latest = make_latest(service)
    async with trio.open_nursery() as nursery:
        for _ in range(100):
            nursery.start_soon(latest.find_missed)
    assert service.reads <= 2
    service.reads = 0
    with trio.move_on_after(10 * READ_INTERVAL_S):
        while True:
            await latest.find_missed()
    assert service.reads <= 11


async def test_reader_whose_caller_leaves_is_replaced(autojump_clock):
    service = Service(recorded=[V2])
    latest = make_latest(service)
    found = []

    async def find():
        found.append(await latest.find_missed())

    async with trio.open_nursery() as nursery:
        with trio.move_on_after(service.delay_s / 2):
            async with trio.open_nursery() as leaving:
                leaving.start_soon(latest.find_missed)
                await trio.lowlevel.checkpoint()
                nursery.start_soon(find)
                await trio.sleep_forever()
    assert found == [{V2}]
