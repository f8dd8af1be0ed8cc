"""Responses without a body: to HEAD, and with status 204 or 304.

A body in one of these failed, and the connection closed without a response.
"""

import pytest
import trio

from briarrill.transport.http_callers import CallerLimits, serve_callers
from standins.platform_engine import (
    StandinEngine,
    reject_unexecuted,
    respond_with,
)
from tests.relay.front_end_setup import IDEMPOTENT, run_front_end
from tests.serving import free_port


async def exchange(address, method, path):
    """Send two requests, the last on its connection; return the responses."""
    requests = [
        f'{method} {path} HTTP/1.1\r\nhost: h.example\r\n'
        f'briarrill-attempt-id: r{number}\r\nconnection: {connection}\r\n\r\n'
        for number, connection in enumerate(('keep-alive', 'close'))
    ]
    received = b''
    sock = trio.socket.socket()
    with sock, trio.fail_after(20):
        await sock.connect(address)
        await sock.send(''.join(requests).encode())
        while part := await sock.recv(65_536):
            received += part
    return received


def split(received):
    """Return the heads of the responses and the bytes between them."""
    heads, bodies = [], []
    for response in received.split(b'HTTP/1.1 ')[1:]:
        head, _, body = response.partition(b'\r\n\r\n')
        heads.append(head)
        bodies.append(body)
    return heads, bodies


@pytest.mark.parametrize(
    ('method', 'status', 'expected'),
    [
        ('GET', 200, b'body'),
        ('GET', 503, b'body'),
        ('HEAD', 200, b''),
        ('HEAD', 503, b''),
        ('GET', 204, b''),
        ('GET', 304, b''),
        ('HEAD', 204, b''),
    ],
)
async def test_body_is_left_out_where_none_is_allowed(
    method, status, expected
):
    async def serve(conn):
        while (head := await conn.read_request_head()) is not None:
            await conn.read_body(head)
            await conn.send_response(status, (), b'body')

    address = ('127.0.0.1', free_port())
    async with serve_callers(address, CallerLimits, serve):
        heads, bodies = split(await exchange(address, method, '/'))
    assert bodies == [expected, expected]
    for head in heads:
        assert head.startswith(b'%d ' % status)
        assert (b'content-length: 4' in head) is (status != 204)


@pytest.mark.parametrize('path', ['/elsewhere/', '/idempotent/'])
async def test_error_of_the_entry_is_the_response_to_head(path):
    """Upstreams that are full, and a route that does not exist."""
    engine = StandinEngine(reject_unexecuted())
    async with run_front_end([IDEMPOTENT], engine) as setup:
        heads, bodies = split(await exchange(setup.address, 'HEAD', path))
    assert heads[0].split()[0] in {b'404', b'503'}
    assert not any(bodies)


async def test_response_to_head_keeps_the_length_of_the_upstream():
    engine = StandinEngine(respond_with(b'whole body'))
    async with run_front_end([IDEMPOTENT], engine) as setup:
        heads, bodies = split(
            await exchange(setup.address, 'HEAD', '/idempotent/')
        )
    assert bodies == [b'', b'']
    for head in heads:
        assert head.startswith(b'200 ')
        assert b'content-length: 10' in head
    assert len(engine.requests) == 2
