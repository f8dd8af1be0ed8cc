"""Requests that come slowly, wait or run as a planned stop ends.

They were passed on whenever their bodies were whole, and cut off without an
answer at the end of the grace time.
"""

import contextlib
import math

import attrs
import pytest
import trio

from briarrill.coordination.relay_protocol import IntentKind
from briarrill.coordination.routes import RouteKind
from briarrill.relay import drain
from briarrill.relay.drain import drain_front_end
from briarrill.relay.placer import Placer
from briarrill.relay.stop_limits import StopLimits
from standins.platform_engine import StandinEngine, respond_with, stream_events
from tests.relay.front_end_setup import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    RESUMABLE_STREAM,
    STREAM,
    route,
    run_front_end,
)

# margin between the end of requests and that of the front end, in which the
# test process may stand still; then requests end 1 s after the stop begins
CUT_OFF_MARGIN_S = 15.0
GRACE_S = 16.0
LONG_GRACE_S = 30.0

NOTICE_S = 0.2
TIMEOUT_S = 0.5
LONG_TIMEOUT_S = 60.0
BODY_PARTS = 20
CALLERS = 24

ROUTES = {
    'idempotent': IDEMPOTENT,
    'non-idempotent': NON_IDEMPOTENT,
    'stream': STREAM,
    'resumable stream': RESUMABLE_STREAM,
}
BATCH = route(RouteKind.BATCH)


async def answer_never(req, conn):
    """Receive a request and send nothing."""
    await trio.sleep_forever()


@pytest.fixture(autouse=True)
def short_notice(monkeypatch):
    monkeypatch.setattr(drain, 'BALANCER_NOTICE_S', NOTICE_S)
    monkeypatch.setattr(drain, 'CUT_OFF_MARGIN_S', CUT_OFF_MARGIN_S)


def request_head(path, method='POST', length=0, request_id='r1'):
    return (
        f'{method} {path} HTTP/1.1\r\nhost: h.example\r\n'
        f'briarrill-attempt-id: {request_id}\r\n'
        f'content-length: {length}\r\n\r\n'
    ).encode()


async def read_all(sock):
    """Return what is received until the connection ends."""
    received = b''
    with contextlib.suppress(OSError):
        while part := await sock.recv(65_536):
            received += part
    return received


async def exchange(setup, head, body_parts=(), pause_s=0):
    """Send a request, its body in parts; return all that is received."""
    sock = trio.socket.socket()
    await sock.connect(setup.address)
    received = []
    with sock:
        async with trio.open_nursery() as nursery:

            async def send():
                with contextlib.suppress(OSError):
                    await sock.send(head)
                    for part in body_parts:
                        await trio.sleep(pause_s)
                        await sock.send(part)

            nursery.start_soon(send)
            received.append(await read_all(sock))
            nursery.cancel_scope.cancel()
    return received[0]


async def stop(setup, grace_s=GRACE_S):
    """Stop the front end as the process does, within the grace time."""
    setup.front.readiness.begin_drain()
    await drain_front_end(setup.front, grace_s, setup.stop_accepting)


def status_of(response):
    return int(response.split()[1]) if response else 0


def is_whole(response):
    """Whether a response has its whole body, by its length or chunks."""
    head, _, body = response.partition(b'\r\n\r\n')
    if b'transfer-encoding: chunked' in head.lower():
        return body.endswith(b'0\r\n\r\n')
    length = head.lower().partition(b'content-length: ')[2].split()[0]
    return len(body) == int(length)


@pytest.mark.parametrize('kind', ROUTES)
@pytest.mark.parametrize('run_s', [0, 0.4])
async def test_slow_bodies_are_answered_whenever_they_are_whole(kind, run_s):
    """Bodies end before, around and after the last start, or never."""
    one = attrs.evolve(ROUTES[kind], timeout_s=LONG_TIMEOUT_S)

    async def respond(req, conn):
        await trio.sleep(run_s)
        behaviour = (
            stream_events(2)
            if one.kind is RouteKind.STREAMING
            else respond_with(b'ok')
        )
        await behaviour(req, conn)

    engine = StandinEngine(respond)
    responses = {}

    async def call(setup, number, part_count):
        request_id = f'r{number}'
        head = request_head(one.prefix, 'POST', BODY_PARTS, request_id)
        pause_s = number * 2 * NOTICE_S / CALLERS / BODY_PARTS
        responses[request_id] = await exchange(
            setup, head, [b'x'] * part_count, pause_s
        )

    async with (
        run_front_end([one], engine) as setup,
        trio.open_nursery() as nursery,
    ):
        for number in range(CALLERS):
            nursery.start_soon(call, setup, number, BODY_PARTS)
        nursery.start_soon(call, setup, CALLERS, BODY_PARTS - 1)
        while not engine.requests:
            await trio.sleep(0.01)
        await stop(setup, LONG_GRACE_S)
    ran = {req.header(b'briarrill-attempt-id') for req in engine.requests}
    statuses = {}
    for request_id, response in responses.items():
        assert is_whole(response), request_id
        statuses[request_id] = status_of(response)
    assert set(statuses.values()) == {200, 503}
    # a refusal says that the request did not run
    assert ran == {
        request_id.encode()
        for request_id, status in statuses.items()
        if status == 200
    }
    assert statuses[f'r{CALLERS}'] == 503


@pytest.mark.parametrize('kind', ROUTES)
async def test_body_that_is_not_whole_by_its_deadline_is_refused(kind):
    """Without a stop; it was passed on late, or held its connection."""
    one = attrs.evolve(ROUTES[kind], timeout_s=TIMEOUT_S)
    engine = StandinEngine(respond_with(b'ok'))
    async with run_front_end([one], engine) as setup:
        head = request_head(one.prefix, length=1000)
        response = await exchange(setup, head, [b'x'])
    assert status_of(response) == 503
    assert is_whole(response)
    assert not engine.requests


async def test_body_without_an_end_is_refused():
    engine = StandinEngine(respond_with(b'ok'))
    one = attrs.evolve(IDEMPOTENT, timeout_s=TIMEOUT_S)
    responses = []

    async def call(setup):
        head = request_head(one.prefix, length=1000)
        responses.append(await exchange(setup, head, [b'x']))

    async with (
        run_front_end([one], engine) as setup,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(call, setup)
        await trio.sleep(0.05)
        await stop(setup)
    assert status_of(responses[0]) == 503
    assert b'retry-after' in responses[0]
    assert not engine.requests


@pytest.mark.parametrize('kind', ROUTES)
async def test_request_that_waits_as_the_grace_time_ends_is_refused(
    kind, monkeypatch
):
    """It was not sent, so its caller may repeat it elsewhere."""
    engine = StandinEngine(respond_with(b'ok'))
    responses = []
    async with run_front_end([ROUTES[kind]], engine) as setup:

        async def wait(*args, **kwargs):
            await trio.sleep_forever()

        monkeypatch.setattr(Placer, 'choose', wait)

        async def call():
            head = request_head(ROUTES[kind].prefix)
            responses.append(await exchange(setup, head))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await trio.sleep(0.05)
            await stop(setup)
    assert status_of(responses[0]) == 503
    assert is_whole(responses[0])
    assert not engine.requests


@pytest.mark.parametrize('kind', ROUTES)
async def test_request_without_response_gets_a_whole_error(kind):
    """It may have run, so that no status says that it has not."""
    engine = StandinEngine(answer_never)
    responses = []
    async with run_front_end([ROUTES[kind]], engine) as setup:

        async def call():
            head = request_head(ROUTES[kind].prefix)
            responses.append(await exchange(setup, head))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            while not engine.requests:
                await trio.sleep(0.01)
            await stop(setup)
    assert status_of(responses[0]) in {502, 504}
    assert is_whole(responses[0])
    assert len(engine.requests) == 1


async def test_refusal_of_an_earlier_attempt_is_not_sent_for_a_later_one():
    """The second upstream may have run what the first one refused."""
    first = StandinEngine(respond_with(b'busy', 503))
    second = StandinEngine(answer_never)
    responses = []
    async with run_front_end([IDEMPOTENT], first, second) as setup:

        async def call():
            head = request_head(IDEMPOTENT.prefix)
            responses.append(await exchange(setup, head))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            while not second.requests:
                await trio.sleep(0.01)
            await stop(setup)
    assert first.requests
    assert status_of(responses[0]) in {502, 504}


async def test_stream_that_cannot_end_is_visibly_broken_off():
    engine = StandinEngine(stream_events(10_000, pause_s=0.05))
    responses = []
    async with run_front_end([STREAM], engine) as setup:

        async def call():
            head = request_head(STREAM.prefix)
            responses.append(await exchange(setup, head))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            while not any(
                conn.has_sent_head for conn in setup.front._connections
            ):
                await trio.sleep(0.01)
            await stop(setup)
    assert status_of(responses[0]) == 200
    assert not is_whole(responses[0])


@pytest.mark.parametrize(
    ('method', 'path', 'status'),
    [
        ('GET', '/lots/j1?after=0', 503),
        ('GET', '/items/j1?id=x', 503),
        ('POST', BATCH.prefix, 502),
        ('DELETE', '/lots/j1', 502),
    ],
)
async def test_job_request_that_waits_for_the_store_is_answered(
    method, path, status
):
    """A write may be made, a read has no effect."""
    responses = []
    kinds = []

    async def wait(intent, body, conn):
        kinds.append(intent.kind)
        await trio.sleep_forever()

    async with run_front_end([BATCH]) as setup:
        setup.front.serve_job_request = wait

        async def call():
            responses.append(await exchange(setup, request_head(path, method)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            while not kinds:
                await trio.sleep(0.01)
            await stop(setup)
    assert status_of(responses[0]) == status
    assert is_whole(responses[0])
    assert IntentKind.FORWARD not in kinds


def test_request_may_begin_until_it_could_not_end_in_time():
    limits = StopLimits()
    with (
        limits.arriving(5) as job,
        limits.arriving(5, 1) as early,
        limits.arriving(5, 3) as late,
        limits.arriving(math.inf, 3) as endless,
        limits.running() as run,
    ):
        assert [job.deadline, run.deadline, endless.deadline] == [math.inf] * 3
        # without a stop its own time limit counts
        assert [early.deadline, late.deadline] == [6, 8]
        limits.begin(reject_at=2, cut_off_at=7)
        assert [early.deadline, late.deadline] == [6, 2]
        assert [job.deadline, endless.deadline, run.deadline] == [2, 2, 7]
        with limits.arriving(4) as later_job, limits.running() as later_run:
            assert [later_job.deadline, later_run.deadline] == [3, 7]
    assert not limits._arriving
    assert not limits._running
