"""Streams taken up at an entry that lacks the latest versions.

The entry hears no peer, so that only the store can tell what it lacks.
"""

import contextlib
import itertools
import os
import signal
from http import HTTPStatus

import attrs
import pytest
import trio

from briarrill.transport.http_callers import serve_callers
from standins.platform_store import StandinStore
from tests.platform.platform_fleet import (
    PEER_PORT,
    STORE_PORT,
    start_process,
    wait_ready,
)
from tests.platform.versioned_fleet import (
    EVENTS_BEFORE_PAUSE,
    Stream,
    arrive,
    leave,
    open_stream,
    read_whole,
    versioned_fleet,
)

STREAMS = 12

# entry at which streams begin, and one that hears no peer
SOUND_ENTRY = 2
LATE_ENTRY = 6
LATE_PEER_PORT = PEER_PORT + 100

# last number of the address at which the late entry reaches the store
LATE_STORE = 9

ALL_CALLS = ('kv-watch', 'kv-range', 'kv-key', 'kv-txn')

# time after which the sound entry has new registrations and their record
ARRIVAL_S = 0.5
DEPARTURE_S = 0.1

# time for which callers wait at an entry that stands still
STOP_S = 0.4


class WithholdingStore(StandinStore):
    """Passes calls on to a store, and withholds the replies to some.

    :ivar withheld: calls that get no reply, also those that wait for one.
    """

    withheld = ()

    def __init__(self, store):
        super().__init__()
        self._store = store

    async def _dispatch(self, call, argument, fields, body):
        if call not in self.withheld:
            reply = await self._store._dispatch(call, argument, fields, body)
            if call not in self.withheld:
                return reply
        return await trio.sleep_forever()


@attrs.define
class LateEntry:
    """An entry that can be made to lack what the others know."""

    fleet: object
    store: WithholdingStore

    @contextlib.asynccontextmanager
    async def withhold(self, *calls):
        """Withhold the store's replies to some calls of the entry."""
        self.store.withheld = calls
        yield

    @contextlib.asynccontextmanager
    async def stop(self, *calls):
        """Have the entry stand still until its callers wait for it.

        :param calls: of the store, whose replies are withheld from then on.
        """
        self.store.withheld = calls
        process = self.fleet.processes[LATE_ENTRY]
        os.kill(process.pid, signal.SIGSTOP)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._go_on_later, process)
            yield

    async def _go_on_later(self, process):
        await trio.sleep(ARRIVAL_S + DEPARTURE_S + STOP_S)
        os.kill(process.pid, signal.SIGCONT)


async def _wait_until_unknown_go_on(fleet):
    """Wait until the late entry infers what began an unknown stream."""
    for number in itertools.count():
        probe = Stream('probe', b'id: 1\ndata: v1\n\n')
        async with open_stream(
            fleet, LATE_ENTRY, probe, f'probe{number}', 'unknown'
        ) as opened:
            if opened[0] == HTTPStatus.OK:
                return
        await trio.sleep(0.1)


@contextlib.asynccontextmanager
async def fleet_with_late_entry(network, folder):
    """Run a fleet of one version, with an entry that hears no peer."""
    async with versioned_fleet(
        network, folder, is_cutting=False, registered=('v1',)
    ) as fleet:
        store = WithholdingStore(fleet.store)
        host = f'{network}.{LATE_STORE}'
        async with serve_callers(
            (host, STORE_PORT), store.caller_limits, store.serve
        ):
            fleet.processes[LATE_ENTRY] = await start_process(
                network, folder, 'entry', LATE_ENTRY, host, LATE_PEER_PORT
            )
            with trio.fail_after(60):
                await wait_ready(f'{network}.{LATE_ENTRY}')
                await _wait_until_unknown_go_on(fleet)
            yield LateEntry(fleet, store)


async def replace_version(fleet):
    """Have one version join, and the one before leave."""
    arrive(fleet, 'v2')
    await trio.sleep(ARRIVAL_S)
    leave(fleet, 'v1')
    await trio.sleep(DEPARTURE_S)


async def begin_and_take_up(fleet, name, statuses):
    """Begin a stream at the sound entry, and take it up at the late one."""
    stream = Stream(name)
    async with open_stream(fleet, SOUND_ENTRY, stream, f'{name}-1') as opened:
        while stream.events < EVENTS_BEFORE_PAUSE:
            stream.received += await opened[1].read_body()
    assert stream.versions == {'data: v2'}
    async with open_stream(
        fleet, LATE_ENTRY, stream, f'{name}-2', f'{name}-1'
    ) as opened:
        if opened[0] == HTTPStatus.OK:
            await read_whole(stream, opened[1])
        statuses[name] = opened[0], stream.versions


@pytest.mark.parametrize(
    'interrupt',
    [
        lambda late: late.withhold('kv-watch'),
        lambda late: late.withhold(*ALL_CALLS),
        lambda late: late.stop(),
        lambda late: late.stop(*ALL_CALLS),
    ],
    ids=['silent-watch', 'cut-off', 'stopped', 'stopped-and-cut-off'],
)
async def test_streams_of_a_new_version_are_not_joined_at_a_late_entry(
    network, tmp_path, interrupt
):
    taken_up = {}
    async with (
        fleet_with_late_entry(network, tmp_path) as late,
        interrupt(late),
        trio.open_nursery() as nursery,
    ):
        await replace_version(late.fleet)
        for number in range(STREAMS):
            nursery.start_soon(
                begin_and_take_up, late.fleet, f's{number}', taken_up
            )
    assert len(taken_up) == STREAMS
    joined = [
        name for name, (_, versions) in taken_up.items() if len(versions) > 1
    ]
    assert joined == []
