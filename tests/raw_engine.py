"""Responses cut at any byte, and a stand-in upstream that sends them."""

import itertools
import socket
import struct

import attrs
import pytest

from briarrill.transport.http_callers import CallerConnection, CallerLimits
from briarrill.transport.http_messages import BodyFraming

# a socket with this option resets its connection when it is closed
RESET_WHEN_CLOSED = struct.pack('ii', 1, 0)

HEAD_END = b'\r\n\r\n'


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


@attrs.frozen
class CutResponse:
    """A response of which only the first bytes are sent.

    :param parts: the whole body, in parts that are sent as one chunk each;
        those of a stream are its events.
    :param length: number of bytes that are sent, head included.
    :param reset: whether the connection is reset after them, not closed.
    :param content_type: without one the header is left out.
    """

    parts: tuple[bytes, ...]
    framing: BodyFraming
    length: int
    reset: bool
    content_type: bytes = b''

    @property
    def whole(self) -> bytes:
        """Return the bytes of the whole response."""
        return encode_response(self.parts, self.framing, self.content_type)

    @property
    def raw(self) -> bytes:
        """Return the bytes that are sent."""
        return self.whole[: self.length]

    @property
    def is_complete(self) -> bool:
        """Whether the response is complete as HTTP defines it."""
        has_end = self.framing is not BodyFraming.CLOSE or not self.reset
        return has_end and self.length == len(self.whole)

    @property
    def hides_cut(self) -> bool:
        """Whether only the close of the connection marks the end."""
        is_closed = self.framing is BodyFraming.CLOSE and not self.reset
        return is_closed and HEAD_END in self.raw

    @property
    def may_look_complete(self) -> bool:
        """Whether a body that is no stream may be taken for complete."""
        return self.is_complete or self.hides_cut

    @property
    def may_look_like_complete_stream(self) -> bool:
        """Whether a stream may be taken for complete.

        The events show a cut, unless it is between two of them.
        """
        event_ends = itertools.accumulate(len(part) for part in self.parts)
        is_between = len(self.body) in event_ends
        return self.is_complete or (self.hides_cut and is_between)

    @property
    def body(self) -> bytes:
        """Return the bytes that are sent after the head."""
        return self.raw.partition(HEAD_END)[2]

    def engine(self) -> RawEngine:
        """Return an upstream that sends this response."""
        return RawEngine(self.raw, self.reset)


def encode_response(
    parts: tuple[bytes, ...], framing: BodyFraming, content_type: bytes = b''
) -> bytes:
    """Return a response with status 200, encoded."""
    lines = [b'HTTP/1.1 200 OK']
    body = b''.join(parts)
    if content_type:
        lines.append(b'content-type: ' + content_type)
    if framing is BodyFraming.LENGTH:
        lines.append(b'content-length: %d' % len(body))
    if framing is BodyFraming.CHUNKED:
        lines.append(b'transfer-encoding: chunked')
        chunks = [b'%x\r\n%b\r\n' % (len(part), part) for part in parts]
        body = b''.join((*chunks, b'0\r\n\r\n'))
    return b'\r\n'.join((*lines, b'', body))


every_end = pytest.mark.parametrize(
    ('framing', 'reset'),
    [(framing, reset) for framing in BodyFraming for reset in (False, True)],
)


def cut_at_every_byte(
    parts: tuple[bytes, ...],
    framing: BodyFraming,
    reset: bool,
    content_type: bytes = b'',
) -> list[CutResponse]:
    """Return all beginnings of a response, the whole one last."""
    whole = encode_response(parts, framing, content_type)
    return [
        CutResponse(parts, framing, length, reset, content_type)
        for length in range(len(whole) + 1)
    ]
