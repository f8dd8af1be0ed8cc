"""briarrill.timeline.actions: actions with their start, end and parent."""

from collections.abc import Iterable

import attrs

from .reader import Event

__all__ = ('Action', 'ActionKey', 'collect_actions')

ActionKey = tuple[str, tuple[int, ...]]

STARTED = 'started'


@attrs.define
class Action:
    """A span of work in one process.

    :param ended: last event, absent while it runs or after a kill.
    """

    started: Event
    ended: Event | None = None

    @property
    def key(self) -> ActionKey:
        """Return the task and the place in its tree."""
        return self.started.task, self.started.action

    @property
    def parent_key(self) -> ActionKey:
        """Return the key of the action that this one is part of."""
        task, place = self.key
        return task, place[:-1]


def collect_actions(events: Iterable[Event]) -> dict[ActionKey, Action]:
    """Return the actions of all events by their key."""
    actions: dict[ActionKey, Action] = {}
    for event in events:
        key = (event.task, event.action)
        if event.status == STARTED:
            actions[key] = Action(event)
        elif event.status and key in actions:
            actions[key].ended = event
    return actions
