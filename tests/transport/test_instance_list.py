"""The client of the instance list over HTTP."""

import httpx
import pytest

from briarrill.errors import PlatformUnavailableError
from briarrill.transport.instance_list import InstanceList
from standins.instance_list import make_instance_list

ENTRY = {
    'name': 'entry-0',
    'host': '10.0.0.1',
    'failure_domain': 'hobart-a',
    'region': 'lutruwita',
    'roles': ['entry'],
}


async def test_unchanged_list_is_not_transferred_again_and_outage_raises():
    responses = []

    async def record_response(reply):
        responses.append((reply.status_code, len(await reply.aread())))

    async with httpx.AsyncClient(
        transport=httpx.ASGITransport(make_instance_list(0)),
        base_url='http://list',
        event_hooks={'response': [record_response]},
    ) as client:
        list_client = InstanceList(client)
        await client.put('/instances/entry-0', json=ENTRY)
        first = await list_client.fetch()
        assert await list_client.fetch() == first
        await client.delete('/instances/entry-0')
        assert not await list_client.fetch()
        assert responses[2] == (304, 0)
        await client.put('/faults', json={'down': True})
        with pytest.raises(PlatformUnavailableError):
            await list_client.fetch()
