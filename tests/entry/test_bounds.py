"""Every bound of an entry towards callers, and the refusal at it."""

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
from briarrill.transport.http_server import HttpBounds
from tests.entry.serving import FakeAnswer

CHAT = '/v1/chat/completions'
BODY = {'model': 'drafter', 'messages': [], 'stream': True}


class StalledCopies:
    """Never stores a segment."""

    async def put(self, body, lines):
        await trio.sleep_forever()


class HeldAnswer(FakeAnswer):
    """Has no chunk until an event is set, and then none."""

    def __init__(self, event):
        super().__init__()
        self.event = event

    async def next_chunk(self):
        await self.event.wait()


def _error(reply, code):
    error = reply.json()['error']
    assert error['code'] == code, error
    assert error['message']
    assert error['ran'] == 'no'
    return error


async def _raw_reply(stream):
    received = b''
    while part := await stream.receive_some():
        received += part
    return received


async def _body_of(stream):
    """Return the decoded error of the first answer on a connection."""
    received = b''
    while b'}}' not in received:
        part = await stream.receive_some()
        assert part, received
        received += part
    return msgspec.json.decode(received[received.index(b'{') :])['error']


def _head(path, *headers):
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
async def test_headers_are_checked(serve_entry, headers, code):
    async with serve_entry() as entry, entry.client() as client:
        _error(await client.post(CHAT, json=BODY, headers=headers), code)
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
async def test_body_is_checked(serve_entry, body, code):
    async with (
        serve_entry(max_body_bytes=1_000) as entry,
        entry.client() as client,
    ):
        _error(await client.post(CHAT, content=body), code)
    assert not entry.dispatcher.requests


async def test_streamed_body_is_refused_while_it_is_sent(serve_entry):
    async with serve_entry(max_body_bytes=1_000) as entry:
        stream = await entry.connect()
        await stream.send_all(_head(CHAT, 'Transfer-Encoding: chunked'))
        await stream.send_all(b'7d0\r\n%b\r\n' % (b'x' * 2_000))
        error = await _body_of(stream)
    assert error['code'] == ResultCode.TOO_LARGE


@pytest.mark.parametrize('path', [CHAT, '/v1/files'])
async def test_body_that_stops_is_refused(serve_entry, path):
    async with serve_entry(body_timeout_s=0.1) as entry:
        stream = await entry.connect()
        kind = 'Content-Type: multipart/form-data; boundary=b'
        await stream.send_all(_head(path, 'Content-Length: 100', kind))
        await stream.send_all(b'--b\r\n')
        error = await _body_of(stream)
    assert (error['code'], error['ran']) == (ResultCode.BODY_TIMEOUT, 'no')


async def test_upload_over_the_bound_is_refused_before_it_is_sent(serve_entry):
    async with serve_entry(max_file_bytes=1_000) as entry:
        stream = await entry.connect()
        kind = 'Content-Type: multipart/form-data; boundary=b'
        head = _head('/v1/files', 'Content-Length: 1000000', kind)
        await stream.send_all(head)
        error = await _body_of(stream)
    assert error['code'] == ResultCode.TOO_LARGE


@pytest.mark.parametrize('head', [b'', b'POST /v1/files HTTP/1.1\r\nHo'])
async def test_connection_without_a_whole_head_is_closed(serve_entry, head):
    async with serve_entry(HttpBounds(idle_s=0.2)) as entry:
        stream = await entry.connect()
        await stream.send_all(head)
        assert await _raw_reply(stream) == b''


async def test_head_without_end_is_refused(serve_entry):
    async with serve_entry() as entry:
        stream = await entry.connect()
        with pytest.raises(trio.BrokenResourceError):
            while True:
                await stream.send_all(b'x' * 10_000)


async def test_requests_at_once_are_bounded(serve_entry):
    hold = trio.Event()
    async with serve_entry(max_requests=2) as entry, entry.client() as client:
        entry.dispatcher.make = lambda: HeldAnswer(hold)
        async with (
            client.stream('POST', CHAT, json=BODY),
            client.stream('POST', CHAT, json=BODY),
        ):
            reply = await client.post(CHAT, json=BODY)
            _error(reply, ResultCode.OVERLOADED)
            assert reply.status_code == 503
            assert int(reply.headers['Retry-After']) >= 1
            hold.set()
        assert (await client.post(CHAT, json=BODY)).status_code == 200


@pytest.mark.parametrize(
    ('state', 'code'),
    [('starting', ResultCode.NOT_READY), ('draining', ResultCode.DRAINING)],
)
@pytest.mark.parametrize('path', ['/v1/models', '/v1/batches', '/services/a/'])
async def test_refused_unless_ready(serve_entry, state, code, path):
    async with serve_entry() as entry, entry.client() as client:
        entry.readiness.has_started = state != 'starting'
        if state == 'draining':
            entry.readiness.begin_drain()
            entry.readiness.close()
        reply = await client.get(path)
        _error(reply, code)
        assert (reply.status_code, reply.headers['Retry-After']) == (503, '1')
        assert (await client.get('/healthz')).status_code == 200
        assert (await client.get('/readyz')).status_code == 503


async def test_entry_serves_until_the_balancer_knows_of_the_drain(
    serve_entry,
):
    """A request chosen just before the drain is no less welcome."""
    async with serve_entry() as entry, entry.client() as client:
        entry.readiness.begin_drain()
        assert (await client.get('/readyz')).status_code == 503
        assert (await client.get('/v1/models')).status_code == 200


@pytest.mark.parametrize('suffix', ['', '/content'])
async def test_files_of_another_contract_are_not_found(serve_entry, suffix):
    async with serve_entry() as entry:
        record = FileRecord('file-1', 'kinship', 1, 1, ())
        key = file_key('kinship', 'file-1')
        entry.key_value.records[key] = encode_record(record)
        async with entry.client('key-1') as owner:
            reply = await owner.get(f'/v1/files/file-1{suffix}')
            assert reply.status_code == 200
        async with entry.client('key-2') as other:
            reply = await other.get(f'/v1/files/file-1{suffix}')
            _error(reply, ResultCode.NOT_FOUND)
            create = {'input_file_id': 'file-1', 'endpoint': CHAT}
            reply = await other.post('/v1/batches', json=create)
            _error(reply, ResultCode.NOT_FOUND)


@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_unknown_path_and_method_have_an_error_body(serve_entry, method):
    async with serve_entry() as entry, entry.client() as client:
        _error(await client.request(method, '/v2/x'), ResultCode.NOT_FOUND)
        _error(await client.request('PUT', CHAT), ResultCode.BAD_REQUEST)


async def test_stalled_reader_is_dropped_and_releases_its_limits(serve_entry):
    """The upstream's stream ends and memory stays bounded."""
    bounds = HttpBounds(send_s=0.5)
    produced = itertools.count()
    event = b'data: %b\n\n' % (b'x' * 60_000)
    async with serve_entry(bounds) as entry:
        entry.dispatcher.make = lambda: FakeAnswer(event for _ in produced)
        stream = await entry.connect()
        body = msgspec.json.encode(BODY)
        await stream.send_all(
            _head(CHAT, f'Content-Length: {len(body)}') + body
        )
        while not entry.dispatcher.answers:
            await trio.sleep(0.01)
        answer = entry.dispatcher.answers[0]
        while not answer.closed:
            await trio.sleep(0.05)
        assert next(produced) * len(event) < 50_000_000


async def test_upload_is_read_no_faster_than_it_is_stored(serve_entry):
    line = b'{"custom_id": "%d", "method": "POST", "url": "%b", "body": %b}\n'
    sent = 0
    async with serve_entry(copies=StalledCopies()) as entry:
        stream = await entry.connect()
        kind = 'Content-Type: multipart/form-data; boundary=b'
        head = _head('/v1/files', 'Content-Length: 900000000', kind)
        part = b'--b\r\nContent-Disposition: form-data; name=file; filename=f'
        await stream.send_all(b'%b%b\r\n\r\n' % (head, part))
        body = msgspec.json.encode({**BODY, 'padding': 'x' * 50_000})
        with trio.move_on_after(3):
            for number in itertools.count():
                row = line % (number, CHAT.encode(), body)
                await stream.send_all(row)
                sent += len(row)
    assert 1_000_000 < sent < 30_000_000


async def test_streamed_answer_outlasts_the_frameworks_timeout(
    serve_entry, monkeypatch
):
    defaults = {**QuartTrio.default_config, 'RESPONSE_TIMEOUT': 0.1}
    monkeypatch.setattr(QuartTrio, 'default_config', defaults)
    hold = trio.Event()
    async with serve_entry() as entry, entry.client() as client:
        entry.dispatcher.make = lambda: HeldAnswer(hold)
        async with client.stream('POST', CHAT, json=BODY) as reply:
            await trio.sleep(0.5)
            hold.set()
            assert await reply.aread() == b''


async def test_caller_that_leaves_releases_what_it_held(serve_entry):
    async with serve_entry() as entry, entry.client() as client:
        entry.dispatcher.make = lambda: HeldAnswer(trio.Event())
        async with client.stream('POST', CHAT, json=BODY):
            answer = entry.dispatcher.answers[0]
            assert not answer.closed
        while not answer.closed:
            await trio.sleep(0.01)


async def test_answer_that_breaks_off_ends_with_an_error_event(serve_entry):
    async with serve_entry() as entry, entry.client() as client:
        lost = UpstreamLostError('the upstream was lost')
        entry.dispatcher.make = lambda: FakeAnswer([b'data: 1\n\n'], lost)
        reply = await client.post(CHAT, json=BODY)
        first, second = re.findall(r'data: (.*)\n\n', reply.text)
        error = msgspec.json.decode(second)['error']
        assert first == '1'
        assert (error['code'], error['ran']) == (401, 'unknown')


async def test_defect_has_an_error_body_that_claims_nothing(serve_entry):
    async with serve_entry() as entry, entry.client() as client:
        entry.dispatcher.make = {}.popitem
        reply = await client.post(CHAT, json=BODY)
        error = reply.json()['error']
        assert reply.status_code == 500
        assert (error['code'], error['ran']) == (900, 'unknown')
        entry.dispatcher.make = FakeAnswer
        assert (await client.post(CHAT, json=BODY)).status_code == 200
