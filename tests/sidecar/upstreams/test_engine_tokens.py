"""Token counts of an engine's responses."""

import httpx
import pytest

from briarrill.sidecar.upstreams import UpstreamRequest
from briarrill.sidecar.upstreams.engine import EngineUpstream

EVENT_STREAM = 'text/event-stream'
TEXT_EVENT = b'data: {"choices":[{"delta":{"content":"a "}}]}\n\n'
ROLE_EVENT = (
    b'data: {"choices":[{"delta":{"role":"assistant","content":""}}]}\n\n'
)
USAGE_EVENT = b'data: {"choices":[],"usage":{"completion_tokens":7}}\n\n'
END_EVENT = b'data: [DONE]\n\n'
JSON_BODY = (
    b'{"choices":[{"message":{"content":"a b"}}],'
    b'"usage":{"prompt_tokens":9,"completion_tokens":2}}'
)


def _usage(number):
    return b'data: {"usage":{"completion_tokens":%b}}\n\n' % number


@pytest.mark.parametrize(
    ('content_type', 'body', 'tokens'),
    [
        (EVENT_STREAM, ROLE_EVENT + TEXT_EVENT * 3 + END_EVENT, 3),
        (
            EVENT_STREAM,
            ROLE_EVENT + TEXT_EVENT * 3 + USAGE_EVENT + END_EVENT,
            7,
        ),
        (EVENT_STREAM, TEXT_EVENT * 3 + _usage(b'-1') + END_EVENT, 3),
        (EVENT_STREAM, TEXT_EVENT * 3 + _usage(b'9' * 25) + END_EVENT, 3),
        (EVENT_STREAM, TEXT_EVENT * 3 + _usage(b'1e400') + END_EVENT, 3),
        ('application/json', JSON_BODY, 2),
        ('application/json', b'[1, "not a completion"]', 0),
    ],
    ids=['events', 'usage', 'negative', 'digits', 'range', 'whole', 'other'],
)
async def test_tokens_are_counted_by_events_or_from_reported_usage(
    content_type, body, tokens
):
    def reply(_request):
        headers = {'content-type': content_type}
        return httpx.Response(200, content=body, headers=headers)

    transport = httpx.MockTransport(reply)
    async with httpx.AsyncClient(
        transport=transport, base_url='http://engine'
    ) as client:
        req = UpstreamRequest('POST', '/v1/chat/completions', b'{}')
        async with EngineUpstream(client).send(req) as response:
            relayed = b''.join([chunk async for chunk in response.chunks])
    assert relayed == body
    assert response.tokens == tokens
