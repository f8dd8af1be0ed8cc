"""briarrill.transport.http_server: serve a Quart application under trio."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

__all__ = ('serve_app',)

# header bytes of one request, HTTP/1.1
MAX_HEADER_BYTES = 32_768

# time for running requests to end after the shutdown
GRACEFUL_TIMEOUT_S = 30.0

# time for the last bytes of an answer to leave the process
FLUSH_S = 0.1

IDLE_POLL_S = 0.02


class _ActiveRequests:
    """Counts requests until their answers have ended.

    :param app: the ASGI application to pass them to.
    """

    def __init__(self, app: QuartTrio) -> None:
        self._app = app
        self._count = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Pass a request on; lifespan events are not counted."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return
        self._count += 1
        try:
            await self._app(scope, receive, send)
        finally:
            self._count -= 1

    async def wait_idle(self) -> None:
        """Wait until no request is running."""
        while self._count:
            await trio.sleep(IDLE_POLL_S)


async def serve_app(
    app: QuartTrio,
    host: str,
    port: int,
    shutdown: Callable[[], Awaitable[None]],
    graceful_timeout_s: float = GRACEFUL_TIMEOUT_S,
) -> None:
    """Serve until ``shutdown`` returns, then let running requests end.

    Idle kept-alive connections do not hold up the end.
    """
    cfg = Config()
    cfg.bind = [f'{host}:{port}']
    cfg.h11_max_incomplete_size = MAX_HEADER_BYTES
    cfg.graceful_timeout = graceful_timeout_s
    cfg.accesslog = None
    cfg.errorlog = None
    active = _ActiveRequests(app)
    closing = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            partial(serve, active, cfg, shutdown_trigger=closing.wait)
        )
        await shutdown()
        closing.set()
        with trio.move_on_after(graceful_timeout_s):
            await active.wait_idle()
        await trio.sleep(FLUSH_S)
        nursery.cancel_scope.cancel()
