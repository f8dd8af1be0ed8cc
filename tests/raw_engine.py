"""A stand-in upstream that sends fixed bytes and ends its connection."""

import socket
import struct

import attrs

from briarrill.transport.http_callers import CallerConnection, CallerLimits

# a socket with this option resets its connection when it is closed
RESET_WHEN_CLOSED = struct.pack('ii', 1, 0)


@attrs.define
class RawEngine:
    """Answers each request with the same bytes, then ends the connection.

    :param raw: the response, whole or cut.
    :param reset: whether the connection is reset instead of closed.
    :param requests: heads of the received requests.
    """

    raw: bytes
    reset: bool = False
    requests: list = attrs.field(factory=list)

    async def serve(self, conn: CallerConnection) -> None:
        """Answer one request."""
        head = await conn.read_request_head()
        if head is None:
            return
        self.requests.append(head)
        await conn.read_body(head)
        await conn._send(self.raw)
        if self.reset:
            conn._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_WHEN_CLOSED
            )

    def caller_limits(self) -> CallerLimits:
        """Return the limits of the HTTP server that runs the engine."""
        return CallerLimits()
