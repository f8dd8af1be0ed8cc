"""Upstreams that write an earlier refusal once more on a kept connection."""

import itertools

import pytest

from briarrill.errors import UpstreamLostError
from briarrill.transport.http_messages import BodyFraming
from standins.platform_engine import StandinEngine
from tests.relay.front_end_setup import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    RESUMABLE_STREAM,
    STREAM,
    run_front_end,
)
from tests.repeating_engine import (
    MARK,
    RepeatingEngine,
    When,
    answer_body,
    encode_message,
    id_line,
)

ROUTES = (NON_IDEMPOTENT, STREAM, RESUMABLE_STREAM, IDEMPOTENT)
FRAMINGS = (BodyFraming.LENGTH, BodyFraming.CHUNKED)

# the first request of the upstream, or one of those after it, is refused
REFUSED_IDS = ('r1', 'r2')
REQUEST_IDS = ('r1', 'r2', 'r3', 'r4')

# of a success it is a stream, of other responses any text
EARLIER_BODY = answer_body('earlier')

# these promise nothing, whatever became of a request
OPEN_STATUSES = {502, 504}

every_status = pytest.mark.parametrize(
    'status', [200, 400, 408, 421, 429, 500, 503, 504]
)
every_moment = pytest.mark.parametrize('when', list(When))


class SilentEngine(RepeatingEngine):
    """A sound upstream that echoes no identifiers."""

    def answer(self, request_id):
        return encode_message(200, answer_body(request_id))

    async def _send_while_idle(self, conn):
        return b''


async def _answer(req, conn):
    request_id = req.header(b'briarrill-attempt-id')
    await conn.send_response(
        200,
        ((b'briarrill-attempt-id', request_id),),
        answer_body(request_id.decode()),
    )


async def _send(setup, route, request_id):
    """Send a request; return status and body, 502 for a broken response."""
    try:
        status, _, body = await setup.send_request(
            route.prefix, attempt_id=request_id, deadline_ms='1000'
        )
    except UpstreamLostError:
        return 502, b''
    return status, body


async def _send_all(setup, route, engine, second):
    """Send requests in turn; check what the callers after the refusal get."""
    is_after = False
    for request_id in REQUEST_IDS:
        status, body = await _send(setup, route, request_id)
        if is_after:
            assert status in {200, *OPEN_STATUSES}, request_id
            assert status != 200 or body == answer_body(request_id)
        if request_id == engine.refused_id:
            await engine.idle_copy_sent.wait()
            is_after = True
    ran_ids = engine.ran_ids + [
        req.header(b'briarrill-attempt-id').decode() for req in second.requests
    ]
    if route is not IDEMPOTENT:
        assert len(ran_ids) == len(set(ran_ids))


async def _check(network, status, when, *, lines_of):
    """Check all routes and framings with a refusal of these header lines."""
    for route, framing, refused_id in itertools.product(
        ROUTES, FRAMINGS, REFUSED_IDS
    ):
        refusal = encode_message(
            status, EARLIER_BODY, framing, lines_of(refused_id)
        )
        engine = RepeatingEngine(refused_id, refusal, when)
        second = StandinEngine(_answer)
        async with run_front_end(
            [route], engine, second, network=network
        ) as setup:
            await _send_all(setup, route, engine, second)


@every_status
async def test_refusal_without_identifier_answers_no_other_request(
    network, status
):
    for when in When:
        await _check(network, status, when, lines_of=lambda request_id: ())


@every_moment
@every_status
async def test_refusal_with_identifier_answers_no_other_request(
    network, status, when
):
    await _check(network, status, when, lines_of=lambda name: (id_line(name),))


@every_moment
@every_status
@pytest.mark.parametrize('is_named', [False, True])
async def test_marked_refusal_answers_no_other_request(
    network, status, when, is_named
):
    await _check(
        network,
        status,
        when,
        lines_of=lambda name: (MARK, id_line(name)) if is_named else (MARK,),
    )


@pytest.mark.parametrize('status', [200, 400, 404, 422, 429])
async def test_upstream_that_echoes_nothing_is_relayed(network, status):
    for route in ROUTES:
        refusal = encode_message(status, EARLIER_BODY)
        engine = SilentEngine(refused_id='r2', refusal=refusal)
        async with run_front_end([route], engine, network=network) as setup:
            responses = [
                await _send(setup, route, request_id)
                for request_id in REQUEST_IDS
            ]
        assert responses == [
            (200, answer_body('r1')),
            (status, EARLIER_BODY),
            (200, answer_body('r3')),
            (200, answer_body('r4')),
        ]
