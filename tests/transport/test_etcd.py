"""The etcd client when calls are refused, lost or time out."""

import contextlib
import json

import httpx
import pytest
import trio

from briarrill.errors import (
    PlatformUnavailableError,
    WriteRefusedError,
    WriteUnknownError,
)
from briarrill.result_codes import Ran
from briarrill.transport.etcd import EtcdService
from briarrill.transport.key_value import KeyChange
from standins.key_value import DOWN_BODY, EtcdStore

OUTAGE = ('refuse', 'refuse', 'refuse', 'refuse')
TIMED_OUT = json.dumps(
    {'code': 14, 'message': 'etcdserver: request timed out'}
)


INVALID = json.dumps(
    {'code': 3, 'message': 'etcdserver: too many operations in txn request'}
)


class FakeGateway(httpx.AsyncBaseTransport):
    """Gateway on an in-memory store that injects a fault into each call.

    Steps of the script, ``ok`` when it is used up: ``ok`` applies the call
    and replies; ``lose`` applies it and loses the reply; ``drop`` loses the
    request; ``refuse`` replies that there is no leader; ``time out`` applies
    it and replies that it timed out; ``no connection`` refuses to connect;
    ``invalid`` replies that the request is not allowed.
    """

    def __init__(self, *script):
        self.store = EtcdStore()
        self.script = list(script)

    async def handle_async_request(self, request):
        step = self.script.pop(0) if self.script else 'ok'
        if step == 'no connection':
            raise httpx.ConnectError('refused')
        if step == 'refuse':
            return httpx.Response(503, text=DOWN_BODY)
        if step == 'drop':
            raise httpx.ReadTimeout('dropped')
        if step == 'invalid':
            return httpx.Response(400, text=INVALID)
        body = json.loads(request.content)
        if request.url.path == '/v3/kv/txn':
            reply = self.store.txn(body)
        else:
            reply = self.store.range(body)
        if step == 'lose':
            raise httpx.ReadTimeout('lost')
        if step == 'time out':
            return httpx.Response(503, text=TIMED_OUT)
        return httpx.Response(200, json=reply)


@contextlib.asynccontextmanager
async def _open(*script):
    gateway = FakeGateway(*script)
    async with httpx.AsyncClient(
        transport=gateway, base_url='http://service'
    ) as client:
        yield EtcdService(client), gateway


@pytest.mark.parametrize('fault', ['refuse', 'no connection'])
async def test_rejected_write_raises_platform_unavailable(fault):
    async with _open(fault) as (service, gateway):
        with pytest.raises(PlatformUnavailableError) as caught:
            await service.compare_and_swap('key', b'one', mod_revision=0)
        assert caught.value.ran is Ran.NO
        assert not gateway.store.revision


@pytest.mark.parametrize('fault', ['lose', 'drop', 'time out'])
async def test_write_with_lost_reply_returns_its_revision(fault):
    async with _open(fault) as (service, gateway):
        written = await service.compare_and_swap('key', b'1', mod_revision=0)
        assert written == 1
        assert (await service.read('key')).body == b'1'


@pytest.mark.parametrize('fault', ['lose', 'time out'])
async def test_write_with_lost_reply_and_outage_raises_write_unknown(fault):
    async with _open(fault, *OUTAGE) as (service, gateway):
        with pytest.raises(WriteUnknownError) as caught:
            await service.compare_and_swap('key', b'one', mod_revision=0)
        assert caught.value.ran is Ran.UNKNOWN
        assert gateway.store.revision == 1


async def test_delete_with_lost_reply_and_outage_raises_write_unknown():
    async with _open('ok', 'lose', *OUTAGE) as (service, _):
        written = await service.compare_and_swap('key', b'1', mod_revision=0)
        with pytest.raises(WriteUnknownError):
            await service.delete('key', mod_revision=written)


async def test_delete_with_lost_reply_returns_true():
    async with _open('ok', 'lose') as (service, _):
        written = await service.compare_and_swap('key', b'1', mod_revision=0)
        assert await service.delete('key', mod_revision=written)


async def test_write_with_lost_request_after_other_writer_returns_none():
    async with _open() as (service, gateway):
        await service.compare_and_swap('key', b'other', mod_revision=0)
        gateway.script = ['drop']
        assert (
            await service.compare_and_swap('key', b'own', mod_revision=0)
            is None
        )


async def test_transaction_applies_all_changes_or_none():
    async with _open() as (service, _):
        await service.compare_and_swap('b', b'other', mod_revision=0)
        changes = [KeyChange('a', b'1', 0), KeyChange('b', b'1', 0)]
        assert await service.transact(changes) is None
        assert await service.read('a') is None
        changes = [KeyChange('a', b'1', 0), KeyChange('b', b'2')]
        assert await service.transact(changes) == 2
        assert (await service.read('b')).mod_revision == 2


async def test_reply_that_is_not_json_raises_unavailable(monkeypatch):
    async def send_html(_transport, _request):
        await trio.lowlevel.checkpoint()
        return httpx.Response(200, text='<html>')

    monkeypatch.setattr(FakeGateway, 'handle_async_request', send_html)
    monkeypatch.setattr('briarrill.transport.etcd.WRITE_ATTEMPTS', 1)
    async with _open() as (service, _):
        with pytest.raises(PlatformUnavailableError):
            await service.read('key')
        with pytest.raises(WriteUnknownError):
            await service.compare_and_swap('key', b'1', mod_revision=0)


@pytest.mark.parametrize('earlier', [(), ('lose',)])
async def test_write_that_is_not_allowed_is_refused_for_good(earlier):
    async with _open(*earlier, 'invalid') as (client, gateway):
        with pytest.raises(WriteRefusedError):
            await client.transact([KeyChange('k', b'x', 0)])
        assert not gateway.script
