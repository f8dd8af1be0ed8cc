"""A fleet with upstreams of two software versions, and streams of callers."""

import contextlib
import itertools
import json
import signal

import attrs
import trio

from briarrill.transport.http_callers import serve_callers
from briarrill.transport.http_channel import connect
from briarrill.transport.http_messages import RequestHead
from standins.platform_engine import StandinEngine
from standins.platform_store import StandinStore
from tests.platform import platform_fleet
from tests.platform.platform_fleet import (
    FRONT_PORT,
    STORE_PORT,
    Fleet,
    register_upstream,
    start_process,
    wait_ready,
)

ENGINE_PORT = 8080
VERSIONS = ('v1', 'v2')
ENGINES = 6

# last number of the first upstream's address
FIRST_ENGINE = 10

EVENTS = 6
EVENTS_BEFORE_PAUSE = 2

STREAM_ROUTE = {
    'name': 'resumable',
    'host': 'h',
    'prefix': '/resumable/',
    'kind': 'streaming',
    'resumable': True,
    'max_attempts': 3,
    'timeout_ms': 5000,
    'target_latency_ms': 300,
    'service': 'llm',
}
JOB_ROUTES = [
    route
    for route in platform_fleet.ROUTES['routes']
    if route['kind'] == 'batch'
]
ROUTES = {'version': 3, 'routes': [STREAM_ROUTE, *JOB_ROUTES]}


@attrs.define
class VersionedEngine:
    """An upstream whose events hold its version.

    :param is_cutting: it breaks off streams that begin here; otherwise they
        pause until their caller leaves.
    """

    version: str
    is_cutting: bool = True

    async def respond(self, req, conn):
        first = int(req.header(b'last-event-id') or b'0') + 1
        await conn.send_head(200, ())
        for number in range(first, EVENTS + 1):
            if first == 1 and number > EVENTS_BEFORE_PAUSE:
                if self.is_cutting:
                    raise ConnectionResetError
                await trio.sleep_forever()
            text = f'id: {number}\ndata: {self.version}\n\n'
            await conn.send_body(text.encode())
            await trio.sleep(0.01)
        await conn.send_end()


@attrs.define
class Stream:
    """What a caller has received of one stream over its tries."""

    name: str
    received: bytes = b''
    is_whole: bool = False

    @property
    def events(self):
        return self.received.count(b'\n\n')

    @property
    def versions(self):
        lines = self.received.decode().splitlines()
        return {line for line in lines if line.startswith('data:')}


def _version(number):
    return VERSIONS[number % len(VERSIONS)]


def arrive(fleet, version):
    """Register all upstreams of a version."""
    for number in range(ENGINES):
        if _version(number) == version:
            register_upstream(
                fleet.store,
                f'i{number}',
                f'{fleet.network}.{FIRST_ENGINE + number}',
                version=version,
            )


def leave(fleet, version):
    """Remove the registrations of all upstreams of a version."""
    for number in range(ENGINES):
        if _version(number) == version:
            fleet.store.remove(f'servers/i{number}')


@contextlib.asynccontextmanager
async def versioned_fleet(
    network, folder, *, is_cutting, registered=VERSIONS, store=None
):
    """Run two entries, two batch processes, and upstreams of two versions.

    :param registered: versions whose upstreams are registered at first.
    :param store: default a new one.
    """
    store = store or StandinStore()
    store.put('op/config', json.dumps(ROUTES).encode())
    processes = {}
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(
            serve_callers(
                (f'{network}.1', STORE_PORT), store.caller_limits, store.serve
            )
        )
        for number in range(ENGINES):
            version = _version(number)
            host = f'{network}.{FIRST_ENGINE + number}'
            engine = StandinEngine(
                VersionedEngine(version, is_cutting).respond,
                born=platform_fleet.BORN_MS,
            )
            await stack.enter_async_context(
                serve_callers(
                    (host, ENGINE_PORT), engine.caller_limits, engine.serve
                )
            )
        fleet = Fleet(network, store, None, processes)
        for version in registered:
            arrive(fleet, version)
        try:
            for program, number in (
                ('entry', 2),
                ('batch', 3),
                ('entry', 4),
                ('batch', 5),
            ):
                processes[number] = await start_process(
                    network, folder, program, number
                )
            with trio.fail_after(60):
                await wait_ready(f'{network}.2')
                await wait_ready(f'{network}.4')
            yield fleet
        finally:
            for process in processes.values():
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()


@contextlib.asynccontextmanager
async def open_stream(fleet, number, stream, attempt_id, resumed=''):
    """Send a try of a stream to an entry; yield status and channel."""
    headers = [
        (b'host', b'h'),
        (b'briarrill-attempt-id', attempt_id.encode()),
        (b'briarrill-deadline-ms', b'4000'),
        (b'content-length', b'0'),
    ]
    if resumed:
        headers.append((b'resumes', resumed.encode()))
        headers.append((b'last-event-id', b'%d' % stream.events))
    path = f'/resumable/{stream.name}'.encode()
    channel = await connect((f'{fleet.network}.{number}', FRONT_PORT), 1)
    try:
        async with channel.exchange(
            RequestHead(b'POST', path, tuple(headers)), b''
        ):
            yield (await channel.read_head()).status, channel
    finally:
        channel.close()


async def read_whole(stream, channel):
    """Add all further bytes to a stream."""
    while (part := await channel.read_body()) is not None:
        stream.received += part
    stream.is_whole = True


async def wait_in_touch(fleet):
    """Wait until a stream of one entry goes on at the other."""
    status = None
    for number in itertools.count():
        if status == 200:
            return
        probe = Stream(f'probe{number}')
        async with open_stream(fleet, 2, probe, f'{probe.name}-1') as opened:
            probe.received += await opened[1].read_body()
        async with open_stream(
            fleet, 4, probe, f'{probe.name}-2', f'{probe.name}-1'
        ) as opened:
            status = opened[0]
