"""briarrill.transport.held_sends: sends, counted until a caller reads them.

What waits for a slow caller counts to the memory held for all callers. When
that is short, the response that has made no progress for longest is cut.
"""

import trio

from ..metrics import CALLERS_RELEASED
from .caller_memory import CallerMemory, Holding

__all__ = ('MAX_JOINED_BYTES', 'CallerGoneError', 'HeldSends')

# smaller pieces are not counted: a connection costs more without them
MIN_HELD_BYTES = 4096

# responses up to this size are sent in one piece with their head
MAX_JOINED_BYTES = 65_536


class CallerGoneError(Exception):
    """The caller closed its connection, or the connection failed."""


class HeldSends:
    """Sends the bytes of one connection.

    :param memory: counts the bytes held for all callers.
    :param caller: whose connection it is.
    :param turns: shared by all connections.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        memory: CallerMemory,
        caller: str,
        turns: trio.Lock,
    ) -> None:
        """Hold nothing."""
        self._turns = turns
        self._sock = sock
        self._memory = memory
        self._scope = trio.CancelScope()
        self._held = Holding(caller, self._give_up)

    async def wait_turn(self) -> None:
        """Wait until what gave way is freed, if the memory is short.

        Many callers may ask for long responses at the same moment. They are
        made one after the other then.
        """
        if self._memory.is_short:
            async with self._turns:
                await trio.lowlevel.checkpoint()

    async def send(self, raw: bytes | None) -> None:
        """Send all bytes.

        :raises CallerGoneError: the connection failed, or the bytes had to
            give way to those of other callers.
        """
        unsent = memoryview(raw or b'')
        if len(unsent) < MIN_HELD_BYTES:
            await self._send_all(unsent)
            return
        is_held = self._memory.resize(
            self._held, len(unsent), trio.current_time()
        )
        # a response that is ready frees what its request holds
        if not is_held and len(unsent) > MAX_JOINED_BYTES:
            CALLERS_RELEASED.labels('response').inc()
            raise CallerGoneError
        try:
            with trio.CancelScope() as scope:
                self._scope = scope
                await self._send_all(unsent)
        finally:
            self.drop()
        if scope.cancelled_caught:
            raise CallerGoneError

    def drop(self) -> None:
        """Forget what was held."""
        self._memory.drop(self._held)

    async def _send_all(self, unsent: memoryview) -> None:
        """Send bytes and note each progress.

        :raises CallerGoneError: the connection failed.
        """
        try:
            while unsent:
                unsent = unsent[await self._sock.send(unsent) :]
                self._held.progressed_at = trio.current_time()
        except OSError as exc:
            raise CallerGoneError from exc

    def _give_up(self) -> None:
        """End the sending for others."""
        CALLERS_RELEASED.labels('response').inc()
        self._scope.cancel()
