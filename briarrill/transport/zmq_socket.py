"""briarrill.transport.zmq_socket: ZeroMQ sockets under trio.

ZeroMQ's file descriptor is edge-triggered: any call on the socket, also a
send, may consume the edge that a waiting receiver needs. Each send therefore
checks the socket's event flags afterwards and wakes the receiver.
"""

import contextlib
from collections.abc import Iterator, Sequence

import trio
import zmq

from ..errors import PeerBusyError, PeerUnreachableError
from .curve import secure_socket

__all__ = ('ZmqSocket', 'open_dealer', 'open_router')

# messages queued for one peer above which sends raise PeerBusyError
MAX_QUEUED_MESSAGES = 2000

# first and longest delay between connection attempts
MIN_RECONNECT_DELAY_MS = 50
MAX_RECONNECT_DELAY_MS = 1000

# received messages after which other tasks are scheduled
MESSAGES_PER_CHECKPOINT = 16


class ZmqSocket:
    """A ZeroMQ socket with one receiving task and non-blocking sends.

    :param zsock: connected or bound ZeroMQ socket.
    """

    def __init__(self, zsock: zmq.Socket[bytes]) -> None:
        """Wrap the socket; the code that opened it closes it."""
        self._zsock = zsock
        self._fd: int = zsock.FD
        self._receive_scope: trio.CancelScope | None = None
        self._received_since_checkpoint = 0

    @property
    def is_writable(self) -> bool:
        """Whether a send would queue its message: the peer is connected."""
        events = int(self._zsock.get(zmq.EVENTS))
        self._wake_receiver()
        return bool(events & zmq.POLLOUT)

    async def receive(self) -> list[bytes]:
        """Wait for the next message and return its frames.

        Only one task may receive at a time. Other tasks are scheduled when
        no message is queued, or after ``MESSAGES_PER_CHECKPOINT`` messages.
        """
        await self._checkpoint()
        while True:
            try:
                return self._zsock.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                await self._wait_readable()

    def send(self, frames: Sequence[bytes]) -> None:
        """Queue a message without blocking, or raise.

        :raises PeerBusyError: the peer's queue is full, or a dealer has no
            connected peer; the message was not queued.
        :raises PeerUnreachableError: a router has no connection of the peer;
            the message was not queued.
        """
        try:
            self._zsock.send_multipart(frames, zmq.NOBLOCK)
        except zmq.Again as exc:
            raise PeerBusyError(
                'message not sent: send queue is full or no peer is connected'
            ) from exc
        except zmq.ZMQError as exc:
            raise PeerUnreachableError(f'message not sent: {exc}') from exc
        finally:
            self._wake_receiver()

    async def _checkpoint(self) -> None:
        """Schedule other tasks once per ``MESSAGES_PER_CHECKPOINT`` calls."""
        self._received_since_checkpoint = (
            self._received_since_checkpoint + 1
        ) % MESSAGES_PER_CHECKPOINT
        if self._received_since_checkpoint:
            await trio.lowlevel.checkpoint_if_cancelled()
        else:
            await trio.lowlevel.checkpoint()

    async def _wait_readable(self) -> None:
        """Wait for an edge of the descriptor or for ``_wake_receiver``."""
        with trio.CancelScope() as scope:
            self._receive_scope = scope
            await trio.lowlevel.wait_readable(self._fd)
        self._receive_scope = None

    def _wake_receiver(self) -> None:
        """Wake the waiting receiver if the socket is readable."""
        scope = self._receive_scope
        if scope is None:
            return
        if int(self._zsock.get(zmq.EVENTS)) & zmq.POLLIN:
            scope.cancel()


@contextlib.contextmanager
def open_dealer(host: str, port: int) -> Iterator[ZmqSocket]:
    """Open a dealer that connects to a router; close it on exit.

    While the peer is down, sends raise instead of queueing messages, so that
    none of them is delivered to the process that replaces the peer.
    """
    with _open_zmq_socket(zmq.DEALER) as zsock:
        zsock.setsockopt(zmq.IMMEDIATE, 1)
        secure_socket(zsock, is_server=False)
        zsock.connect(f'tcp://{host}:{port}')
        yield ZmqSocket(zsock)


@contextlib.contextmanager
def open_router(host: str, port: int) -> Iterator[ZmqSocket]:
    """Open a router that listens on an address; close it on exit.

    A send to a peer that is not connected raises instead of being dropped.
    """
    with _open_zmq_socket(zmq.ROUTER) as zsock:
        zsock.setsockopt(zmq.ROUTER_MANDATORY, 1)
        secure_socket(zsock, is_server=True)
        zsock.bind(f'tcp://{host}:{port}')
        yield ZmqSocket(zsock)


@contextlib.contextmanager
def _open_zmq_socket(kind: int) -> Iterator[zmq.Socket[bytes]]:
    """Create a dealer or router with the common options; close it on exit."""
    zsock: zmq.Socket[bytes] = zmq.Context.instance().socket(kind)
    zsock.setsockopt(zmq.LINGER, 0)
    zsock.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
    zsock.setsockopt(zmq.RECONNECT_IVL, MIN_RECONNECT_DELAY_MS)
    zsock.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_DELAY_MS)
    try:
        yield zsock
    finally:
        zsock.close()
