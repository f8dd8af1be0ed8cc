"""briarrill.tracing: eliot actions that continue in another process."""

import contextlib
from collections.abc import Iterator
from typing import Any

from eliot import Action, start_action

__all__ = ('continue_trace', 'open_action')


@contextlib.contextmanager
def open_action(action_type: str, **fields: Any) -> Iterator[Action]:
    """Log an action that may end in another task than it began in.

    An action that sends work to another process must stay open until the
    reply has arrived, because ``briarrill-timeline`` estimates clock offsets
    from that order.
    """
    action = start_action(action_type=action_type, **fields)
    try:
        yield action
    except BaseException as exc:
        action.finish(exc)
        raise
    action.finish()


def continue_trace(trace: str, action_type: str, **fields: Any) -> Action:
    """Start an action as a child of a peer's action.

    :param trace: eliot task identifier from the message; an empty or invalid
        one starts a new trace.
    """
    try:
        return Action.continue_task(
            task_id=trace.encode(), action_type=action_type, **fields
        )
    except ValueError:
        return start_action(action_type=action_type, **fields)
