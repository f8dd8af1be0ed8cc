"""briarrill.entry.entrance: refuses a request before any route reads it."""

import attrs
from quart import request
from quart_trio import QuartTrio

from ..errors import (
    DrainingError,
    HeadersTooLargeError,
    NotReadyError,
    OverloadedError,
)
from ..readiness import Readiness
from ..transport.http_connection import request_resources
from .context import EntryContext

__all__ = ('add_entrance_checks',)

# names and values of all headers of one request
MAX_HEADER_BYTES = 16_384

RETRY_AFTER_S = 1.0

OPS_PATHS = frozenset(('/metrics', '/healthz', '/readyz'))


@attrs.define
class _Entrance:
    """Counts callers' requests until their answers have ended."""

    readiness: Readiness
    max_requests: int
    running: int = 0

    def enter(self) -> None:
        """Count the present request or refuse it.

        :raises BriarrillError: the request must not go on.
        """
        self._check_headers()
        self._check_ready()
        if self.running >= self.max_requests:
            raise OverloadedError(
                'max_requests of this entry is reached',
                retry_after_s=RETRY_AFTER_S,
            )
        self.running += 1
        request_resources(request).callback(self._leave)

    def _leave(self) -> None:
        self.running -= 1

    def _check_headers(self) -> None:
        headers = request.scope['headers']
        size = sum(len(name) + len(text) for name, text in headers)
        if size > MAX_HEADER_BYTES:
            raise HeadersTooLargeError(
                f'headers hold at most {MAX_HEADER_BYTES} bytes'
            )

    def _check_ready(self) -> None:
        if self.readiness.is_closed:
            raise DrainingError(
                'the entry is stopping', retry_after_s=RETRY_AFTER_S
            )
        if not self.readiness.has_started:
            raise NotReadyError(
                'the entry has no configuration yet',
                retry_after_s=RETRY_AFTER_S,
            )


def add_entrance_checks(app: QuartTrio, ctx: EntryContext) -> None:
    """Check each request but those of operators."""
    entrance = _Entrance(ctx.control.readiness, ctx.cfg.max_requests)

    @app.before_request
    async def check_entrance() -> None:
        if request.path not in OPS_PATHS:
            entrance.enter()
