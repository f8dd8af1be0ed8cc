"""briarrill.protocol.event_stream: parses server-sent events incrementally.

Implements the part of the WHATWG HTML standard, section 9.2, that engines use:
the fields ``id`` and ``data``, and events that end with an empty line.
"""

import enum
import re

import attrs

from ..decoding import find_whole_number
from ..errors import UpstreamLostError

__all__ = (
    'EventSplitter',
    'EventTracker',
    'ServerSentEvent',
    'StreamPosition',
)

# far above the size of an event, which has a few tokens
MAX_EVENT_BYTES = 1_048_576

# comments in a row that keep a stream of hours alive take less
MAX_COMMENT_BYTES = 262_144

# begin of a line that is neither a comment nor empty
_CONTENT_LINE = re.compile(rb'[\r\n][^:\r\n]')

# ends of an event: its last line and an empty line; the second one also ends
# events with CR LF
_EVENT_ENDS = (b'\n\n', b'\n\r\n', b'\r\r')
_LONGEST_EVENT_END = max(map(len, _EVENT_ENDS))
_EVENT_END = re.compile(b'|'.join(map(re.escape, _EVENT_ENDS)))

_ID_FIELD = b'id'
_DATA_FIELD = b'data'

# a line with a colon at its start is a comment
_COMMENT = b''
_KNOWN_FIELDS = frozenset(
    (_ID_FIELD, _DATA_FIELD, _COMMENT, b'event', b'retry')
)

# start of a response's first line
_HTTP_VERSION = b'HTTP/1.'


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

    @property
    def has_content(self) -> bool:
        """Whether the event is more than a comment that keeps it alive."""
        return self.event_id is not None or bool(self.data)


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
        self._comment_bytes = 0
        # end of the line before, and first byte of this one if it has any
        self._line_start = b'\n'

    @property
    def position(self) -> StreamPosition:
        """Return the position after the bytes added so far."""
        if not self._last_bytes:
            return StreamPosition.START
        if self._last_bytes.endswith(_EVENT_ENDS):
            return StreamPosition.BETWEEN_EVENTS
        return StreamPosition.INSIDE_EVENT

    def add_bytes(self, part: bytes) -> None:
        """Add the next bytes of the stream.

        :raises UpstreamLostError: over MAX_COMMENT_BYTES hold comments only.
        """
        self._count_comments(part)
        last_bytes = self._last_bytes + part[-_LONGEST_EVENT_END:]
        self._last_bytes = last_bytes[-_LONGEST_EVENT_END:]

    def check_end(self) -> None:
        """Check that the stream may end here, however its body is framed.

        :raises UpstreamLostError: it is inside an event.
        """
        if self.position is StreamPosition.INSIDE_EVENT:
            raise UpstreamLostError('the stream ended inside an event')

    def _count_comments(self, part: bytes) -> None:
        lines = self._line_start + part
        start = max(lines.rfind(b'\n'), lines.rfind(b'\r'))
        self._line_start = lines[start : start + 2]
        if _CONTENT_LINE.search(lines):
            self._comment_bytes = 0
            return
        self._comment_bytes += len(part)
        if self._comment_bytes > MAX_COMMENT_BYTES:
            raise UpstreamLostError(
                f'{self._comment_bytes} bytes of comments without an event'
            )


class EventSplitter:
    """Splits a byte stream into complete events.

    Each byte is searched once, whatever the sizes of the parts.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._incomplete = bytearray()
        self._search_from = 0

    def add_bytes(self, part: bytes) -> list[ServerSentEvent]:
        """Append bytes to the buffer; remove and return complete events.

        :raises UpstreamLostError: an incomplete event exceeds
            MAX_EVENT_BYTES, or the bytes are no event.
        """
        self._incomplete += part
        events = []
        start = 0
        while match := _EVENT_END.search(self._incomplete, self._search_from):
            raw = bytes(self._incomplete[start : match.end()])
            events.append(_parse_event(raw))
            start = match.end()
            self._search_from = start
        if start:
            self._incomplete = self._incomplete[start:]
        size = len(self._incomplete)
        if size > MAX_EVENT_BYTES:
            raise UpstreamLostError(
                f'event of {size} bytes without an end; '
                f'at most {MAX_EVENT_BYTES} are allowed'
            )
        # an end may have begun in the last bytes
        self._search_from = max(0, size - _LONGEST_EVENT_END + 1)
        return events


def _parse_event(raw: bytes) -> ServerSentEvent:
    """Parse the id and data fields; ignore all other fields.

    :raises UpstreamLostError: there is no field of an event, the head of a
        response, or a number that cannot be read.
    """
    event_id = None
    parts = []
    lines = [line for line in raw.splitlines() if line]
    _check_fields(lines)
    for line in lines:
        name, _, text = line.partition(b':')
        content = text.removeprefix(b' ')
        if name == _DATA_FIELD:
            parts.append(content)
        elif name == _ID_FIELD:
            event_id = _parse_number(content, event_id)
    return ServerSentEvent(raw, event_id, b'\n'.join(parts))


def _parse_number(content: bytes, previous: int | None) -> int | None:
    """Return the number of an event; other text than digits names none.

    :param previous: the number that an earlier line names.
    :raises UpstreamLostError: it has too many digits; taken for none, the
        event would be left out where events are counted.
    """
    number = find_whole_number(content)
    if number is None and content.isdigit():
        raise UpstreamLostError(f'event number of {len(content)} digits')
    return previous if number is None else number


def _check_fields(lines: list[bytes]) -> None:
    """Check that lines are those of an event.

    :raises UpstreamLostError: they are not.
    """
    names = {line.partition(b':')[0] for line in lines}
    is_event = not names or not names.isdisjoint(_KNOWN_FIELDS)
    has_head = any(line.startswith(_HTTP_VERSION) for line in lines)
    if has_head or not is_event:
        raise UpstreamLostError('the stream has bytes that are no event')
