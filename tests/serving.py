"""Serves a stand-in on a free loopback port."""

import contextlib
import socket

from briarrill.transport.http_callers import serve_callers


def free_port():
    """Return a loopback TCP port that is free at the time of the call."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


@contextlib.asynccontextmanager
async def serve_standin(standin, address=None):
    """Serve a stand-in until exit; yield its address.

    :param address: where to serve it; a free port without one.
    """
    address = address or ('127.0.0.1', free_port())
    async with serve_callers(address, standin.caller_limits, standin.serve):
        yield address
