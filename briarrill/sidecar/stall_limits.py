"""briarrill.sidecar.stall_limits: limit the waits for an engine.

Batch items have no deadline, so a stalled engine would hold their slots.
"""

import contextlib
from collections.abc import AsyncIterator, Iterator

import httpx
import trio

from ..coordination.event_wait import EventWait
from .upstreams import UpstreamResponse

__all__ = ('iter_in_time', 'open_in_time')

# longest wait for an event of an item; long prompts take some ten seconds
# until the first one
MAX_EVENT_WAIT_S = 120.0

# bytes of comments between two events with data
MAX_OTHER_BYTES = 1_048_576

_DATA_FIELD = b'data:'


@contextlib.asynccontextmanager
async def open_in_time(
    response_context: contextlib.AbstractAsyncContextManager[UpstreamResponse],
) -> AsyncIterator[UpstreamResponse]:
    """Open a response within the limit.

    :raises httpx.ReadTimeout: its head took longer.
    """
    async with contextlib.AsyncExitStack() as stack:
        with _time_limit(MAX_EVENT_WAIT_S):
            response = await stack.enter_async_context(response_context)
        yield response


async def iter_in_time(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield chunks; an event with data must come within the limits.

    :raises httpx.ReadTimeout: one took longer.
    :raises httpx.RemoteProtocolError: other events came without end.
    """
    event_wait = EventWait(MAX_EVENT_WAIT_S)
    other_bytes = 0
    while True:
        with _time_limit(event_wait.remaining_s), event_wait.reading():
            chunk = await anext(chunks, None)
        if chunk is None:
            return
        yield chunk
        other_bytes += len(chunk)
        if _DATA_FIELD in chunk:
            event_wait.restart(MAX_EVENT_WAIT_S)
            other_bytes = 0
        elif other_bytes > MAX_OTHER_BYTES:
            raise httpx.RemoteProtocolError(
                f'{other_bytes} bytes without data from the engine'
            )


@contextlib.contextmanager
def _time_limit(limit_s: float) -> Iterator[None]:
    """Limit a wait.

    :raises httpx.ReadTimeout: it took longer.
    """
    try:
        with trio.fail_after(limit_s):
            yield
    except trio.TooSlowError as exc:
        raise httpx.ReadTimeout(
            f'no data from the engine for {MAX_EVENT_WAIT_S} s'
        ) from exc
