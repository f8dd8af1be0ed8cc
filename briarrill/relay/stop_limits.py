"""briarrill.relay.stop_limits: until when requests may begin and run.

A request that begins must be able to end before the process does. Without a
stop only its own time limit counts.
"""

import contextlib
import math
from collections.abc import Iterator

import attrs
import trio

__all__ = ('StopLimits',)


@attrs.frozen
class _Request:
    """Time limits of a request that arrives.

    :param arrived_at: from when on its own time limit counts, infinite if
        that begins with its end of arrival.
    :param longest_s: its own time limit.
    """

    arrived_at: float
    longest_s: float


@attrs.define
class StopLimits:
    """Limits requests by the times of a stop, also those that wait already.

    All times are on trio's clock.

    :ivar reject_at: from when on no request is accepted.
    :ivar cut_off_at: when those that still run are ended.
    """

    reject_at: float = math.inf
    cut_off_at: float = math.inf
    _arriving: dict[trio.CancelScope, _Request] = attrs.field(
        factory=dict, init=False
    )
    _running: set[trio.CancelScope] = attrs.field(factory=set, init=False)

    def begin(self, reject_at: float, cut_off_at: float) -> None:
        """Begin the stop."""
        self.reject_at = reject_at
        self.cut_off_at = cut_off_at
        for scope, request in self._arriving.items():
            scope.deadline = self._latest_start(request)
        for running in self._running:
            running.deadline = cut_off_at

    @contextlib.contextmanager
    def arriving(
        self, longest_s: float, arrived_at: float = math.inf
    ) -> Iterator[trio.CancelScope]:
        """Yield a scope that ends when it is too late to begin a request.

        :param longest_s: time that it may take.
        :param arrived_at: from when on that counts, default once it begins.
        """
        request = _Request(arrived_at, longest_s)
        scope = trio.CancelScope(deadline=self._latest_start(request))
        self._arriving[scope] = request
        try:
            yield scope
        finally:
            self._arriving.pop(scope)

    @contextlib.contextmanager
    def running(self) -> Iterator[trio.CancelScope]:
        """Yield a scope that ends when requests that run are cut off."""
        scope = trio.CancelScope(deadline=self.cut_off_at)
        self._running.add(scope)
        try:
            yield scope
        finally:
            self._running.discard(scope)

    def _latest_start(self, request: _Request) -> float:
        """Return until when a request may begin.

        One that came before others are rejected may begin until then, even
        if it can take longer than the stop.
        """
        ends_at = request.arrived_at + request.longest_s
        if ends_at <= self.cut_off_at:
            return ends_at
        return max(self.reject_at, self.cut_off_at - request.longest_s)
