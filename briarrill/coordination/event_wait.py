"""briarrill.coordination.event_wait: limit the wait for a stream's next event.

Bytes without the end of an event do not end the wait, or a stalled upstream
that sends a byte now and then would never be left. Only the time spent reading
counts: a slow caller does not make its upstream look stalled.
"""

import contextlib
import time
from collections.abc import Callable, Iterator

import attrs

__all__ = ('EventWait',)


@attrs.define
class EventWait:
    """Time spent reading since the last event of one stream.

    :param limit_s: longest wait for the next event, maybe infinite.
    :param clock: monotonic clock.
    """

    limit_s: float
    clock: Callable[[], float] = time.monotonic
    _waited_s: float = attrs.field(default=0, init=False)

    @property
    def remaining_s(self) -> float:
        """Return how much longer the next event may take."""
        return max(0, self.limit_s - self._waited_s)

    @contextlib.contextmanager
    def reading(self) -> Iterator[None]:
        """Add the time in the ``with`` block to the wait."""
        began_at = self.clock()
        try:
            yield
        finally:
            self._waited_s += self.clock() - began_at

    def restart(self, limit_s: float) -> None:
        """Begin the wait for the event after one that has arrived."""
        self.limit_s = limit_s
        self._waited_s = 0
