"""Connections that are kept, by what the responses on them name."""

import math

import pytest

from briarrill.coordination.call_channels import CallChannels
from briarrill.coordination.relay_protocol import Call
from briarrill.coordination.upstream_table import RegisteredUpstream
from briarrill.platform.relay_protocol import PlatformRelayProtocol
from briarrill.transport.http_messages import RequestHead
from standins.platform_engine import StandinEngine
from tests.relay.front_end_setup import IDEMPOTENT
from tests.serving import serve_standin

HEAD = RequestHead(
    b'POST', b'/x', ((b'host', b'h'), (b'content-length', b'0'))
)


def make_call(request_id):
    return Call(
        request_id=request_id,
        route=IDEMPOTENT,
        service='llm',
        head=HEAD,
        body=b'',
        deadline_s=math.inf,
    )


async def exchange(channels, upstream, request_id):
    """Make a call on a kept or new connection; return the connection."""
    channel = await channels.acquire(upstream, request_id)
    async with channel.exchange(HEAD, b''):
        await channels.read_head(make_call(request_id), upstream, channel)
        await channel.read_full_body(1000)
    channels.release(upstream, channel)
    return channel


@pytest.mark.parametrize('echoes', [True, False])
async def test_connection_is_kept_if_responses_name_their_request(echoes):
    async def respond(req, conn):
        request_id = next(request_ids)
        echo = ((b'briarrill-attempt-id', request_id),) if echoes else ()
        await conn.send_response(200, echo, b'')

    request_ids = iter((b'r1', b'r2'))
    channels = CallChannels(PlatformRelayProtocol(), 1)
    async with serve_standin(StandinEngine(respond)) as address:
        upstream = RegisteredUpstream('i-1', 'llm', address, 'a', 8)
        first = await exchange(channels, upstream, 'r1')
        second = await exchange(channels, upstream, 'r2')
    assert (first is second) is echoes
