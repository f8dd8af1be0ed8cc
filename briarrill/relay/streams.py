"""briarrill.relay.streams: parts of an upstream's stream for a caller."""

from ..errors import UpstreamLostError
from ..protocol.event_stream import Event
from ..transport.http_channel import HttpChannel
from ..transport.http_messages import AnswerHead
from .answer import Answer
from .attempts import Attempt, time_limit

__all__ = ('read_part', 'send_whole_events')


async def read_part(attempt: Attempt, channel: HttpChannel) -> bytes | None:
    part: bytes | None = None
    with time_limit(attempt.pause_patience_s, attempt.call):
        part = await channel.read_body()
    return part


async def send_whole_events(
    events: list[Event], reply: AnswerHead, answer: Answer
) -> None:
    """Send the events that the caller does not have."""
    fresh = _fresh_events(events, answer.last_event_id)
    if fresh:
        await answer.begin(reply)
        await answer.send_events(fresh)


def _fresh_events(events: list[Event], last: int | None) -> list[Event]:
    """Return the events after the last one that the caller has.

    :raises UpstreamLostError: events are missing in between.
    """
    if last is None:
        return events
    fresh = [
        event
        for event in events
        if event.event_id is None or event.event_id > last
    ]
    numbers = [event.event_id for event in fresh if event.event_id is not None]
    if numbers != list(range(last + 1, last + 1 + len(numbers))):
        raise UpstreamLostError(f'events after {last} are missing')
    return fresh
