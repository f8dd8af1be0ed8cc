"""briarrill.timeline.reader: reads eliot logs of any process."""

import gzip
import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

__all__ = ('Event', 'LogReport', 'read_events')

GZIP_SUFFIX = '.gz'

_OWN_FIELDS = frozenset(
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

    :param timestamp: seconds since 1970, by the process's own clock until
        the offsets are applied.
    :param name: type of the message or action.
    :param status: ``started``, ``succeeded`` or ``failed`` for an action,
        empty for a message.
    :param task: identifier that all events of one request or job share.
    :param level: place in the task's tree.
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
        """Return the place of the action that the event belongs to."""
        return self.level[:-1]


@attrs.define
class LogReport:
    """What was read.

    :param skipped: lines that are no eliot messages, such as cut ones.
    """

    events: list[Event] = attrs.field(factory=list)
    skipped: int = 0


def read_events(paths: Iterable[str]) -> LogReport:
    """Read all logs; rotated logs may be compressed."""
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
    try:
        report.events.append(_parse(dict(json.loads(line))))
    except (LookupError, TypeError, ValueError):
        report.skipped += bool(line.strip())


def _parse(fields: dict[str, Any]) -> Event:
    action_type = fields.get('action_type')
    return Event(
        timestamp=float(fields['timestamp']),
        process=str(fields.get('process', '?')),
        name=str(action_type or fields['message_type']),
        status=str(fields.get('action_status', '')),
        task=str(fields['task_uuid']),
        level=tuple(int(step) for step in fields['task_level']),
        fields=tuple(_shown(fields)),
    )


def _shown(fields: dict[str, Any]) -> Iterator[tuple[str, str]]:
    for key in sorted(fields):
        if key not in _OWN_FIELDS:
            yield key, str(fields[key])
