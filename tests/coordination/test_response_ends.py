"""Reports of streams whose end may hide a cut."""

import pytest
from eliot import add_destinations, remove_destination

from briarrill.coordination.response_ends import report_stream_end
from briarrill.protocol.event_stream import StreamPosition
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


def test_stream_ended_by_close_is_logged_with_its_position(log_lines):
    head = ResponseHead(200, ((b'content-type', b'text/event-stream'),))
    report_stream_end('r1', 'i-0', head, StreamPosition.INSIDE_EVENT)
    (line,) = log_lines
    assert line['message_type'] == 'stream:ended-by-close'
    assert line['position'] == 'inside event'
    assert (line['request_id'], line['upstream']) == ('r1', 'i-0')


@pytest.mark.parametrize(
    'framing',
    [(b'content-length', b'5'), (b'transfer-encoding', b'chunked')],
)
def test_stream_with_framed_end_is_not_logged(log_lines, framing):
    head = ResponseHead(200, (framing,))
    report_stream_end('r1', 'i-0', head, StreamPosition.BETWEEN_EVENTS)
    assert not log_lines
