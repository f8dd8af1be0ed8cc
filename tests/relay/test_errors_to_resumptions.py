"""Upstreams that answer the resumption of a stream with an error."""

import contextlib

import pytest
import trio

from standins.platform_engine import (
    StandinEngine,
    encode_event,
    stream_events,
)
from tests.error_responses import NO_RESPONSES, SUCCESSES, error_statuses
from tests.raw_engine import RawEngine
from tests.relay.front_end_setup import (
    RESUMABLE_STREAM,
    ROUTE_HOST,
    run_front_end,
)

# what the first upstream sends before it breaks off
BEGUN = encode_event(1) + encode_event(2)

END = b'0\r\n\r\n'


async def _read_all(address):
    """Send a request; return all bytes until the connection ends."""
    request = (
        b'POST %b HTTP/1.1\r\nhost: %b\r\nbriarrill-attempt-id: r1\r\n'
        b'connection: close\r\ncontent-length: 0\r\n\r\n'
        % (RESUMABLE_STREAM.prefix.encode(), ROUTE_HOST)
    )
    parts = []
    stream = await trio.open_tcp_stream(*address)
    async with stream:
        await stream.send_all(request)
        with contextlib.suppress(trio.BrokenResourceError):
            async for part in stream:
                parts.append(part)
    return b''.join(parts)


def _join_chunks(body):
    """Return the content of the chunks that arrived."""
    content = []
    while body:
        size, _, rest = body.partition(b'\r\n')
        length = int(size, 16)
        content.append(rest[:length])
        body = rest[length + 2 :]
    return b''.join(content)


async def _check(network, responses):
    for raw in responses:
        engines = (
            StandinEngine(stream_events(9, cut_after=2)),
            RawEngine(raw),
        )
        async with run_front_end(
            [RESUMABLE_STREAM], *engines, network=network
        ) as setup:
            received = await _read_all(setup.address)
        assert len(engines[1].requests) == 1
        head, _, body = received.partition(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200')
        assert not body.endswith(END), raw
        assert _join_chunks(body) == BEGUN, raw


@pytest.mark.parametrize('kind', SUCCESSES)
async def test_success_without_events_is_no_part_of_the_stream(network, kind):
    await _check(network, SUCCESSES[kind])


@pytest.mark.parametrize('number', range(10))
async def test_error_status_is_no_part_of_the_stream(network, number):
    await _check(network, error_statuses()[number::10])


async def test_bytes_that_are_no_response_are_no_part_of_the_stream(network):
    await _check(network, NO_RESPONSES)
