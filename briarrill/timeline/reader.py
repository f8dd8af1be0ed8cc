"""briarrill.timeline.reader: reads the eliot logs of processes."""

import gzip
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from ..decoding import json_decoder
from ..errors import MalformedMessageError

__all__ = ('Event', 'LogReport', 'read_events')

GZIP_SUFFIX = '.gz'

_DECODER = json_decoder(dict[str, Any])

# raised for lines that are no eliot messages
_PARSE_ERRORS = (
    LookupError,
    MalformedMessageError,
    OverflowError,
    TypeError,
    ValueError,
)

_EVENT_KEYS = frozenset(
    (
        'action_status',
        'action_type',
        'message_type',
        'process',
        'task_level',
        'task_uuid',
        'timestamp',
    )
)


@attrs.frozen(order=True)
class Event:
    """One event of one process.

    :param timestamp: Unix time in seconds, by the process's own clock until
        offsets are applied.
    :param name: type of the message or action.
    :param status: ``started``, ``succeeded`` or ``failed`` for an action,
        empty for a message.
    :param task: identifier that all events of one request or job share.
    :param level: eliot task level, the path of the event in the task's tree.
    """

    timestamp: float
    process: str
    name: str
    status: str
    task: str
    level: tuple[int, ...]
    fields: tuple[tuple[str, str], ...] = ()

    @property
    def action(self) -> tuple[int, ...]:
        """Return the level of the action that the event belongs to."""
        return self.level[:-1]


@attrs.define
class LogReport:
    """Events of all logs, sorted by time.

    :param skipped: number of non-empty lines that are not eliot messages,
        such as truncated ones.
    """

    events: list[Event] = attrs.field(factory=list)
    skipped: int = 0


def read_events(paths: Iterable[str]) -> LogReport:
    """Read log files; those named ``*.gz`` are decompressed.

    :raises OSError: a file cannot be read.
    """
    report = LogReport()
    for path in paths:
        for line in _read_lines(path):
            _add_line(report, line)
    report.events.sort()
    return report


def _read_lines(path: str) -> Iterator[bytes]:
    open_log = gzip.open if path.endswith(GZIP_SUFFIX) else open
    with open_log(path, 'rb') as stream:
        yield from stream


def _add_line(report: LogReport, line: bytes) -> None:
    """Add the event of a line, or count the line as skipped."""
    try:
        report.events.append(_parse_event(_DECODER.decode(line)))
    except _PARSE_ERRORS:
        report.skipped += bool(line.strip())


def _parse_event(fields: dict[str, Any]) -> Event:
    """Convert an eliot message; a missing or invalid field raises."""
    action_type = fields.get('action_type')
    return Event(
        timestamp=float(fields['timestamp']),
        process=str(fields.get('process', '?')),
        name=str(action_type or fields['message_type']),
        status=str(fields.get('action_status', '')),
        task=str(fields['task_uuid']),
        level=tuple(int(step) for step in fields['task_level']),
        fields=tuple(_extra_fields(fields)),
    )


def _extra_fields(fields: dict[str, Any]) -> Iterator[tuple[str, str]]:
    for key in sorted(fields):
        if key not in _EVENT_KEYS:
            yield key, str(fields[key])
