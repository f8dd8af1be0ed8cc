"""Streams that are taken up after all processes that knew them ended."""

import contextlib
import itertools
from http import HTTPStatus

import attrs
import pytest
import trio

from standins.platform_store import StandinStore
from tests.platform.platform_fleet import start_process, wait_ready
from tests.platform.versioned_fleet import (
    EVENTS_BEFORE_PAUSE,
    Stream,
    arrive,
    leave,
    open_stream,
    read_whole,
    versioned_fleet,
    wait_in_touch,
)

ENTRIES = (2, 4)
ALL_PROCESSES = (2, 3, 4, 5)
KILLED = pytest.mark.parametrize(
    'killed', [ENTRIES, ALL_PROCESSES], ids=['entries', 'all']
)
STREAMS = 12

# tries of a caller, and the pause between them; they go on until well after
# the store has been followed for long enough to judge by its keys
TRIES = 14
RETRY_PAUSE_S = 0.5

# a fleet that starts for the first time takes about a second to write what
# outlives it
SETTLING_S = 3.0

# time for which the store rejects calls after a restart
REJECTION_S = 2.0


class RejectingStore(StandinStore):
    """A store that rejects calls whose prefix begins with a text.

    :ivar rejected: the text, none to serve all calls.
    :ivar rejects_writes: whether it rejects all writes.
    """

    rejected = None
    rejects_writes = False

    async def _dispatch(self, call, argument, fields, body):
        prefix = fields.get('prefix', '')
        is_rejected = self.rejected is not None and prefix.startswith(
            self.rejected
        )
        if is_rejected or (self.rejects_writes and call == 'kv-txn'):
            return HTTPStatus.SERVICE_UNAVAILABLE, {}
        return await super()._dispatch(call, argument, fields, body)


@attrs.define
class Outage:
    """Processes killed at once and started again.

    :param killed: numbers of the processes that are killed.
    """

    fleet: object
    folder: object
    killed: tuple = ALL_PROCESSES

    async def kill(self):
        for number in self.killed:
            self.fleet.processes[number].kill()
        for number in self.killed:
            await self.fleet.processes[number].wait()

    async def restart(self):
        for number in self.killed:
            program = 'entry' if number in ENTRIES else 'batch'
            self.fleet.processes[number] = await start_process(
                self.fleet.network, self.folder, program, number
            )

    async def wait_ready(self):
        with trio.fail_after(60):
            for number in ENTRIES:
                await wait_ready(f'{self.fleet.network}.{number}')


async def wait_settled(fleet):
    """Wait until the processes hear each other and know the versions."""
    with trio.fail_after(30):
        await wait_in_touch(fleet)
    await trio.sleep(SETTLING_S)


async def begin_streams(fleet, prefix='s'):
    """Begin streams whose callers leave after the first events."""
    streams = [Stream(f'{prefix}{number}') for number in range(STREAMS)]
    entries = itertools.cycle(ENTRIES)
    async with contextlib.AsyncExitStack() as stack:
        for stream in streams:
            _, channel = await stack.enter_async_context(
                open_stream(fleet, next(entries), stream, f'{stream.name}-1')
            )
            while stream.events < EVENTS_BEFORE_PAUSE:
                stream.received += await channel.read_body()
    return streams


async def begin_streams_together(fleet):
    """Begin streams at the same time; each caller leaves after its events."""
    streams = [Stream(f's{number}') for number in range(STREAMS)]
    async with trio.open_nursery() as nursery:
        for stream, entry in zip(
            streams, itertools.cycle(ENTRIES), strict=False
        ):
            nursery.start_soon(begin_stream, fleet, entry, stream)
    return streams


async def begin_stream(fleet, entry, stream):
    async with open_stream(fleet, entry, stream, f'{stream.name}-1') as opened:
        while stream.events < EVENTS_BEFORE_PAUSE:
            stream.received += await opened[1].read_body()


async def take_up(fleet, stream):
    """Take a stream up at one entry after another until it is whole."""
    for number in range(TRIES):
        async with open_stream(
            fleet,
            ENTRIES[number % len(ENTRIES)],
            stream,
            f'{stream.name}-{number + 2}',
            f'{stream.name}-1',
        ) as opened:
            if opened[0] == HTTPStatus.OK:
                await read_whole(stream, opened[1])
                return
        await trio.sleep(RETRY_PAUSE_S)


async def take_all_up(fleet, streams):
    async with trio.open_nursery() as nursery:
        for stream in streams:
            nursery.start_soon(take_up, fleet, stream)


def assert_unmixed(streams):
    assert [one.name for one in streams if len(one.versions) > 1] == []


def assert_begun_at(streams, version):
    assert {text for one in streams for text in one.versions} == {
        f'data: {version}'
    }


def assert_whole(streams):
    assert all(stream.is_whole for stream in streams)
    assert all(len(stream.versions) == 1 for stream in streams)


@KILLED
@pytest.mark.parametrize('leaves', ['before', 'meanwhile', 'after', 'never'])
async def test_streams_of_two_versions_are_not_joined_after_a_loss_of_power(
    network, tmp_path, leaves, killed
):
    async with versioned_fleet(network, tmp_path, is_cutting=False) as fleet:
        await wait_settled(fleet)
        streams = await begin_streams(fleet)
        assert {text for one in streams for text in one.versions} == {
            'data: v1',
            'data: v2',
        }
        outage = Outage(fleet, tmp_path, killed)
        if leaves == 'before':
            leave(fleet, 'v1')
            await trio.sleep(RETRY_PAUSE_S)
        await outage.kill()
        if leaves == 'meanwhile':
            leave(fleet, 'v1')
        await outage.restart()
        await outage.wait_ready()
        if leaves == 'after':
            leave(fleet, 'v1')
        await take_all_up(fleet, streams)
    assert_unmixed(streams)


async def test_streams_are_not_joined_if_the_version_changes_meanwhile(
    network, tmp_path
):
    async with versioned_fleet(
        network, tmp_path, is_cutting=False, registered=('v1',)
    ) as fleet:
        await wait_settled(fleet)
        streams = await begin_streams(fleet)
        outage = Outage(fleet, tmp_path)
        await outage.kill()
        arrive(fleet, 'v2')
        leave(fleet, 'v1')
        await outage.restart()
        await outage.wait_ready()
        await take_all_up(fleet, streams)
    assert_unmixed(streams)


@pytest.mark.parametrize(
    'rejected', ['', 'briarrill/'], ids=['all-calls', 'own-keys']
)
async def test_streams_are_not_joined_while_the_store_rejects_calls(
    network, tmp_path, rejected
):
    store = RejectingStore()
    async with versioned_fleet(
        network, tmp_path, is_cutting=False, store=store
    ) as fleet:
        await wait_settled(fleet)
        streams = await begin_streams(fleet)
        outage = Outage(fleet, tmp_path)
        await outage.kill()
        leave(fleet, 'v1')
        store.rejected = rejected
        await outage.restart()
        if rejected:
            await outage.wait_ready()
            await take_all_up(fleet, streams)
        else:
            await trio.sleep(REJECTION_S)
        store.rejected = None
        await outage.wait_ready()
        await take_all_up(fleet, streams)
    assert_unmixed(streams)


async def test_streams_are_not_joined_if_the_new_version_was_not_recorded(
    network, tmp_path
):
    store = RejectingStore()
    async with versioned_fleet(
        network, tmp_path, is_cutting=False, registered=('v1',), store=store
    ) as fleet:
        await wait_settled(fleet)
        streams = await begin_streams(fleet)
        store.rejects_writes = True
        arrive(fleet, 'v2')
        leave(fleet, 'v1')
        await trio.sleep(SETTLING_S)
        streams += await begin_streams(fleet, prefix='t')
        assert_begun_at(streams[:STREAMS], 'v1')
        assert_begun_at(streams[STREAMS:], 'v2')
        outage = Outage(fleet, tmp_path)
        await outage.kill()
        await outage.restart()
        await outage.wait_ready()
        await take_all_up(fleet, streams)
    assert_unmixed(streams)


async def test_streams_are_not_joined_if_a_version_left_without_a_record(
    network, tmp_path
):
    store = RejectingStore()
    async with versioned_fleet(
        network, tmp_path, is_cutting=False, registered=('v1',), store=store
    ) as fleet:
        await wait_settled(fleet)
        store.rejects_writes = True
        arrive(fleet, 'v2')
        await trio.sleep(SETTLING_S)
        streams = await begin_streams(fleet)
        outage = Outage(fleet, tmp_path)
        await outage.kill()
        leave(fleet, 'v2')
        store.rejects_writes = False
        await outage.restart()
        await outage.wait_ready()
        await take_all_up(fleet, streams)
    assert_whole(streams)


async def test_streams_are_not_joined_if_the_version_before_is_back(
    network, tmp_path
):
    store = RejectingStore()
    async with versioned_fleet(
        network, tmp_path, is_cutting=False, registered=('v1',), store=store
    ) as fleet:
        await wait_settled(fleet)
        store.rejects_writes = True
        arrive(fleet, 'v2')
        leave(fleet, 'v1')
        await trio.sleep(SETTLING_S)
        streams = await begin_streams(fleet)
        assert_begun_at(streams, 'v2')
        outage = Outage(fleet, tmp_path)
        await outage.kill()
        leave(fleet, 'v2')
        arrive(fleet, 'v1')
        store.rejects_writes = False
        await outage.restart()
        await outage.wait_ready()
        await take_all_up(fleet, streams)
    assert_unmixed(streams)


async def test_streams_are_not_joined_after_a_loss_of_power_at_the_first_start(
    network, tmp_path
):
    async with versioned_fleet(network, tmp_path, is_cutting=False) as fleet:
        streams = await begin_streams_together(fleet)
        outage = Outage(fleet, tmp_path)
        await outage.kill()
        leave(fleet, 'v1')
        await outage.restart()
        await outage.wait_ready()
        await take_all_up(fleet, streams)
    assert_unmixed(streams)


async def test_streams_are_not_joined_if_a_version_came_and_left_at_once(
    network, tmp_path
):
    async with versioned_fleet(
        network, tmp_path, is_cutting=False, registered=('v1',)
    ) as fleet:
        await wait_settled(fleet)
        arrive(fleet, 'v2')
        streams = await begin_streams_together(fleet)
        outage = Outage(fleet, tmp_path)
        await outage.kill()
        leave(fleet, 'v2')
        await outage.restart()
        await outage.wait_ready()
        await take_all_up(fleet, streams)
    assert_unmixed(streams)


@KILLED
async def test_with_one_version_all_streams_go_on_after_a_loss_of_power(
    network, tmp_path, killed
):
    async with versioned_fleet(
        network, tmp_path, is_cutting=False, registered=('v1',)
    ) as fleet:
        await wait_settled(fleet)
        streams = await begin_streams(fleet)
        outage = Outage(fleet, tmp_path, killed)
        await outage.kill()
        await outage.restart()
        await outage.wait_ready()
        await take_all_up(fleet, streams)
    assert_whole(streams)


async def test_with_one_version_an_unknown_stream_goes_on_at_the_first_start(
    network, tmp_path
):
    unknown = Stream('unknown', b'id: 1\ndata: v1\n\nid: 2\ndata: v1\n\n')
    async with versioned_fleet(
        network, tmp_path, is_cutting=False, registered=('v1',)
    ) as fleet:
        await take_up(fleet, unknown)
    assert_whole([unknown])
