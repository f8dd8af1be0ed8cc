"""Upstreams that fail early and so look idle."""

import contextlib
import itertools
import random

import pytest
import trio

from briarrill.coordination.ejection import (
    ERRORS_TO_EJECT,
    FAILURES_TO_EJECT,
)
from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.upstream_table import (
    RegisteredUpstream,
    UpstreamTable,
)
from briarrill.errors import (
    DeadlineExceededError,
    OverloadedError,
    UpstreamLostError,
    UpstreamRefusedError,
)
from briarrill.relay.upstream_health import UpstreamHealth
from standins.platform_engine import (
    StandinEngine,
    respond_with,
    stream_events,
)
from tests.raw_engine import RawEngine
from tests.relay.front_end_setup import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    RESUMABLE_STREAM,
    STREAM,
    run_front_end,
)

HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n'
EVENTS = b'content-type: text/event-stream\r\n\r\n'

CUT_EVENT = 'cut event'

#: Responses with a sound head whose body breaks at once.
BROKEN_RESPONSES = {
    'chunk size': HEAD + EVENTS + b'zz\r\n',
    'cut body': HEAD + EVENTS,
    'trailers': HEAD + EVENTS + b'0\r\nno trailer\r\n\r\n',
    CUT_EVENT: HEAD + EVENTS + b'6\r\nid: 1\n\r\n0\r\n\r\n',
}

REQUESTS = 40

MAX_BODY_BYTES = 1000

HTTP_GATEWAY_TIMEOUT = 504

UPSTREAM = RegisteredUpstream('i-0', 'llm', ('127.0.0.1', 1), 'a', 20)


def _name(param):
    return getattr(param, 'name', param)


async def _ask_often(setup, route):
    """Send requests one after another; return their statuses."""
    statuses = []
    for number in range(REQUESTS):
        async with setup.open_response(
            route.prefix, attempt_id=f'r{number}'
        ) as (head, channel):
            statuses.append(head.status)
            # a caller that leaves earlier would cancel the attempt
            with contextlib.suppress(UpstreamLostError):
                await channel.read_full_body(MAX_BODY_BYTES)
    return statuses


@pytest.mark.parametrize(
    ('route', 'kind'),
    [
        *itertools.product((STREAM, RESUMABLE_STREAM), BROKEN_RESPONSES),
        # a cut event is a whole body on the other routes
        *itertools.product(
            (IDEMPOTENT, NON_IDEMPOTENT),
            sorted(BROKEN_RESPONSES.keys() - {CUT_EVENT}),
        ),
    ],
    ids=_name,
)
async def test_upstream_whose_responses_break_early_draws_no_load(route, kind):
    """Guards against an upstream that looks idle since each call fails."""
    broken = RawEngine(BROKEN_RESPONSES[kind])
    respond = stream_events(2) if 'stream' in route.name else respond_with(b'')
    sound = [StandinEngine(respond) for _ in range(3)]
    async with run_front_end([route], broken, *sound) as setup:
        await _ask_often(setup, route)
        is_suspect = setup.load.is_suspect('i-0')
    assert len(broken.requests) == FAILURES_TO_EJECT
    assert is_suspect


async def test_upstream_that_answers_with_errors_draws_no_load():
    failing = StandinEngine(respond_with(b'', 500))
    sound = StandinEngine(respond_with(b''))
    async with run_front_end([NON_IDEMPOTENT], failing, sound) as setup:
        statuses = await _ask_often(setup, NON_IDEMPOTENT)
        is_suspect = setup.load.is_suspect('i-0')
    assert statuses.count(500) == ERRORS_TO_EJECT
    # its errors may be those of one caller's requests
    assert not is_suspect


async def test_upstream_with_one_broken_response_in_fifty_keeps_its_share():
    async def break_off(req, conn):
        await conn.send_head(200, ())
        raise ConnectionResetError

    respond = respond_with(b'')
    spoiling = StandinEngine(break_off, respond)
    sound = StandinEngine(respond)
    async with run_front_end([IDEMPOTENT], spoiling, sound) as setup:
        statuses = await _ask_often(setup, IDEMPOTENT)
    assert statuses == [200] * REQUESTS
    # the first one's repetition went to the other
    assert len(spoiling.requests) == REQUESTS


@pytest.fixture
def health():
    upstreams = UpstreamTable(lambda: True)
    load = LoadExchange('me', '127.0.0.1', 0, (), lambda report: report)
    return UpstreamHealth(upstreams, load, random.Random(1))


@pytest.mark.parametrize('has_head', [True, False])
def test_response_that_goes_on_until_its_deadline_is_no_failure(
    health, has_head
):
    """Guards against ejecting sound upstreams under overload."""
    for _ in range(FAILURES_TO_EJECT):
        health.record_failure(
            UPSTREAM, DeadlineExceededError('passed'), has_head=has_head
        )
    assert bool(health.ejector_of('llm')._health) is not has_head


@pytest.mark.parametrize('route', [IDEMPOTENT, NON_IDEMPOTENT], ids=_name)
async def test_bodies_that_are_late_at_all_upstreams_eject_none(route):
    """Such a response is kept back until it is whole."""

    async def send_head(req, conn):
        await conn.send_head(200, ((b'content-length', b'5'),))
        await trio.sleep_forever()

    engines = [StandinEngine(send_head) for _ in range(2)]
    async with run_front_end([route], *engines) as setup:
        for number in range(2 * FAILURES_TO_EJECT):
            async with setup.open_response(
                route.prefix, attempt_id=f'r{number}', deadline_ms='500'
            ) as (head, _):
                assert head.status == HTTP_GATEWAY_TIMEOUT
        ejector = setup.front.forwarder._health.ejector_of('llm')
    assert ejector._health
    assert not any(one.ejections for one in ejector._health.values())


@pytest.mark.parametrize('error', [OverloadedError, UpstreamRefusedError])
def test_rejections_are_no_failures(health, error):
    for _ in range(ERRORS_TO_EJECT):
        health.record_failure(UPSTREAM, error('full'), has_head=False)
    assert not health.ejector_of('llm')._health


async def test_requests_that_fail_anywhere_eject_no_upstream():
    """Guards against leaving sound upstreams out for one caller's requests."""
    bad, sound = respond_with(b'', 500), respond_with(b'')
    # the last behaviour goes on, so the rows of three come first
    engines = [StandinEngine(*[bad] * 3, sound) for _ in range(3)]
    async with run_front_end([NON_IDEMPOTENT], *engines) as setup:
        statuses = await _ask_often(setup, NON_IDEMPOTENT)
        ejector = setup.front.forwarder._health.ejector_of('llm')
    assert statuses.count(500) >= FAILURES_TO_EJECT
    assert not any(one.ejections for one in ejector._health.values())
