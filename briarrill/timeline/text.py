"""briarrill.timeline.text: formats events for a terminal."""

import datetime

from .reader import Event

__all__ = ('format_event',)


def format_event(event: Event) -> str:
    """Format an event as one line, with its time of day in UTC."""
    moment = datetime.datetime.fromtimestamp(event.timestamp, tz=datetime.UTC)
    clock = moment.strftime('%H:%M:%S.%f')[:-3]
    name = f'{event.name} {event.status}'.rstrip()
    fields_text = ' '.join(f'{key}={text}' for key, text in event.fields)
    return f'{clock} {event.process:24} {name:28} {fields_text}'.rstrip()
