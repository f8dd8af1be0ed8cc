"""briarrill.platform.ready_checks: serves readiness checks and metrics."""

import contextlib
from collections.abc import AsyncIterator

import attrs
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ..readiness import Readiness
from ..transport.http_callers import (
    CallerBounds,
    CallerConnection,
    CallerLimits,
    read_whole_request,
    serve_callers,
)

__all__ = ('serve_ready',)

_HTTP_OK = 200
_HTTP_UNAVAILABLE = 503


@attrs.define
class _ReadyServer:
    """Serves readiness checks and metrics."""

    readiness: Readiness

    async def serve(self, conn: CallerConnection) -> None:
        while (received := await read_whole_request(conn)) is not None:
            head, _ = received
            if head.path == '/metrics':
                kind = ((b'content-type', CONTENT_TYPE_LATEST.encode()),)
                await conn.send_response(_HTTP_OK, kind, generate_latest())
                continue
            is_ready = self.readiness.is_ready
            status = _HTTP_OK if is_ready else _HTTP_UNAVAILABLE
            await conn.send_response(status, (), b'')


@contextlib.asynccontextmanager
async def serve_ready(
    address: tuple[str, int], readiness: Readiness, bounds: CallerBounds
) -> AsyncIterator[None]:
    """Serve readiness checks and metrics until exit.

    Readiness checks get status 200 or 503.
    """
    server = _ReadyServer(readiness)
    async with serve_callers(
        address,
        CallerLimits,
        server.serve,
        bounds,
    ):
        yield
