"""briarrill.sidecar.upstreams.service: a plain service over HTTP."""

from collections.abc import AsyncIterator

import httpx

from .base import Upstream

__all__ = ('ServiceUpstream',)


class ServiceUpstream(Upstream):
    """A plain service; its answers are relayed as they are."""

    kind = 'service'

    async def fetch_models(self) -> tuple[str, ...]:
        """Return nothing: a plain service serves no models."""
        return ()

    def split(self, reply: httpx.Response) -> AsyncIterator[bytes]:
        """Relay the body as it arrives."""
        return reply.aiter_bytes()
