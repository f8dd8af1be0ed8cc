"""Replies of the store cut at every byte, in every framing."""

import contextlib

import pytest
import trio

from briarrill.errors import PlatformUnavailableError, WriteUnknownError
from briarrill.platform.store import PlatformStore
from briarrill.transport.key_value import KeyChange, KeyValue
from tests.raw_engine import RawEngine, cut_at_every_byte, every_end
from tests.serving import serve_standin

WRITE_REPLY = (b'{"revi', b'sion":12}')
READ_REPLY = (b'{"key":"k","value":"b25l","rev', b'ision":12}')
RANGE_REPLY = (b'{"items":[{"key":"k","value":"b25l",', b'"revision":12}],')
RANGE_END = b'"has_more":false,"at":12}'

CHANGE = KeyChange('k', b'one', mod_revision=0)
ENTRY = KeyValue('k', b'one', 12)


@contextlib.asynccontextmanager
async def _client_of(engine, network):
    """Yield a client of a store that sends the engine's reply."""
    async with serve_standin(engine, (f'{network}.1', 8080)) as address:
        client = PlatformStore(address)
        with trio.fail_after(5):
            yield client
        client.close()


def _is_whole(cut):
    return cut.may_look_complete and cut.body == b''.join(cut.parts)


@every_end
async def test_write_with_cut_reply_has_an_unknown_outcome(
    network, framing, reset
):
    """The store has made the write, so it must not count as not made."""
    for cut in cut_at_every_byte(WRITE_REPLY, framing, reset):
        async with _client_of(cut.engine(), network) as client:
            if cut.is_complete or _is_whole(cut):
                assert await client.transact([CHANGE]) == 12, cut
                continue
            with pytest.raises(WriteUnknownError):
                await client.transact([CHANGE])


@every_end
async def test_read_with_cut_reply_raises_unavailable(network, framing, reset):
    for cut in cut_at_every_byte(READ_REPLY, framing, reset):
        async with _client_of(cut.engine(), network) as client:
            if cut.is_complete or _is_whole(cut):
                assert await client.read('k') == ENTRY, cut
                continue
            with pytest.raises(PlatformUnavailableError):
                await client.read('k')


@every_end
async def test_range_with_cut_reply_raises_unavailable(
    network, framing, reset
):
    for cut in cut_at_every_byte((*RANGE_REPLY, RANGE_END), framing, reset):
        async with _client_of(cut.engine(), network) as client:
            if cut.is_complete or _is_whole(cut):
                assert await client.read_prefix('k') == [ENTRY], cut
                continue
            with pytest.raises(PlatformUnavailableError):
                await client.read_prefix('k')


@pytest.mark.parametrize('status', [500, 502, 504])
async def test_write_with_server_error_has_an_unknown_outcome(network, status):
    raw = b'HTTP/1.1 %d Error\r\ncontent-length: 0\r\n\r\n' % status
    async with _client_of(RawEngine(raw), network) as client:
        with pytest.raises(WriteUnknownError):
            await client.transact([CHANGE])
