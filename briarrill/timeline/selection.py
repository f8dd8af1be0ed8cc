"""briarrill.timeline.selection: filters events by text."""

from collections.abc import Iterable

from .reader import Event

__all__ = ('select_events',)


def select_events(events: Iterable[Event], text: str) -> list[Event]:
    """Return all events of each task that has an event with the text.

    :param text: part of a request, job, version or instance name; empty
        selects all events.
    """
    event_list = list(events)
    tasks = {event.task for event in event_list if _contains_text(event, text)}
    return [event for event in event_list if event.task in tasks]


def _contains_text(event: Event, text: str) -> bool:
    searched_texts = (
        event.process,
        event.name,
        *(field_text for _, field_text in event.fields),
    )
    return any(text in searched_text for searched_text in searched_texts)
