"""A stand-in upstream that answers before it has read the request's body."""

import enum
import socket

import attrs
import trio

from briarrill.transport.http_callers import CallerConnection, CallerLimits
from tests.raw_engine import HEAD_END, RESET_WHEN_CLOSED

# long enough that what was sent before is read alone
PAUSE_S = 0.05


class Ending(enum.Enum):
    """How the connection ends after the response."""

    RESET = 'reset'
    HALF_CLOSE = 'closed for sending, then reset'
    CLOSE = 'closed'


@attrs.define
class EarlyEngine:
    """Answers each request after its head, and never reads the body.

    :param raw: the response.
    :param requests: heads of the received requests.
    """

    raw: bytes
    ending: Ending
    requests: list = attrs.field(factory=list)

    async def serve(self, conn: CallerConnection) -> None:
        """Answer one request; what follows its head stays in the kernel."""
        head = b''
        while not head.endswith(HEAD_END):
            received = await conn._sock.recv(1)
            if not received:
                return
            head += received
        self.requests.append(head)
        await conn._send(self.raw)
        await trio.sleep(PAUSE_S)
        if self.ending is Ending.HALF_CLOSE:
            conn._sock.shutdown(socket.SHUT_WR)
            await trio.sleep(PAUSE_S)
        if self.ending is not Ending.CLOSE:
            conn._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_WHEN_CLOSED
            )

    def caller_limits(self) -> CallerLimits:
        """Return the limits of the HTTP server that runs the engine."""
        return CallerLimits()
