"""briarrill.transport.http_server: serves a Quart application under trio."""

import socket
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import attrs
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

__all__ = ('HttpTimeouts', 'serve_app')

# a connection whose request headers are longer is closed without a response
# from the application
MAX_REQUEST_HEADERS_BYTES = 65_536

# connections that the kernel queues until they are accepted
LISTEN_BACKLOG = 512

# idle time after which the kernel sends the first keep-alive probe
TCP_KEEPALIVE_IDLE_S = 30

MS_PER_S = 1000

# delay before the server is cancelled, for sending the last response bytes
FLUSH_DELAY_S = 0.1

ACTIVE_REQUESTS_POLL_INTERVAL_S = 0.02


@attrs.frozen
class HttpTimeouts:
    """Timeouts after which a connection is closed.

    :param idle_s: time limit for receiving all headers of a request.
    :param send_s: time limit for the peer to acknowledge sent bytes.
    :param shutdown_grace_s: time limit for requests that are in flight when
        the shutdown begins.
    """

    idle_s: float = 75.0
    send_s: float = 30.0
    shutdown_grace_s: float = 30.0


DEFAULT_TIMEOUTS = HttpTimeouts()

# ASGI message with a part of a response's body
_BODY_MESSAGE = 'http.response.body'

_Send = Callable[[Any], Awaitable[None]]


async def _send_whole_end(send: _Send, message: Any) -> None:
    """Send an ASGI message; an application's cancel does not stop the last.

    After the end of a response the server tells the application that the
    request has ended, and then closes the connection if no other request may
    follow. The framework cancels its sender when it is told.
    """
    is_end = message['type'] == _BODY_MESSAGE and not message.get('more_body')
    with trio.CancelScope(shield=is_end):
        await send(message)


class _ActiveRequests:
    """ASGI wrapper that counts requests in flight.

    :param app: ASGI application that serves them.
    """

    def __init__(self, app: QuartTrio) -> None:
        self._app = app
        self._in_flight = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve an ASGI event; only HTTP requests are counted."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return
        self._in_flight += 1
        try:
            await self._app(scope, receive, partial(_send_whole_end, send))
        finally:
            self._in_flight -= 1

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        while self._in_flight:
            await trio.sleep(ACTIVE_REQUESTS_POLL_INTERVAL_S)


def _listen(host: str, port: int, timeouts: HttpTimeouts) -> int:
    """Return the descriptor of a listening socket, which the caller closes.

    Accepted connections inherit its options. The TCP user timeout closes
    connections to dead peers and to live peers that do not read.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    with socket.socket(family) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        listener.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S
        )
        listener.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(timeouts.send_s * MS_PER_S),
        )
        listener.bind((host, port))
        listener.listen(LISTEN_BACKLOG)
        return listener.detach()


async def serve_app(
    app: QuartTrio,
    host: str,
    port: int,
    shutdown: Callable[[], Awaitable[None]],
    timeouts: HttpTimeouts = DEFAULT_TIMEOUTS,
) -> None:
    """Serve until ``shutdown`` returns, then drain the requests in flight.

    Idle keep-alive connections do not delay the end. Requests that outlast
    ``timeouts.shutdown_grace_s`` are cancelled.

    :raises OSError: the address cannot be bound.
    """
    cfg = _server_config(_listen(host, port, timeouts), timeouts)
    active = _ActiveRequests(app)
    closing = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            partial(serve, active, cfg, shutdown_trigger=closing.wait)
        )
        await shutdown()
        closing.set()
        with trio.move_on_after(timeouts.shutdown_grace_s):
            await active.wait_idle()
        await trio.sleep(FLUSH_DELAY_S)
        nursery.cancel_scope.cancel()


def _server_config(descriptor: int, timeouts: HttpTimeouts) -> Config:
    cfg = Config()
    cfg.bind = [f'fd://{descriptor}']
    cfg.h11_max_incomplete_size = MAX_REQUEST_HEADERS_BYTES
    cfg.keep_alive_timeout = timeouts.idle_s
    cfg.graceful_timeout = timeouts.shutdown_grace_s
    cfg.accesslog = None
    cfg.errorlog = None
    return cfg
