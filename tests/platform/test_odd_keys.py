"""Processes beside keys of their own that another writer left."""

import json

import pytest

from briarrill.platform.configuration import CONFIGURATION_KEY
from briarrill.platform.upstreams import REGISTRATIONS_PREFIX
from briarrill.state.keys import (
    JOB_BODIES_PREFIX,
    JOB_ENDS_PREFIX,
    JOB_RESULTS_PREFIX,
    LEASES_PREFIX,
    MEMBERS_PREFIX,
    ROOT_PREFIX,
    UPSTREAM_VERSIONS_PREFIX,
)
from standins.platform_store import StandinStore
from tests.odd_bodies import NESTED_JSON, UNREADABLE_JSON
from tests.platform.small_fleet import check_service, small_fleet

NESTED_FIELD = b'{"x":%b}' % NESTED_JSON

# as small as those that real writers leave, so that a page holds many
ODD_BODIES = [
    *(one.values[0] for one in UNREADABLE_JSON if len(one.values[0]) < 9000),
    b'{"x":%b%b}' % (b'[' * 3000, b']' * 3000),
    b'\x81\xa1x' + b'\x91' * 3000 + b'\xc0',
    b'{}',
    b'null',
    b'\x80',
    b'\0\0',
    b'\0\x01\x81',
    b'\xff\xff\xff',
]

ODD_KEYS = [
    'op/{}',
    'op/retire/{}',
    f'{REGISTRATIONS_PREFIX}{{}}',
    f'{MEMBERS_PREFIX}{{}}',
    f'{LEASES_PREFIX}{{}}',
    f'{UPSTREAM_VERSIONS_PREFIX}{{}}',
    f'{JOB_BODIES_PREFIX}{{}}/000000',
    f'{JOB_BODIES_PREFIX}{{}}/x',
    f'{JOB_BODIES_PREFIX}{{}}',
    f'{JOB_RESULTS_PREFIX}{{}}/000000',
    f'{JOB_RESULTS_PREFIX}{{}}/x',
    f'{JOB_ENDS_PREFIX}{{}}',
    f'{ROOT_PREFIX}{{}}',
]


@pytest.mark.parametrize('key', [f'{UPSTREAM_VERSIONS_PREFIX}odd'])
async def test_nested_body_of_a_key_ends_no_process(key, network, tmp_path):
    store = StandinStore()
    store.put(key, NESTED_FIELD)
    async with small_fleet(network, tmp_path, store) as fleet:
        await check_service(fleet, 'early')
        store.put(f'{key}-later', NESTED_FIELD)
        await check_service(fleet, 'late')


def _odd_keys(name):
    """Return keys of every kind with every body that cannot be read."""
    return {
        key.format(f'{name}-{number}'): body
        for number, body in enumerate(ODD_BODIES)
        for key in ODD_KEYS
    }


async def test_unreadable_keys_of_any_kind_cost_only_themselves(
    network, tmp_path
):
    store = StandinStore()
    for key, body in _odd_keys('early').items():
        store.put(key, body)
    async with small_fleet(network, tmp_path, store) as fleet:
        await check_service(fleet, 'early')
        for key, body in _odd_keys('late').items():
            store.put(key, body)
        for body in ODD_BODIES:
            store.put(CONFIGURATION_KEY, body)
        await check_service(fleet, 'late')
        for key in _odd_keys('early'):
            store.remove(key)
        await check_service(fleet, 'removed')
    for log in tmp_path.glob('*.log'):
        logged = log.read_text(encoding='utf-8')
        for error in ('mirror:key-failed', 'connection:failed'):
            assert error not in logged


@pytest.mark.parametrize('item_id', ['\u20ac', 'i\r\nx: y'])
async def test_job_whose_item_cannot_be_named_is_refused(
    item_id, network, tmp_path
):
    """An accepted one would never end."""
    item = {'id': item_id, 'path': '/jobs/1', 'headers': {}, 'body': ''}
    body = json.dumps({'items': [{**item, 'tokens': 1}]}).encode()
    async with small_fleet(network, tmp_path, StandinStore()) as fleet:
        status, _ = await fleet.send_request('POST', '/jobs/', body)
        assert status == 400
        await check_service(fleet, 'j1')
