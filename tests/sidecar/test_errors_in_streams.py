"""Engines that fail inside the stream of an item and end it properly."""

import json

import httpx
import pytest

from briarrill.coordination.admission import Admission
from briarrill.protocol.messages import BatchItem
from briarrill.result_codes import ResultCode
from briarrill.sidecar.upstreams import EngineUpstream
from tests.sidecar.sidecar_setup import make_batch_runner

TEXT_EVENT = b'data: {"choices": [{"delta": {"content": "word"}}]}\n\n'
END_EVENT = b'data: [DONE]\n\n'
HEAD = b'HTTP/1.1 500 Server Error\r\ncontent-type: text/plain\r\n\r\n'
ERRORS = {
    'error event': b'data: {"error": {"message": "server error"}}\n\n',
    'error text': b'data: {"error": "server error"}\n\n',
    'error with choices': b'data: {"error": {"code": 500}, "choices": []}\n\n',
}


async def _run_item(respond):
    client = httpx.AsyncClient(
        base_url='http://engine', transport=httpx.MockTransport(respond)
    )
    runner = make_batch_runner(EngineUpstream(client), Admission(2, 2))
    body = json.dumps({'model': 'model', 'messages': []}).encode()
    item = BatchItem(
        job='job',
        index=0,
        epoch=1,
        contract='kinship',
        model='model',
        url='/v1/chat/completions',
        body=body,
    )
    async with client:
        return await runner.run_item(item)


def _stream(*parts):
    return lambda _request: httpx.Response(
        200,
        headers={'content-type': 'text/event-stream'},
        content=b''.join(parts),
    )


@pytest.mark.parametrize('kind', ERRORS)
@pytest.mark.parametrize('first', [(), (TEXT_EVENT,)], ids=['alone', 'after'])
async def test_error_event_is_no_end_of_an_item(kind, first):
    outcome = await _run_item(_stream(*first, ERRORS[kind], END_EVENT))
    assert outcome.code is ResultCode.UPSTREAM_FAILED
    assert not outcome.body


@pytest.mark.parametrize('content_type', ['text/html', 'text/event-stream'])
@pytest.mark.parametrize('body', [HEAD, HEAD + b'x', b'server error\n\n', b''])
async def test_answer_without_events_is_no_end_of_an_item(content_type, body):
    outcome = await _run_item(
        lambda _request: httpx.Response(
            200, headers={'content-type': content_type}, content=body
        )
    )
    assert outcome.code is ResultCode.UPSTREAM_FAILED
    assert not outcome.body


@pytest.mark.parametrize('status', [400, 404, 408, 421, 429, 500, 503])
@pytest.mark.parametrize('body', [TEXT_EVENT + END_EVENT, HEAD, b''])
async def test_error_status_is_no_end_of_an_item(status, body):
    outcome = await _run_item(
        lambda _request: httpx.Response(
            status,
            headers={'content-type': 'text/event-stream'},
            content=body,
        )
    )
    assert outcome.code is not ResultCode.OK
    assert not outcome.body
