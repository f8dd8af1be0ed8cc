"""briarrill.timeline.text: the time line for a terminal."""

import datetime

from .reader import Event

__all__ = ('format_event',)


def format_event(event: Event) -> str:
    """Return an event as one line."""
    moment = datetime.datetime.fromtimestamp(event.timestamp, tz=datetime.UTC)
    clock = moment.strftime('%H:%M:%S.%f')[:-3]
    name = f'{event.name} {event.status}'.rstrip()
    shown = ' '.join(f'{key}={text}' for key, text in event.fields)
    return f'{clock} {event.process:24} {name:28} {shown}'.rstrip()
