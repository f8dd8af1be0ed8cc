"""briarrill.transport.task_errors: errors that leave a task."""

import contextlib
import traceback
from collections.abc import Iterator

import trio
from eliot import log_message

from ..metrics import UNEXPECTED_ERRORS

__all__ = ('log_unexpected_errors', 'unwrap_single_error')


# lines of a traceback in the log
MAX_TRACE_LINES = 6


@contextlib.contextmanager
def log_unexpected_errors(message_type: str) -> Iterator[None]:
    """Log and drop an error that must not end the other tasks.

    For a task that serves one peer. Cancellations pass.

    :param message_type: type of the log message.
    """
    try:
        yield
    except* Exception as group:
        UNEXPECTED_ERRORS.inc()
        log_message(
            message_type, reason=repr(group.exceptions), trace=_trace(group)
        )


@contextlib.contextmanager
def unwrap_single_error() -> Iterator[None]:
    """Raise the first error of an exception group instead of the group.

    For a nursery whose child tasks only support the task that opened it: the
    caller of that task expects the plain exception.
    """
    try:
        yield
    except BaseExceptionGroup as group:
        raise _first_error(group) from group


def _trace(group: BaseExceptionGroup[BaseException]) -> list[str]:
    """Return the last lines of the traceback of a group's first error."""
    lines = traceback.format_exception(_first_error(group))
    return lines[-MAX_TRACE_LINES:]


def _first_error(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """Return the first error, preferring any other to a cancellation."""
    _, other_errors = group.split(trio.Cancelled)
    first: BaseException = other_errors or group
    while isinstance(first, BaseExceptionGroup):
        first = first.exceptions[0]
    return first
