"""Responses without an end, and a stand-in upstream that sends them."""

import contextlib

import attrs
import pytest
import trio

from briarrill.transport.http_callers import (
    CallerConnection,
    CallerGoneError,
    CallerLimits,
)

# bytes after which a reader that has not closed the connection has no limit;
# above the largest limit of a reader
MAX_SENT_BYTES = 200_000_000

_HEAD = b'HTTP/1.1 200 OK\r\n'
_JSON = b'content-type: application/json\r\n'
_EVENTS = b'content-type: text/event-stream\r\n'
_CHUNKED = b'transfer-encoding: chunked\r\n'

#: Beginning of a response, and what follows it without end.
ENDLESS_RESPONSES = {
    'status line': (b'HTTP/1.1 200 ', b'x'),
    'header': (_HEAD + b'x-name: ', b'x'),
    'headers': (_HEAD, b'x-name: text\r\n'),
    'interim heads': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    'no response': (b'', b'\x00\xff'),
    'body': (_HEAD + b'\r\n', b'x'),
    'JSON': (_HEAD + _JSON + b'\r\n{"a":"', b'x'),
    'length': (_HEAD + b'content-length: 999999999999\r\n\r\n', b'x'),
    'chunks': (_HEAD + _CHUNKED + b'\r\n', b'1\r\nx\r\n'),
    'chunk size': (_HEAD + _CHUNKED + b'\r\n', b'0'),
    'chunk extension': (_HEAD + _CHUNKED + b'\r\n1;', b'x'),
    'trailers': (_HEAD + _CHUNKED + b'\r\n0\r\n', b'x-name: text\r\n'),
    'event': (_HEAD + _EVENTS + b'\r\nid: 1\ndata: ', b'x'),
    'comments': (_HEAD + _EVENTS + b'\r\n', b':\n\n'),
    'events': (_HEAD + _EVENTS + b'\r\n', b'data: x\n\n'),
    'error body': (b'HTTP/1.1 500 Error\r\n\r\n', b'x'),
    'rejection': (
        b'HTTP/1.1 503 Full\r\nbriarrill-not-executed: 1\r\n\r\n',
        b'x',
    ),
}

every_endless_response = pytest.mark.parametrize('kind', ENDLESS_RESPONSES)


@attrs.define
class EndlessEngine:
    """Answers each request with bytes that never end.

    :param kind: key of ``ENDLESS_RESPONSES``.
    :param pause_s: time between two parts.
    :param repeat: units in one part.
    :param sent_bytes: bytes sent so far, on all connections.
    :param has_answered: whether it has begun an answer.
    :param open_connections: connections that no reader has closed.
    """

    kind: str
    pause_s: float = 0
    repeat: int = 8192
    sent_bytes: int = 0
    has_answered: bool = False
    open_connections: int = 0

    @property
    def is_cut(self) -> bool:
        """Whether all readers closed their connections."""
        return not self.open_connections

    async def serve(self, conn: CallerConnection) -> None:
        """Answer one request until its reader closes the connection."""
        self.open_connections += 1
        try:
            await self._answer(conn)
        finally:
            self.open_connections -= 1

    def caller_limits(self) -> CallerLimits:
        """Return the limits of the HTTP server that runs the engine."""
        return CallerLimits()

    async def _answer(self, conn: CallerConnection) -> None:
        head = await conn.read_request_head()
        if head is None:
            return
        await conn.read_body(head)
        beginning, unit = ENDLESS_RESPONSES[self.kind]
        self.has_answered = True
        with contextlib.suppress(CallerGoneError):
            await conn._send(beginning)
            while self.sent_bytes < MAX_SENT_BYTES:
                await conn._send(unit * self.repeat)
                self.sent_bytes += len(unit) * self.repeat
                await trio.sleep(self.pause_s)


def paced_engine(kind: str) -> EndlessEngine:
    """Return an engine that sends at most 40 MB/s.

    A response that is relayed until its caller's deadline then ends by it
    and not by ``MAX_SENT_BYTES``, however fast the machine is.
    """
    return EndlessEngine(kind, pause_s=0.002)


def dribbling_engine(kind: str) -> EndlessEngine:
    """Return an engine that sends a few bytes now and then."""
    return EndlessEngine(kind, pause_s=0.02, repeat=1)
