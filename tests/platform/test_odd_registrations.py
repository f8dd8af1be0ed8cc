"""Entry and batch processes beside registrations that nobody can use."""

import json

import pytest
import trio

from briarrill.transport.http_callers import serve_callers
from standins.platform_engine import StandinEngine, stream_events
from standins.platform_store import StandinStore
from tests.odd_bodies import add_field
from tests.platform.platform_fleet import (
    STORE_PORT,
    Fleet,
    register_upstream,
    start_process,
    store_routes,
    wait_ready,
)

FIRST, LATER = 9, 10

REQUESTS = 6


def _odd_bodies(network):
    """Return odd registrations; those that decode name an unused address."""
    fields = {
        'service': 'llm',
        'address': f'{network}.8:8080',
        'zone': 'a',
        'state': 'ready',
    }
    return {
        'digits': add_field(fields, 'slots', b'9' * 400),
        'many': add_field(fields, 'slots', b'9' * 25),
        'port': json.dumps(
            {**fields, 'slots': 4, 'address': f'{network}.8:70000'}
        ).encode(),
    }


def _write_odd(store, network, prefix):
    for name, body in _odd_bodies(network).items():
        store.put(f'servers/{prefix}-{name}', body)


@pytest.fixture
async def fleet(network, tmp_path):
    """Run a fleet that finds odd registrations beside a sound one."""
    store, engine = StandinStore(), StandinEngine(stream_events(2))
    store_routes(store)
    _write_odd(store, network, 'early')
    register_upstream(store, 'sound', f'{network}.{FIRST}')
    async with trio.open_nursery() as nursery:
        for address, server in (
            ((f'{network}.1', STORE_PORT), store),
            ((f'{network}.{FIRST}', 8080), engine),
            ((f'{network}.{LATER}', 8080), engine),
        ):
            nursery.start_soon(_serve, address, server)
        processes = {
            'entry': await start_process(network, tmp_path, 'entry', 2),
            'batch': await start_process(network, tmp_path, 'batch', 3),
        }
        try:
            with trio.fail_after(60):
                await wait_ready(f'{network}.2')
                yield Fleet(network, store, engine, processes)
        finally:
            for process in processes.values():
                process.kill()
                await process.wait()
            nursery.cancel_scope.cancel()


async def _serve(address, server):
    async with serve_callers(address, server.caller_limits, server.serve):
        await trio.sleep_forever()


async def _check_service(fleet, name):
    """Check that requests and a job are served and no process has ended."""
    answers = [
        await fleet.send_request(
            'POST',
            '/online/x',
            briarrill_attempt_id=f'{name}-{number}',
            briarrill_deadline_ms='3000',
        )
        for number in range(REQUESTS)
    ]
    assert [status for status, _ in answers] == [200] * REQUESTS
    assert await fleet.submit(name, 2) == 202
    page = await fleet.read_results(name, 2)
    assert {one['state'] for one in page['results']} == {'completed'}
    assert not any(
        process.returncode is not None for process in fleet.processes.values()
    )


async def test_requests_are_served_beside_odd_registrations(fleet):
    await _check_service(fleet, 'early')
    _write_odd(fleet.store, fleet.network, 'late')
    await _check_service(fleet, 'late')


@pytest.mark.parametrize('name', ['digits', 'port'])
async def test_odd_registration_in_place_of_a_sound_one_ends_its_use(
    name, fleet
):
    fleet.store.put('servers/sound', _odd_bodies(fleet.network)[name])
    while (await fleet.send_request('POST', '/online/x'))[0] == 200:
        await trio.sleep(0.05)
    register_upstream(fleet.store, 'later', f'{fleet.network}.{LATER}')
    while (await fleet.send_request('POST', '/online/x'))[0] != 200:
        await trio.sleep(0.05)
    await _check_service(fleet, 'after')
