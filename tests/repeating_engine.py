"""A stand-in upstream that writes an earlier response once more."""

import enum

import attrs
import trio

from briarrill.transport.http_callers import CallerConnection, CallerLimits
from briarrill.transport.http_messages import BodyFraming
from standins.platform_engine import encode_event

ID_HEADER = b'briarrill-attempt-id'
MARK = b'briarrill-not-executed: 1'

# long enough that the bytes before are read alone
PAUSE_S = 0.02


class When(enum.Enum):
    """When the copy of a response is written on its connection."""

    WITH_NEXT = 'with the answer to the next request'
    BEFORE_NEXT = 'before the answer to the next request'
    IN_PIECES = 'in two pieces before that answer'
    IN_POOL = 'while the connection is idle'
    PIECE_IN_POOL = 'the first piece while the connection is idle'


def encode_message(
    status: int,
    body: bytes,
    framing: BodyFraming = BodyFraming.LENGTH,
    lines: tuple[bytes, ...] = (),
) -> bytes:
    """Return a response with header lines of its own, encoded."""
    head = [b'HTTP/1.1 %d Status' % status, *lines]
    if framing is BodyFraming.LENGTH:
        head.append(b'content-length: %d' % len(body))
    if framing is BodyFraming.CHUNKED:
        head.append(b'transfer-encoding: chunked')
        body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
    return b'\r\n'.join((*head, b'', body))


def id_line(request_id: str) -> bytes:
    """Return the header line that echoes a request's identifier."""
    return b'%b: %b' % (ID_HEADER, request_id.encode())


@attrs.define
class RepeatingEngine:
    """Answers all requests but one, whose refusal it writes twice.

    The copy comes on the connection of that request, if it is kept.

    :param refused_id: request that is refused once.
    :param refusal: the refusal, encoded.
    :param copied_at: request before whose answer the copy comes, the next one
        if empty.
    :param ran_ids: identifiers of the requests that it ran.
    :param connections: connections accepted so far.
    """

    refused_id: str
    refusal: bytes
    when: When = When.BEFORE_NEXT
    copied_at: str = ''
    ran_ids: list[str] = attrs.field(factory=list)
    has_refused: bool = False
    connections: int = 0
    idle_copy_sent: trio.Event = attrs.field(factory=trio.Event)

    async def serve(self, conn: CallerConnection) -> None:
        """Answer the requests of one connection."""
        self.connections += 1
        unsent = b''
        while (request_id := await read_request_id(conn)) is not None:
            if request_id == self.refused_id and not self.has_refused:
                self.has_refused = True
                await conn._send(self.refusal)
                unsent = await self._send_while_idle(conn)
                continue
            self.ran_ids.append(request_id)
            answer = self.answer(request_id)
            if not unsent or self.copied_at not in {'', request_id}:
                await conn._send(answer)
                continue
            await self._send_copy(conn, unsent, answer)
            unsent = b''

    def answer(self, request_id: str) -> bytes:
        """Return the answer to a request, encoded."""
        lines = (id_line(request_id),)
        return encode_message(200, answer_body(request_id), lines=lines)

    def caller_limits(self) -> CallerLimits:
        """Return the limits of the HTTP server that runs the engine."""
        return CallerLimits()

    async def _send_while_idle(self, conn: CallerConnection) -> bytes:
        """Send what comes before the next request; return the rest."""
        sent_bytes = {
            When.IN_POOL: len(self.refusal),
            When.PIECE_IN_POOL: len(self.refusal) // 2,
        }.get(self.when, 0)
        if sent_bytes:
            await trio.sleep(PAUSE_S)
            await conn._send(self.refusal[:sent_bytes])
            await trio.sleep(PAUSE_S)
        self.idle_copy_sent.set()
        return self.refusal[sent_bytes:]

    async def _send_copy(
        self, conn: CallerConnection, copy: bytes, answer: bytes
    ) -> None:
        if self.when is When.WITH_NEXT:
            await conn._send(copy + answer)
            return
        pieces = [copy, answer]
        if self.when is When.IN_PIECES:
            half = len(copy) // 2
            pieces = [copy[:half], copy[half:], answer]
        for piece in pieces:
            await conn._send(piece)
            await trio.sleep(PAUSE_S)


def answer_body(request_id: str) -> bytes:
    """Return the answer to a request, which is an event of a stream too."""
    return encode_event(1).replace(b'word-1', request_id.encode())


async def read_request_id(conn: CallerConnection) -> str | None:
    """Read one request without a body; return its identifier.

    None if the connection was closed.
    """
    received = b''
    while not received.endswith(b'\r\n\r\n'):
        try:
            part = await conn._sock.recv(65_536)
        except OSError:
            return None
        if not part:
            return None
        received += part
    lines = received.lower().split(b'\r\n')
    prefix = b'%b: ' % ID_HEADER
    named = [line for line in lines if line.startswith(prefix)]
    return b''.join(named).removeprefix(prefix).decode()
