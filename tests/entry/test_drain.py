"""A planned stop while the bodies of requests are arriving."""

import msgspec
import pytest

from briarrill.result_codes import ResultCode

COMPLETIONS_PATH = '/v1/chat/completions'
SERVICE_PATH = '/services/approvals/submit'
BODY = msgspec.json.encode({'model': 'drafter', 'messages': []})


def request_head(path):
    return '\r\n'.join(
        [
            f'POST {path} HTTP/1.1',
            'Host: entry',
            'Authorization: Bearer key-1',
            f'Content-Length: {len(BODY)}',
            '',
            '',
        ]
    ).encode()


async def read_status_and_body(stream):
    """Return the status and the body so far of the first response."""
    received = b''
    while b'\r\n\r\n' not in received or not received.endswith(b'}'):
        part = await stream.receive_some()
        if not part:
            break
        received += part
    head, _, body = received.partition(b'\r\n\r\n')
    return int(head.split()[1]), body


@pytest.mark.parametrize('path', [COMPLETIONS_PATH, SERVICE_PATH])
async def test_body_that_is_whole_too_late_is_refused_as_not_run(
    serve_entry, path
):
    """The request could outlast the stop; its head came in time."""
    async with serve_entry() as entry:
        stream = await entry.connect()
        async with stream:
            await stream.send_all(request_head(path) + BODY[:5])
            # the entry has read the head once it answers a later request
            async with entry.client() as client:
                assert (await client.get('/healthz')).status_code == 200
            entry.readiness.begin_drain()
            entry.readiness.reject_work()
            await stream.send_all(BODY[5:])
            status, body = await read_status_and_body(stream)
        assert status == 503
        error = msgspec.json.decode(body)['error']
        assert (error['code'], error['ran']) == (ResultCode.DRAINING, 'no')
        assert not entry.dispatcher.requests


@pytest.mark.parametrize('path', [COMPLETIONS_PATH, SERVICE_PATH])
async def test_body_that_is_whole_before_requests_are_rejected_runs(
    serve_entry, path
):
    async with serve_entry() as entry:
        stream = await entry.connect()
        async with stream:
            await stream.send_all(request_head(path) + BODY[:5])
            entry.readiness.begin_drain()
            await stream.send_all(BODY[5:])
            received = await stream.receive_some()
        assert received.split()[1] == b'200'
        assert len(entry.dispatcher.requests) == 1
