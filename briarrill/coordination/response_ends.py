"""briarrill.coordination.response_ends: report ends that may hide a cut."""

from eliot import log_message

from ..metrics import ENDED_BY_CLOSE
from ..protocol.event_stream import StreamPosition
from ..transport.http_messages import BodyFraming, ResponseHead

__all__ = ('report_stream_end',)


def report_stream_end(
    request_id: str,
    upstream_id: str,
    response_head: ResponseHead,
    position: StreamPosition,
) -> None:
    """Count and log the end of a stream that only a close has marked."""
    if response_head.body_framing is not BodyFraming.CLOSE:
        return
    ENDED_BY_CLOSE.labels(position.value).inc()
    log_message(
        'stream:ended-by-close',
        request_id=request_id,
        upstream=upstream_id,
        position=position.value,
    )
