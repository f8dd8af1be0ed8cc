"""briarrill.timeline.html: the time line as one self-contained page."""

import json
from collections.abc import Iterable
from importlib import resources
from typing import Any

from .actions import collect_actions
from .reader import Event

__all__ = ('render_page',)

_TEMPLATE = 'page.html'
_PLACE = '/*EVENTS*/'

# keeps text in the events from ending the script
_ESCAPED_LESS = r'\u003c'


def render_page(events: Iterable[Event]) -> str:
    """Return a page with one lane for each process.

    It loads nothing: the events are embedded as JSON.
    """
    every = list(events)
    embedded = json.dumps(_page_fields(every)).replace('<', _ESCAPED_LESS)
    return _template().replace(_PLACE, embedded)


def _template() -> str:
    folder = resources.files(__package__ or '')
    return (folder / _TEMPLATE).read_text(encoding='utf-8')


def _page_fields(events: list[Event]) -> dict[str, Any]:
    origin = min((event.timestamp for event in events), default=0)
    spans = []
    for action in collect_actions(events).values():
        end = action.ended
        span = _mark(action.started, origin)
        if end is not None:
            span['end'] = round(end.timestamp - origin, 6)
            span['status'] = end.status
        spans.append(span)
    points = [_mark(event, origin) for event in events if not event.status]
    return {
        'origin': origin,
        'lanes': sorted({event.process for event in events}),
        'spans': spans,
        'points': points,
    }


def _mark(event: Event, origin: float) -> dict[str, Any]:
    return {
        'lane': event.process,
        'start': round(event.timestamp - origin, 6),
        'name': event.name,
        'task': event.task,
        'text': ' '.join(f'{key}={shown}' for key, shown in event.fields),
    }
