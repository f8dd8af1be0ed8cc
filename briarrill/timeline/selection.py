"""briarrill.timeline.selection: picks the events of one matter."""

from collections.abc import Iterable

from .reader import Event

__all__ = ('select_events',)


def select_events(events: Iterable[Event], text: str) -> list[Event]:
    """Return the events of each task in which the text occurs.

    :param text: part of a request, job, version or instance name; all events
        when empty.
    """
    every = list(events)
    tasks = {event.task for event in every if _mentions(event, text)}
    return [event for event in every if event.task in tasks]


def _mentions(event: Event, text: str) -> bool:
    places = (event.process, event.name, *(shown for _, shown in event.fields))
    return any(text in place for place in places)
