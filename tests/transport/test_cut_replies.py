"""Replies of the key-value service and the instance list, each cut."""

import contextlib

import httpx
import pytest
import trio

from briarrill.errors import PlatformUnavailableError, WriteUnknownError
from briarrill.transport.etcd import EtcdService
from briarrill.transport.instance_list import InstanceList
from briarrill.transport.key_value import KeyChange, KeyValue, WatchEvent
from tests.raw_engine import RawEngine, cut_at_every_byte, every_end
from tests.serving import serve_standin

PORT = 8080

WRITE_REPLY = (b'{"header":{"revision":"12"},', b'"succeeded":true}')
RANGE_REPLY = (
    b'{"kvs":[{"key":"aw==","value":"b25l"',
    b',"mod_revision":3}]}',
)
WATCH_REPLY = (
    b'{"result":{"events":[{"kv":{"key":"aw==","value":"b25l",',
    b'"mod_revision":3}}]}}\n',
)
INSTANCES = (
    b'[{"name":"a","host":"h","failure_domain":"f",',
    b'"region":"r","roles":["entry"]}]',
)

CHANGE = KeyChange('k', b'one', mod_revision=0)


@pytest.fixture
async def client(network):
    """Return a client that uses each connection once."""
    limits = httpx.Limits(max_keepalive_connections=0)
    url = f'http://{network}.1:{PORT}'
    async with httpx.AsyncClient(base_url=url, limits=limits) as opened:
        yield opened


@contextlib.asynccontextmanager
async def _serve(client, engine):
    with trio.fail_after(5):
        async with serve_standin(engine, (client.base_url.host, PORT)):
            yield


def _is_whole(cut):
    return cut.may_look_complete and cut.body == b''.join(cut.parts)


@every_end
async def test_write_with_cut_reply_has_an_unknown_outcome(
    client, framing, reset
):
    service = EtcdService(client)
    for cut in cut_at_every_byte(WRITE_REPLY, framing, reset):
        async with _serve(client, cut.engine()):
            if cut.is_complete or _is_whole(cut):
                assert await service.transact([CHANGE]) == 12, cut
                continue
            with pytest.raises(WriteUnknownError):
                await service.transact([CHANGE])


@every_end
async def test_range_with_cut_reply_raises_unavailable(client, framing, reset):
    service = EtcdService(client)
    for cut in cut_at_every_byte(RANGE_REPLY, framing, reset):
        async with _serve(client, cut.engine()):
            if cut.is_complete or _is_whole(cut):
                assert await service.read('k') == KeyValue('k', b'one', 3), cut
                continue
            with pytest.raises(PlatformUnavailableError):
                await service.read('k')


@every_end
async def test_cut_watch_yields_whole_events_only(client, framing, reset):
    service = EtcdService(client)
    for cut in cut_at_every_byte(WATCH_REPLY, framing, reset):
        changes = []
        async with _serve(client, cut.engine()):
            with pytest.raises(PlatformUnavailableError):
                async for change in service.follow_prefix('k'):
                    changes.append(change)
        assert changes in ([], [WatchEvent('k', b'one', 3)]), cut


@every_end
async def test_cut_instance_list_raises_unavailable(client, framing, reset):
    for cut in cut_at_every_byte(INSTANCES, framing, reset):
        instances = InstanceList(client)
        async with _serve(client, cut.engine()):
            if cut.is_complete or _is_whole(cut):
                (instance,) = await instances.fetch()
                assert instance.name == 'a', cut
                continue
            with pytest.raises(PlatformUnavailableError):
                await instances.fetch()


CUT_HEAD = b'HTTP/1.1 200 OK\r\nserver: s'
RANGE_ERROR = b'HTTP/1.1 500 Error\r\ncontent-length: 2\r\n\r\n{}'
LIST_ERROR = b'HTTP/1.1 500 Error\r\ncontent-length: 2\r\n\r\n[]'


@pytest.mark.parametrize(
    'length', [len(b'HTTP/1.1 200 '), len(b'HTTP/1.1 200 OK'), len(CUT_HEAD)]
)
async def test_error_after_a_cut_head_is_no_empty_reply(client, length):
    """The status is that of the cut head, the body that of an error."""
    async with _serve(client, RawEngine(CUT_HEAD[:length] + RANGE_ERROR)):
        with pytest.raises(PlatformUnavailableError):
            await EtcdService(client).read_prefix('k')
    async with _serve(client, RawEngine(CUT_HEAD[:length] + LIST_ERROR)):
        with pytest.raises(PlatformUnavailableError):
            await InstanceList(client).fetch()
