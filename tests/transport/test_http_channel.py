"""Responses of servers: complete, cut off, late or with extra bytes."""

import contextlib
import socket

import pytest
import trio

from briarrill.errors import PeerUnreachableError, UpstreamLostError
from briarrill.transport.http_channel import (
    MAX_PIECE_BYTES,
    ChannelPool,
    connect,
)
from briarrill.transport.http_messages import RequestHead, find_header
from briarrill.transport.turns import MAX_EVENTS_PER_TURN
from tests.parser_steps import count_parser_steps
from tests.raw_engine import RESET_WHEN_CLOSED

HEAD = RequestHead(b'GET', b'/a%2Fb?q=%20', ((b'host', b'h'),))


@contextlib.asynccontextmanager
async def raw_server(*replies, then_close=True):
    """Send one fixed reply per read; yield the address and what was read."""
    received = []

    async def handle(stream):
        for reply in replies:
            received.append(await stream.receive_some(65536))
            await stream.send_all(reply)
        if not then_close:
            await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, handle, listeners)
        yield listeners[0].socket.getsockname(), received
        nursery.cancel_scope.cancel()


async def _request(channel, is_expected=None):
    async with channel.exchange(HEAD, b''):
        head = await channel.read_head(is_expected)
        return head, await channel.read_full_body(10_000)


async def test_request_target_is_sent_unchanged():
    reply = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
    async with raw_server(reply) as (address, received):
        channel = await connect(address, 1)
        head, body = await _request(channel)
        channel.close()
    assert received[0].startswith(b'GET /a%2Fb?q=%20 HTTP/1.1\r\n')
    assert (head.status, body) == (200, b'ok')


@pytest.mark.parametrize(
    'text', [b'9' * 400, b'9' * 5000, b'-1', b'\xb2', b'']
)
async def test_response_with_an_odd_idle_timeout_is_read(text):
    reply = b'HTTP/1.1 200 OK\r\nkeep-alive: timeout=%b\r\n' % text
    reply += b'content-length: 2\r\n\r\nok'
    async with raw_server(reply) as (address, _):
        channel = await connect(address, 1)
        _, body = await _request(channel)
        assert body == b'ok'
        channel.close()


async def test_response_without_length_ends_at_connection_close():
    async with raw_server(b'HTTP/1.1 200 OK\r\n\r\nwhole') as (address, _):
        channel = await connect(address, 1)
        _, body = await _request(channel)
        assert body == b'whole'
        assert not channel.is_reusable
        channel.close()


@pytest.mark.parametrize(
    'reply',
    [
        b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort',
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n',
        b'HTTP/1.1 200 OK\r\ncontent-le',
        b'',
        b'these bytes are no response\r\n\r\n',
    ],
)
async def test_truncated_or_invalid_response_raises_upstream_lost(reply):
    async with raw_server(reply) as (address, _):
        channel = await connect(address, 1)
        with pytest.raises(UpstreamLostError):
            await _request(channel)
        channel.close()


async def test_late_response_to_earlier_request_is_discarded():
    late = b'HTTP/1.1 200 OK\r\nx-id: old\r\ncontent-length: 3\r\n\r\nold'
    own = b'HTTP/1.1 200 OK\r\nx-id: new\r\ncontent-length: 3\r\n\r\nnew'
    async with raw_server(late + own) as (address, _):
        channel = await connect(address, 1)
        _, body = await _request(
            channel, lambda head: find_header(head.headers, b'x-id') == b'new'
        )
        channel.close()
    assert body == b'new'


async def test_channel_with_bytes_after_response_is_not_reusable():
    reply = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokextra'
    async with raw_server(reply, then_close=False) as (address, _):
        channel = await connect(address, 1)
        _, body = await _request(channel)
        assert body == b'ok'
        assert not channel.is_reusable
        channel.close()


async def test_pool_discards_channel_with_unexpected_bytes():
    first = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
    async with raw_server(first, b'', then_close=True) as (address, _):
        pool = ChannelPool(1)
        channel = await pool.acquire('a', address)
        await _request(channel)
        pool.release('a', channel)
        await channel._sock.send(b'x')
        while not channel._sock.is_readable():
            await trio.sleep(0.01)
        assert not channel.is_usable
        other_channel = await pool.acquire('a', address)
        assert other_channel is not channel
        other_channel.close()
        pool.close()


async def test_pool_reuses_idle_channel():
    reply = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
    async with raw_server(reply, reply, then_close=False) as (address, _):
        pool = ChannelPool(1)
        channel = await pool.acquire('a', address)
        await _request(channel)
        pool.release('a', channel)
        assert await pool.acquire('a', address) is channel
        _, body = await _request(channel)
        assert body == b'ok'
        channel.close()


async def test_early_response_is_read_while_long_body_is_sent():
    reply = b'HTTP/1.1 413 No\r\ncontent-length: 0\r\n\r\n'
    body = b'x' * 20_000_000
    head = RequestHead(
        b'POST',
        b'/',
        ((b'host', b'h'), (b'content-length', str(len(body)).encode())),
    )
    async with raw_server(reply, then_close=False) as (address, _):
        channel = await connect(address, 1)
        async with channel.exchange(head, body):
            response_head = await channel.read_head()
            await channel.read_full_body(10)
        assert response_head.status == 413
        assert not channel.is_reusable
        channel.close()


# each side of the connection gets the error of a reset with even odds
RESETS = 24


async def _reset_inside_response(stream):
    """Read a part of a request, send a part of a response and reset."""
    await stream.receive_some(1000)
    await stream.send_all(b'HTTP/1.1 200 OK\r\n\r\na part of it')
    await trio.sleep(0.005)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_WHEN_CLOSED)
    stream.socket.close()


async def test_reset_that_the_sender_gets_does_not_end_the_response():
    """A long request is still being sent when the connection is reset."""
    body = b'x' * 20_000_000
    length = (b'content-length', str(len(body)).encode())
    head = RequestHead(b'POST', b'/', ((b'host', b'h'), length))
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(
            trio.serve_listeners, _reset_inside_response, [listener]
        )
        for _ in range(RESETS):
            channel = await connect(listener.socket.getsockname(), 1)
            with pytest.raises(UpstreamLostError):
                async with channel.exchange(head, body):
                    await channel.read_head()
                    await channel.read_full_body(1000)
            channel.close()
        nursery.cancel_scope.cancel()


async def test_connect_without_listener_raises_peer_unreachable():
    with pytest.raises(PeerUnreachableError):
        await connect(('127.0.0.1', 1), 1)


# a sound server may read nothing for about a second; half as long again
SILENCE_S = 1.5


async def test_long_request_is_kept_while_its_server_reads_nothing():
    """Its window is full, so the kernel takes the bytes for unacknowledged."""
    body = b'x' * 4_000_000
    length = (b'content-length', str(len(body)).encode())
    head = RequestHead(b'POST', b'/', ((b'host', b'h'), length))

    async def read_late(stream):
        await trio.sleep(SILENCE_S)
        left = len(body)
        while left > 0:
            left -= len(await stream.receive_some())
        await stream.send_all(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, read_late, [listener])
        channel = await connect(listener.socket.getsockname(), 1)
        with trio.fail_after(10):
            async with channel.exchange(head, body):
                assert (await channel.read_head()).status == 200
        channel.close()
        nursery.cancel_scope.cancel()


# one byte a chunk, so that few bytes take the parser many steps
TINY_CHUNKS = b'1\r\nx\r\n' * 5000 + b'0\r\n\r\n'
CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'


async def test_tiny_chunks_leave_other_tasks_their_turn(monkeypatch):
    async with raw_server(CHUNKED_HEAD + TINY_CHUNKS) as (address, _):
        channel = await connect(address, 1)
        with count_parser_steps(monkeypatch) as steps:
            _, body = await _request(channel)
        channel.close()
    assert body == b'x' * 5000
    assert steps.most_events <= 2 * MAX_EVENTS_PER_TURN


async def test_no_buffered_part_is_read_after_the_time_limit():
    async with raw_server(CHUNKED_HEAD + TINY_CHUNKS) as (address, _):
        channel = await connect(address, 1)
        async with channel.exchange(HEAD, b''):
            await channel.read_head()
            assert await channel.read_body() == b'x'
            with trio.move_on_after(0) as scope:
                await channel.read_body()
        channel.close()
    assert scope.cancelled_caught


async def test_pieces_of_a_body_leave_other_tasks_their_turn():
    body = bytes(range(256)) * (MAX_PIECE_BYTES // 16)
    reply = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b'
    raw = reply % (len(body), body)
    pieces = []
    turns = []

    async def count_turns():
        while True:
            turns.append(len(pieces))
            await trio.lowlevel.checkpoint()

    async with raw_server(raw) as (address, _), trio.open_nursery() as nursery:
        channel = await connect(address, 1)
        async with channel.exchange(HEAD, b''):
            await channel.read_head()
            nursery.start_soon(count_turns)
            while (piece := await channel.read_piece()) is not None:
                pieces.append(piece)
        assert channel.is_reusable
        channel.close()
        nursery.cancel_scope.cancel()
    assert b''.join(pieces) == body
    assert max(map(len, pieces)) <= MAX_PIECE_BYTES
    # each turn has the two tasks in any order
    assert len(turns) >= len(pieces) - 2
