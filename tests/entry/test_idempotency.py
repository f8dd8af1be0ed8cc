"""Which calls run at most once, and how they are named."""

import pytest
import trio

from briarrill.result_codes import ResultCode
from tests.entry.serving import FakeAnswer

SUBMIT = '/services/approvals/submit'


class HeldAnswer(FakeAnswer):
    """Never has a chunk."""

    async def next_chunk(self):
        await trio.sleep_forever()


async def _sent(entry, path, api_key='key-1', **headers):
    async with entry.client(api_key) as client:
        reply = await client.post(path, content=b'plan', headers=headers)
        assert reply.status_code == 200, reply.text
    return entry.dispatcher.requests[-1]


@pytest.mark.parametrize(
    ('path', 'idempotent'),
    [
        ('/submit', False),
        ('/submit/7?a=b', False),
        ('/%73ubmit', False),
        ('/a/../submit', False),
        ('/./submit', False),
        ('/show', True),
        ('/a/submit', True),
    ],
)
async def test_no_spelling_of_a_path_makes_it_idempotent(
    serve_entry, path, idempotent
):
    """Before, only the first two spellings counted as non-idempotent."""
    async with serve_entry() as entry:
        stream = await entry.connect()
        await stream.send_all(
            f'POST /services/approvals{path} HTTP/1.1\r\nHost: e\r\n'
            'Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n'.encode()
        )
        while not entry.dispatcher.requests:
            await trio.sleep(0.01)
    req = entry.dispatcher.requests[-1]
    assert (req.path, req.idempotent) == (path, idempotent)


async def test_path_goes_on_as_the_caller_encoded_it(serve_entry):
    """Decoded, it broke the call at the sidecar or changed its meaning."""
    async with serve_entry() as entry:
        req = await _sent(entry, '/services/approvals/a%01b%3Fc%2Fd?q=%20')
        assert req.path == '/a%01b%3Fc%2Fd?q=%20'


async def test_encoded_name_of_a_service_is_no_part_of_the_path(serve_entry):
    """Before, the name stayed in the path and hid what it listed."""
    async with serve_entry() as entry:
        req = await _sent(entry, '/services/approv%61ls/submit')
        assert (req.path, req.idempotent) == ('/submit', False)


async def test_header_marks_a_call(serve_entry):
    async with serve_entry() as entry:
        path = '/services/approvals/show'
        assert (await _sent(entry, path)).idempotent
        assert not (await _sent(entry, path, Idempotent='false')).idempotent
        assert not (await _sent(entry, SUBMIT, Idempotent='true')).idempotent


async def test_named_call_keeps_its_name_within_its_contract(serve_entry):
    key = {'Idempotency-Key': 'plan-17'}
    async with serve_entry() as entry:
        first = await _sent(entry, SUBMIT, **key)
        again = await _sent(entry, SUBMIT, **key)
        other = await _sent(entry, SUBMIT, 'key-2', **key)
        unnamed = await _sent(entry, SUBMIT)
        assert again.request_id == first.request_id
        assert again.prefix_key == first.prefix_key
        ids = {first.request_id, other.request_id, unnamed.request_id}
        assert len(ids) == 3


async def test_named_call_in_flight_is_not_sent_again(serve_entry):
    key = {'Idempotency-Key': 'plan-17'}
    async with serve_entry() as entry, entry.client() as client:
        entry.dispatcher.make = HeldAnswer
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_sent, entry, SUBMIT, 'key-1')
            nursery.cancel_scope.deadline = trio.current_time() + 20
            first = trio.CancelScope()
            nursery.start_soon(_call_in, first, client, key)
            while len(entry.dispatcher.answers) < 2:
                await trio.sleep(0.01)
            reply = await client.post(SUBMIT, headers=key)
            error = reply.json()['error']
            assert reply.status_code == 409
            assert error['code'] == ResultCode.DUPLICATE
            assert error['ran'] == 'unknown'
            first.cancel()
            while not any(row.closed for row in entry.dispatcher.answers):
                await trio.sleep(0.01)
            entry.dispatcher.make = FakeAnswer
            reply = await client.post(SUBMIT, headers=key)
            assert reply.status_code == 200
            nursery.cancel_scope.cancel()


async def _call_in(scope, client, key):
    with scope:
        await client.post(SUBMIT, headers=key)


async def test_name_that_is_too_long_is_refused(serve_entry):
    async with serve_entry() as entry, entry.client() as client:
        key = {'Idempotency-Key': 'x' * 256}
        reply = await client.post(SUBMIT, headers=key)
        assert reply.json()['error']['code'] == ResultCode.BAD_REQUEST
