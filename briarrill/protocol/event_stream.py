"""briarrill.protocol.event_stream: server-sent events from a byte stream.

Follows the WHATWG HTML standard, section 9.2, as far as engines use it: the
fields ``id`` and ``data``, and events that end with an empty line.
"""

import attrs

from ..errors import UpstreamLostError

__all__ = ('Event', 'EventSplitter')

# an event holds a few tokens; this is far beyond one
MAX_EVENT_BYTES = 1_048_576

_ID = b'id'
_DATA = b'data'


@attrs.frozen
class Event:
    """One event.

    :param raw: its bytes with the empty line at its end.
    :param event_id: its number, or nothing when it names none.
    """

    raw: bytes
    event_id: int | None
    data: bytes


class EventSplitter:
    """Takes bytes as they come and gives whole events."""

    def __init__(self) -> None:
        """Start without bytes."""
        self._pending = b''

    @property
    def has_partial(self) -> bool:
        """Whether the bytes so far end inside an event."""
        return bool(self._pending)

    def feed(self, part: bytes) -> list[Event]:
        """Return the events that are complete now.

        :raises UpstreamLostError: an event is longer than any engine sends.
        """
        buffered = self._pending + part
        events = []
        while (end := _event_end(buffered)) > 0:
            events.append(_parse(buffered[:end]))
            buffered = buffered[end:]
        if len(buffered) > MAX_EVENT_BYTES:
            raise UpstreamLostError('an event without an end')
        self._pending = buffered
        return events


def _event_end(buffered: bytes) -> int:
    """Return the position after the first empty line, 0 without one."""
    ends = [
        position + len(separator)
        for separator in (b'\n\n', b'\r\n\r\n')
        if (position := buffered.find(separator)) >= 0
    ]
    return min(ends, default=0)


def _parse(raw: bytes) -> Event:
    event_id = None
    parts = []
    for line in raw.splitlines():
        name, _, text = line.partition(b':')
        content = text.removeprefix(b' ')
        if name == _DATA:
            parts.append(content)
        elif name == _ID and content.isdigit():
            event_id = int(content)
    return Event(raw, event_id, b'\n'.join(parts))
