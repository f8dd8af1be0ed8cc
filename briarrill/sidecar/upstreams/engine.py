"""briarrill.sidecar.upstreams.engine: a model engine over HTTP."""

import contextlib
from collections.abc import AsyncIterator, Iterator

import attrs
import httpx
import msgspec

from .base import Answer, Call, Upstream

__all__ = ('EVENT_END', 'EngineUpstream')

EVENT_END = b'\n\n'

LAST_EVENT = b'data: [DONE]'

EVENT_STREAM = 'text/event-stream'

_EVENT_PREFIX = b'data: '


@attrs.frozen
class _Usage:
    completion_tokens: int = 0


@attrs.frozen
class _Choice:
    delta: dict[str, object] = attrs.field(factory=dict)
    text: str = ''


@attrs.frozen
class _Event:
    """The fields of an event, or of a whole answer, that hold tokens."""

    choices: tuple[_Choice, ...] = ()
    usage: _Usage | None = None


_DECODER = msgspec.json.Decoder(_Event)


class EngineUpstream(Upstream):
    """A model engine with the chat completions API."""

    kind = 'engine'

    #: a stream has no status of its own, so a relayed error would look like
    #: an answer
    relays_errors = False

    async def fetch_models(self) -> tuple[str, ...]:
        """Ask the engine for its loaded models."""
        reply = await self.client.get('/v1/models')
        reply.raise_for_status()
        return tuple(model['id'] for model in reply.json()['data'])

    @contextlib.asynccontextmanager
    async def open_call(self, call: Call) -> AsyncIterator[Answer]:
        """Send a request and count the tokens of its answer."""
        async with super().open_call(call) as answer:
            answer.chunks = _counted(answer, answer.chunks)
            yield answer

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


async def _counted(
    answer: Answer, chunks: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    async for chunk in chunks:
        for event in _events(chunk):
            if event.usage is None:
                answer.tokens += _pieces(event)
            else:
                answer.tokens = event.usage.completion_tokens
        yield chunk


def _events(chunk: bytes) -> Iterator[_Event]:
    """Return the events of a chunk; what is none counts no tokens."""
    for line in chunk.splitlines():
        with contextlib.suppress(msgspec.MsgspecError):
            yield _DECODER.decode(line.removeprefix(_EVENT_PREFIX))


def _pieces(event: _Event) -> int:
    """Return the pieces of text; an engine sends one for each token."""
    return sum(
        bool(choice.delta.get('content') or choice.text)
        for choice in event.choices
    )
