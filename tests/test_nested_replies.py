"""Deeply nested replies of services count as failed calls."""

import httpx
import pytest
import trio

from briarrill.errors import PlatformUnavailableError, WriteUnknownError
from briarrill.platform.store import PlatformStore
from briarrill.transport.etcd import EtcdService
from briarrill.transport.instance_list import InstanceList
from briarrill.transport.key_value import KeyChange
from tests.odd_bodies import NESTED_JSON
from tests.raw_engine import RawEngine
from tests.serving import serve_standin

NESTED_FIELD = b'{"x":%b}' % NESTED_JSON

CHANGE = KeyChange('k', b'one', mod_revision=0)


async def test_nested_reply_of_the_store_is_a_failed_call(network):
    raw = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b'
    engine = RawEngine(raw % (len(NESTED_FIELD), NESTED_FIELD))
    async with serve_standin(engine, (f'{network}.1', 8080)) as address:
        client = PlatformStore(address)
        with trio.fail_after(10):
            for call in (
                client.read('k'),
                client.read_prefix('k'),
                client.grant_lease(5),
                anext(client.follow_prefix('k')),
            ):
                with pytest.raises(PlatformUnavailableError):
                    await call
            with pytest.raises(WriteUnknownError):
                await client.transact([CHANGE])
        client.close()


async def test_nested_reply_of_other_services_is_a_failed_call():
    transport = httpx.MockTransport(
        lambda _req: httpx.Response(200, content=NESTED_FIELD)
    )
    async with httpx.AsyncClient(
        transport=transport, base_url='http://service'
    ) as client:
        service = EtcdService(client)
        for call in (
            service.read('k'),
            service.grant_lease(5),
            anext(service.follow_prefix('k')),
            InstanceList(client).fetch(),
        ):
            with pytest.raises(PlatformUnavailableError):
                await call
        with pytest.raises(WriteUnknownError):
            await service.transact([CHANGE])
