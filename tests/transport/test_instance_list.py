"""The instance list over HTTP."""

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


async def test_unchanged_list_is_not_sent_again():
    sent = []

    async def note(reply):
        sent.append((reply.status_code, len(await reply.aread())))

    async with httpx.AsyncClient(
        transport=httpx.ASGITransport(make_instance_list(0)),
        base_url='http://list',
        event_hooks={'response': [note]},
    ) as client:
        listed = InstanceList(client)
        await client.put('/instances/entry-0', json=ENTRY)
        first = await listed.fetch()
        assert await listed.fetch() == first
        await client.delete('/instances/entry-0')
        assert not await listed.fetch()
        assert sent[2] == (304, 0)
        await client.put('/faults', json={'down': True})
        with pytest.raises(PlatformUnavailableError):
            await listed.fetch()
