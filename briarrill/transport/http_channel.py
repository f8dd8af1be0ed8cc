"""briarrill.transport.http_channel: kept connections to HTTP/1.1 servers.

A channel carries one request at a time and hands the answer on as it comes.
It tells an answer that ended from one that was cut.
"""

import contextlib
import socket
import time
from collections.abc import AsyncIterator, Callable
from typing import cast

import attrs
import h11
import trio

from ..errors import PeerUnreachableError, UpstreamLostError
from .http_messages import AnswerHead, RequestHead, find_header
from .task_errors import single_error

__all__ = ('ChannelPool', 'HttpChannel', 'connect')

# bytes taken from the socket at once
RECEIVE_BYTES = 65_536

# bytes that a server certainly takes while it already answers
SMALL_BODY_BYTES = 4096

# sent bytes that stay unacknowledged this long end the connection; a live
# peer acknowledges within a round trip
USER_TIMEOUT_MS = 1000

# silence before the first probe, between probes, and probes that may fail
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2

# part of the server's own idle timeout for which a channel is kept
KEPT_SHARE = 0.6

# idle time for which a channel is kept when the server names none
DEFAULT_IDLE_S = 2.0

# idle channels that are kept for each server
MAX_IDLE = 32


def _set_options(sock: trio.socket.SocketType) -> None:
    """Detect a silent peer by the kernel's own means."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def connect(address: tuple[str, int], timeout_s: float) -> 'HttpChannel':
    """Open a channel.

    :raises PeerUnreachableError: nothing was sent.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        with trio.fail_after(timeout_s):
            await sock.connect(address)
        _set_options(sock)
    except (OSError, trio.TooSlowError) as exc:
        sock.close()
        raise PeerUnreachableError(f'{address}: {exc!r}') from exc
    except BaseException:
        sock.close()
        raise
    return HttpChannel(sock)


class HttpChannel:
    """A connection to a server; the caller closes it.

    :param sock: connected socket.
    """

    def __init__(self, sock: trio.socket.SocketType) -> None:
        """Start idle."""
        self._sock = sock
        self._http = h11.Connection(h11.CLIENT)
        self._request: tuple[h11.Request, bytes] | None = None
        self._sent_whole = True
        self._idle_s = DEFAULT_IDLE_S
        self._idle_since = time.monotonic()

    @property
    def is_reusable(self) -> bool:
        """Whether the exchange ended so that another may follow."""
        states = (self._http.our_state, self._http.their_state)
        extra, has_closed = self._http.trailing_data
        if extra or has_closed or not self._sent_whole:
            return False
        return states == (h11.DONE, h11.DONE)

    @property
    def is_fresh(self) -> bool:
        """Whether an idle channel may carry a request.

        A server that closed it, or sent bytes that nobody asked for, has
        made it readable.
        """
        idle_s = time.monotonic() - self._idle_since
        return idle_s < self._idle_s and not self._sock.is_readable()

    def begin_again(self) -> None:
        """Become idle after an exchange that ended well."""
        self._http.start_next_cycle()
        self._request = None
        self._idle_since = time.monotonic()

    @contextlib.asynccontextmanager
    async def exchange(
        self, head: RequestHead, body: bytes
    ) -> AsyncIterator[None]:
        """Send a request; the answer is read inside the context.

        A long body is sent while the answer is read, since a server may
        answer before it has taken the body.

        :raises UpstreamLostError: the request was not sent whole.
        """
        raw = self._encode(head, body)
        if len(raw) <= SMALL_BODY_BYTES:
            await self._send(raw)
            yield
            return
        self._sent_whole = False
        with single_error():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_long, raw)
                yield
                nursery.cancel_scope.cancel()

    async def read_head(
        self, is_own: Callable[[AnswerHead], bool] | None = None
    ) -> AnswerHead:
        """Return the head of the answer.

        :param is_own: tells an answer to this request from a late one to a
            request before it, which is skipped; default all are.
        :raises UpstreamLostError: the connection ended, or the bytes are no
            answer.
        """
        while True:
            event = await self._next_event()
            if not isinstance(event, h11.Response):
                continue
            head = AnswerHead(event.status_code, tuple(event.headers))
            if is_own is None or is_own(head):
                self._note_idle_time(head)
                return head
            await self._skip_answer()

    async def read_body(self) -> bytes | None:
        """Return the next bytes of the body, or nothing at its end.

        :raises UpstreamLostError: the answer was cut.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None

    async def read_whole_body(self, max_bytes: int) -> bytes:
        """Return the whole body.

        :raises UpstreamLostError: the answer was cut, or is too long.
        """
        parts = []
        size = 0
        while (part := await self.read_body()) is not None:
            size += len(part)
            if size > max_bytes:
                raise UpstreamLostError(f'an answer over {max_bytes} bytes')
            parts.append(part)
        return b''.join(parts)

    def close(self) -> None:
        """Close the connection; a running request is cancelled by it."""
        self._sock.close()

    def _encode(self, head: RequestHead, body: bytes) -> bytes:
        request = h11.Request(
            method=head.method, target=head.target, headers=list(head.headers)
        )
        self._request = (request, body)
        return self._advance(self._http)

    def _advance(self, http: h11.Connection) -> bytes:
        """Return the bytes of the request and expect its answer."""
        if self._request is None:
            raise UpstreamLostError('an answer without a request')
        request, body = self._request
        parts = [http.send(request)]
        if body:
            parts.append(http.send(h11.Data(data=body)))
        parts.append(http.send(h11.EndOfMessage()))
        return b''.join(part for part in parts if part)

    async def _send_long(self, raw: bytes) -> None:
        with contextlib.suppress(UpstreamLostError):
            await self._send(raw)
            self._sent_whole = True

    async def _send(self, raw: bytes) -> None:
        view = memoryview(raw)
        try:
            while view:
                view = view[await self._sock.send(view) :]
        except OSError as exc:
            raise UpstreamLostError(f'sending: {exc!r}') from exc

    async def _next_event(self) -> h11.Event:
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                self._http.receive_data(await self._sock.recv(RECEIVE_BYTES))
        except (OSError, h11.RemoteProtocolError) as exc:
            raise UpstreamLostError(f'receiving: {exc!r}') from exc
        if event is h11.PAUSED:
            raise UpstreamLostError('bytes after the answer')
        if isinstance(event, h11.ConnectionClosed):
            raise UpstreamLostError('closed without an answer')
        return cast(h11.Event, event)

    async def _skip_answer(self) -> None:
        """Read a late answer and expect the next one."""
        part: bytes | None = b''
        while part is not None:
            part = await self.read_body()
        extra, has_closed = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        self._advance(self._http)
        if extra:
            self._http.receive_data(extra)
        if has_closed:
            raise UpstreamLostError('closed after a late answer')

    def _note_idle_time(self, head: AnswerHead) -> None:
        """Take the server's own idle timeout, if it names one."""
        named = find_header(head.headers, b'keep-alive') or b''
        _, _, text = named.partition(b'timeout=')
        digits = text.split(b',')[0].strip()
        if digits.isdigit():
            self._idle_s = int(digits) * KEPT_SHARE


@attrs.define
class ChannelPool:
    """Idle channels by server.

    :param connect_timeout_s: wait for a new connection.
    """

    connect_timeout_s: float
    _idle: dict[str, list[HttpChannel]] = attrs.field(factory=dict)

    async def take(self, server: str, address: tuple[str, int]) -> HttpChannel:
        """Return an idle channel, or a new one.

        :param server: names one incarnation of a server.
        :raises PeerUnreachableError: nothing was sent.
        """
        idle = self._idle.get(server, [])
        while idle:
            channel = idle.pop()
            if channel.is_fresh:
                return channel
            channel.close()
        return await connect(address, self.connect_timeout_s)

    def put_back(self, server: str, channel: HttpChannel) -> None:
        """Keep a channel whose exchange ended well; close others."""
        idle = self._idle.setdefault(server, [])
        if not channel.is_reusable or len(idle) >= MAX_IDLE:
            channel.close()
            return
        channel.begin_again()
        idle.append(channel)

    def forget(self, server: str) -> None:
        """Close the idle channels of a server that has left."""
        for channel in self._idle.pop(server, []):
            channel.close()

    def close(self) -> None:
        """Close all idle channels."""
        for server in list(self._idle):
            self.forget(server)
