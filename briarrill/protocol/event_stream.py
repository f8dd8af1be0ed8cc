"""briarrill.protocol.event_stream: parses server-sent events incrementally.

Implements the part of the WHATWG HTML standard, section 9.2, that engines use:
the fields ``id`` and ``data``, and events that end with an empty line.
"""

import enum

import attrs

from ..errors import UpstreamLostError

__all__ = (
    'EventSplitter',
    'EventTracker',
    'ServerSentEvent',
    'StreamPosition',
)

# far above the size of an event, which has a few tokens
MAX_EVENT_BYTES = 1_048_576

# ends of an event: its last line and an empty line; the second one also ends
# events with CR LF
_EVENT_ENDS = (b'\n\n', b'\n\r\n', b'\r\r')
_LONGEST_EVENT_END = max(map(len, _EVENT_ENDS))

_ID_FIELD = b'id'
_DATA_FIELD = b'data'


@attrs.frozen
class ServerSentEvent:
    """One server-sent event.

    :param raw: bytes of the event, with the empty line at the end.
    :param event_id: number in the id field, None without one.
    :param data: data fields, joined by line feeds.
    """

    raw: bytes
    event_id: int | None
    data: bytes


class StreamPosition(enum.Enum):
    """Where a byte stream stands relative to its events."""

    START = 'start'
    BETWEEN_EVENTS = 'between events'
    INSIDE_EVENT = 'inside event'


class EventTracker:
    """Tracks the position of a byte stream relative to its events.

    It keeps the last few bytes only, so events may be of any size.
    """

    def __init__(self) -> None:
        """Start before the first event."""
        self._last_bytes = b''

    @property
    def position(self) -> StreamPosition:
        """Return the position after the bytes added so far."""
        if not self._last_bytes:
            return StreamPosition.START
        if self._last_bytes.endswith(_EVENT_ENDS):
            return StreamPosition.BETWEEN_EVENTS
        return StreamPosition.INSIDE_EVENT

    def add_bytes(self, part: bytes) -> None:
        """Add the next bytes of the stream."""
        last_bytes = self._last_bytes + part[-_LONGEST_EVENT_END:]
        self._last_bytes = last_bytes[-_LONGEST_EVENT_END:]

    def check_end(self) -> None:
        """Check that the stream may end here, however its body is framed.

        :raises UpstreamLostError: it is inside an event.
        """
        if self.position is StreamPosition.INSIDE_EVENT:
            raise UpstreamLostError('the stream ended inside an event')


class EventSplitter:
    """Splits a byte stream into complete events."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._incomplete = b''

    def add_bytes(self, part: bytes) -> list[ServerSentEvent]:
        """Append bytes to the buffer; remove and return complete events.

        :raises UpstreamLostError: an incomplete event exceeds
            MAX_EVENT_BYTES.
        """
        buffered = self._incomplete + part
        events = []
        while (end := _find_event_end(buffered)) > 0:
            events.append(_parse_event(buffered[:end]))
            buffered = buffered[end:]
        if len(buffered) > MAX_EVENT_BYTES:
            raise UpstreamLostError(
                f'event of {len(buffered)} bytes without an end; '
                f'at most {MAX_EVENT_BYTES} are allowed'
            )
        self._incomplete = buffered
        return events


def _find_event_end(buffered: bytes) -> int:
    """Return the position after the first empty line, 0 if there is none."""
    ends = [
        position + len(separator)
        for separator in _EVENT_ENDS
        if (position := buffered.find(separator)) >= 0
    ]
    return min(ends, default=0)


def _parse_event(raw: bytes) -> ServerSentEvent:
    """Parse the id and data fields; ignore all other fields."""
    event_id = None
    parts = []
    for line in raw.splitlines():
        name, _, text = line.partition(b':')
        content = text.removeprefix(b' ')
        if name == _DATA_FIELD:
            parts.append(content)
        elif name == _ID_FIELD and content.isdigit():
            event_id = int(content)
    return ServerSentEvent(raw, event_id, b'\n'.join(parts))
