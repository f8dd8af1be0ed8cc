"""Items in replies of the store that cannot be read, among sound ones."""

import contextlib

import pytest
import trio

from briarrill.errors import PlatformUnavailableError, WriteUnknownError
from briarrill.platform.store import PlatformStore
from briarrill.transport.http_callers import CallerLimits
from briarrill.transport.key_value import (
    KeyChange,
    KeySnapshot,
    KeyValue,
    WatchEvent,
    WatchProgress,
)
from tests.serving import serve_standin

SOUND = b'{"key":"p/2","value":"dHdv","revision":12}'

ENTRY = KeyValue('p/2', b'two', 12)
EVENT = WatchEvent('p/2', b'two', 12)

ODD_ITEMS = [
    b'{}',
    b'{"key":"","value":"b25l","revision":11}',
    b'{"key":"p/1","value":"b25","revision":11}',
    b'{"key":"p/1","value":"b25l!","revision":11}',
    b'{"key":"p/1","value":"\xc3\xbc","revision":11}',
    b'{"key":"p/1","value":7,"revision":11}',
    b'{"key":"p/1","value":null,"revision":11}',
    b'{"key":"p/1","value":"b25l","revision":"11"}',
    b'{"key":"p/1","value":"b25l","revision":%b}' % (b'9' * 400),
    b'{"key":"p/1","value":"b25l","revision":%b}' % (b'9' * 25),
    b'{"key":"p/1","value":"b25l","revision":-11}',
    b'{"key":"p/1","value":"b25l","revision":1e400}',
    b'{"key":7,"value":"b25l","revision":11}',
    b'7',
    b'null',
    b'[]',
]


class _Replies:
    """A store that sends one body for each kind of call."""

    def __init__(self, **bodies):
        self.bodies = {f'kv-{name}': body for name, body in bodies.items()}

    def caller_limits(self):
        return CallerLimits()

    async def serve(self, conn):
        while (head := await conn.read_request_head()) is not None:
            await conn.read_body(head)
            body = self.bodies.get(head.path.split('/')[1])
            if body is None:
                await trio.sleep_forever()
            await conn.send_response(200, (), body)


@contextlib.asynccontextmanager
async def _client_of(**bodies):
    async with serve_standin(_Replies(**bodies)) as address:
        client = PlatformStore(address)
        with trio.fail_after(10):
            yield client
        client.close()


def _page(*items, at=b'12', has_more=b'false'):
    listed = b','.join(items)
    return b'{"items":[%b],"has_more":%b,"at":%b}' % (listed, has_more, at)


@pytest.mark.parametrize('odd', ODD_ITEMS)
async def test_unreadable_item_is_left_out_of_a_followed_prefix(odd):
    async with _client_of(
        range=_page(odd, SOUND),
        watch=b'{"events":[%b,%b],"at":13}' % (odd, SOUND),
    ) as client:
        changes = client.follow_prefix('p/')
        assert await anext(changes) == KeySnapshot((ENTRY,), 12)
        assert await anext(changes) == EVENT
        assert await anext(changes) == WatchProgress(13)


@pytest.mark.parametrize('odd', ODD_ITEMS)
async def test_read_of_an_unreadable_item_fails(odd):
    async with _client_of(range=_page(odd, SOUND), key=odd) as client:
        with pytest.raises(PlatformUnavailableError):
            await client.read_prefix('p/')
        with pytest.raises(PlatformUnavailableError):
            await client.read('p/1')


async def test_page_without_a_readable_item_ends_the_follow():
    async with _client_of(range=_page(b'7', has_more=b'true')) as client:
        with pytest.raises(PlatformUnavailableError):
            await anext(client.follow_prefix('p/'))


@pytest.mark.parametrize(
    'number', [b'-1', b'9' * 25, b'9' * 400, b'1e400', b'1.5', b'"1"']
)
async def test_reply_with_an_odd_number_is_a_failed_call(number):
    lease = b'{"lease":%b,"ttl_ms":%b}'
    change = KeyChange('p/1', b'one', mod_revision=0)
    async with _client_of(
        range=_page(SOUND, at=number),
        watch=b'{"events":[],"at":%b}' % number,
        lease=lease % (b'7', number),
        keep=lease % (b'7', number),
        txn=b'{"revision":%b}' % number,
    ) as client:
        for call in (
            anext(client.follow_prefix('p/')),
            anext(client.follow_prefix('p/', after_revision=7)),
            client.grant_lease(5),
            client.keep_lease_alive(7),
        ):
            with pytest.raises(PlatformUnavailableError):
                await call
        with pytest.raises(WriteUnknownError):
            await client.transact([change])
