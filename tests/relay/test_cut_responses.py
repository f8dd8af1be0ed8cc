"""Responses of upstreams cut at every byte, in every framing.

Each test has a network of its own, since thousands of free ports would be
used up by connections that were closed a short time ago.
"""

import attrs
import pytest
import trio

from briarrill.errors import UpstreamLostError
from standins.platform_engine import (
    StandinEngine,
    encode_event,
    respond_with,
    stream_events,
)
from tests.raw_engine import RawEngine, cut_at_every_byte, every_end
from tests.relay.front_end_setup import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    RESUMABLE_STREAM,
    ROUTE_HOST,
    STREAM,
    run_front_end,
)

# long enough that a busy machine does not make an upstream look silent
PATIENCE_S = 5
PATIENT_STREAM = attrs.evolve(
    RESUMABLE_STREAM,
    latency_objective_s=PATIENCE_S,
    max_event_gap_s=PATIENCE_S,
)
PATIENT_IDEMPOTENT = attrs.evolve(IDEMPOTENT, latency_objective_s=PATIENCE_S)

EVENTS = (encode_event(1), encode_event(2), encode_event(3))
BODY = (b'saved ', b'plan')
WHOLE_STREAM = b''.join(EVENTS)
WHOLE_BODY = b''.join(BODY)


async def _relay(network, route, *engines):
    """Return the body that a caller gets as complete, if it gets one."""
    async with run_front_end([route], *engines, network=network) as setup:
        try:
            status, _, body = await setup.send_request(route.prefix)
        except UpstreamLostError:
            return None
    return body if status == 200 else None


@every_end
async def test_cut_stream_never_reaches_its_caller_as_complete(
    network, framing, reset
):
    for cut in cut_at_every_byte(EVENTS, framing, reset):
        body = await _relay(network, STREAM, cut.engine())
        if cut.is_complete:
            assert body == WHOLE_STREAM, cut
        elif body is not None:
            assert cut.may_look_like_complete_stream, cut


@every_end
async def test_framed_stream_that_ends_inside_an_event_is_cut(
    network, framing, reset
):
    """The upstream framed its half event as a complete response."""
    parts = (encode_event(1), encode_event(2)[:5])
    whole = cut_at_every_byte(parts, framing, reset)[-1]
    assert await _relay(network, STREAM, whole.engine()) is None
    second = StandinEngine(stream_events(3))
    relayed = await _relay(network, PATIENT_STREAM, whole.engine(), second)
    assert relayed == WHOLE_STREAM


@every_end
async def test_cut_resumable_stream_goes_on_to_its_end(
    network, framing, reset
):
    for cut in cut_at_every_byte(EVENTS, framing, reset):
        second = StandinEngine(stream_events(3))
        body = await _relay(network, PATIENT_STREAM, cut.engine(), second)
        if body != WHOLE_STREAM:
            assert cut.may_look_like_complete_stream, cut
        assert not (cut.is_complete and second.requests), cut


@every_end
async def test_cut_response_never_reaches_its_caller_as_complete(
    network, framing, reset
):
    for cut in cut_at_every_byte(BODY, framing, reset):
        body = await _relay(network, NON_IDEMPOTENT, cut.engine())
        if cut.is_complete:
            assert body == WHOLE_BODY, cut
        elif body is not None:
            assert cut.may_look_complete, cut


@every_end
async def test_cut_response_on_idempotent_route_is_retried(
    network, framing, reset
):
    for cut in cut_at_every_byte(BODY, framing, reset):
        second = StandinEngine(respond_with(WHOLE_BODY))
        body = await _relay(network, PATIENT_IDEMPOTENT, cut.engine(), second)
        if body != WHOLE_BODY:
            assert cut.may_look_complete, cut
        assert not (cut.is_complete and second.requests), cut


async def _read_without_chunks(address):
    """Return all bytes that a caller with HTTP/1.0 gets.

    :raises trio.BrokenResourceError: the connection was reset.
    """
    request = (
        b'POST %b HTTP/1.0\r\nhost: %b\r\nbriarrill-attempt-id: r1\r\n\r\n'
        % (STREAM.prefix.encode(), ROUTE_HOST)
    )
    stream = await trio.open_tcp_stream(*address)
    async with stream:
        await stream.send_all(request)
        return b''.join([part async for part in stream])


def _is_short(head, body):
    """Whether a body is shorter than its head says."""
    _, _, length = head.lower().partition(b'content-length: ')
    return len(body) < int(length.partition(b'\r\n')[0] or 0)


@every_end
async def test_cut_stream_resets_the_connection_of_a_caller_without_chunks(
    network, framing, reset
):
    """HTTP/1.0 has no chunks, so the close would look like the end."""
    for cut in cut_at_every_byte(EVENTS, framing, reset):
        async with run_front_end(
            [STREAM], cut.engine(), network=network
        ) as setup:
            try:
                raw = await _read_without_chunks(setup.address)
            except trio.BrokenResourceError:
                assert not cut.is_complete, cut
                continue
        head, _, body = raw.partition(b'\r\n\r\n')
        if b' 200 ' in head and not _is_short(head, body):
            assert cut.may_look_like_complete_stream, cut


def _encode(status, request_id, body):
    """Return a response as an upstream of the platform writes it."""
    lines = (
        b'HTTP/1.1 ' + status,
        b'date: Sat, 05 Dec 2026 05:00:00 GMT',
        b'briarrill-attempt-id: ' + request_id,
        b'server: runner',
        b'content-length: %d' % len(body),
    )
    return b'\r\n'.join((*lines, b'', body))


RESPONSES_AFTER_CUTS = {
    'empty': b'HTTP/1.1 500 Server Error\r\ncontent-length: 0\r\n\r\n',
    'short': b'HTTP/1.0 400 Bad\r\ncontent-length: 5\r\n\r\nerror',
    'without reason': b'HTTP/1.1 502\r\ncontent-length: 0\r\n\r\n',
    'own': _encode(b'500 Error', b'r1', b'error'),
    'late': _encode(b'200 OK', b'r0', b'late'),
}


@pytest.mark.parametrize('route', [STREAM, NON_IDEMPOTENT])
@pytest.mark.parametrize('kind', RESPONSES_AFTER_CUTS)
async def test_response_after_a_cut_head_does_not_complete_it(
    network, route, kind
):
    """The status is that of the cut head, the body that of an error."""
    head, _, _ = _encode(b'200 OK', b'r1', WHOLE_STREAM).partition(b'\r\n\r\n')
    for length in range(1, len(head) + 1):
        engine = RawEngine(head[:length] + RESPONSES_AFTER_CUTS[kind])
        assert await _relay(network, route, engine) is None, length


@pytest.mark.parametrize(
    'line', [b'via: HTTP/1.1 proxy', b'upgrade: HTTP/2.0', b'x-note: 200 OK']
)
async def test_header_that_names_a_protocol_is_no_other_response(
    network, line
):
    whole = _encode(b'200 HTTP/1.1 OK', b'r1', WHOLE_BODY)
    raw = whole.replace(b'server: runner', line)
    assert await _relay(network, NON_IDEMPOTENT, RawEngine(raw)) == WHOLE_BODY


REJECTION_HEAD = b'HTTP/1.1 503 Busy\r\nbriarrill-not-executed: 1\r\n'


@pytest.mark.parametrize('reset', [False, True])
@pytest.mark.parametrize(
    'framing', [b'content-length: 4\r\n', b'transfer-encoding: chunked\r\n']
)
async def test_rejection_is_retried_also_if_its_body_is_cut(
    network, framing, reset
):
    """Its head says that the request did not run."""
    engine = RawEngine(REJECTION_HEAD + framing + b'\r\n', reset)
    second = StandinEngine(respond_with(WHOLE_BODY))
    assert await _relay(network, NON_IDEMPOTENT, engine, second) == WHOLE_BODY


@pytest.mark.parametrize(
    'sent', [b': keep\n\n', b':\n\n: keep\n\nevent: x\n\n']
)
async def test_stream_cut_after_comments_goes_on_elsewhere(network, sent):
    """The caller has received nothing that another run would repeat."""

    async def comment_and_break_off(_req, conn):
        await conn.send_head(200, ())
        await conn.send_body(sent)
        raise ConnectionResetError

    first = StandinEngine(comment_and_break_off)
    second = StandinEngine(stream_events(3))
    async with run_front_end(
        [RESUMABLE_STREAM], first, second, network=network
    ) as setup:
        status, _, body = await setup.send_request(RESUMABLE_STREAM.prefix)
    assert status == 200
    assert body == sent + b''.join(map(encode_event, (1, 2, 3)))
    assert second.requests[0].header(b'last-event-id') is None


async def test_stream_cut_after_content_without_a_number_is_not_repeated(
    network,
):
    async def send_and_break_off(_req, conn):
        await conn.send_head(200, ())
        await conn.send_body(b': keep\n\ndata: x\n\n')
        raise ConnectionResetError

    first = StandinEngine(send_and_break_off)
    second = StandinEngine(stream_events(3))
    async with run_front_end(
        [RESUMABLE_STREAM], first, second, network=network
    ) as setup:
        with pytest.raises(UpstreamLostError):
            await setup.send_request(RESUMABLE_STREAM.prefix)
    assert not second.requests
