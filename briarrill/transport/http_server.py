"""briarrill.transport.http_server: serve a Quart application under trio."""

import socket
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import attrs
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

__all__ = ('HttpBounds', 'serve_app')

# head of one request at which the connection is closed without an answer
# from the application
MAX_HEAD_BYTES = 65_536

# connections that wait to be accepted
ACCEPT_BACKLOG = 512

# silence after which a connection is probed
KEEP_ALIVE_IDLE_S = 30

MS_PER_S = 1000

# time for the last bytes of an answer to leave the process
FLUSH_S = 0.1

IDLE_POLL_S = 0.02


@attrs.frozen
class HttpBounds:
    """Times after which a connection is given up.

    :param idle_s: without a whole request head.
    :param send_s: with sent bytes that the peer does not take.
    :param graceful_s: for running requests to end after the shutdown.
    """

    idle_s: float = 75.0
    send_s: float = 30.0
    graceful_s: float = 30.0


DEFAULT_BOUNDS = HttpBounds()


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


def _listen(host: str, port: int, bounds: HttpBounds) -> int:
    """Return the descriptor of a listening socket, which the caller closes.

    Accepted connections inherit the options. The user timeout covers a peer
    that is gone as well as one that stays but does not read.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    with socket.socket(family) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        listener.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S
        )
        listener.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(bounds.send_s * MS_PER_S),
        )
        listener.bind((host, port))
        listener.listen(ACCEPT_BACKLOG)
        return listener.detach()


async def serve_app(
    app: QuartTrio,
    host: str,
    port: int,
    shutdown: Callable[[], Awaitable[None]],
    bounds: HttpBounds = DEFAULT_BOUNDS,
) -> None:
    """Serve until ``shutdown`` returns, then let running requests end.

    Idle kept-alive connections do not hold up the end.
    """
    cfg = _server_config(_listen(host, port, bounds), bounds)
    active = _ActiveRequests(app)
    closing = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            partial(serve, active, cfg, shutdown_trigger=closing.wait)
        )
        await shutdown()
        closing.set()
        with trio.move_on_after(bounds.graceful_s):
            await active.wait_idle()
        await trio.sleep(FLUSH_S)
        nursery.cancel_scope.cancel()


def _server_config(descriptor: int, bounds: HttpBounds) -> Config:
    cfg = Config()
    cfg.bind = [f'fd://{descriptor}']
    cfg.h11_max_incomplete_size = MAX_HEAD_BYTES
    cfg.keep_alive_timeout = bounds.idle_s
    cfg.graceful_timeout = bounds.graceful_s
    cfg.accesslog = None
    cfg.errorlog = None
    return cfg
