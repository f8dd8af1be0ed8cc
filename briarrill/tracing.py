"""briarrill.tracing: actions that continue over process boundaries."""

from typing import Any

from eliot import Action, start_action

__all__ = ('continue_trace',)


def continue_trace(trace: str, action_type: str, **fields: Any) -> Action:
    """Return an action below the peer's one, or a new one without a trace.

    :param trace: eliot task identifier from the message, may be empty.
    """
    if not trace:
        return start_action(action_type=action_type, **fields)
    return Action.continue_task(
        task_id=trace.encode(), action_type=action_type, **fields
    )
