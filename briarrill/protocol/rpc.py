"""briarrill.protocol.rpc: typed requests with replies between processes."""

import abc
import contextlib
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

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
    """Connections to peers, opened on first use.

    :param nursery: runs one receiving task for each peer.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        """Start without connections."""
        self._nursery = nursery
        self._clients: dict[tuple[str, int], RpcClient] = {}

    async def call(
        self,
        host: str,
        port: int,
        request: Message,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> Message:
        """Send a request to a peer by address and return the reply."""
        client = self._clients.get((host, port))
        if client is None:
            client = await self._nursery.start(self._run_peer, host, port)
        return await client.call(request, timeout_s)

    async def _run_peer(
        self,
        host: str,
        port: int,
        task_status: trio.TaskStatus[RpcClient] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with open_dealer(host, port) as socket:
            client = RpcClient(socket)
            self._clients[host, port] = client
            task_status.started(client)
            await client.run()


@contextlib.asynccontextmanager
async def open_rpc_pool() -> AsyncIterator[RpcPool]:
    """Open a pool of connections and close them on exit."""
    async with trio.open_nursery() as nursery:
        yield RpcPool(nursery)
        nursery.cancel_scope.cancel()


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
