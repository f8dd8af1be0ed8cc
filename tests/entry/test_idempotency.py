"""Idempotency of requests, and duplicates by idempotency key."""

import pytest
import trio

from briarrill.result_codes import ResultCode
from tests.entry.serving import FakeResponse

SUBMIT_PATH = '/services/approvals/submit'


class StalledResponse(FakeResponse):
    """A response without chunks that never ends."""

    async def next_chunk(self):
        await trio.sleep_forever()


async def _send_request(entry, path, api_key='key-1', **headers):
    """Post a request; return what the dispatcher received."""
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
async def test_non_idempotent_path_is_matched_in_any_encoding(
    serve_entry, path, idempotent
):
    """Guards against a service that decodes or normalizes the path."""
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


async def test_service_path_keeps_its_percent_encoding(serve_entry):
    """A decoded path is not a valid request path or has another meaning."""
    async with serve_entry() as entry:
        req = await _send_request(
            entry, '/services/approvals/a%01b%3Fc%2Fd?q=%20'
        )
        assert req.path == '/a%01b%3Fc%2Fd?q=%20'


async def test_encoded_service_name_is_removed_from_the_path(serve_entry):
    """Left in the path, the name hides a match of ``non_idempotent``."""
    async with serve_entry() as entry:
        req = await _send_request(entry, '/services/approv%61ls/submit')
        assert (req.path, req.idempotent) == ('/submit', False)


async def test_idempotent_header_can_only_deny_idempotency(
    serve_entry,
):
    async with serve_entry() as entry:
        path = '/services/approvals/show'
        assert (await _send_request(entry, path)).idempotent
        assert not (
            await _send_request(entry, path, Idempotent='false')
        ).idempotent
        assert not (
            await _send_request(entry, SUBMIT_PATH, Idempotent='true')
        ).idempotent


async def test_idempotency_key_gives_same_request_id_within_contract(
    serve_entry,
):
    key = {'Idempotency-Key': 'plan-17'}
    async with serve_entry() as entry:
        first = await _send_request(entry, SUBMIT_PATH, **key)
        again = await _send_request(entry, SUBMIT_PATH, **key)
        other_contract = await _send_request(
            entry, SUBMIT_PATH, 'key-2', **key
        )
        without_key = await _send_request(entry, SUBMIT_PATH)
        assert again.request_id == first.request_id
        assert again.prefix_key == first.prefix_key
        ids = {
            first.request_id,
            other_contract.request_id,
            without_key.request_id,
        }
        assert len(ids) == 3


async def test_idempotency_key_in_flight_is_rejected_as_duplicate(serve_entry):
    key = {'Idempotency-Key': 'plan-17'}
    async with serve_entry() as entry, entry.client() as client:
        entry.dispatcher.make_response = StalledResponse
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_request, entry, SUBMIT_PATH, 'key-1')
            nursery.cancel_scope.deadline = trio.current_time() + 20
            first = trio.CancelScope()
            nursery.start_soon(_post_in_scope, first, client, key)
            while len(entry.dispatcher.responses) < 2:
                await trio.sleep(0.01)
            reply = await client.post(SUBMIT_PATH, headers=key)
            error = reply.json()['error']
            assert reply.status_code == 409
            assert error['code'] == ResultCode.DUPLICATE
            assert error['ran'] == 'unknown'
            first.cancel()
            while not any(
                response.closed for response in entry.dispatcher.responses
            ):
                await trio.sleep(0.01)
            entry.dispatcher.make_response = FakeResponse
            reply = await client.post(SUBMIT_PATH, headers=key)
            assert reply.status_code == 200
            nursery.cancel_scope.cancel()


async def _post_in_scope(scope, client, key):
    """Post a request that can be cancelled by its scope."""
    with scope:
        await client.post(SUBMIT_PATH, headers=key)


async def test_idempotency_key_too_long_is_rejected(serve_entry):
    async with serve_entry() as entry, entry.client() as client:
        key = {'Idempotency-Key': 'x' * 256}
        reply = await client.post(SUBMIT_PATH, headers=key)
        assert reply.json()['error']['code'] == ResultCode.BAD_REQUEST
