"""briarrill.timeline.actions: collects eliot actions from their events."""

from collections.abc import Iterable

import attrs

from .reader import Event

__all__ = ('Action', 'ActionKey', 'collect_actions')

ActionKey = tuple[str, tuple[int, ...]]

STARTED = 'started'


@attrs.define
class Action:
    """An eliot action, which runs in one process.

    :param started: its start event.
    :param ended: its end event, None while it runs or if the process died.
    """

    started: Event
    ended: Event | None = None

    @property
    def key(self) -> ActionKey:
        """Return the task identifier and the level of the action."""
        return self.started.task, self.started.action

    @property
    def parent_key(self) -> ActionKey:
        """Return the key of the action that contains this one."""
        task, level = self.key
        return task, level[:-1]


def collect_actions(events: Iterable[Event]) -> dict[ActionKey, Action]:
    """Return the actions by key; an end without its start is ignored."""
    actions: dict[ActionKey, Action] = {}
    for event in events:
        key = (event.task, event.action)
        if event.status == STARTED:
            actions[key] = Action(event)
        elif event.status and key in actions:
            actions[key].ended = event
    return actions
