"""briarrill.transport.http_callers: callers' connections, byte for byte.

Paths are not decoded and bodies not changed, as relaying needs it.
"""

import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import cast

import attrs
import h11
import trio

from ..errors import (
    BadRequestError,
    BodyTimeoutError,
    HeadersTooLargeError,
    TooLargeError,
)
from .http_messages import Headers, RequestHead, find_header

__all__ = (
    'CallerBounds',
    'CallerConnection',
    'CallerGoneError',
    'serve_callers',
)

RECEIVE_BYTES = 65_536

# pause after a connection that could not be accepted
ACCEPT_RETRY_S = 0.01

# connections that wait to be accepted
ACCEPT_BACKLOG = 1024

# bytes of further requests that are read while one is answered
MAX_PIPELINED_BYTES = 65_536

# time for a refused caller to read the refusal before the connection ends
LINGER_S = 0.5

# unacknowledged bytes of an answer end the connection after this time
USER_TIMEOUT_MS = 10_000

KEEP_ALIVE_IDLE_S = 5

HTTP_HEADERS_TOO_LARGE = 431


@attrs.frozen
class CallerBounds:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class CallerGoneError(Exception):
    """The caller closed its connection."""


class CallerConnection:
    """A connection that a caller opened.

    :param sock: accepted socket.
    :param bounds: read anew for each request.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        bounds: Callable[[], CallerBounds],
    ) -> None:
        """Start without a request."""
        self.closes_after_answer = False
        self.has_answered = False
        self._sock = sock
        self._bounds = bounds
        self._http = self._new_parser()
        self._idle = trio.CancelScope()

    @property
    def is_reusable(self) -> bool:
        """Whether another request may follow."""
        states = (self._http.our_state, self._http.their_state)
        return states == (h11.DONE,) * 2

    @property
    def has_ended(self) -> bool:
        """Whether the answer was sent to its end."""
        return self._http.our_state in {h11.DONE, h11.MUST_CLOSE, h11.CLOSED}

    async def next_request(self) -> RequestHead | None:
        """Return the next request, or nothing when there is none.

        :raises BriarrillError: to be answered; the connection ends then.
        """
        bounds = self._bounds()
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        self.has_answered = False
        if not self._has_bytes() and not await self._wait_first_byte(bounds):
            return None
        try:
            with trio.fail_after(bounds.header_timeout_s):
                event = await self._next_event()
        except trio.TooSlowError as exc:
            raise BodyTimeoutError('the head took too long') from exc
        if not isinstance(event, h11.Request):
            return None
        return RequestHead(event.method, event.target, tuple(event.headers))

    async def read_body(self, head: RequestHead) -> bytes:
        """Return the whole body.

        :raises TooLargeError: it is over the bound.
        """
        limit = self._bounds().max_body_bytes
        length = find_header(head.headers, b'content-length')
        if length is not None and int(length) > limit:
            raise TooLargeError(f'a body of over {limit} bytes')
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._send(self._http.send(go_on))
        return await self._read_parts(limit)

    async def send_head(self, status: int, headers: Headers) -> None:
        """Begin an answer."""
        await self._send(self._encode_head(status, headers))

    async def send_body(self, part: bytes) -> None:
        """Send a part of the body."""
        await self._send(self._http.send(h11.Data(data=part)))

    async def send_end(self) -> None:
        """End the answer."""
        await self._send(self._http.send(h11.EndOfMessage()))

    async def send_answer(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a whole answer at once."""
        length = (b'content-length', str(len(body)).encode())
        kept = tuple(pair for pair in headers if pair[0] != length[0])
        raw = self._encode_head(status, (*kept, length))
        raw += self._http.send(h11.Data(data=body)) or b''
        raw += self._http.send(h11.EndOfMessage()) or b''
        await self._send(raw)

    async def wait_gone(self) -> None:
        """Return when the caller has closed its connection."""
        with contextlib.suppress(OSError):
            while len(self._http.trailing_data[0]) < MAX_PIPELINED_BYTES:
                received = await self._sock.recv(RECEIVE_BYTES)
                if not received:
                    return
                self._http.receive_data(received)
            await trio.sleep_forever()

    def close_if_idle(self) -> None:
        """End the connection if it waits for a request."""
        self._idle.cancel()

    async def linger(self) -> None:
        """Let the caller read the end of an answer to unread bytes."""
        with (
            contextlib.suppress(OSError),
            trio.move_on_after(LINGER_S),
        ):
            self._sock.shutdown(socket.SHUT_WR)
            received = b'unread'
            while received:
                received = await self._sock.recv(RECEIVE_BYTES)

    async def _read_parts(self, limit: int) -> bytes:
        """Return the parts of a body.

        :raises TooLargeError: they are longer than the limit.
        :raises CallerGoneError: they do not end.
        """
        parts: list[bytes] = []
        size = 0
        while isinstance(event := await self._next_event(), h11.Data):
            size += len(event.data)
            if size > limit:
                raise TooLargeError(f'a body of over {limit} bytes')
            parts.append(bytes(event.data))
        if not isinstance(event, h11.EndOfMessage):
            raise CallerGoneError
        return b''.join(parts)

    def _new_parser(self) -> h11.Connection:
        limit = self._bounds().max_header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    def _has_bytes(self) -> bool:
        return bool(self._http.trailing_data[0])

    async def _wait_first_byte(self, bounds: CallerBounds) -> bool:
        """Return whether a request begins before the idle timeout."""
        idle = trio.move_on_after(bounds.idle_timeout_s)
        self._idle = idle
        try:
            with idle:
                received = await self._sock.recv(RECEIVE_BYTES)
        except OSError:
            return False
        if idle.cancelled_caught:
            return False
        self._http.receive_data(received)
        return bool(received)

    async def _next_event(self) -> h11.Event:
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                self._http.receive_data(await self._sock.recv(RECEIVE_BYTES))
        except OSError as exc:
            raise CallerGoneError from exc
        except h11.RemoteProtocolError as exc:
            if exc.error_status_hint == HTTP_HEADERS_TOO_LARGE:
                raise HeadersTooLargeError(str(exc)) from exc
            raise BadRequestError(str(exc)) from exc
        return cast(h11.Event, event)

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        self.has_answered = True
        fields = list(headers)
        if self.closes_after_answer:
            fields.append((b'connection', b'close'))
        response = h11.Response(status_code=status, headers=fields)
        return self._http.send(response) or b''

    async def _send(self, raw: bytes | None) -> None:
        view = memoryview(raw or b'')
        try:
            while view:
                view = view[await self._sock.send(view) :]
        except OSError as exc:
            raise CallerGoneError from exc


@attrs.define
class _Listener:
    """Accepts connections, each with a task of its own."""

    sock: trio.socket.SocketType
    bounds: Callable[[], CallerBounds]
    serve: Callable[[CallerConnection], Awaitable[None]]

    async def run(self, nursery: trio.Nursery) -> None:
        while True:
            try:
                accepted, _ = await self.sock.accept()
            except OSError:
                # the peer gave up before it was accepted, or no descriptor
                # is free; both pass
                await trio.sleep(ACCEPT_RETRY_S)
                continue
            nursery.start_soon(self._serve, accepted)

    async def _serve(self, sock: trio.socket.SocketType) -> None:
        with sock:
            _set_options(sock)
            conn = CallerConnection(sock, self.bounds)
            with contextlib.suppress(CallerGoneError):
                await self.serve(conn)


def _set_options(sock: trio.socket.SocketType) -> None:
    tcp = socket.IPPROTO_TCP
    with contextlib.suppress(OSError):
        sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


@contextlib.asynccontextmanager
async def serve_callers(
    address: tuple[str, int],
    bounds: Callable[[], CallerBounds],
    serve: Callable[[CallerConnection], Awaitable[None]],
) -> AsyncIterator[Callable[[], None]]:
    """Serve until exit, which cuts what still runs.

    :returns: stops accepting.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    await sock.bind(address)
    sock.listen(ACCEPT_BACKLOG)
    async with trio.open_nursery() as nursery, trio.open_nursery() as accepts:
        listener = _Listener(sock, bounds, serve)
        accepts.start_soon(listener.run, nursery)

        def stop_accepting() -> None:
            accepts.cancel_scope.cancel()
            sock.close()

        yield stop_accepting
        accepts.cancel_scope.cancel()
        nursery.cancel_scope.cancel()
