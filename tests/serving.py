"""Serves a stand-in on a free loopback port."""

import contextlib
import random
import socket

from briarrill.transport.http_callers import serve_callers

# below the ports that the kernel gives to outgoing connections, which could
# take one before it is bound
PORTS = range(10_000, 32_000)

_rng = random.SystemRandom()


def free_port():
    """Return a loopback TCP port that is free at the time of the call."""
    while True:
        port = _rng.choice(PORTS)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(('127.0.0.1', port))
            return port


@contextlib.asynccontextmanager
async def serve_standin(standin, address=None):
    """Serve a stand-in until exit; yield its address.

    :param address: where to serve it; a free port without one.
    """
    address = address or ('127.0.0.1', free_port())
    async with serve_callers(address, standin.caller_limits, standin.serve):
        yield address
