"""Reports of streams whose end may hide a cut."""

import pytest
from eliot import add_destinations, remove_destination

from briarrill.coordination.response_ends import check_stream_end
from briarrill.errors import UpstreamLostError
from briarrill.protocol.event_stream import EventTracker
from briarrill.transport.http_messages import ResponseHead


@pytest.fixture
def log_lines():
    """Collect the log lines of a test."""
    lines = []
    add_destinations(lines.append)
    # the first destination also receives lines logged before it was added
    lines.clear()
    yield lines
    remove_destination(lines.append)


HEAD_WITHOUT_FRAMING = ResponseHead(
    200, ((b'content-type', b'text/event-stream'),)
)
FRAMED_HEADS = [
    ResponseHead(200, ((b'content-length', b'5'),)),
    ResponseHead(200, ((b'transfer-encoding', b'chunked'),)),
]


def _tracker(raw):
    tracker = EventTracker()
    tracker.add_bytes(raw)
    return tracker


@pytest.mark.parametrize('head', [HEAD_WITHOUT_FRAMING, *FRAMED_HEADS])
def test_stream_that_ended_inside_an_event_raises_upstream_lost(head):
    with pytest.raises(UpstreamLostError):
        check_stream_end('r1', 'i-0', head, _tracker(b'data: 1\n\ndat'))


def test_stream_ended_by_close_is_logged_with_its_position(log_lines):
    check_stream_end(
        'r1', 'i-0', HEAD_WITHOUT_FRAMING, _tracker(b'data: 1\n\n')
    )
    (line,) = log_lines
    assert line['message_type'] == 'stream:ended-by-close'
    assert line['position'] == 'between events'
    assert (line['request_id'], line['upstream']) == ('r1', 'i-0')


@pytest.mark.parametrize('head', FRAMED_HEADS)
def test_stream_with_framed_end_is_not_logged(log_lines, head):
    check_stream_end('r1', 'i-0', head, _tracker(b'data: 1\n\n'))
    assert not log_lines


def test_stream_closed_before_its_first_event_raises_upstream_lost():
    with pytest.raises(UpstreamLostError):
        check_stream_end('r1', 'i-0', HEAD_WITHOUT_FRAMING, _tracker(b''))


@pytest.mark.parametrize('head', FRAMED_HEADS)
def test_framed_stream_without_events_is_whole(head):
    check_stream_end('r1', 'i-0', head, _tracker(b''))
