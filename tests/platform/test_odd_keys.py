"""Processes beside keys of their own that another writer left."""

import json

import pytest

from briarrill.state.keys import UPSTREAM_VERSIONS_PREFIX
from standins.platform_store import StandinStore
from tests.odd_bodies import NESTED_JSON
from tests.platform.small_fleet import check_service, small_fleet

NESTED_FIELD = b'{"x":%b}' % NESTED_JSON


@pytest.mark.parametrize('key', [f'{UPSTREAM_VERSIONS_PREFIX}odd'])
async def test_nested_body_of_a_key_ends_no_process(key, network, tmp_path):
    store = StandinStore()
    store.put(key, NESTED_FIELD)
    async with small_fleet(network, tmp_path, store) as fleet:
        await check_service(fleet, 'early')
        store.put(f'{key}-later', NESTED_FIELD)
        await check_service(fleet, 'late')


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
