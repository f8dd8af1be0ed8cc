"""Retries after an attempt that may have run, answered with a refusal."""

import itertools

import pytest
import trio

from briarrill.coordination.routes import RouteKind
from standins.platform_engine import (
    StandinEngine,
    respond_with,
    stream_events,
)
from tests.relay.front_end_setup import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    RESUMABLE_STREAM,
    STREAM,
    route,
    run_front_end,
)

# statuses that tell a caller that its request was not executed
REFUSALS = (408, 421, 429, 503)

# statuses of an upstream that a caller may get after a lost attempt
RELAYED = (400, 404, 500, 502, 504)

RETRY_AFTER = (b'retry-after', b'0.2')
PLAIN = (b'content-type', b'text/plain')
MARK = (b'briarrill-not-executed', b'1')

# the second is over what the relay buffers before it sends
BODY = b'busy'
BODIES = (BODY, b'b' * 300_000)

THREE_TIMES = route(RouteKind.IDEMPOTENT, max_attempts=3)


async def _cut(req, conn):
    raise ConnectionResetError


async def _cut_in_body(req, conn):
    await conn.send_head(200, ((b'content-length', b'10'),))
    await conn.send_body(b'part')
    raise ConnectionResetError


async def _stay_silent(req, conn):
    await trio.sleep_forever()


def _refuse(status, body=BODY, *extra):
    return respond_with(body, status, (RETRY_AFTER, PLAIN, *extra))


#: Attempts that may have run, by what their upstream does.
LOST = {
    'cut': _cut,
    'cut in its body': _cut_in_body,
    'failed': respond_with(b'failed', 500, (PLAIN,)),
}


async def _send(network, one_route, *behaviours):
    """Send a request whose upstreams answer so; return what the caller got."""
    engines = [StandinEngine(behaviour) for behaviour in behaviours]
    async with run_front_end([one_route], *engines, network=network) as setup:
        response = await setup.send_request(one_route.prefix)
    return response, [len(engine.requests) for engine in engines]


def _check_promises_nothing(response):
    status, headers, _ = response
    assert status in {500, 502, 504}
    if status != 500:
        assert b'briarrill-response-seal' not in headers
        assert b'briarrill-attempt-id' not in headers
    assert b'retry-after' not in headers


@pytest.mark.parametrize('lost', LOST)
@pytest.mark.parametrize('status', REFUSALS)
async def test_refusal_after_lost_attempt_is_no_promise(network, status, lost):
    for one_route, body, extra in itertools.product(
        (IDEMPOTENT, RESUMABLE_STREAM), BODIES, ((), (MARK,))
    ):
        response, requests = await _send(
            network, one_route, LOST[lost], _refuse(status, body, *extra)
        )
        assert requests == [1, 1]
        _check_promises_nothing(response)


@pytest.mark.parametrize('status', REFUSALS)
async def test_refusal_after_silent_attempt_is_no_promise(network, status):
    response, requests = await _send(
        network, IDEMPOTENT, _stay_silent, _refuse(status)
    )
    assert requests == [1, 1]
    _check_promises_nothing(response)


@pytest.mark.parametrize('lost', LOST)
async def test_refusal_before_lost_attempt_is_no_promise(network, lost):
    for one_route in (IDEMPOTENT, RESUMABLE_STREAM):
        response, requests = await _send(
            network, one_route, _refuse(503), LOST[lost]
        )
        assert requests == [1, 1]
        _check_promises_nothing(response)


@pytest.mark.parametrize('status', REFUSALS)
async def test_refusal_after_lost_attempt_is_tried_elsewhere(network, status):
    (got, _, body), requests = await _send(
        network, THREE_TIMES, _cut, _refuse(status), respond_with(b'third')
    )
    assert (got, body, requests) == (200, b'third', [1, 1, 1])


@pytest.mark.parametrize('status', RELAYED)
async def test_error_after_lost_attempt_is_relayed(network, status):
    for one_route in (IDEMPOTENT, RESUMABLE_STREAM):
        (got, headers, body), _ = await _send(
            network, one_route, _cut, _refuse(status)
        )
        assert (got, body) == (status, BODY)
        assert headers[b'briarrill-response-seal']


@pytest.mark.parametrize('one_route', [IDEMPOTENT, NON_IDEMPOTENT, STREAM])
async def test_refusal_after_marked_refusals_is_relayed(network, one_route):
    for status in (408, 429, 503):
        (got, headers, body), _ = await _send(
            network, one_route, _refuse(503, b'', MARK), _refuse(status)
        )
        assert (got, body) == (status, BODY)
        assert headers[RETRY_AFTER[0]] == RETRY_AFTER[1]


@pytest.mark.parametrize('one_route', [IDEMPOTENT, RESUMABLE_STREAM])
async def test_refusal_by_all_upstreams_is_relayed(network, one_route):
    for status in (408, 429, 503):
        for expected, extra in ((status, ()), (503, (MARK,))):
            (got, headers, body), requests = await _send(
                network,
                one_route,
                _refuse(503),
                _refuse(status, BODY, *extra),
            )
            assert (got, body, requests) == (expected, BODY, [1, 1])
            assert headers[RETRY_AFTER[0]] == RETRY_AFTER[1]


@pytest.mark.parametrize('one_route', [NON_IDEMPOTENT, STREAM])
async def test_lost_attempt_that_may_not_run_again_is_no_promise(
    network, one_route
):
    for behaviours in ((_cut,), (_refuse(503, b'', MARK), _cut)):
        second = stream_events(1)
        response, requests = await _send(
            network, one_route, *behaviours, second
        )
        assert requests == [1] * len(behaviours) + [0]
        _check_promises_nothing(response)
