"""briarrill.transport.task_errors: one error out of a nursery's group."""

import contextlib
from collections.abc import Iterator

import trio

__all__ = ('single_error',)


@contextlib.contextmanager
def single_error() -> Iterator[None]:
    """Raise the first error of a group instead of the group.

    For nurseries whose helpers only run while the one task that matters
    does: what it raises is what its caller expects.
    """
    try:
        yield
    except BaseExceptionGroup as group:
        raise _first(group) from group


def _first(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """Return the first error that is no cancellation, else that."""
    _, others = group.split(trio.Cancelled)
    found: BaseException = others or group
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return found
