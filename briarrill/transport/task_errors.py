"""briarrill.transport.task_errors: unwraps a nursery's exception group."""

import contextlib
from collections.abc import Iterator

import trio

__all__ = ('unwrap_single_error',)


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


def _first_error(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """Return the first error, preferring any other to a cancellation."""
    _, other_errors = group.split(trio.Cancelled)
    first: BaseException = other_errors or group
    while isinstance(first, BaseExceptionGroup):
        first = first.exceptions[0]
    return first
