"""briarrill.transport.arriving_body: reads the body of a caller's request.

A body costs its bytes, whatever its chunks. They count to the memory held for
all callers until the next request of the connection. A body that has not
arrived whole gives way when that memory is short, and ends if it makes no
progress.
"""

from collections.abc import Awaitable, Callable

import attrs
import h11
import trio

from ..errors import BodyTimeoutError, OverloadedError, TooLargeError
from ..metrics import CALLERS_RELEASED
from .caller_limits import CallerLimits
from .caller_memory import CallerMemory, Holding
from .held_sends import CallerGoneError

__all__ = ('ArrivingBody',)

# bytes by which what is held for an arriving body grows
HELD_STEP_BYTES = 65_536

# Retry-After of a request whose body was given up; a body of the largest size
# takes less at the speed of a machine's link
MEMORY_RETRY_AFTER_S = 1.0

_NextEvent = Callable[[], Awaitable[h11.Event]]


@attrs.define
class _Part:
    """The bytes that have arrived, and where the next progress is.

    :param scope: ends the reading; its deadline moves with each progress.
    """

    limits: CallerLimits
    scope: trio.CancelScope
    raw: bytearray = attrs.field(factory=bytearray, init=False)
    next_progress: int = attrs.field(default=1, init=False)

    def add(self, received: bytes) -> bool:
        """Add bytes; return whether the body made progress.

        :raises TooLargeError: the body is over the limit.
        """
        self.raw += received
        size = len(self.raw)
        limit = self.limits.max_body_bytes
        if size > limit:
            raise TooLargeError(f'request body is over {limit} bytes')
        if size < self.next_progress:
            return False
        self.next_progress = size + self.limits.progress_bytes
        timeout_s = self.limits.progress_timeout_s
        self.scope.deadline = trio.current_time() + timeout_s
        return True


class ArrivingBody:
    """Reads the bodies of one connection.

    :param memory: counts the bytes held for all callers.
    :param caller: whose connection it is.
    :param on_progress: called when a part of a body arrived.
    """

    def __init__(
        self,
        memory: CallerMemory,
        caller: str,
        on_progress: Callable[[], None],
    ) -> None:
        """Hold nothing."""
        self._memory = memory
        self._on_progress = on_progress
        self._scope = trio.CancelScope()
        self._held = Holding(caller, self._give_up)
        self._is_given_up = False

    async def read(
        self, next_event: _NextEvent, limits: CallerLimits, length: int | None
    ) -> bytes:
        """Read a body until it is complete, or given up.

        :param length: the length that the caller announced, if any.
        :raises TooLargeError: it is over the limit.
        :raises BodyTimeoutError: it made no progress.
        :raises OverloadedError: the memory for bodies is short.
        :raises CallerGoneError: the connection ended within the body.
        """
        self._is_given_up = False
        self._held.may_be_released = True
        with trio.move_on_after(limits.progress_timeout_s) as scope:
            self._scope = scope
            self._hold(
                HELD_STEP_BYTES
                if length is None
                else min(length, HELD_STEP_BYTES)
            )
            body = await self._read_parts(next_event, _Part(limits, scope))
            self._hold(len(body))
            self._held.may_be_released = False
            return body
        if self._is_given_up:
            raise _memory_error()
        CALLERS_RELEASED.labels('no-progress').inc()
        raise BodyTimeoutError(
            f'request body made no progress for {limits.progress_timeout_s} s'
        )

    def drop(self) -> None:
        """Forget what was held."""
        self._memory.drop(self._held)

    async def _read_parts(self, next_event: _NextEvent, part: _Part) -> bytes:
        """Read a body to its end.

        :raises CallerGoneError: the connection ended within the body.
        """
        while isinstance(event := await next_event(), h11.Data):
            if part.add(event.data):
                self._on_progress()
                self._held.progressed_at = trio.current_time()
                size = len(part.raw)
                if size > self._held.size:
                    self._hold(size + HELD_STEP_BYTES)
        if not isinstance(event, h11.EndOfMessage):
            raise CallerGoneError
        return bytes(part.raw)

    def _hold(self, size: int) -> None:
        """Count the bytes of the body.

        :raises OverloadedError: the memory for bodies is short.
        """
        if not self._memory.resize(self._held, size, trio.current_time()):
            self.drop()
            CALLERS_RELEASED.labels('body').inc()
            raise _memory_error()

    def _give_up(self) -> None:
        """End the reading for others."""
        CALLERS_RELEASED.labels('body').inc()
        self._is_given_up = True
        self._scope.cancel()


def _memory_error() -> OverloadedError:
    return OverloadedError(
        'the memory for request bodies is short',
        retry_after_s=MEMORY_RETRY_AFTER_S,
    )
