"""Engines and services that write an earlier refusal once more."""

import contextlib

import httpx
import pytest
import trio

from briarrill.sidecar.upstreams import EngineUpstream, ServiceUpstream
from briarrill.transport.http_messages import BodyFraming
from tests.repeating_engine import encode_message
from tests.sidecar.sidecar_setup import make_request, open_sidecar, read_all

UPSTREAM_PORT = 9101

# body of make_request
REQUEST_BODY = b'{}'

ANSWER = b'{"answer": 1}'
JSON_TYPE = b'content-type: application/json'


@pytest.mark.parametrize('kind', [EngineUpstream, ServiceUpstream])
@pytest.mark.parametrize('status', [400, 408, 421, 429, 500, 503])
@pytest.mark.parametrize('framing', [BodyFraming.LENGTH, BodyFraming.CHUNKED])
async def test_refusal_answers_no_other_call(network, kind, status, framing):
    refusal = encode_message(status, b'refused', framing)
    answer = encode_message(200, ANSWER, lines=(JSON_TYPE,))
    requests = []

    async def serve(stream):
        """Refuse the first request; write the refusal again on its channel."""
        copy = b''
        received = b''
        async with stream:
            while part := await stream.receive_some():
                received += part
                if not received.endswith(REQUEST_BODY):
                    continue
                received = b''
                requests.append(part)
                is_first = len(requests) == 1
                await stream.send_all(copy + (refusal if is_first else answer))
                copy = refusal if is_first else b''

    async def handle(stream):
        # the sidecar may close the connection first
        with contextlib.suppress(trio.BrokenResourceError):
            await serve(stream)

    host = f'{network}.2'
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(UPSTREAM_PORT, host=host)
        nursery.start_soon(trio.serve_listeners, handle, listeners)
        url = f'http://{host}:{UPSTREAM_PORT}'
        async with (
            httpx.AsyncClient(base_url=url, timeout=None) as client,
            open_sidecar(f'{network}.1', kind(client)) as setup,
            setup.open_link() as link,
        ):
            await read_all(link.submit(make_request('r1'), 0))
            for number in (2, 3):
                req = make_request(f'r{number}')
                chunks, finish = await read_all(link.submit(req, 0))
                assert (chunks, finish.http_status) == ([ANSWER], 200)
        nursery.cancel_scope.cancel()
    assert len(requests) == 3
