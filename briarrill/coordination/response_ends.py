"""briarrill.coordination.response_ends: check where streams end."""

from eliot import log_message

from ..metrics import ENDED_BY_CLOSE
from ..protocol.event_stream import EventTracker
from ..transport.http_messages import BodyFraming, ResponseHead

__all__ = ('check_stream_end',)


def check_stream_end(
    request_id: str,
    upstream_id: str,
    response_head: ResponseHead,
    tracker: EventTracker,
) -> None:
    """Check that a stream whose last byte was read is whole.

    An end that only the close of the connection marks is counted and logged,
    since nothing shows a cut between two events there.

    :param tracker: has tracked all bytes of the stream.
    :raises UpstreamLostError: the upstream broke the stream off.
    """
    if response_head.body_framing is BodyFraming.CLOSE:
        position = tracker.position.value
        ENDED_BY_CLOSE.labels(position).inc()
        log_message(
            'stream:ended-by-close',
            request_id=request_id,
            upstream=upstream_id,
            position=position,
        )
    tracker.check_end()
