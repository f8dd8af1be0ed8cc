"""briarrill.protocol.rpc: typed requests and replies between processes."""

import abc
import contextlib
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import attrs
import trio
from eliot import log_message

from ..errors import (
    BriarrillError,
    InternalError,
    MalformedMessageError,
    PeerUnreachableError,
)
from ..metrics import MALFORMED_MESSAGES, UNEXPECTED_ERRORS
from ..result_codes import Ran
from ..transport.zmq_socket import ZmqSocket, open_dealer, open_router
from .codec import decode, encode, error_from_failure, failure_from_error
from .messages import Failure, Message

__all__ = (
    'RequestHandlers',
    'RpcCaller',
    'RpcClient',
    'RpcPool',
    'open_rpc_pool',
    'serve_rpc',
)

DEFAULT_CALL_TIMEOUT_S = 2.0

# interval of send attempts while the connection is being established
SEND_RETRY_INTERVAL_S = 0.02

# time without calls after which a connection is closed
IDLE_CONNECTION_TIMEOUT_S = 60.0

# requests that one server handles concurrently; further ones are queued
MAX_CONCURRENT_REQUESTS = 256

RequestHandler = Callable[[Any], Awaitable[Message]]
RequestHandlers = dict[type[Message], RequestHandler]


class RpcCaller(abc.ABC):
    """Interface for sending a request to a peer by address."""

    @abc.abstractmethod
    async def call(
        self,
        host: str,
        port: int,
        request: Message,
        timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
    ) -> Message:
        """Send a request and return the reply.

        :raises PeerUnreachableError: the request could not be sent, or no
            reply came within timeout_s; ``ran`` tells which.
        :raises BriarrillError: the error that the peer replied.
        """


class RpcClient:
    """Sends concurrent requests to one peer over one socket.

    :param socket: connected dealer.
    """

    def __init__(self, socket: ZmqSocket) -> None:
        """Store the socket; calls get replies only while run() receives."""
        self._socket = socket
        self._call_numbers = itertools.count(1)
        self._pending_calls: dict[bytes, trio.MemorySendChannel[Message]] = {}

    async def run(self) -> None:
        """Receive replies until cancelled.

        Counts malformed replies and discards those of calls that timed out.
        """
        while True:
            call_id, *frames = await self._socket.receive()
            reply_channel = self._pending_calls.pop(call_id, None)
            if reply_channel is None:
                continue
            try:
                reply_channel.send_nowait(decode(frames))
            except MalformedMessageError:
                MALFORMED_MESSAGES.inc()

    async def call(self, request: Message, timeout_s: float) -> Message:
        """Send a request and return the reply.

        :raises PeerUnreachableError: no reply came within timeout_s; the
            peer may have run the request if it was sent.
        :raises BriarrillError: the error that the peer replied.
        """
        ran = Ran.NO
        call_id = str(next(self._call_numbers)).encode()
        sender, receiver = trio.open_memory_channel[Message](1)
        frames = [call_id, *encode(request)]
        self._pending_calls[call_id] = sender
        try:
            with trio.fail_after(timeout_s):
                await self._send(frames)
                ran = Ran.UNKNOWN
                reply = await receiver.receive()
        except trio.TooSlowError as exc:
            raise PeerUnreachableError(
                f'no reply to {type(request).__name__} within {timeout_s} s',
                ran=ran,
            ) from exc
        finally:
            self._pending_calls.pop(call_id, None)
        if isinstance(reply, Failure):
            raise error_from_failure(reply)
        return reply

    async def _send(self, frames: list[bytes]) -> None:
        """Send frames; retry until the connection is established."""
        while True:
            try:
                return self._socket.send(frames)
            except PeerUnreachableError:
                await trio.sleep(SEND_RETRY_INTERVAL_S)


class RpcPool(RpcCaller):
    """Pool of connections to peers, opened on first use, closed when idle.

    :param nursery: runs one receiving task for each peer.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        """Create an empty pool."""
        self._nursery = nursery
        self._connections: dict[tuple[str, int], _Connection] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def call(
        self,
        host: str,
        port: int,
        request: Message,
        timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
    ) -> Message:
        """Send a request to a peer by address and return the reply."""
        conn = self._connections.get((host, port))
        if conn is None:
            conn = _Connection(host, port)
            self._connections[host, port] = conn
            self._nursery.start_soon(self._run_connection, conn)
        conn.active_calls += 1
        try:
            client = await conn.wait_client()
            return await client.call(request, timeout_s)
        finally:
            conn.active_calls -= 1
            conn.last_used_at = trio.current_time()

    async def _run_connection(self, conn: '_Connection') -> None:
        """Open a connection, receive on it until it is idle, and close it."""
        try:
            with open_dealer(conn.host, conn.port) as socket:
                conn.client = RpcClient(socket)
                conn.open_attempted.set()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(conn.client.run)
                    await conn.wait_until_idle()
                    # no checkpoint since the wait, so no call has started
                    self._connections.pop((conn.host, conn.port))
                    nursery.cancel_scope.cancel()
        finally:
            conn.open_attempted.set()


@attrs.define(eq=False)
class _Connection:
    """A connection to one peer and its use.

    :param client: set once the connection is open.
    :param open_attempted: set when it is open or could not be opened.
    :param active_calls: calls that wait for their reply.
    """

    host: str
    port: int
    client: RpcClient | None = None
    open_attempted: trio.Event = attrs.field(factory=trio.Event)
    active_calls: int = 0
    last_used_at: float = attrs.field(factory=trio.current_time)

    async def wait_client(self) -> RpcClient:
        """Wait until the connection is open and return its client.

        :raises PeerUnreachableError: the connection could not be opened.
        """
        await self.open_attempted.wait()
        if self.client is None:
            raise PeerUnreachableError(
                f'connection to {self.host}:{self.port} was not opened'
            )
        return self.client

    async def wait_until_idle(self) -> None:
        """Wait until no call was active for IDLE_CONNECTION_TIMEOUT_S."""
        while self.active_calls or self._remaining_idle_s() > 0:
            await trio.sleep(
                max(IDLE_CONNECTION_TIMEOUT_S / 10, self._remaining_idle_s())
            )

    def _remaining_idle_s(self) -> float:
        return (
            self.last_used_at + IDLE_CONNECTION_TIMEOUT_S - trio.current_time()
        )


@contextlib.asynccontextmanager
async def open_rpc_pool() -> AsyncIterator[RpcPool]:
    """Open a connection pool; close its connections on exit."""
    failure: BriarrillError | None = None
    async with trio.open_nursery() as nursery:
        try:
            yield RpcPool(nursery)
        except BriarrillError as exc:
            # raised outside the nursery, which would wrap it in a group
            failure = exc
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure


async def serve_rpc(
    host: str,
    port: int,
    handlers: RequestHandlers,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve requests on a bound router until cancelled.

    Replies with a Failure to a malformed or unexpected request.

    :param handlers: handler coroutine by request class.
    """
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)
    with open_router(host, port) as socket:
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                envelope = await socket.receive()
                await limiter.acquire_on_behalf_of(id(envelope))
                nursery.start_soon(
                    _handle_and_reply, socket, envelope, handlers, limiter
                )


async def _handle_and_reply(
    socket: ZmqSocket,
    envelope: list[bytes],
    handlers: RequestHandlers,
    limiter: trio.CapacityLimiter,
) -> None:
    """Handle a request and send the reply, unless disconnected."""
    try:
        reply = await _handle_request(envelope, handlers)
    finally:
        limiter.release_on_behalf_of(id(envelope))
    with contextlib.suppress(PeerUnreachableError):
        socket.send([*envelope[:2], *encode(reply)])


async def _handle_request(
    envelope: list[bytes], handlers: RequestHandlers
) -> Message:
    """Return the handler's reply, or a Failure for its error."""
    try:
        request = decode(envelope[2:])
        request_handler = handlers.get(type(request))
        if request_handler is None:
            raise MalformedMessageError(f'unexpected {type(request)}')
        return await request_handler(request)
    except MalformedMessageError as exc:
        MALFORMED_MESSAGES.inc()
        return failure_from_error(exc)
    except BriarrillError as exc:
        return failure_from_error(exc)
    except Exception as exc:
        # an error of one request must not stop the server
        UNEXPECTED_ERRORS.inc()
        log_message('rpc:failed', reason=repr(exc))
        return failure_from_error(InternalError(repr(exc)))
