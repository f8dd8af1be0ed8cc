"""Responses to a sidecar cut at every byte, in every framing."""

import functools
import socket

import httpx
import pytest
import trio

from briarrill.sidecar.upstreams import (
    EngineUpstream,
    ServiceUpstream,
    UpstreamRequest,
)
from tests.raw_engine import RESET_WHEN_CLOSED, cut_at_every_byte, every_end
from tests.serving import serve_standin

PORT = 8080

STREAM = (b'data: {"id":1}\n\n', b'data: [DONE]\n\n')
JSON = (b'{"choices":[],', b'"usage":null}')


@pytest.fixture
async def client(network):
    """Return a client that uses each connection once."""
    limits = httpx.Limits(max_keepalive_connections=0)
    url = f'http://{network}.1:{PORT}'
    async with httpx.AsyncClient(
        base_url=url, timeout=5, limits=limits
    ) as opened:
        yield opened


async def _read(upstream, cut):
    """Return the body that counts as complete, if the upstream sent one."""
    address = (upstream.client.base_url.host, PORT)
    req = UpstreamRequest('POST', '/', b'{}')
    async with serve_standin(cut.engine(), address):
        try:
            async with upstream.send(req) as response:
                return b''.join([chunk async for chunk in response.chunks])
        except httpx.HTTPError:
            return None


def _check(body, cut):
    """Check that a cut response does not count as complete."""
    if body is None:
        assert not cut.is_complete, cut
    else:
        assert cut.may_look_complete, cut


@every_end
async def test_cut_stream_of_an_engine_raises(client, framing, reset):
    head = b'text/event-stream'
    for cut in cut_at_every_byte(STREAM, framing, reset, content_type=head):
        body = await _read(EngineUpstream(client), cut)
        _check(body, cut)
        assert body in {None, b''.join(STREAM)}, cut


@every_end
async def test_cut_json_of_an_engine_raises(client, framing, reset):
    head = b'application/json'
    for cut in cut_at_every_byte(JSON, framing, reset, content_type=head):
        body = await _read(EngineUpstream(client), cut)
        _check(body, cut)
        assert body in {None, b''.join(JSON)}, cut


@every_end
async def test_cut_response_of_a_service_raises(client, framing, reset):
    for cut in cut_at_every_byte(JSON, framing, reset):
        _check(await _read(ServiceUpstream(client), cut), cut)


async def _reset_inside_response(stream):
    """Read a part of a request, send a part of a response and reset."""
    await stream.receive_some(1000)
    await stream.send_all(b'HTTP/1.1 200 OK\r\n\r\na part of it')
    await trio.sleep(0.005)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_WHEN_CLOSED)
    stream.socket.close()


async def test_reset_during_a_long_request_does_not_end_the_response(
    client, nursery
):
    """The HTTP client gets the reset while it still sends the request."""
    await nursery.start(
        functools.partial(
            trio.serve_tcp,
            _reset_inside_response,
            PORT,
            host=client.base_url.host,
        )
    )
    upstream = ServiceUpstream(client)
    req = UpstreamRequest('POST', '/', b'x' * 20_000_000)
    with pytest.raises(httpx.RemoteProtocolError):
        async with upstream.send(req) as response:
            assert await anext(response.chunks) == b'a part of it'
            await anext(response.chunks)
