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
async def serve_standin(standin):
    """Serve a stand-in until exit; yield its address."""
    address = ('127.0.0.1', free_port())
    async with serve_callers(address, standin.caller_limits, standin.serve):
        yield address
