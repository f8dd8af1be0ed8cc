"""Entry and batch processes beside registrations that nobody can use."""

import json

import pytest
import trio

from standins.platform_store import StandinStore
from tests.odd_bodies import NESTED_JSON, add_field
from tests.platform.platform_fleet import register_upstream
from tests.platform.small_fleet import (
    ENGINE_NUMBERS,
    check_service,
    small_fleet,
)


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
        'nested': add_field({**fields, 'slots': 4}, 'x', NESTED_JSON),
        'list': NESTED_JSON,
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
    store = StandinStore()
    _write_odd(store, network, 'early')
    async with small_fleet(network, tmp_path, store) as fleet:
        yield fleet


async def test_requests_are_served_beside_odd_registrations(fleet):
    await check_service(fleet, 'early')
    _write_odd(fleet.store, fleet.network, 'late')
    await check_service(fleet, 'late')


@pytest.mark.parametrize('name', ['digits', 'nested', 'list', 'port'])
async def test_odd_registration_in_place_of_a_sound_one_ends_its_use(
    name, fleet
):
    fleet.store.put('servers/sound', _odd_bodies(fleet.network)[name])
    while (await fleet.send_request('POST', '/online/x'))[0] == 200:
        await trio.sleep(0.05)
    register_upstream(
        fleet.store, 'later', f'{fleet.network}.{ENGINE_NUMBERS[1]}'
    )
    while (await fleet.send_request('POST', '/online/x'))[0] != 200:
        await trio.sleep(0.05)
    await check_service(fleet, 'after')
