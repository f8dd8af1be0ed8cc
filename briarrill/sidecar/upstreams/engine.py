"""briarrill.sidecar.upstreams.engine: a model engine over HTTP."""

import contextlib
from collections.abc import AsyncIterator, Iterator
from typing import Annotated

import attrs
import httpx
import msgspec

from ...decoding import json_decoder
from ...errors import BadRequestError, MalformedMessageError
from ...protocol.callers_api import parse_completion
from ...transport.bounded_http import iter_body, read_body, request
from .base import (
    ONE_REQUEST,
    Upstream,
    UpstreamRequest,
    UpstreamResponse,
    has_framed_body,
)

__all__ = ('EVENT_SEPARATOR', 'EngineUpstream')

EVENT_SEPARATOR = b'\n\n'

STREAM_END_EVENT = b'data: [DONE]'

_STREAM_END = STREAM_END_EVENT + EVENT_SEPARATOR

EVENT_STREAM = 'text/event-stream'

JSON_TYPE = 'application/json'

_EVENT_PREFIX = b'data: '

HTTP_BAD_REQUEST = 400

# endpoints whose requests ask for a stream in their body
STREAMING_PATHS = frozenset(('/v1/chat/completions', '/v1/completions'))

MODELS_TIMEOUT_S = 5.0
MAX_MODELS_BYTES = 1_000_000

# largest JSON response and event; they hold some hundred kilobytes
MAX_JSON_BYTES = 32_000_000
MAX_EVENT_BYTES = 1_048_576

# far above the context of any model
_MAX_COMPLETION_TOKENS = 1_000_000_000


@attrs.frozen
class _Usage:
    """Token counts reported by the engine."""

    completion_tokens: Annotated[
        int, msgspec.Meta(ge=0, le=_MAX_COMPLETION_TOKENS)
    ] = 0


@attrs.frozen
class _Choice:
    """Text of one choice: of an event or of a completion."""

    delta: dict[str, object] = attrs.field(factory=dict)
    text: str = ''


@attrs.frozen
class _Event:
    """Fields of an event or a JSON response that token counts need."""

    choices: tuple[_Choice, ...] = ()
    usage: _Usage | None = None


@attrs.frozen
class _Model:
    """A model that the engine has loaded."""

    id: str


_DECODER = json_decoder(_Event)
_OBJECT_DECODER = json_decoder(dict[str, msgspec.Raw])
_MODELS_DECODER = json_decoder(tuple[_Model, ...])
_ANY_DECODER = json_decoder(msgspec.Raw)


class EngineUpstream(Upstream):
    """A model engine with the chat completions API."""

    kind = 'engine'

    #: the status of a stream is sent before its first event, so a relayed
    #: error would look like a completion
    relays_errors = False

    async def fetch_models(self) -> tuple[str, ...]:
        """Return the models that the engine has loaded.

        :raises httpx.HTTPError: the engine failed, or its list is malformed.
        """
        http_response = await request(
            self.client,
            'GET',
            '/v1/models',
            headers=ONE_REQUEST,
            timeout_s=MODELS_TIMEOUT_S,
            max_bytes=MAX_MODELS_BYTES,
        )
        http_response.raise_for_status()
        try:
            fields = _OBJECT_DECODER.decode(http_response.content)
            models = _MODELS_DECODER.decode(fields.get('data', b''))
        except MalformedMessageError as exc:
            raise httpx.RemoteProtocolError(
                f'list of models: {exc.message}'
            ) from exc
        return tuple(model.id for model in models)

    @contextlib.asynccontextmanager
    async def send(
        self, req: UpstreamRequest
    ) -> AsyncIterator[UpstreamResponse]:
        """Send a request and count the tokens of its response.

        :raises BadRequestError: the request cannot be sent over HTTP.
        :raises httpx.HTTPError: the engine failed, or answered a request for
            a stream with other content.
        """
        async with super().send(req) as response:
            _check_is_stream(req, response)
            response.chunks = _count_tokens(response, response.chunks)
            yield response

    async def iter_chunks(
        self, http_response: httpx.Response
    ) -> AsyncIterator[bytes]:
        """Yield complete server-sent events, or a complete JSON body.

        A stream that is cut ends after a complete event.

        :raises httpx.RemoteProtocolError: the stream has no end event, or
            the JSON body was cut.
        """
        content_type = http_response.headers.get('content-type', '')
        if not _is_event_stream(content_type):
            body = await read_body(http_response, MAX_JSON_BYTES)
            _check_unframed_json(http_response, body)
            yield body
            return
        pending = bytearray()
        has_ended = False
        async for part in iter_body(http_response):
            # the rest was searched when it arrived
            searched = max(0, len(pending) - len(EVENT_SEPARATOR) + 1)
            pending += part
            end = pending.rfind(EVENT_SEPARATOR, searched)
            if end >= 0:
                end += len(EVENT_SEPARATOR)
                complete, pending = bytes(pending[:end]), pending[end:]
                has_ended = complete.endswith(_STREAM_END)
                yield complete
            if len(pending) > MAX_EVENT_BYTES:
                raise httpx.RemoteProtocolError(
                    f'event of over {MAX_EVENT_BYTES} bytes without an end'
                )
        if pending or not has_ended:
            raise httpx.RemoteProtocolError(
                'the event stream was cut before its end event'
            )


def _check_is_stream(req: UpstreamRequest, response: UpstreamResponse) -> None:
    """Check that a request for a stream got one, or an error status.

    The caller was promised events that end with an end event.

    :raises httpx.RemoteProtocolError: it got other content.
    """
    status = response.http_status
    if status >= HTTP_BAD_REQUEST or not _asks_for_stream(req):
        return
    if not _is_event_stream(response.content_type):
        raise httpx.RemoteProtocolError(
            f'status {status} without events to a request for a stream'
        )


def _is_event_stream(content_type: str) -> bool:
    """Tell whether content is server-sent events; case does not matter."""
    return content_type.lower().startswith(EVENT_STREAM)


def _asks_for_stream(req: UpstreamRequest) -> bool:
    """Tell whether a request is one for a streamed completion."""
    if req.path.partition('?')[0] not in STREAMING_PATHS:
        return False
    try:
        return parse_completion(req.body).stream
    except BadRequestError:
        return False


def _check_unframed_json(http_response: httpx.Response, body: bytes) -> None:
    """Check that JSON whose end only a close has marked is whole.

    :raises httpx.RemoteProtocolError: it is not.
    """
    content_type = http_response.headers.get('content-type', '')
    if has_framed_body(http_response) or not content_type.startswith(
        JSON_TYPE
    ):
        return
    try:
        _ANY_DECODER.decode(body)
    except MalformedMessageError as exc:
        raise httpx.RemoteProtocolError('the JSON body was cut') from exc


async def _count_tokens(
    response: UpstreamResponse, chunks: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yield the chunks; keep the response's token count up to date.

    The engine's own usage replaces the count of text events.
    """
    async for chunk in chunks:
        for event in _decode_events(chunk):
            if event.usage is None:
                response.tokens += _count_text_choices(event)
            else:
                response.tokens = event.usage.completion_tokens
        yield chunk


def _decode_events(chunk: bytes) -> Iterator[_Event]:
    """Yield the events of a chunk; skip lines that are not events."""
    for line in chunk.splitlines():
        with contextlib.suppress(MalformedMessageError):
            yield _DECODER.decode(line.removeprefix(_EVENT_PREFIX))


def _count_text_choices(event: _Event) -> int:
    """Count the choices with text; an engine sends one for each token."""
    return sum(
        bool(choice.delta.get('content') or choice.text)
        for choice in event.choices
    )
