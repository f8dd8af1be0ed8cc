"""briarrill.protocol.rpc: typed requests with replies between processes."""

import abc
import contextlib
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import attrs
import trio

from ..errors import (
    BriarrillError,
    MalformedMessageError,
    PeerUnreachableError,
)
from ..metrics import MALFORMED_MESSAGES
from ..transport.zmq_socket import ZmqSocket, open_dealer, open_router
from .codec import decode, encode, error_from, failure_from
from .messages import Failure, Message

__all__ = (
    'HandlerTable',
    'RpcCaller',
    'RpcClient',
    'RpcPool',
    'open_rpc_pool',
    'serve_rpc',
)

DEFAULT_TIMEOUT_S = 2.0

# wait between attempts to send while the connection is being made
CONNECT_POLL_S = 0.02

# a connection that carried no call for this long is closed
IDLE_S = 60.0

# requests that one server answers at the same time
MAX_CONCURRENT_REQUESTS = 256

RequestHandler = Callable[[Any], Awaitable[Message]]
HandlerTable = dict[type[Message], RequestHandler]


class RpcCaller(abc.ABC):
    """Sends a request to a peer by address."""

    @abc.abstractmethod
    async def call(
        self,
        host: str,
        port: int,
        request: Message,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> Message:
        """Send a request and return the reply.

        :raises PeerUnreachableError: not sent, or no reply in time.
        :raises BriarrillError: the peer's own refusal.
        """


class RpcClient:
    """Requests to one peer, several at a time.

    :param socket: connected dealer.
    """

    def __init__(self, socket: ZmqSocket) -> None:
        """Keep the socket; :meth:`run` receives on it."""
        self._socket = socket
        self._numbers = itertools.count(1)
        self._waiting: dict[bytes, trio.MemorySendChannel[Message]] = {}

    async def run(self) -> None:
        """Receive replies until cancelled."""
        while True:
            call_id, *frames = await self._socket.receive()
            waiting = self._waiting.pop(call_id, None)
            if waiting is None:
                continue
            try:
                waiting.send_nowait(decode(frames))
            except MalformedMessageError:
                MALFORMED_MESSAGES.inc()

    async def call(self, request: Message, timeout_s: float) -> Message:
        """Send a request and return the reply."""
        call_id = str(next(self._numbers)).encode()
        sender, receiver = trio.open_memory_channel[Message](1)
        frames = [call_id, *encode(request)]
        self._waiting[call_id] = sender
        try:
            with trio.fail_after(timeout_s):
                await self._send(frames)
                reply = await receiver.receive()
        except trio.TooSlowError as exc:
            raise PeerUnreachableError(
                f'no reply to {type(request).__name__}'
            ) from exc
        finally:
            self._waiting.pop(call_id, None)
        if isinstance(reply, Failure):
            raise error_from(reply)
        return reply

    async def _send(self, frames: list[bytes]) -> None:
        while True:
            try:
                return self._socket.send(frames)
            except PeerUnreachableError:
                await trio.sleep(CONNECT_POLL_S)


class RpcPool(RpcCaller):
    """Connections to peers, opened on first use and closed when idle.

    :param nursery: runs one receiving task for each peer.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        """Start without connections."""
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
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> Message:
        """Send a request to a peer by address and return the reply."""
        conn = self._connections.get((host, port))
        if conn is None:
            conn = _Connection(host, port)
            self._connections[host, port] = conn
            self._nursery.start_soon(self._run, conn)
        conn.calls += 1
        try:
            client = await conn.wait_client()
            return await client.call(request, timeout_s)
        finally:
            conn.calls -= 1
            conn.used_at = trio.current_time()

    async def _run(self, conn: '_Connection') -> None:
        """Receive on a connection until it is idle."""
        try:
            with open_dealer(conn.host, conn.port) as socket:
                conn.client = RpcClient(socket)
                conn.opened.set()
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(conn.client.run)
                    await conn.wait_idle()
                    # no checkpoint since the connection was seen idle
                    self._connections.pop((conn.host, conn.port))
                    nursery.cancel_scope.cancel()
        finally:
            conn.opened.set()


@attrs.define(eq=False)
class _Connection:
    """The connection to one peer, once it is open."""

    host: str
    port: int
    client: RpcClient | None = None
    opened: trio.Event = attrs.field(factory=trio.Event)
    calls: int = 0
    used_at: float = attrs.field(factory=trio.current_time)

    async def wait_client(self) -> RpcClient:
        """Wait until the connection is open."""
        await self.opened.wait()
        if self.client is None:
            raise PeerUnreachableError('the connection was not opened')
        return self.client

    async def wait_idle(self) -> None:
        """Wait until no call was made for a while."""
        while self.calls or self._idle_left_s() > 0:
            await trio.sleep(max(IDLE_S / 10, self._idle_left_s()))

    def _idle_left_s(self) -> float:
        return self.used_at + IDLE_S - trio.current_time()


@contextlib.asynccontextmanager
async def open_rpc_pool() -> AsyncIterator[RpcPool]:
    """Open a pool of connections and close them on exit."""
    failure: BriarrillError | None = None
    async with trio.open_nursery() as nursery:
        try:
            yield RpcPool(nursery)
        except BriarrillError as exc:
            # raised outside, or the nursery would wrap it in a group
            failure = exc
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure


async def serve_rpc(
    host: str,
    port: int,
    handlers: HandlerTable,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Answer requests until cancelled.

    :param handlers: request class to the coroutine that answers it.
    """
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)
    with open_router(host, port) as socket:
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                envelope = await socket.receive()
                await limiter.acquire_on_behalf_of(id(envelope))
                nursery.start_soon(
                    _answer, socket, envelope, handlers, limiter
                )


async def _answer(
    socket: ZmqSocket,
    envelope: list[bytes],
    handlers: HandlerTable,
    limiter: trio.CapacityLimiter,
) -> None:
    try:
        reply = await _reply_to(envelope, handlers)
    finally:
        limiter.release_on_behalf_of(id(envelope))
    with contextlib.suppress(PeerUnreachableError):
        socket.send([*envelope[:2], *encode(reply)])


async def _reply_to(envelope: list[bytes], handlers: HandlerTable) -> Message:
    try:
        request = decode(envelope[2:])
        answer = handlers.get(type(request))
        if answer is None:
            raise MalformedMessageError(f'unexpected {type(request)}')
        return await answer(request)
    except MalformedMessageError as exc:
        MALFORMED_MESSAGES.inc()
        return failure_from(exc)
    except BriarrillError as exc:
        return failure_from(exc)
