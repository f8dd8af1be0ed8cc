"""briarrill.entry.request_checks: rejects requests before their route runs."""

import attrs
from quart import request
from quart_trio import QuartTrio

from ..errors import (
    HeadersTooLargeError,
    NotReadyError,
    OverloadedError,
)
from ..readiness import Readiness
from ..transport.http_connection import request_exit_stack
from .context import EntryContext, check_accepts

__all__ = ('add_request_checks',)

# limit for the names and values of all headers of one request
MAX_HEADER_BYTES = 16_384

REJECTED_RETRY_AFTER_S = 1.0

OPS_PATHS = frozenset(('/metrics', '/healthz', '/readyz'))


@attrs.define
class _RequestChecks:
    """Checks callers' requests and counts those in flight.

    :param max_requests: limit for the requests in flight.
    """

    readiness: Readiness
    max_requests: int
    in_flight: int = 0

    def check_and_count(self) -> None:
        """Check the current request and count it until its response ends.

        :raises HeadersTooLargeError: the headers exceed the limit.
        :raises DrainingError: the entry has stopped accepting requests.
        :raises NotReadyError: the entry has no configuration yet.
        :raises OverloadedError: too many requests are in flight.
        """
        self._check_headers()
        self._check_ready()
        if self.in_flight >= self.max_requests:
            raise OverloadedError(
                f'max_requests of this entry is reached: {self.max_requests}',
                retry_after_s=REJECTED_RETRY_AFTER_S,
            )
        self.in_flight += 1
        request_exit_stack(request).callback(self._count_ended)

    def _count_ended(self) -> None:
        self.in_flight -= 1

    def _check_headers(self) -> None:
        """Check the size of all headers of the request.

        :raises HeadersTooLargeError: it is above ``MAX_HEADER_BYTES``.
        """
        headers = request.scope['headers']
        size = sum(len(name) + len(text) for name, text in headers)
        if size > MAX_HEADER_BYTES:
            raise HeadersTooLargeError(
                f'the headers have {size} bytes; '
                f'the limit is {MAX_HEADER_BYTES} bytes'
            )

    def _check_ready(self) -> None:
        """Check that the entry accepts requests.

        :raises DrainingError: it has stopped accepting them.
        :raises NotReadyError: it has no configuration yet.
        """
        check_accepts(self.readiness)
        if not self.readiness.has_started:
            raise NotReadyError(
                'the entry has no configuration yet',
                retry_after_s=REJECTED_RETRY_AFTER_S,
            )


def add_request_checks(app: QuartTrio, ctx: EntryContext) -> None:
    """Check each request, except for the operators' routes."""
    request_checks = _RequestChecks(
        ctx.control.readiness, ctx.cfg.max_requests
    )

    @app.before_request
    async def check_request() -> None:
        if request.path not in OPS_PATHS:
            request_checks.check_and_count()
