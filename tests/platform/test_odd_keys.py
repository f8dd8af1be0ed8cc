"""Processes beside keys of their own that another writer left."""

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
