"""briarrill.timeline.reader: reads and merges eliot logs."""

import datetime
import json
from collections.abc import Iterable
from typing import Any

import attrs

__all__ = ('Event', 'read_events')

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

    :param timestamp: seconds since 1970 by the process's own clock.
    :param name: type of the message, with the status of an action.
    """

    timestamp: float
    process: str
    name: str
    task: str
    level: tuple[int, ...]
    fields: tuple[tuple[str, str], ...] = ()

    def as_text(self) -> str:
        """Return the event as one line."""
        moment = datetime.datetime.fromtimestamp(
            self.timestamp, tz=datetime.UTC
        )
        clock = moment.strftime('%H:%M:%S.%f')[:-3]
        shown = ' '.join(f'{key}={text}' for key, text in self.fields)
        return f'{clock} {self.process:28} {self.name:28} {shown}'.rstrip()


def read_events(paths: Iterable[str]) -> list[Event]:
    """Return the events of all logs in order of time.

    Lines that are no eliot messages are skipped.
    """
    events: list[Event] = []
    for path in paths:
        with open(path, encoding='utf-8', errors='replace') as stream:
            found = map(_parse, stream)
            events.extend(event for event in found if event is not None)
    return sorted(events)


def _parse(line: str) -> Event | None:
    try:
        fields: dict[str, Any] = dict(json.loads(line))
        return Event(
            timestamp=float(fields['timestamp']),
            process=str(fields.get('process', '?')),
            name=_name(fields),
            task=str(fields['task_uuid']),
            level=tuple(fields['task_level']),
            fields=_shown(fields),
        )
    except (LookupError, TypeError, ValueError):
        return None


def _name(fields: dict[str, Any]) -> str:
    action_type = fields.get('action_type')
    if action_type is None:
        return str(fields['message_type'])
    return f'{action_type} {fields["action_status"]}'


def _shown(fields: dict[str, Any]) -> tuple[tuple[str, str], ...]:
    return tuple(
        (key, str(text))
        for key, text in sorted(fields.items())
        if key not in _OWN_FIELDS
    )
