"""briarrill.transport.http_server: serve a Quart application under trio."""

from collections.abc import Awaitable, Callable

from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

__all__ = ('serve_app',)

# header bytes of one request, HTTP/1.1
MAX_HEADER_BYTES = 32 * 1024

# time for streams to end after the drain, before connections close
GRACEFUL_TIMEOUT_S = 30.0


async def serve_app(
    app: QuartTrio,
    host: str,
    port: int,
    shutdown: Callable[[], Awaitable[None]],
    graceful_timeout_s: float = GRACEFUL_TIMEOUT_S,
) -> None:
    """Serve until ``shutdown`` returns, then let running requests end."""
    cfg = Config()
    cfg.bind = [f'{host}:{port}']
    cfg.h11_max_incomplete_size = MAX_HEADER_BYTES
    cfg.graceful_timeout = graceful_timeout_s
    cfg.accesslog = None
    cfg.errorlog = None
    await serve(app, cfg, shutdown_trigger=shutdown, mode='asgi')
