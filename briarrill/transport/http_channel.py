"""briarrill.transport.http_channel: persistent HTTP/1.1 client connections.

A channel carries one request at a time and yields the response body as it
arrives. Reading a truncated response raises.
"""

import contextlib
import socket
import time
from collections.abc import AsyncIterator, Callable
from typing import cast

import attrs
import h11
import trio

from ..decoding import find_whole_number
from ..errors import (
    PeerSilentError,
    PeerUnreachableError,
    ResponseTooLargeError,
    UpstreamLostError,
)
from .delivery import why_undelivered
from .http_messages import (
    RequestHead,
    ResponseHead,
    find_header,
    holds_status_line,
    is_valid_status,
)
from .task_errors import unwrap_single_error
from .turns import Turns

__all__ = ('ChannelPool', 'HttpChannel', 'connect')

# largest read from a socket
MAX_RECEIVE_BYTES = 65_536

# a request of at most this size fits into the socket buffers, so it can be
# sent whole before the response is read
MAX_INLINE_REQUEST_BYTES = 4096

# the kernel drops a connection whose sent bytes stay unacknowledged, or find
# the window of the peer full, for this long; a sound one may read nothing for
# about a second
TCP_USER_TIMEOUT_MS = 2000

# TCP keep-alive: idle time before the first probe, interval of probes, and
# unacknowledged probes after which the connection is dropped
TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2

# fraction of the server's idle timeout for which an idle channel is reused,
# so that no request is sent while the server closes the connection
IDLE_TIMEOUT_FRACTION = 0.6

# idle timeout of a channel whose server sends no Keep-Alive timeout
DEFAULT_IDLE_TIMEOUT_S = 2.0

# heads that are read for one response: interim ones, and those of late
# responses to earlier requests
MAX_HEADS = 32

# requests of one channel; bounds the identifiers that it remembers
MAX_REQUESTS = 1000

# bytes of a body after which other tasks get their turn: they may hold one
# event for each three bytes
MAX_PIECE_BYTES = 8192

# idle channels per server
MAX_IDLE_CHANNELS = 32


def _set_socket_options(sock: trio.socket.SocketType) -> None:
    """Let the kernel detect a dead peer by keep-alive and user timeout."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


async def connect(address: tuple[str, int], timeout_s: float) -> 'HttpChannel':
    """Connect to a server.

    :raises PeerSilentError: the connection timed out; no request was sent.
    :raises PeerUnreachableError: it failed; no request was sent.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        with trio.fail_after(timeout_s):
            await sock.connect(address)
        _set_socket_options(sock)
    except trio.TooSlowError as exc:
        sock.close()
        raise PeerSilentError(f'{address}: {exc!r}') from exc
    except OSError as exc:
        sock.close()
        raise PeerUnreachableError(f'{address}: {exc!r}') from exc
    except BaseException:
        sock.close()
        raise
    return HttpChannel(sock)


class HttpChannel:
    """Client side of one connection to a server; the caller closes it.

    :param sock: connected socket.
    :ivar request_ids: identifiers of its requests, which late copies of their
        responses have too.
    :ivar opened_at: monotonic time of the connection.
    :ivar is_registered_process: whether the expected process is behind the
        connection; None until that was checked.
    :ivar status_head: head of the reply by which it was checked, if any.
    """

    def __init__(self, sock: trio.socket.SocketType) -> None:
        """Wrap the socket without a request in flight."""
        self.request_ids: set[str] = set()
        self.is_registered_process: bool | None = None
        self.status_head: ResponseHead | None = None
        self.opened_at = time.monotonic()
        self._sock = sock
        self._parser = h11.Connection(h11.CLIENT)
        self._request: tuple[h11.Request, bytes] | None = None
        self._sent_requests = 0
        self._is_request_sent = True
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._idle_since = time.monotonic()
        self._turns = Turns()
        self._unread_bytes = b''

    @property
    def is_kept(self) -> bool:
        """Whether a request was sent before the current one."""
        return self._sent_requests > 1

    @property
    def is_reusable(self) -> bool:
        """Whether the last exchange ended and the connection stays open."""
        states = (self._parser.our_state, self._parser.their_state)
        trailing_bytes, has_closed = self._parser.trailing_data
        if trailing_bytes or has_closed or not self._is_request_sent:
            return False
        if len(self.request_ids) >= MAX_REQUESTS:
            return False
        return states == (h11.DONE, h11.DONE)

    @property
    def is_usable(self) -> bool:
        """Whether an idle channel can carry the next request.

        An idle socket is readable only if the server closed it or sent bytes
        that belong to no response.
        """
        idle_s = time.monotonic() - self._idle_since
        return idle_s < self._idle_timeout_s and not self._sock.is_readable()

    def reset_after_exchange(self) -> None:
        """Prepare for the next request; requires that ``is_reusable``."""
        self._parser.start_next_cycle()
        self._request = None
        self._idle_since = time.monotonic()

    @contextlib.asynccontextmanager
    async def exchange(
        self, head: RequestHead, body: bytes
    ) -> AsyncIterator[None]:
        """Send a request; the response is read inside the context.

        A long request is sent while the response is read, since a server
        may respond before it has read the body.

        :raises UpstreamLostError: a short request could not be sent.
        """
        raw = self._start_request(head, body)
        if len(raw) <= MAX_INLINE_REQUEST_BYTES:
            await self._send(raw)
            yield
            return
        self._is_request_sent = False
        with unwrap_single_error():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_in_background, raw)
                yield
                nursery.cancel_scope.cancel()

    async def read_head(
        self, is_expected: Callable[[ResponseHead], bool] | None = None
    ) -> ResponseHead:
        """Read the status and headers of the response.

        :param is_expected: returns whether a response belongs to this request;
            any other is a late response to an earlier one and is discarded.
            By default every response belongs to it.
        :raises UpstreamLostError: the connection ended, or the bytes are not
            a valid response.
        """
        for _ in range(MAX_HEADS):
            event = await self._next_event()
            if not isinstance(event, h11.Response):
                continue
            head = _response_head(event)
            if is_expected is None or is_expected(head):
                self._set_idle_timeout(head)
                return head
            await self._discard_late_response()
        raise UpstreamLostError(
            f'none of {MAX_HEADS} response heads is that of the response'
        )

    async def read_body(self) -> bytes | None:
        """Return the next bytes of the body, or None at its end.

        :raises UpstreamLostError: the response was truncated.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None

    async def read_piece(self) -> bytes | None:
        """Return the next few bytes of the body, or None at its end.

        Other tasks get their turn between two of them, however long each
        takes its reader. It is not mixed with other ways to read the body.

        :raises UpstreamLostError: the response was truncated.
        """
        if self._unread_bytes:
            await trio.lowlevel.checkpoint()
        else:
            self._unread_bytes = await self.read_body() or b''
        piece = self._unread_bytes[:MAX_PIECE_BYTES]
        self._unread_bytes = self._unread_bytes[MAX_PIECE_BYTES:]
        return piece or None

    async def read_full_body(self, max_bytes: int) -> bytes:
        """Read the whole response body.

        :raises UpstreamLostError: the response was truncated.
        :raises ResponseTooLargeError: its body is over ``max_bytes``.
        """
        parts = []
        size = 0
        while (part := await self.read_body()) is not None:
            size += len(part)
            if size > max_bytes:
                raise ResponseTooLargeError(
                    f'response body is over {max_bytes} bytes'
                )
            parts.append(part)
        return b''.join(parts)

    def close(self) -> None:
        """Close the connection, which also cancels a request in flight."""
        self._sock.close()

    def _start_request(self, head: RequestHead, body: bytes) -> bytes:
        """Set the current request and return its bytes."""
        request = h11.Request(
            method=head.method, target=head.target, headers=list(head.headers)
        )
        self._request = (request, body)
        self._sent_requests += 1
        return self._encode_current_request(self._parser)

    def _encode_current_request(self, parser: h11.Connection) -> bytes:
        """Encode the current request with a parser that awaits the response.

        :raises UpstreamLostError: no request was set.
        """
        if self._request is None:
            raise UpstreamLostError('response received without a request')
        request, body = self._request
        parts = [parser.send(request)]
        if body:
            parts.append(parser.send(h11.Data(data=body)))
        parts.append(parser.send(h11.EndOfMessage()))
        return b''.join(part for part in parts if part)

    async def _send_in_background(self, raw: bytes) -> None:
        """Send a request; a failure shows when the response is read."""
        with contextlib.suppress(UpstreamLostError):
            await self._send(raw)
            self._is_request_sent = True

    async def _send(self, raw: bytes) -> None:
        """Send all bytes.

        :raises UpstreamLostError: the connection failed.
        """
        unsent = memoryview(raw)
        try:
            while unsent:
                unsent = unsent[await self._sock.send(unsent) :]
        except OSError as exc:
            raise UpstreamLostError(
                f'sending the request failed: {exc!r}'
            ) from exc

    async def _next_event(self) -> h11.Event:
        """Read the next event of the response.

        :raises UpstreamLostError: the connection failed or ended, or the
            bytes are not valid.
        """
        await self._turns.before_event()
        try:
            while (event := self._parser.next_event()) is h11.NEED_DATA:
                self._parser.receive_data(await self._receive())
        except (OSError, h11.RemoteProtocolError) as exc:
            raise UpstreamLostError(
                f'receiving the response failed: {exc!r}'
            ) from exc
        if event is h11.PAUSED:
            raise UpstreamLostError('bytes received after the response')
        if isinstance(event, h11.ConnectionClosed):
            raise UpstreamLostError('connection closed before the response')
        return cast(h11.Event, event)

    async def _receive(self) -> bytes:
        """Return the next bytes, empty if the server closed the connection.

        A response that ends with its connection is whole only if the server
        received the request. The kernel reports a reset once; if the sender
        got it, the connection looks closed here.

        :raises OSError: the connection failed, or was closed before the
            server received the request.
        """
        received = await self._sock.recv(MAX_RECEIVE_BYTES)
        if received:
            return received
        # a sender whose bytes the kernel accepted may not have run since
        await trio.lowlevel.checkpoint()
        why = why_undelivered(self._sock)
        if why or not self._is_request_sent:
            raise ConnectionResetError(
                f'closed before the request: {why or "unsent bytes"}'
            )
        return received

    async def _discard_late_response(self) -> None:
        """Discard a late response and let the parser await the next one.

        :raises UpstreamLostError: the connection ended after the response.
        """
        part: bytes | None = b''
        while part is not None:
            part = await self.read_body()
        trailing_bytes, has_closed = self._parser.trailing_data
        self._parser = h11.Connection(h11.CLIENT)
        self._encode_current_request(self._parser)
        if trailing_bytes:
            self._parser.receive_data(trailing_bytes)
        if has_closed:
            raise UpstreamLostError('connection closed after a late response')

    def _set_idle_timeout(self, head: ResponseHead) -> None:
        """Set the idle timeout from the server's ``Keep-Alive`` header."""
        keep_alive = find_header(head.headers, b'keep-alive') or b''
        _, _, text = keep_alive.partition(b'timeout=')
        timeout_s = find_whole_number(text.split(b',')[0].strip())
        if timeout_s is not None:
            self._idle_timeout_s = timeout_s * IDLE_TIMEOUT_FRACTION


def _response_head(event: h11.Response) -> ResponseHead:
    """Return the head that was parsed.

    :raises UpstreamLostError: it holds that of another response, too, or its
        status is invalid.
    """
    head = ResponseHead(event.status_code, tuple(event.headers))
    if not is_valid_status(head.status):
        raise UpstreamLostError(f'{head.status} is no valid status')
    if holds_status_line(event.reason, head.headers):
        raise UpstreamLostError(
            'a response head was cut and followed by another one'
        )
    return head


@attrs.define
class ChannelPool:
    """Pool of idle channels by server.

    :param connect_timeout_s: timeout of a new connection.
    """

    connect_timeout_s: float
    _idle: dict[str, list[HttpChannel]] = attrs.field(factory=dict)

    async def acquire(
        self, server: str, address: tuple[str, int], request_id: str = ''
    ) -> HttpChannel:
        """Return a usable idle channel of a server, or a new one.

        :param server: key of one incarnation of a server.
        :param request_id: identifier of the next request, if it has one. No
            channel is used that carried one with the same.
        :raises PeerUnreachableError: the connection failed or timed out; no
            request was sent.
        """
        channel = self._pop_usable(self._idle.get(server, []), request_id)
        if channel is None:
            channel = await connect(address, self.connect_timeout_s)
        if request_id:
            channel.request_ids.add(request_id)
        return channel

    def pop_idle(self, server: str) -> HttpChannel | None:
        """Return a usable idle channel of a server, if there is one."""
        return self._pop_usable(self._idle.get(server, []), '')

    def release(self, server: str, channel: HttpChannel) -> None:
        """Return a channel to the pool.

        It is closed instead if it is not reusable or the pool is full.
        """
        idle = self._idle.setdefault(server, [])
        if not channel.is_reusable or len(idle) >= MAX_IDLE_CHANNELS:
            channel.close()
            return
        channel.reset_after_exchange()
        idle.append(channel)

    def close_server(self, server: str) -> None:
        """Close the idle channels of a server that left the fleet."""
        for channel in self._idle.pop(server, []):
            channel.close()

    def close(self) -> None:
        """Close all idle channels; those in use are not in the pool."""
        for server in list(self._idle):
            self.close_server(server)

    def _pop_usable(
        self, idle: list[HttpChannel], request_id: str
    ) -> HttpChannel | None:
        """Return the newest usable channel; close those that are not."""
        repeated: list[HttpChannel] = []
        found = None
        while idle and found is None:
            channel = idle.pop()
            if request_id in channel.request_ids:
                repeated.append(channel)
            elif channel.is_usable:
                found = channel
            else:
                channel.close()
        idle.extend(repeated)
        return found
