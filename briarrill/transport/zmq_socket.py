"""briarrill.transport.zmq_socket: ZeroMQ sockets under trio.

ZeroMQ's descriptor is edge-triggered: any call on the socket, a send
included, may consume the edge that a waiting receiver needs. So each send
reads the socket's event flags afterwards and wakes the receiver.
"""

import contextlib
from collections.abc import Iterator, Sequence

import trio
import zmq

from ..errors import PeerBusyError, PeerUnreachableError
from .curve import secure_socket

__all__ = ('ZmqSocket', 'open_dealer', 'open_router')

# messages that a socket queues for one peer before sends are refused
SEND_QUEUE_MESSAGES = 2000

# first and longest wait between attempts to connect
RECONNECT_MS = 50
MAX_RECONNECT_MS = 1000

# messages that are received before other tasks get a turn
MESSAGES_PER_TURN = 16


class ZmqSocket:
    """A ZeroMQ socket with one receiving task and non-blocking sends.

    :param zsock: the connected or bound ZeroMQ socket.
    """

    def __init__(self, zsock: zmq.Socket[bytes]) -> None:
        """Wrap the socket; :func:`open_dealer` closes what it opens."""
        self._zsock = zsock
        self._fd: int = zsock.FD
        self._receive_scope: trio.CancelScope | None = None
        self._received = 0

    @property
    def is_writable(self) -> bool:
        """Whether a message would be taken now: the peer is connected."""
        events = int(self._zsock.get(zmq.EVENTS))
        self._wake_receiver()
        return bool(events & zmq.POLLOUT)

    async def receive(self) -> list[bytes]:
        """Wait for the next message and return its frames.

        Only one task may receive at a time. Other tasks get a turn when no
        message waits, or after some messages.
        """
        await self._take_turn()
        while True:
            try:
                return self._zsock.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                await self._wait_readable()

    def send(self, frames: Sequence[bytes]) -> None:
        """Queue a message or refuse it at once.

        :raises PeerBusyError: the peer's queue is full, or no peer is
            connected to a dealer; the message was not sent.
        :raises PeerUnreachableError: a router does not know the peer; the
            message was not sent.
        """
        try:
            self._zsock.send_multipart(frames, zmq.NOBLOCK)
        except zmq.Again as exc:
            raise PeerBusyError('not sent: the queue is full') from exc
        except zmq.ZMQError as exc:
            raise PeerUnreachableError(f'not sent: {exc}') from exc
        finally:
            self._wake_receiver()

    async def _take_turn(self) -> None:
        self._received = (self._received + 1) % MESSAGES_PER_TURN
        if self._received:
            await trio.lowlevel.checkpoint_if_cancelled()
        else:
            await trio.lowlevel.checkpoint()

    async def _wait_readable(self) -> None:
        with trio.CancelScope() as scope:
            self._receive_scope = scope
            await trio.lowlevel.wait_readable(self._fd)
        self._receive_scope = None

    def _wake_receiver(self) -> None:
        scope = self._receive_scope
        if scope is None:
            return
        if int(self._zsock.get(zmq.EVENTS)) & zmq.POLLIN:
            scope.cancel()


@contextlib.contextmanager
def open_dealer(host: str, port: int) -> Iterator[ZmqSocket]:
    """Connect to a router and close the connection on exit.

    Messages are refused while the peer is down instead of being kept for
    its successor, so nothing stale is delivered after a restart.
    """
    with _open_socket(zmq.DEALER) as zsock:
        zsock.setsockopt(zmq.IMMEDIATE, 1)
        secure_socket(zsock, is_server=False)
        zsock.connect(f'tcp://{host}:{port}')
        yield ZmqSocket(zsock)


@contextlib.contextmanager
def open_router(host: str, port: int) -> Iterator[ZmqSocket]:
    """Bind a router and close it on exit."""
    with _open_socket(zmq.ROUTER) as zsock:
        zsock.setsockopt(zmq.ROUTER_MANDATORY, 1)
        secure_socket(zsock, is_server=True)
        zsock.bind(f'tcp://{host}:{port}')
        yield ZmqSocket(zsock)


@contextlib.contextmanager
def _open_socket(kind: int) -> Iterator[zmq.Socket[bytes]]:
    """Create a socket with the options of both kinds; close it on exit."""
    zsock: zmq.Socket[bytes] = zmq.Context.instance().socket(kind)
    zsock.setsockopt(zmq.LINGER, 0)
    zsock.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
    zsock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    zsock.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
    try:
        yield zsock
    finally:
        zsock.close()
