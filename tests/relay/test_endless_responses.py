"""Upstreams that send bytes without end to the relay."""

import contextlib

import attrs
import pytest
import trio

from briarrill.protocol import event_stream
from briarrill.relay.response import Response
from standins.platform_engine import (
    StandinEngine,
    encode_event,
    respond_with,
    stream_events,
)
from tests.endless_engine import (
    ENDLESS_RESPONSES,
    MAX_SENT_BYTES,
    EndlessEngine,
    dribbling_engine,
    every_endless_response,
    paced_engine,
)
from tests.relay.front_end_setup import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    RESUMABLE_STREAM,
    STREAM,
    run_front_end,
)

# a stream whose time limit is beyond the test
LONG_STREAM = attrs.evolve(STREAM, timeout_s=60)

ROUTES = (STREAM, RESUMABLE_STREAM, IDEMPOTENT, NON_IDEMPOTENT)

# the caller's deadline, and when its connection must be over
DEADLINE_MS = '600'
MAX_WAIT_S = 5

MS_PER_S = 1000

# events that are parsed before another task has its turn, which is a few
# milliseconds of work
MAX_EVENTS_PER_STEP = 3000

LAST_CHUNK = b'\r\n0\r\n\r\n'

GAP_S = 0.05

# what a caller may have received a part of, so that no other response follows
RELAYED = {'JSON', 'comments', 'events'}


async def _ask(setup, route, deadline_ms=DEADLINE_MS):
    """Send a request; return all bytes until the connection ends.

    They are not parsed, which takes long for millions of small chunks.
    """
    stream = await trio.open_tcp_stream(*setup.address)
    lines = (
        f'POST {route.prefix} HTTP/1.1',
        'host: h.example',
        'briarrill-attempt-id: r1',
        f'briarrill-deadline-ms: {deadline_ms}',
        'connection: close',
        'content-length: 0',
    )
    parts = []
    async with stream:
        await stream.send_all('\r\n'.join((*lines, '', '')).encode())
        with contextlib.suppress(trio.BrokenResourceError):
            async for part in stream:
                parts.append(part)
    return b''.join(parts)


@every_endless_response
@pytest.mark.parametrize('route', ROUTES)
@pytest.mark.parametrize('make_engine', [EndlessEngine, dribbling_engine])
async def test_response_without_end_ends_by_the_deadline(
    network, kind, route, make_engine
):
    is_paced = make_engine is EndlessEngine and kind in RELAYED
    engine = paced_engine(kind) if is_paced else make_engine(kind)
    async with run_front_end([route], engine, network=network) as setup:
        with trio.fail_after(MAX_WAIT_S):
            received = await _ask(setup, route)
            while not (engine.has_answered and engine.is_cut):
                await trio.sleep(0.01)
    is_success = received.startswith(b'HTTP/1.1 200')
    assert not (is_success and received.endswith(LAST_CHUNK))
    assert received.startswith(b'HTTP/1.1 ')
    assert engine.sent_bytes < MAX_SENT_BYTES


@pytest.mark.parametrize('kind', sorted(ENDLESS_RESPONSES.keys() - RELAYED))
async def test_stream_without_end_goes_on_elsewhere(network, kind):
    """Bytes that hold no event do not count as progress."""
    route = attrs.evolve(RESUMABLE_STREAM, max_event_gap_s=GAP_S)
    endless = dribbling_engine(kind)
    second = StandinEngine(stream_events(3))
    async with run_front_end(
        [route], endless, second, network=network
    ) as setup:
        with trio.fail_after(MAX_WAIT_S):
            status, _, body = await setup.send_request(route.prefix)
    assert status == 200
    assert body == b''.join(map(encode_event, (1, 2, 3)))


async def test_slow_caller_does_not_make_a_stream_look_stalled(network):
    """The relay reads no event while its caller takes none."""
    route = attrs.evolve(RESUMABLE_STREAM, max_event_gap_s=GAP_S)
    event = b'id: %d\ndata: ' + b'x' * 200_000 + b'\n\n'
    events = b''.join(event % number for number in range(1, 60))

    async def respond(req, conn):
        await conn.send_head(200, ())
        await conn.send_body(events)
        await conn.send_end()

    first = StandinEngine(respond)
    async with (
        run_front_end([route], first, network=network) as setup,
        setup.open_response(route.prefix, deadline_ms='20000') as opened,
    ):
        await trio.sleep(8 * GAP_S)
        body = await opened[1].read_full_body(100_000_000)
    assert body == events
    assert len(first.requests) == 1


async def _ask_for_comments(setup, route):
    """Send a request whose deadline is beyond the test; return its bytes."""
    with trio.fail_after(MAX_WAIT_S):
        return await _ask(setup, route, deadline_ms='60000')


async def test_comments_without_end_are_cut_before_the_deadline(network):
    engine = EndlessEngine('comments')
    async with run_front_end([LONG_STREAM], engine, network=network) as setup:
        received = await _ask_for_comments(setup, LONG_STREAM)
    assert received.startswith(b'HTTP/1.1 200')
    assert not received.endswith(LAST_CHUNK)
    assert engine.is_cut


async def test_stream_of_comments_goes_on_elsewhere(network):
    route = attrs.evolve(
        LONG_STREAM, resumable=True, max_attempts=2, max_event_gap_s=60
    )

    async def comment_after_an_event(req, conn):
        await conn.send_head(200, ())
        await conn.send_body(encode_event(1))
        while True:
            await conn.send_body(b': keep\n\n' * 8192)

    endless = StandinEngine(comment_after_an_event)
    second = StandinEngine(stream_events(3))
    async with run_front_end(
        [route], endless, second, network=network
    ) as setup:
        received = await _ask_for_comments(setup, route)
    assert received.endswith(LAST_CHUNK)
    for number in (1, 2, 3):
        assert received.count(encode_event(number)) == 1


async def test_error_without_end_is_tried_elsewhere(network):
    route = attrs.evolve(IDEMPOTENT, timeout_s=60, latency_objective_s=60)
    endless = EndlessEngine('error body')
    second = StandinEngine(respond_with(b'whole'))
    async with run_front_end(
        [route], endless, second, network=network
    ) as setup:
        with trio.fail_after(MAX_WAIT_S):
            received = await _ask(setup, route, deadline_ms='60000')
    assert received.startswith(b'HTTP/1.1 200')
    assert received.endswith(b'whole')
    assert endless.is_cut


@pytest.mark.parametrize('route', [IDEMPOTENT, NON_IDEMPOTENT])
async def test_long_error_is_relayed_if_no_attempt_may_follow(network, route):
    body = b'x' * 1_000_000
    first = StandinEngine(respond_with(body, 500))
    async with run_front_end([route], first, network=network) as setup:
        status, _, received = await setup.send_request(route.prefix)
    assert (status, received) == (500, body)


class _StepCounter(trio.abc.Instrument):
    """Counts the events that are parsed in each step of a task."""

    def __init__(self):
        self.events = 0
        self.most_events = 0
        self._parse = event_stream._parse_event

    def before_task_step(self, task):
        self.events = 0

    def parse(self, raw):
        self.events += 1
        self.most_events = max(self.most_events, self.events)
        return self._parse(raw)


@pytest.mark.parametrize('kind', ['comments', 'events'])
async def test_short_events_leave_other_tasks_their_turn(
    network, monkeypatch, kind
):
    counter = _StepCounter()
    monkeypatch.setattr(event_stream, '_parse_event', counter.parse)
    engine = paced_engine(kind)
    async with run_front_end(
        [RESUMABLE_STREAM], engine, network=network
    ) as setup:
        trio.lowlevel.add_instrument(counter)
        with trio.fail_after(MAX_WAIT_S):
            await _ask(setup, RESUMABLE_STREAM)
        trio.lowlevel.remove_instrument(counter)
    assert 0 < counter.most_events <= MAX_EVENTS_PER_STEP


async def test_nothing_is_relayed_after_the_deadline(network, monkeypatch):
    """Bytes that were received before it do not prolong the response."""
    send = Response.send
    sent = []

    async def send_slowly(response, part):
        sent.append(part)
        await trio.sleep(2 * int(DEADLINE_MS) / MS_PER_S)
        await send(response, part)

    monkeypatch.setattr(Response, 'send', send_slowly)
    engine = EndlessEngine('chunks')
    async with run_front_end([STREAM], engine, network=network) as setup:
        with trio.fail_after(MAX_WAIT_S):
            received = await _ask(setup, STREAM)
    assert received.startswith(b'HTTP/1.1 200')
    assert not received.endswith(LAST_CHUNK)
    assert len(sent) == 1


async def test_slow_but_sound_stream_is_not_cut(network):
    """Each event comes after less than the largest gap that is allowed."""
    route = attrs.evolve(RESUMABLE_STREAM, max_event_gap_s=0.4)
    first = StandinEngine(stream_events(8, pause_s=0.3))
    second = StandinEngine(stream_events(8))
    async with run_front_end([route], first, second, network=network) as setup:
        status, _, body = await setup.send_request(
            route.prefix, deadline_ms='10000'
        )
    assert (status, body.count(b'data')) == (200, 8)
    assert not second.requests
