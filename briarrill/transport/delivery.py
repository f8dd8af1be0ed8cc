"""briarrill.transport.delivery: whether a peer received what was sent."""

import contextlib
import fcntl
import socket
import struct
import termios

import trio

__all__ = ('why_undelivered',)

_INT = struct.Struct('i')


def why_undelivered(sock: trio.socket.SocketType) -> str:
    """Return why a peer that closed lacks sent bytes, empty if it lacks none.

    The segment that closes a connection acknowledges all that was received.
    So bytes without acknowledgement never reached the peer, though the kernel
    accepted them for sending. A reset that follows a close is not reported to
    a reader.
    """
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        return f'the connection failed with error {error}'
    unacknowledged = _unacknowledged_bytes(sock)
    if unacknowledged:
        return f'{unacknowledged} bytes are not acknowledged'
    return ''


def _unacknowledged_bytes(sock: trio.socket.SocketType) -> int:
    """Return how many bytes the peer has not acknowledged, 0 if unknown."""
    count = bytes(_INT.size)
    with contextlib.suppress(OSError):
        count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    return int(_INT.unpack(count)[0])
