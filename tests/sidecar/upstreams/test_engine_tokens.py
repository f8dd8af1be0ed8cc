"""Tokens of an engine's answer, counted as it passes."""

import httpx
import pytest

from briarrill.sidecar.upstreams import Call
from briarrill.sidecar.upstreams.engine import EngineUpstream

EVENT_STREAM = 'text/event-stream'
PIECE = b'data: {"choices":[{"delta":{"content":"a "}}]}\n\n'
EMPTY = b'data: {"choices":[{"delta":{"role":"assistant","content":""}}]}\n\n'
USAGE = b'data: {"choices":[],"usage":{"completion_tokens":7}}\n\n'
DONE = b'data: [DONE]\n\n'
WHOLE = (
    b'{"choices":[{"message":{"content":"a b"}}],'
    b'"usage":{"prompt_tokens":9,"completion_tokens":2}}'
)


@pytest.mark.parametrize(
    ('content_type', 'body', 'tokens'),
    [
        (EVENT_STREAM, EMPTY + PIECE * 3 + DONE, 3),
        (EVENT_STREAM, EMPTY + PIECE * 3 + USAGE + DONE, 7),
        ('application/json', WHOLE, 2),
        ('application/json', b'[1, "not a completion"]', 0),
    ],
    ids=['events', 'usage', 'whole', 'other'],
)
async def test_tokens_are_counted(content_type, body, tokens):
    def reply(_request):
        headers = {'content-type': content_type}
        return httpx.Response(200, content=body, headers=headers)

    transport = httpx.MockTransport(reply)
    async with httpx.AsyncClient(
        transport=transport, base_url='http://engine'
    ) as client:
        call = Call('POST', '/v1/chat/completions', b'{}')
        async with EngineUpstream(client).open_call(call) as answer:
            relayed = b''.join([chunk async for chunk in answer.chunks])
    assert relayed == body
    assert answer.tokens == tokens
