"""Serve a stand-in on a loopback port of its own."""

import contextlib
import socket

from briarrill.transport.http_callers import serve_callers


def free_port():
    """Return a TCP port that is free now."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


@contextlib.asynccontextmanager
async def serving(standin):
    """Serve a stand-in and return its address."""
    address = ('127.0.0.1', free_port())
    async with serve_callers(address, standin.bounds, standin.serve):
        yield address
