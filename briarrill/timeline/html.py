"""briarrill.timeline.html: renders events as a self-contained page."""

import json
from collections.abc import Iterable
from importlib import resources
from typing import Any

from .actions import collect_actions
from .reader import Event

__all__ = ('render_page',)

_TEMPLATE_FILE = 'page.html'
_EVENTS_PLACEHOLDER = '/*EVENTS*/'

# JSON escape that keeps "</script>" in an event from ending the script
_ESCAPED_LESS_THAN = r'\u003c'


def render_page(events: Iterable[Event]) -> str:
    """Render events as an HTML page with one lane for each process.

    The events are embedded as JSON, so the page loads no other resource.
    """
    event_list = list(events)
    embedded = json.dumps(_page_fields(event_list)).replace(
        '<', _ESCAPED_LESS_THAN
    )
    return _read_template().replace(_EVENTS_PLACEHOLDER, embedded)


def _read_template() -> str:
    folder = resources.files(__package__ or '')
    return (folder / _TEMPLATE_FILE).read_text(encoding='utf-8')


def _page_fields(events: list[Event]) -> dict[str, Any]:
    """Return the JSON of the page; times are seconds after the first event."""
    origin = min((event.timestamp for event in events), default=0)
    spans = []
    for action in collect_actions(events).values():
        end = action.ended
        span = _event_fields(action.started, origin)
        if end is not None:
            span['end'] = round(end.timestamp - origin, 6)
            span['status'] = end.status
        spans.append(span)
    points = [
        _event_fields(event, origin) for event in events if not event.status
    ]
    return {
        'origin': origin,
        'lanes': sorted({event.process for event in events}),
        'spans': spans,
        'points': points,
    }


def _event_fields(event: Event, origin: float) -> dict[str, Any]:
    return {
        'lane': event.process,
        'start': round(event.timestamp - origin, 6),
        'name': event.name,
        'task': event.task,
        'text': ' '.join(f'{key}={text}' for key, text in event.fields),
    }
