"""Limits of an entry for callers, and the error at each limit."""

import itertools
import re

import msgspec
import pytest
import trio
from quart_trio import QuartTrio

from briarrill.errors import UpstreamLostError
from briarrill.result_codes import ResultCode
from briarrill.state.job_records import FileRecord, encode_record
from briarrill.state.keys import file_key
from briarrill.transport.http_server import HttpTimeouts
from tests.entry.serving import FakeResponse

COMPLETIONS_PATH = '/v1/chat/completions'
COMPLETION_BODY = {'model': 'drafter', 'messages': [], 'stream': True}


class StalledReplicas:
    """Segment storage whose writes never return."""

    async def put(self, body, lines):
        await trio.sleep_forever()


class BlockedResponse(FakeResponse):
    """A response without chunks that ends once an event is set."""

    def __init__(self, event):
        super().__init__()
        self.event = event

    async def next_chunk(self):
        await self.event.wait()


def _assert_rejected(reply, code):
    """Check that a response is an error with this code that did not run."""
    error = reply.json()['error']
    assert error['code'] == code, error
    assert error['message']
    assert error['ran'] == 'no'
    return error


async def _read_all(stream):
    """Return all bytes until the connection is closed."""
    received = b''
    while part := await stream.receive_some():
        received += part
    return received


async def _read_error(stream):
    """Return the decoded error of the first response on a connection."""
    received = b''
    while b'}}' not in received:
        part = await stream.receive_some()
        assert part, received
        received += part
    return msgspec.json.decode(received[received.index(b'{') :])['error']


def _request_head(path, *headers):
    """Return a request head without a body."""
    lines = [
        f'POST {path} HTTP/1.1',
        'Host: entry',
        'Authorization: Bearer key-1',
        *headers,
    ]
    return '\r\n'.join([*lines, '', '']).encode()


@pytest.mark.parametrize(
    ('headers', 'code'),
    [
        ({'Authorization': 'Bearer wrong'}, ResultCode.UNAUTHENTICATED),
        ({'Authorization': 'Basic a2V5'}, ResultCode.UNAUTHENTICATED),
        ({'Authorization': ''}, ResultCode.UNAUTHENTICATED),
        ({'X-Large': 'x' * 17_000}, ResultCode.HEADERS_TOO_LARGE),
        ({'Idempotent': 'no'}, ResultCode.BAD_REQUEST),
    ],
)
async def test_invalid_header_is_rejected_before_dispatch(
    serve_entry, headers, code
):
    async with serve_entry() as entry, entry.client() as client:
        _assert_rejected(
            await client.post(
                COMPLETIONS_PATH, json=COMPLETION_BODY, headers=headers
            ),
            code,
        )
    assert not entry.dispatcher.requests


@pytest.mark.parametrize(
    ('body', 'code'),
    [
        (b'', ResultCode.BAD_REQUEST),
        (b'{"model": "drafter"', ResultCode.BAD_REQUEST),
        (b'\xff\xfe', ResultCode.BAD_REQUEST),
        (b'[1]', ResultCode.BAD_REQUEST),
        (b'{"model": 7}', ResultCode.BAD_REQUEST),
        (b'{"model": "other"}', ResultCode.FORBIDDEN),
        (b'{"model": "%b"}' % (b'x' * 2_000), ResultCode.TOO_LARGE),
    ],
)
async def test_invalid_body_is_rejected_before_dispatch(
    serve_entry, body, code
):
    async with (
        serve_entry(max_body_bytes=1_000) as entry,
        entry.client() as client,
    ):
        _assert_rejected(
            await client.post(COMPLETIONS_PATH, content=body), code
        )
    assert not entry.dispatcher.requests


async def test_chunked_body_above_limit_is_rejected_before_its_end(
    serve_entry,
):
    async with serve_entry(max_body_bytes=1_000) as entry:
        stream = await entry.connect()
        await stream.send_all(
            _request_head(COMPLETIONS_PATH, 'Transfer-Encoding: chunked')
        )
        await stream.send_all(b'7d0\r\n%b\r\n' % (b'x' * 2_000))
        error = await _read_error(stream)
    assert error['code'] == ResultCode.TOO_LARGE


@pytest.mark.parametrize('path', [COMPLETIONS_PATH, '/v1/files'])
async def test_stalled_body_is_rejected_with_body_timeout(serve_entry, path):
    async with serve_entry(body_timeout_s=0.1) as entry:
        stream = await entry.connect()
        content_type = 'Content-Type: multipart/form-data; boundary=b'
        await stream.send_all(
            _request_head(path, 'Content-Length: 100', content_type)
        )
        await stream.send_all(b'--b\r\n')
        error = await _read_error(stream)
    assert (error['code'], error['ran']) == (ResultCode.BODY_TIMEOUT, 'no')


async def test_upload_with_content_length_above_limit_is_rejected(serve_entry):
    async with serve_entry(max_file_bytes=1_000) as entry:
        stream = await entry.connect()
        content_type = 'Content-Type: multipart/form-data; boundary=b'
        head = _request_head(
            '/v1/files', 'Content-Length: 1000000', content_type
        )
        await stream.send_all(head)
        error = await _read_error(stream)
    assert error['code'] == ResultCode.TOO_LARGE


@pytest.mark.parametrize('head', [b'', b'POST /v1/files HTTP/1.1\r\nHo'])
async def test_connection_without_a_complete_request_head_is_closed(
    serve_entry, head
):
    async with serve_entry(HttpTimeouts(idle_s=0.2)) as entry:
        stream = await entry.connect()
        await stream.send_all(head)
        assert await _read_all(stream) == b''


async def test_unterminated_request_head_closes_the_connection(serve_entry):
    async with serve_entry() as entry:
        stream = await entry.connect()
        with pytest.raises(trio.BrokenResourceError):
            while True:
                await stream.send_all(b'x' * 10_000)


async def test_requests_above_max_requests_are_rejected_as_overloaded(
    serve_entry,
):
    end_event = trio.Event()
    async with serve_entry(max_requests=2) as entry, entry.client() as client:
        entry.dispatcher.make_response = lambda: BlockedResponse(end_event)
        async with (
            client.stream('POST', COMPLETIONS_PATH, json=COMPLETION_BODY),
            client.stream('POST', COMPLETIONS_PATH, json=COMPLETION_BODY),
        ):
            reply = await client.post(COMPLETIONS_PATH, json=COMPLETION_BODY)
            _assert_rejected(reply, ResultCode.OVERLOADED)
            assert reply.status_code == 503
            assert int(reply.headers['Retry-After']) >= 1
            end_event.set()
        assert (
            await client.post(COMPLETIONS_PATH, json=COMPLETION_BODY)
        ).status_code == 200


@pytest.mark.parametrize(
    ('state', 'code'),
    [('starting', ResultCode.NOT_READY), ('draining', ResultCode.DRAINING)],
)
@pytest.mark.parametrize('path', ['/v1/models', '/v1/batches', '/services/a/'])
async def test_request_to_starting_or_draining_entry_is_rejected(
    serve_entry, state, code, path
):
    async with serve_entry() as entry, entry.client() as client:
        entry.readiness.has_started = state != 'starting'
        if state == 'draining':
            entry.readiness.begin_drain()
            entry.readiness.reject_work()
        reply = await client.get(path)
        _assert_rejected(reply, code)
        assert (reply.status_code, reply.headers['Retry-After']) == (503, '1')
        assert (await client.get('/healthz')).status_code == 200
        assert (await client.get('/readyz')).status_code == 503


async def test_draining_entry_serves_requests_while_not_ready(
    serve_entry,
):
    """The load balancer sends requests until its next poll of readiness."""
    async with serve_entry() as entry, entry.client() as client:
        entry.readiness.begin_drain()
        assert (await client.get('/readyz')).status_code == 503
        assert (await client.get('/v1/models')).status_code == 200


@pytest.mark.parametrize('suffix', ['', '/content'])
async def test_file_of_another_contract_is_not_found(serve_entry, suffix):
    async with serve_entry() as entry:
        record = FileRecord('file-1', 'kinship', 1, 1, ())
        key = file_key('kinship', 'file-1')
        entry.key_value.records[key] = encode_record(record)
        async with entry.client('key-1') as owner:
            reply = await owner.get(f'/v1/files/file-1{suffix}')
            assert reply.status_code == 200
        async with entry.client('key-2') as other:
            reply = await other.get(f'/v1/files/file-1{suffix}')
            _assert_rejected(reply, ResultCode.NOT_FOUND)
            create = {'input_file_id': 'file-1', 'endpoint': COMPLETIONS_PATH}
            reply = await other.post('/v1/batches', json=create)
            _assert_rejected(reply, ResultCode.NOT_FOUND)


@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_unknown_path_or_method_returns_an_error_body(
    serve_entry, method
):
    async with serve_entry() as entry, entry.client() as client:
        _assert_rejected(
            await client.request(method, '/v2/x'), ResultCode.NOT_FOUND
        )
        _assert_rejected(
            await client.request('PUT', COMPLETIONS_PATH),
            ResultCode.BAD_REQUEST,
        )


async def test_stalled_reader_closes_the_upstream_response(serve_entry):
    """The upstream response is closed and buffering is limited to 50 MB."""
    timeouts = HttpTimeouts(send_s=0.5)
    produced = itertools.count()
    event = b'data: %b\n\n' % (b'x' * 60_000)
    async with serve_entry(timeouts) as entry:
        entry.dispatcher.make_response = lambda: FakeResponse(
            event for _ in produced
        )
        stream = await entry.connect()
        body = msgspec.json.encode(COMPLETION_BODY)
        await stream.send_all(
            _request_head(COMPLETIONS_PATH, f'Content-Length: {len(body)}')
            + body
        )
        while not entry.dispatcher.responses:
            await trio.sleep(0.01)
        response = entry.dispatcher.responses[0]
        while not response.closed:
            await trio.sleep(0.05)
        assert next(produced) * len(event) < 50_000_000


async def test_upload_with_stalled_storage_is_not_read_further(serve_entry):
    line = b'{"custom_id": "%d", "method": "POST", "url": "%b", "body": %b}\n'
    sent = 0
    async with serve_entry(segment_replicas=StalledReplicas()) as entry:
        stream = await entry.connect()
        content_type = 'Content-Type: multipart/form-data; boundary=b'
        head = _request_head(
            '/v1/files', 'Content-Length: 900000000', content_type
        )
        part = b'--b\r\nContent-Disposition: form-data; name=file; filename=f'
        await stream.send_all(b'%b%b\r\n\r\n' % (head, part))
        body = msgspec.json.encode(
            {**COMPLETION_BODY, 'padding': 'x' * 50_000}
        )
        with trio.move_on_after(3):
            for number in itertools.count():
                row = line % (number, COMPLETIONS_PATH.encode(), body)
                await stream.send_all(row)
                sent += len(row)
    assert 1_000_000 < sent < 30_000_000


async def test_streamed_response_outlasts_the_framework_timeout(
    serve_entry, monkeypatch
):
    defaults = {**QuartTrio.default_config, 'RESPONSE_TIMEOUT': 0.1}
    monkeypatch.setattr(QuartTrio, 'default_config', defaults)
    end_event = trio.Event()
    async with serve_entry() as entry, entry.client() as client:
        entry.dispatcher.make_response = lambda: BlockedResponse(end_event)
        async with client.stream(
            'POST', COMPLETIONS_PATH, json=COMPLETION_BODY
        ) as reply:
            await trio.sleep(0.5)
            end_event.set()
            assert await reply.aread() == b''


async def test_disconnected_caller_closes_the_upstream_response(serve_entry):
    async with serve_entry() as entry, entry.client() as client:
        entry.dispatcher.make_response = lambda: BlockedResponse(trio.Event())
        async with client.stream(
            'POST', COMPLETIONS_PATH, json=COMPLETION_BODY
        ):
            response = entry.dispatcher.responses[0]
            assert not response.closed
        while not response.closed:
            await trio.sleep(0.01)


async def test_upstream_lost_mid_stream_appends_an_error_event(serve_entry):
    async with serve_entry() as entry, entry.client() as client:
        lost = UpstreamLostError('the upstream was lost')
        entry.dispatcher.make_response = lambda: FakeResponse(
            [b'data: 1\n\n'], lost
        )
        reply = await client.post(COMPLETIONS_PATH, json=COMPLETION_BODY)
        first, second = re.findall(r'data: (.*)\n\n', reply.text)
        error = msgspec.json.decode(second)['error']
        assert first == '1'
        assert (error['code'], error['ran']) == (401, 'unknown')


async def test_unexpected_exception_returns_internal_error_ran_unknown(
    serve_entry,
):
    async with serve_entry() as entry, entry.client() as client:
        entry.dispatcher.make_response = {}.popitem
        reply = await client.post(COMPLETIONS_PATH, json=COMPLETION_BODY)
        error = reply.json()['error']
        assert reply.status_code == 500
        assert (error['code'], error['ran']) == (900, 'unknown')
        entry.dispatcher.make_response = FakeResponse
        assert (
            await client.post(COMPLETIONS_PATH, json=COMPLETION_BODY)
        ).status_code == 200
