"""briarrill.sidecar.upstreams.engine: a model engine over HTTP."""

from collections.abc import AsyncIterator

import httpx

from .base import Upstream

__all__ = ('EVENT_END', 'EngineUpstream')

EVENT_END = b'\n\n'

LAST_EVENT = b'data: [DONE]'

EVENT_STREAM = 'text/event-stream'


class EngineUpstream(Upstream):
    """A model engine with the chat completions API."""

    kind = 'engine'

    async def fetch_models(self) -> tuple[str, ...]:
        """Ask the engine for its loaded models."""
        reply = await self.client.get('/v1/models')
        reply.raise_for_status()
        return tuple(model['id'] for model in reply.json()['data'])

    async def split(self, reply: httpx.Response) -> AsyncIterator[bytes]:
        """Relay whole server-sent events, or a whole JSON body.

        An answer that is cut then ends between two events, and with an
        error.
        """
        if not reply.headers.get('content-type', '').startswith(EVENT_STREAM):
            yield await reply.aread()
            return
        pending = b''
        is_whole = False
        async for part in reply.aiter_bytes():
            pending += part
            whole, separator, pending = pending.rpartition(EVENT_END)
            if separator:
                is_whole = whole.endswith(LAST_EVENT)
                yield whole + separator
        if pending or not is_whole:
            raise httpx.RemoteProtocolError('the event stream was cut')
