"""A sidecar whose upstream fails, cuts its response or rejects."""

import contextlib

import httpx
import pytest
import trio

from briarrill.result_codes import Ran, ResultCode
from briarrill.sidecar.upstreams import EngineUpstream, ServiceUpstream

from .sidecar_setup import make_request, open_sidecar, read_all, wait_until

UPSTREAM_PORT = 9101

# body of make_request
REQUEST_BODY = b'{}'

RESPONSE_WITH_CUT_BODY = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nok'


@contextlib.asynccontextmanager
async def _open_upstream(network, kind, handle_connection, **options):
    """Run a sidecar in front of a bare TCP server, and an entry's link.

    :param handle_connection: serves a connection; ``None``: refuse them.
    """
    host = f'{network}.2'
    url = f'http://{host}:{UPSTREAM_PORT}'
    async with trio.open_nursery() as nursery:
        if handle_connection is not None:
            await nursery.start(
                lambda task_status: trio.serve_tcp(
                    handle_connection,
                    UPSTREAM_PORT,
                    host=host,
                    task_status=task_status,
                )
            )
        async with (
            httpx.AsyncClient(base_url=url, timeout=None) as client,
            open_sidecar(f'{network}.1', kind(client), **options) as setup,
            setup.open_link() as link,
        ):
            yield setup, link
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('reply', 'ran', 'calls'),
    [
        (b'', Ran.UNKNOWN, 1),
        (b'HTTP/1.1 200 OK\r\ncontent-', Ran.UNKNOWN, 1),
        (RESPONSE_WITH_CUT_BODY, Ran.YES, 1),
        (b'HTTP/1.1 500 Bad\r\ncontent-length: 0\r\n\r\n', Ran.YES, 1),
        (None, Ran.NO, 0),
    ],
    ids=['after send', 'in head', 'in body', 'status 500', 'before send'],
)
async def test_upstream_connection_lost_reports_whether_the_call_ran(
    network, reply, ran, calls
):
    """The upstream records the request, then sends a part of a response."""
    received = []

    async def handle_connection(stream):
        async with stream:
            received.append(await stream.receive_some())
            await stream.send_all(reply)

    server = None if reply is None else handle_connection
    async with _open_upstream(network, ServiceUpstream, server) as (_, link):
        req = make_request(idempotent=False)
        _, finish = await read_all(link.submit(req, 0))
    assert finish.ran is ran
    assert len(received) == calls


@pytest.mark.parametrize('kind', [EngineUpstream, ServiceUpstream])
async def test_response_after_a_cut_head_does_not_complete_it(network, kind):
    """The status is that of the cut head, the body that of an error."""
    head = b'HTTP/1.1 200 OK\r\nserver: engine\r\ncontent-type: text/plain'
    error = b'HTTP/1.1 500 Error\r\ncontent-length: 5\r\n\r\nerror'
    replies = [
        head[:length] + error
        for length in range(len(b'HTTP/1.1 200 '), len(head) + 1)
    ]
    unsent = iter(replies)

    async def handle_connection(stream):
        async with stream:
            await stream.receive_some()
            await stream.send_all(next(unsent))

    async with _open_upstream(network, kind, handle_connection) as (_, link):
        for number, reply in enumerate(replies):
            req = make_request(f'r{number}')
            chunks, finish = await read_all(link.submit(req, 0))
            assert not chunks, reply
            assert finish.code is ResultCode.UPSTREAM_FAILED, reply


@pytest.mark.parametrize(
    ('status', 'code', 'ran'),
    [
        (400, ResultCode.BAD_REQUEST, Ran.NO),
        (404, ResultCode.BAD_REQUEST, Ran.NO),
        (429, ResultCode.OVERLOADED, Ran.NO),
        (500, ResultCode.UPSTREAM_FAILED, Ran.UNKNOWN),
    ],
)
async def test_error_status_of_engine_is_raised_and_not_relayed(
    network, status, code, ran
):
    """Relayed, it would be part of a stream with status 200."""

    async def handle_connection(stream):
        async with stream:
            await stream.receive_some()
            head = f'HTTP/1.1 {status} Error\r\ncontent-length: 10\r\n\r\n'
            await stream.send_all(f'{head}no such me'.encode())

    async with _open_upstream(network, EngineUpstream, handle_connection) as (
        _,
        link,
    ):
        chunks, finish = await read_all(link.submit(make_request(), 0))
    assert not chunks
    assert (finish.code, finish.ran) == (code, ran)
    assert f'{status}: no such me' in finish.message


async def test_unresponsive_upstream_ends_calls_with_deadline_exceeded(
    network,
):
    async def handle_connection(stream):
        async with stream:
            await trio.sleep_forever()

    opened = _open_upstream(
        network, ServiceUpstream, handle_connection, slots=1
    )
    async with opened as (setup, link):
        sent = link.submit(make_request('r1', time_left_s=0.5), 0)
        await wait_until(lambda: setup.server.admission.online_running)
        waiting = link.submit(make_request('r2', time_left_s=0.4), 0)
        _, finish = await read_all(waiting)
        assert (finish.code, finish.ran) == (
            ResultCode.DEADLINE_EXCEEDED,
            Ran.NO,
        )
        _, finish = await read_all(sent)
        assert (finish.code, finish.ran) == (
            ResultCode.DEADLINE_EXCEEDED,
            Ran.UNKNOWN,
        )


@pytest.mark.parametrize(
    'fields', [{'path': '/a\x00b'}, {'content_type': 'text/\u2603'}]
)
async def test_request_not_valid_in_http_is_rejected(network, fields):
    async with _open_upstream(network, ServiceUpstream, None) as (_, link):
        _, finish = await read_all(link.submit(make_request(**fields), 0))
        assert (finish.code, finish.ran) == (ResultCode.BAD_REQUEST, Ran.NO)


async def _read_chunks(chunks):
    return [chunk async for chunk in chunks]


async def test_engine_stream_cut_between_events_raises_protocol_error():
    """Without an error the entry would report a complete response."""
    event = b'data: {"id": 1}\n\n'

    def response_to(request):
        return httpx.Response(
            200, headers={'content-type': 'text/event-stream'}, content=event
        )

    client = httpx.AsyncClient(transport=httpx.MockTransport(response_to))
    upstream = EngineUpstream(client)
    reply = await client.get('http://engine/')
    with pytest.raises(httpx.RemoteProtocolError):
        await _read_chunks(upstream.iter_chunks(reply))


@pytest.mark.parametrize('kind', [EngineUpstream, ServiceUpstream])
async def test_late_second_response_reaches_no_other_call(network, kind):
    """The copy arrives once the connection carries the next request."""
    requests = []

    async def handle_connection(stream):
        # the sidecar may close the connection first
        with contextlib.suppress(trio.BrokenResourceError):
            await send_twice(stream)

    async def send_twice(stream):
        async with stream:
            received = b''
            previous = b''
            while part := await stream.receive_some():
                received += part
                if not received.endswith(REQUEST_BODY):
                    continue
                received = b''
                requests.append(part)
                body = b'{"n":%d}' % len(requests)
                await stream.send_all(previous)
                previous = (
                    b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
                    b'content-length: %d\r\n\r\n%b' % (len(body), body)
                )
                await stream.send_all(previous)

    async with _open_upstream(network, kind, handle_connection) as (_, link):
        for number in range(1, 4):
            req = make_request(f'r{number}')
            chunks, _ = await read_all(link.submit(req, 0))
            assert chunks == [b'{"n":%d}' % number]
