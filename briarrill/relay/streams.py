"""briarrill.relay.streams: relays an upstream's event stream to a caller."""

from ..coordination.event_wait import EventWait
from ..errors import UpstreamLostError
from ..protocol.event_stream import ServerSentEvent
from ..transport.http_channel import HttpChannel
from ..transport.http_messages import ResponseHead
from .attempts import Attempt, time_limit
from .response import Response

__all__ = ('read_stream_part', 'send_new_events')


async def read_stream_part(
    attempt: Attempt, channel: HttpChannel, event_wait: EventWait
) -> bytes | None:
    """Return the next bytes of a stream, nothing at its end.

    :raises DeadlineExceededError: the call's deadline passed.
    :raises UpstreamLostError: no event came within the limit of the wait.
    """
    part: bytes | None = None
    with (
        time_limit(event_wait.remaining_s, attempt.call),
        event_wait.reading(),
    ):
        part = await channel.read_piece()
    return part


async def send_new_events(
    events: list[ServerSentEvent],
    response_head: ResponseHead,
    response: Response,
) -> bool:
    """Send the events that the caller has not received.

    :return: whether any of them has an identifier or data.
    """
    unsent = _unsent_events(events, response.last_event_id)
    if unsent:
        await response.send_head_once(response_head)
        await response.send_events(unsent)
    return any(event.has_content for event in unsent)


def _unsent_events(
    events: list[ServerSentEvent], last_event_id: int | None
) -> list[ServerSentEvent]:
    """Return the events after the last event that the caller received.

    :raises UpstreamLostError: there is a gap after that event.
    """
    if last_event_id is None:
        return events
    unsent = [
        event
        for event in events
        if event.event_id is None or event.event_id > last_event_id
    ]
    event_ids = [
        event.event_id for event in unsent if event.event_id is not None
    ]
    if event_ids != list(
        range(last_event_id + 1, last_event_id + 1 + len(event_ids))
    ):
        raise UpstreamLostError(
            f'gap in the stream after event {last_event_id}'
        )
    return unsent
