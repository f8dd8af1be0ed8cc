"""Requests that end each upstream that runs them, and come again."""

import contextlib
import itertools
import json

import attrs
import pytest
import trio

from briarrill.errors import BriarrillError
from briarrill.transport.http_messages import RequestHead
from standins.platform_store import StandinStore
from tests.platform import platform_fleet
from tests.platform.crashing_engine import (
    ENTRY_HOSTS,
    CrashingEngine,
    End,
    run_engines_and_processes,
)
from tests.platform.platform_fleet import (
    FRONT_PORT,
    Fleet,
    send_request_to,
    start_process,
    wait_ready,
)

ENGINES = 8
REQUEST_PAUSE_S = 0.08

# repeats in a row, at each entry, that reach no upstream
REFUSED_IN_A_ROW = 10

BAD_BODY = b'bad'
SOUND_BODY = b'sound'

KINDS = {
    'stream': {'kind': 'streaming', 'max_attempts': 1},
    'resumable': {'kind': 'streaming', 'max_attempts': 2, 'resumable': True},
    'idempotent': {'kind': 'idempotent', 'max_attempts': 3},
    'once': {'kind': 'non_idempotent', 'max_attempts': 3},
}
CALLER_ROUTES = [
    {
        'name': f'{name}-{host}',
        'host': host,
        'prefix': f'/{name}/',
        'timeout_ms': 5000,
        'target_latency_ms': 300,
        'service': 'llm',
        **kind,
    }
    for host in ('h', 'other')
    for name, kind in KINDS.items()
]
JOB_ROUTES = [
    route
    for route in platform_fleet.ROUTES['routes']
    if route['kind'] == 'batch'
]
ROUTES = {'version': 3, 'routes': CALLER_ROUTES + JOB_ROUTES}

# plain requests have no prompt
STREAM_PREFIXES = (b'/stream/', b'/resumable/')
PROMPT_HEADER = (b'briarrill-prompt-prefix', b'first:9,second:9,own:9')

_attempts = itertools.count()


@attrs.define
class CrashingFleet:
    """Two entries and a batch process before upstreams that end."""

    fleet: Fleet
    engines: list[CrashingEngine]

    @property
    def reached(self):
        return sum(engine.reached for engine in self.engines)

    async def ask(self, number, path, body, host=b'h'):
        """Send a request under a new attempt ID; return the status, if any."""
        headers = (
            (b'host', host),
            (b'briarrill-attempt-id', b'a%d' % next(_attempts)),
            (b'briarrill-deadline-ms', b'2000'),
            (b'content-length', b'%d' % len(body)),
        )
        if path.startswith(STREAM_PREFIXES):
            headers = (*headers, PROMPT_HEADER)
        head = RequestHead(b'POST', path, headers)
        address = (f'{self.fleet.network}.{number}', FRONT_PORT)
        with contextlib.suppress(BriarrillError):
            status, _ = await send_request_to(address, head, body)
            return status
        return None

    async def refuse_in_a_row(self, path):
        """Repeat a request until both entries refuse a number of them."""
        in_a_row = 0
        while in_a_row < REFUSED_IN_A_ROW:
            reached = self.reached
            statuses = [
                await self.ask(number, path, BAD_BODY)
                for number in ENTRY_HOSTS
            ]
            is_refused = reached == self.reached and statuses == [503, 503]
            in_a_row = in_a_row + 1 if is_refused else 0
            await trio.sleep(REQUEST_PAUSE_S)


def _is_fatal(req):
    return (
        req.body == BAD_BODY
        and req.header(b'host') == b'h'
        and req.head.path.endswith('/x')
    )


@contextlib.asynccontextmanager
async def crashing_fleet(network, folder, end, *, keeps_id):
    """Run the processes and the upstreams until exit."""
    store = StandinStore()
    store.put('op/config', json.dumps(ROUTES).encode())
    engines = [
        CrashingEngine(
            store,
            f'i{number}',
            f'{network}.{number}',
            _is_fatal,
            end,
            keeps_id,
        )
        for number in range(10, 10 + ENGINES)
    ]
    async with run_engines_and_processes(
        network, folder, store, engines
    ) as fleet:
        yield CrashingFleet(fleet, engines)


@pytest.mark.parametrize('keeps_id', [False, True], ids=['new-id', 'same-id'])
@pytest.mark.parametrize('end', End)
@pytest.mark.parametrize('name', KINDS)
async def test_request_that_ends_upstreams_soon_reaches_none(
    network, tmp_path, name, end, keeps_id
):
    path = f'/{name}/x'.encode()
    other_path = f'/{name}/y'.encode()
    async with crashing_fleet(
        network, tmp_path, end, keeps_id=keeps_id
    ) as crashing:
        for number in ENTRY_HOSTS:
            assert await crashing.ask(number, path, SOUND_BODY) == 200
        with trio.fail_after(30):
            await crashing.refuse_in_a_row(path)
        reached = crashing.reached
        for number in ENTRY_HOSTS:
            assert await crashing.ask(number, path, BAD_BODY) == 503
            # body, path or caller differ; the parts of the prompt are shared
            assert await crashing.ask(number, path, SOUND_BODY) == 200
            assert await crashing.ask(number, other_path, BAD_BODY) == 200
            assert await crashing.ask(number, path, BAD_BODY, b'other') == 200
        assert crashing.reached == reached


async def test_entry_that_starts_again_learns_of_the_request(
    network, tmp_path
):
    path = b'/idempotent/x'
    async with crashing_fleet(
        network, tmp_path, End.BEFORE_HEAD, keeps_id=False
    ) as crashing:
        processes = crashing.fleet.processes
        with trio.fail_after(30):
            await crashing.refuse_in_a_row(path)
        processes['entry-2'].kill()
        await processes['entry-2'].wait()
        processes['entry-2'] = await start_process(
            network, tmp_path, 'entry', 2
        )
        with trio.fail_after(30):
            await wait_ready(f'{network}.2')
            await crashing.refuse_in_a_row(path)
        reached = crashing.reached
        assert await crashing.ask(2, path, BAD_BODY) == 503
        assert await crashing.ask(2, path, SOUND_BODY) == 200
        assert crashing.reached == reached


async def test_items_in_flight_at_crashes_are_done(network, tmp_path):
    async with crashing_fleet(
        network, tmp_path, End.INSIDE_ANSWER, keeps_id=False
    ) as crashing:
        with trio.fail_after(40):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(crashing.refuse_in_a_row, b'/stream/x')
                for number in range(5):
                    job_id = f'job{number}'
                    assert await crashing.fleet.submit(job_id, 8) == 202
                    await trio.sleep(REQUEST_PAUSE_S)
            for number in range(5):
                page = await crashing.fleet.read_results(f'job{number}', 8)
                states = [result['state'] for result in page['results']]
                assert states == ['completed'] * 8
