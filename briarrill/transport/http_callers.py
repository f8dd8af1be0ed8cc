"""briarrill.transport.http_callers: HTTP/1.1 server connections.

Request targets are not decoded and bodies are not changed, so that a relay
can forward both as they were sent.
"""

import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from functools import partial
from typing import cast

import attrs
import h11
import trio

from ..errors import (
    BadRequestError,
    BodyTimeoutError,
    BriarrillError,
    HeadersTooLargeError,
    TooLargeError,
)
from ..metrics import CALLERS_RELEASED
from .arriving_body import ArrivingBody
from .caller_limits import CallerBounds, CallerLimits
from .caller_memory import CallerMemory
from .held_sends import MAX_JOINED_BYTES, CallerGoneError, HeldSends
from .http_messages import Headers, RequestHead, find_header
from .silent_connections import ConnectionPlaces
from .task_errors import log_unexpected_errors
from .turns import Turns

__all__ = (
    'CallerLimits',
    'CallerBounds',
    'CallerConnection',
    'CallerGoneError',
    'read_whole_request',
    'serve_callers',
)

# largest read from a socket
MAX_RECEIVE_BYTES = 65_536

# pause after accept() failed
ACCEPT_RETRY_DELAY_S = 0.01

# connections that the kernel queues until they are accepted
LISTEN_BACKLOG = 1024

# bytes of pipelined requests that are buffered during a response
MAX_PIPELINED_BYTES = 65_536

# time for a caller to read an error response before the connection closes
UNREAD_INPUT_TIMEOUT_S = 0.5

# the kernel drops a connection whose sent bytes stay unacknowledged this long
TCP_USER_TIMEOUT_MS = 10_000

# idle time after which the kernel sends the first keep-alive probe
TCP_KEEPALIVE_IDLE_S = 5

HTTP_HEADERS_TOO_LARGE = 431

_HTTP_WITHOUT_CHUNKS = b'1.0'

_CONTENT_LENGTH = b'content-length'
_TRANSFER_ENCODING = b'transfer-encoding'

_HTTP_NO_CONTENT = 204

# statuses of final responses that have no body
_BODILESS_STATUSES = frozenset((_HTTP_NO_CONTENT, 304))

# a socket with this option resets its connection when it is closed
_RESET_WHEN_CLOSED = struct.pack('ii', 1, 0)


class CallerConnection:
    """Server side of one connection from a caller.

    :param sock: accepted socket.
    :param limits: returns the limits; called again for each request.
    :param memory: counts the bytes held for all callers.
    :param places: the open connections of the listener.
    :param turns: shared by them, for long responses.
    """

    def __init__(
        self,
        sock: trio.socket.SocketType,
        limits: Callable[[], CallerLimits],
        memory: CallerMemory,
        places: 'ConnectionPlaces[CallerConnection]',
        turns: trio.Lock,
    ) -> None:
        """Wrap the socket; the code that accepted it closes it."""
        self.closes_after_response = False
        self.has_sent_head = False
        self.closing = trio.CancelScope()
        self._has_frame = False
        self._is_head = False
        self._sock = sock
        self._limits = limits
        self._parser = self._new_parser()
        self._idle_scope = trio.CancelScope()
        self._turns = Turns()
        self._places = places
        caller = _peer_address(sock)
        self._body = ArrivingBody(
            memory, caller, partial(places.mark_progress, self)
        )
        self._sends = HeldSends(sock, memory, caller, turns)

    @property
    def is_reusable(self) -> bool:
        """Whether the exchange is complete and another request may follow."""
        states = (self._parser.our_state, self._parser.their_state)
        return states == (h11.DONE,) * 2

    @property
    def is_response_complete(self) -> bool:
        """Whether all of the response was sent."""
        return self._parser.our_state in {h11.DONE, h11.MUST_CLOSE, h11.CLOSED}

    @property
    def hides_cut(self) -> bool:
        """Whether a close would make a cut response look complete.

        That is so if its caller knows no chunks and it has no length.
        """
        return self._parser.our_state is h11.SEND_BODY and not self._has_frame

    async def read_request_head(self) -> RequestHead | None:
        """Read the headers of the next request.

        :return: None if the caller closed the connection or sent no
            request within the idle timeout.
        :raises BadRequestError: the bytes are not a valid HTTP/1.1 request.
        :raises HeadersTooLargeError: the headers are over their limit.
        :raises BodyTimeoutError: the headers were not complete in time.
        :raises CallerGoneError: the connection failed.
        """
        limits = self._limits()
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        self.has_sent_head = False
        self._body.drop()
        self._places.mark_silent(self)
        if not self._parser.trailing_data[
            0
        ] and not await self._wait_first_byte(limits):
            return None
        try:
            with trio.fail_after(limits.header_timeout_s):
                event = await self._next_event()
        except trio.TooSlowError as exc:
            raise BodyTimeoutError(
                f'request headers took over {limits.header_timeout_s} s'
            ) from exc
        if not isinstance(event, h11.Request):
            return None
        self._is_head = event.method == b'HEAD'
        return RequestHead(event.method, event.target, tuple(event.headers))

    async def read_body(self, head: RequestHead) -> bytes:
        """Read the whole body of a request.

        :raises TooLargeError: the body is over ``max_body_bytes``.
        :raises BadRequestError: the body's framing is invalid.
        :raises BodyTimeoutError: the body made no progress.
        :raises OverloadedError: the memory for bodies is short.
        :raises CallerGoneError: the connection ended within the body.
        """
        limit = self._limits().max_body_bytes
        length = find_header(head.headers, _CONTENT_LENGTH)
        if length is not None and int(length) > limit:
            raise TooLargeError(
                f'request body of {int(length)} bytes is over {limit} bytes'
            )
        if self._parser.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await self._send(self._parser.send(continue_response))
        body = await self._body.read(
            self._next_event, self._limits(), _body_length(head)
        )
        self._places.mark_busy(self)
        return body

    async def before_long_response(self) -> None:
        """Wait for a turn to make a long response; call it before."""
        await self._sends.wait_turn()

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the status line and the headers of a response."""
        await self._send(self._encode_head(status, headers))

    async def send_body(self, part: bytes) -> None:
        """Send a part of the response body."""
        await self._send(self._parser.send(h11.Data(data=part)))

    async def send_end(self) -> None:
        """Mark the response as complete; an empty last chunk if chunked."""
        await self._send(self._parser.send(h11.EndOfMessage()))

    async def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a complete response with its ``Content-Length``.

        The body is left out where HTTP allows none.
        """
        may_have_body = not self._is_head and status not in _BODILESS_STATUSES
        head = self._encode_head(
            status, _with_length(status, headers, body, is_head=self._is_head)
        )
        sent_body = b''
        if may_have_body:
            sent_body = self._parser.send(h11.Data(data=body)) or b''
        end = self._parser.send(h11.EndOfMessage()) or b''
        self._body.drop()
        if len(sent_body) > MAX_JOINED_BYTES:
            await self._send(head)
            await self._send(sent_body)
            await self._send(end)
        else:
            await self._send(head + sent_body + end)

    async def wait_disconnected(self) -> None:
        """Wait until the caller closes its connection or it fails.

        Pipelined requests are buffered meanwhile. A full buffer stops the
        reading, so a disconnection is no longer detected; this then waits
        until it is cancelled.
        """
        with contextlib.suppress(OSError):
            while len(self._parser.trailing_data[0]) < MAX_PIPELINED_BYTES:
                received = await self._sock.recv(MAX_RECEIVE_BYTES)
                if not received:
                    return
                self._parser.receive_data(received)
            await trio.sleep_forever()

    def close_if_idle(self) -> None:
        """Stop waiting for a next request; one in progress continues."""
        self._idle_scope.cancel()

    async def drain_unread_input(self) -> None:
        """Discard unread request bytes until the caller closes, or a timeout.

        Closing a socket with unread bytes resets the connection, and the
        caller may lose the end of its response.
        """
        with (
            contextlib.suppress(OSError),
            trio.move_on_after(UNREAD_INPUT_TIMEOUT_S),
        ):
            self._sock.shutdown(socket.SHUT_WR)
            received = b'unread'
            while received:
                received = await self._sock.recv(MAX_RECEIVE_BYTES)

    def release_memory(self) -> None:
        """Forget what was held for the connection, which closes."""
        self._body.drop()
        self._sends.drop()

    async def _send(self, raw: bytes | None) -> None:
        """Send all bytes.

        :raises CallerGoneError: the connection failed or had to give way.
        """
        await self._sends.send(raw)

    def _new_parser(self) -> h11.Connection:
        limit = self._limits().max_header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    async def _wait_first_byte(self, limits: CallerLimits) -> bool:
        """Return whether a byte arrived before the idle timeout."""
        idle = trio.move_on_after(limits.idle_timeout_s)
        self._idle_scope = idle
        received = b''
        try:
            with idle:
                received = await self._sock.recv(MAX_RECEIVE_BYTES)
        except OSError:
            return False
        if idle.cancelled_caught:
            if not self._sock.is_readable():
                return False
            # a request arrived at the moment at which the wait ended
            with contextlib.suppress(OSError):
                received = await self._sock.recv(MAX_RECEIVE_BYTES)
        self._parser.receive_data(received)
        return bool(received)

    async def _next_event(self) -> h11.Event:
        """Read the next event of the request.

        :raises BadRequestError: the bytes are not valid HTTP/1.1.
        :raises HeadersTooLargeError: the headers are over their limit.
        :raises CallerGoneError: the connection failed.
        """
        await self._turns.before_event()
        try:
            while (event := self._parser.next_event()) is h11.NEED_DATA:
                self._parser.receive_data(
                    await self._sock.recv(MAX_RECEIVE_BYTES)
                )
        except OSError as exc:
            raise CallerGoneError from exc
        except h11.RemoteProtocolError as exc:
            if exc.error_status_hint == HTTP_HEADERS_TOO_LARGE:
                raise HeadersTooLargeError(str(exc)) from exc
            raise BadRequestError(str(exc)) from exc
        return cast(h11.Event, event)

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        """Encode a response head, with ``Connection: close`` if needed."""
        self.has_sent_head = True
        self._has_frame = (
            self._parser.their_http_version != _HTTP_WITHOUT_CHUNKS
            or find_header(headers, _CONTENT_LENGTH) is not None
        )
        fields = list(headers)
        if self.closes_after_response:
            fields.append((b'connection', b'close'))
        response = h11.Response(status_code=status, headers=fields)
        return self._parser.send(response) or b''


def _body_length(head: RequestHead) -> int | None:
    """Return the length of a request's body, none if chunks tell it."""
    length = find_header(head.headers, _CONTENT_LENGTH)
    if length is not None:
        return int(length)
    is_chunked = find_header(head.headers, _TRANSFER_ENCODING) is not None
    return None if is_chunked else 0


def _peer_address(sock: trio.socket.SocketType) -> str:
    """Return the address of the caller, empty if it has left."""
    with contextlib.suppress(OSError):
        return str(sock.getpeername()[0])
    return ''


def _with_length(
    status: int, headers: Headers, body: bytes, *, is_head: bool
) -> Headers:
    """Return the headers of a complete response with its length.

    A response to HEAD keeps a length that it has: that of the body which GET
    would get.
    """
    if is_head and find_header(headers, _CONTENT_LENGTH):
        return headers
    others = tuple(pair for pair in headers if pair[0] != _CONTENT_LENGTH)
    if status == _HTTP_NO_CONTENT:
        return others
    return (*others, (_CONTENT_LENGTH, str(len(body)).encode()))


@attrs.define
class _Listener:
    """Accepts connections and serves each in a task of its own."""

    sock: trio.socket.SocketType
    limits: Callable[[], CallerLimits]
    serve_connection: Callable[[CallerConnection], Awaitable[None]]
    memory: CallerMemory
    places: ConnectionPlaces[CallerConnection]
    turns: trio.Lock = attrs.field(factory=trio.Lock, init=False)
    _accepts: trio.CancelScope = attrs.field(
        factory=trio.CancelScope, init=False
    )

    async def run(self, nursery: trio.Nursery) -> None:
        """Accept connections until ``stop``."""
        with self._accepts:
            await self._accept_all(nursery)

    def stop(self, raw: socket.socket, nursery: trio.Nursery) -> None:
        """Accept the connections that have been made, then close the socket.

        :param raw: the listening socket, not blocking.
        """
        self._accepts.cancel()
        while (accepted := _accept_now(raw)) is not None:
            nursery.start_soon(self._serve_socket, accepted)
        self.sock.close()

    async def _accept_all(self, nursery: trio.Nursery) -> None:
        while True:
            try:
                accepted, _ = await self.sock.accept()
            except OSError:
                # the peer closed before accept(), or the process is out of
                # file descriptors; both conditions are temporary
                await trio.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            nursery.start_soon(self._serve_socket, accepted)

    async def _serve_socket(self, sock: trio.socket.SocketType) -> None:
        with sock:
            _set_socket_options(sock)
            conn = CallerConnection(
                sock, self.limits, self.memory, self.places, self.turns
            )
            with (
                log_unexpected_errors('connection:failed'),
                contextlib.suppress(CallerGoneError),
                _reset_if_cut(conn, sock),
                _admitted(conn, self.places),
                conn.closing,
            ):
                await self.serve_connection(conn)


def _accept_now(raw: socket.socket) -> trio.socket.SocketType | None:
    """Accept a connection that waits for it, if there is one."""
    try:
        accepted, _ = raw.accept()
    except OSError:
        return None
    accepted.setblocking(False)
    return trio.socket.from_stdlib_socket(accepted)


@contextlib.contextmanager
def _admitted(
    conn: CallerConnection, places: ConnectionPlaces[CallerConnection]
) -> Iterator[None]:
    """Keep a connection among the open ones.

    :raises CallerGoneError: there are too many.
    """
    if not places.admit(conn):
        CALLERS_RELEASED.labels('connection').inc()
        raise CallerGoneError
    try:
        yield
    finally:
        places.remove(conn)
        conn.release_memory()


def _close_silent(conn: CallerConnection) -> None:
    """Close a connection that gives way to a new one."""
    CALLERS_RELEASED.labels('connection').inc()
    conn.closing.cancel()


@contextlib.contextmanager
def _reset_if_cut(
    conn: CallerConnection, sock: trio.socket.SocketType
) -> Iterator[None]:
    """Have a connection reset if its close would hide a cut response."""
    try:
        yield
    finally:
        if conn.hides_cut:
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_WHEN_CLOSED
                )


def _set_socket_options(sock: trio.socket.SocketType) -> None:
    """Let the kernel detect a dead caller by keep-alive and user timeout."""
    tcp = socket.IPPROTO_TCP
    with contextlib.suppress(OSError):
        sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S)
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


async def read_whole_request(
    conn: CallerConnection,
) -> tuple[RequestHead, bytes] | None:
    """Read the next request; refuse one that is outside the limits.

    :return: nothing if the connection is to close.
    :raises CallerGoneError: the connection failed.
    """
    try:
        head = await conn.read_request_head()
        if head is not None:
            return head, await conn.read_body(head)
    except BriarrillError as exc:
        conn.closes_after_response = True
        await conn.send_response(exc.http_status, (), b'')
        await conn.drain_unread_input()
    return None


@contextlib.asynccontextmanager
async def serve_callers(
    address: tuple[str, int],
    limits: Callable[[], CallerLimits],
    serve_connection: Callable[[CallerConnection], Awaitable[None]],
    bounds: CallerBounds | None = None,
) -> AsyncIterator[Callable[[], None]]:
    """Accept and serve callers until exit, which cancels open connections.

    :param serve_connection: coroutine that serves one connection.
    :param bounds: on what is held for all callers, default large ones.
    :returns: a function that accepts the connections that have been made
        and closes the listening socket.
    """
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock = trio.socket.from_stdlib_socket(raw)
    with sock:
        await sock.bind(address)
        sock.listen(LISTEN_BACKLOG)
        async with trio.open_nursery() as nursery:
            bounds = bounds or CallerBounds()
            listener = _Listener(
                sock,
                limits,
                serve_connection,
                bounds.memory,
                ConnectionPlaces(bounds.max_connections, _close_silent),
            )
            nursery.start_soon(listener.run, nursery)
            yield partial(listener.stop, raw, nursery)
            nursery.cancel_scope.cancel()
