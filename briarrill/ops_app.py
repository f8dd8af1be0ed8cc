"""briarrill.ops_app: HTTP routes of metrics and health checks."""

from typing import Protocol

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from quart import Response
from quart_trio import QuartTrio

__all__ = ('ReadyState', 'add_ops_routes', 'make_ops_app')

HTTP_UNAVAILABLE = 503


class ReadyState(Protocol):
    """Readiness of a process."""

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests."""


def make_ops_app(readiness: ReadyState) -> QuartTrio:
    """Create an application that has only the operators' routes."""
    app = QuartTrio('briarrill')
    add_ops_routes(app, readiness)
    return app


def add_ops_routes(app: QuartTrio, readiness: ReadyState) -> None:
    """Add ``/metrics``, ``/healthz`` and ``/readyz``."""

    @app.get('/metrics')
    async def metrics() -> Response:
        return Response(generate_latest(), content_type=CONTENT_TYPE_LATEST)

    @app.get('/healthz')
    async def health() -> Response:
        return Response('ok\n', content_type='text/plain')

    @app.get('/readyz')
    async def ready() -> Response:
        if readiness.is_ready:
            return Response('ready\n', content_type='text/plain')
        return Response(
            'not ready\n', status=HTTP_UNAVAILABLE, content_type='text/plain'
        )
