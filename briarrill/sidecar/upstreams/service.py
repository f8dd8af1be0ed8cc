"""briarrill.sidecar.upstreams.service: a plain service over HTTP."""

from collections.abc import AsyncIterator

import httpx

from ...transport.bounded_http import iter_body
from .base import Upstream

__all__ = ('ServiceUpstream',)


class ServiceUpstream(Upstream):
    """A plain service; its responses are relayed unchanged."""

    kind = 'service'

    async def fetch_models(self) -> tuple[str, ...]:
        """Return no models: a plain service has none."""
        return ()

    def iter_chunks(
        self, http_response: httpx.Response
    ) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive."""
        return iter_body(http_response)
