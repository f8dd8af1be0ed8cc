"""briarrill.coordination.response_ends: check that streams are whole."""

from eliot import log_message

from ..errors import UpstreamLostError
from ..metrics import ENDED_BY_CLOSE
from ..protocol.event_stream import EventTracker, StreamPosition
from ..transport.http_messages import BodyFraming, ResponseHead, find_header

__all__ = ('check_stream_end', 'is_event_stream')

HTTP_OK = 200

EVENT_STREAM = b'text/event-stream'


def is_event_stream(head: ResponseHead) -> bool:
    """Whether a response on a streaming route is a stream of events.

    One without a content type is.
    """
    content_type = find_header(head.headers, b'content-type') or EVENT_STREAM
    return head.status == HTTP_OK and content_type.lower().startswith(
        EVENT_STREAM
    )


def check_stream_end(
    request_id: str,
    upstream_id: str,
    response_head: ResponseHead,
    tracker: EventTracker,
) -> None:
    """Check that a stream whose last byte was read is whole.

    An end that only the close of the connection marks is counted and logged,
    since nothing shows a cut between two events there. A stream of no events
    needs a length or chunks to be whole.

    :param tracker: has tracked all bytes of the stream.
    :raises UpstreamLostError: the upstream broke the stream off.
    """
    if response_head.body_framing is BodyFraming.CLOSE:
        _report_end_by_close(request_id, upstream_id, tracker.position)
        if tracker.position is StreamPosition.START:
            raise UpstreamLostError(
                'the connection closed before the first event'
            )
    tracker.check_end()


def _report_end_by_close(
    request_id: str, upstream_id: str, position: StreamPosition
) -> None:
    ENDED_BY_CLOSE.labels(position.value).inc()
    log_message(
        'stream:ended-by-close',
        request_id=request_id,
        upstream=upstream_id,
        position=position.value,
    )
