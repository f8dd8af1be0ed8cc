"""Engines that fail inside the stream of an item and end it properly."""

import json

import attrs
import httpx
import pytest

from briarrill.coordination.admission import Admission
from briarrill.protocol.messages import BatchItem
from briarrill.result_codes import Ran, ResultCode
from briarrill.sidecar.upstreams import EngineUpstream
from tests.sidecar.sidecar_setup import (
    make_batch_runner,
    make_request,
    open_sidecar,
    read_all,
)

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


async def _call(network, respond, path, *, stream):
    """Return the chunks and the end of an online call."""
    client = httpx.AsyncClient(
        base_url='http://engine', transport=httpx.MockTransport(respond)
    )
    body = json.dumps({'model': 'model', 'stream': stream}).encode()
    req = attrs.evolve(make_request(path=path), body=body)
    async with (
        client,
        open_sidecar(f'{network}.1', EngineUpstream(client)) as setup,
        setup.open_link() as link,
    ):
        return await read_all(link.submit(req, 0))


def _answer(status, content_type, body):
    return lambda _request: httpx.Response(
        status,
        headers={'content-type': content_type} if content_type else {},
        content=body,
    )


@pytest.mark.parametrize(
    'path', ['/v1/chat/completions', '/v1/completions', '/v1/completions?a=1']
)
@pytest.mark.parametrize('status', [200, 204, 302, 307])
@pytest.mark.parametrize('content_type', ['', 'application/json', 'text/html'])
@pytest.mark.parametrize('body', [b'', b'{"id": 1}', TEXT_EVENT + END_EVENT])
async def test_other_content_is_no_stream_of_a_caller(
    network, path, status, content_type, body
):
    """It was relayed, and the stream ended as if it were complete."""
    respond = _answer(status, content_type, body)
    chunks, finish = await _call(network, respond, path, stream=True)
    assert not chunks
    assert finish.code is ResultCode.UPSTREAM_FAILED
    assert finish.ran is Ran.UNKNOWN


@pytest.mark.parametrize(
    'content_type', ['text/event-stream', 'Text/Event-Stream; charset=utf-8']
)
async def test_stream_of_a_caller_is_relayed(network, content_type):
    respond = _answer(200, content_type, TEXT_EVENT + END_EVENT)
    path = '/v1/chat/completions'
    chunks, finish = await _call(network, respond, path, stream=True)
    assert b''.join(chunks) == TEXT_EVENT + END_EVENT
    assert finish.code is ResultCode.OK


@pytest.mark.parametrize(
    ('path', 'stream'),
    [('/v1/chat/completions', False), ('/v1/audio/speech', True)],
)
async def test_other_requests_may_get_other_content(network, path, stream):
    respond = _answer(200, 'application/json', b'{"id": 1}')
    chunks, finish = await _call(network, respond, path, stream=stream)
    assert chunks == [b'{"id": 1}']
    assert finish.code is ResultCode.OK
