"""briarrill.entry.online_routes: HTTP routes of models and services."""

import contextlib
import posixpath
import time
import uuid
from collections.abc import AsyncIterator
from urllib.parse import unquote

import attrs
import msgspec
import xxhash
from quart import Response, request
from quart_trio import QuartTrio

from ..errors import (
    BadRequestError,
    BriarrillError,
    ForbiddenError,
    UpstreamFailedError,
)
from ..protocol.callers_api import (
    error_response_body,
    parse_completion,
    prompt_parts,
)
from ..protocol.request_keys import request_key
from ..tracing import open_action
from ..transport.http_connection import request_exit_stack
from .context import Caller, EntryContext
from .dispatch import StartedResponse
from .links import OnlineRequest

__all__ = ('add_online_routes',)

# leading bytes of a request body that are hashed to its prefix key
PREFIX_KEY_BYTES = 512

# largest response that is returned in one piece
MAX_RESPONSE_BYTES = 64_000_000

EVENT_STREAM = 'text/event-stream'

SERVICES_PATH = '/services/'

# 'false' marks a request that must run at most once
IDEMPOTENT_HEADER = 'Idempotent'

# identifies a request, so that a duplicate is detected
IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255


def add_online_routes(app: QuartTrio, ctx: EntryContext) -> None:
    """Add the models, completions and services routes."""

    @app.get('/v1/models')
    async def models() -> dict[str, object]:
        return {
            'object': 'list',
            'data': [
                _model_view(name) for name in ctx.caller().contract.models
            ],
        }

    @app.post('/v1/chat/completions')
    @app.post('/v1/completions')
    async def completions() -> Response:
        caller = ctx.caller()
        body = await ctx.read_body_to_run()
        head = parse_completion(body)
        if head.model not in caller.contract.models:
            raise ForbiddenError(
                f'model {head.model!r} is not in the contract'
            )
        return await _relay_request(
            ctx, caller, head.model, request.path, body
        )

    @app.route(
        '/services/<name>/<path:path>',
        methods=['GET', 'POST', 'PUT', 'PATCH', 'DELETE'],
    )
    async def service(name: str, **_path: str) -> Response:
        caller = ctx.caller()
        if name not in caller.contract.services:
            raise ForbiddenError(f'service {name!r} is not in the contract')
        body = await ctx.read_body_to_run()
        return await _relay_request(ctx, caller, name, _service_path(), body)


def _service_path() -> str:
    """Return the path after the service's name, still percent-encoded."""
    raw: bytes = request.scope['raw_path']
    rest = raw.decode('ascii').removeprefix(SERVICES_PATH).partition('/')[2]
    return f'/{rest}'


def _model_view(name: str) -> dict[str, object]:
    """Return a model as a JSON object of the callers' API."""
    return {'id': name, 'object': 'model', 'created': 0, 'owned_by': ''}


async def _relay_request(
    ctx: EntryContext, caller: Caller, target: str, path: str, body: bytes
) -> Response:
    """Send a request to an upstream and return its response.

    The request counts against the contract's limits until its response has
    ended; a streamed response ends after this function has returned.
    """
    with contextlib.ExitStack() as stack:
        admitted = await ctx.limits.admit(caller.name, caller.contract)
        admitted_request = stack.enter_context(admitted)
        req = _make_online_request(ctx, caller, target, path, body)
        stack.enter_context(ctx.requests_in_flight.register(req.request_id))
        action = stack.enter_context(
            open_action(
                'entry:request',
                request_id=req.request_id,
                contract=caller.name,
                target=target,
            )
        )
        trace = action.serialize_task_id().decode()
        response = await ctx.dispatcher.dispatch(
            attrs.evolve(req, trace=trace)
        )
        stack.callback(response.close)
        stack.callback(lambda: admitted_request.charge(response.tokens))
        if _is_stream(body):
            cleanup = stack.pop_all()
            # a response discarded before its first chunk is read never runs
            # the cleanup of its generator
            request_exit_stack(request).push(cleanup)
            return _stream_response(response, cleanup)
        return await _buffered_response(response)


def _make_online_request(
    ctx: EntryContext, caller: Caller, target: str, path: str, body: bytes
) -> OnlineRequest:
    """Build the dispatcher's request from the current HTTP request."""
    query = request.query_string.decode()
    full_path = f'{path}?{query}' if query else path
    is_idempotent = _is_idempotent(ctx, target, path)
    idempotency_id = '' if is_idempotent else _idempotency_id(caller)
    return OnlineRequest(
        request_id=idempotency_id or uuid.uuid4().hex,
        contract=caller.name,
        target=target,
        method=request.method,
        path=full_path,
        body=body,
        idempotent=is_idempotent,
        deadline_s=time.monotonic() + ctx.cfg.request_timeout_s,
        content_type=request.content_type or 'application/json',
        # routes a repeated request to the sidecar that has its identifier
        prefix_key=idempotency_id
        or xxhash.xxh3_64_hexdigest(body[:PREFIX_KEY_BYTES]),
        prompt_parts=(
            ()
            if request.path.startswith(SERVICES_PATH)
            else prompt_parts(body)
        ),
        request_key=request_key(
            f'{caller.name}/{target}',
            request.method.encode(),
            full_path.encode(),
            body,
        ),
    )


def _idempotency_id(caller: Caller) -> str:
    """Return a request identifier derived from the idempotency key.

    It differs between contracts; without a key it is empty.

    :raises BadRequestError: the key is too long.
    """
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER, '')
    if not key:
        return ''
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        raise BadRequestError(
            f'{IDEMPOTENCY_KEY_HEADER}: {len(key)} characters; the limit is '
            f'{MAX_IDEMPOTENCY_KEY_CHARACTERS}'
        )
    return xxhash.xxh3_128_hexdigest(f'{caller.name}\0{key}'.encode())


def _is_idempotent(ctx: EntryContext, target: str, path: str) -> bool:
    """Return whether a request may run more than once.

    The caller's header or the service's configuration can deny it.

    :raises BadRequestError: the header is neither ``true`` nor ``false``.
    """
    header = request.headers.get(IDEMPOTENT_HEADER, 'true').lower()
    if header not in {'true', 'false'}:
        raise BadRequestError(
            f'{IDEMPOTENT_HEADER}: must be true or false, not {header!r}'
        )
    if header == 'false':
        return False
    service = ctx.configuration.services.get(target)
    if service is None:
        return True
    normalized = _normalized_path(path)
    return not any(
        normalized.startswith(prefix) for prefix in service.non_idempotent
    )


def _normalized_path(path: str) -> str:
    """Return the path decoded and without dot segments.

    A service may treat differently encoded paths as the same.
    """
    decoded = posixpath.normpath(unquote(path))
    return f'/{decoded.lstrip("/")}'


def _is_stream(body: bytes) -> bool:
    """Return whether the caller asked for a streamed completion."""
    if request.path.startswith(SERVICES_PATH):
        return False
    return parse_completion(body).stream


async def _buffered_response(response: StartedResponse) -> Response:
    """Read the whole upstream response and return it at once.

    :raises UpstreamFailedError: it is over ``MAX_RESPONSE_BYTES``.
    """
    body = bytearray()
    while (chunk := await response.next_chunk()) is not None:
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise UpstreamFailedError(
                f'the response is over {MAX_RESPONSE_BYTES} bytes'
            )
    finish = response.finish
    return Response(
        bytes(body),
        status=finish.http_status,
        content_type=finish.content_type,
    )


def _stream_response(
    response: StartedResponse, cleanup: contextlib.ExitStack
) -> Response:
    """Return a response that streams chunks as server-sent events."""
    return Response(
        _relay_chunks(response, cleanup),
        content_type=EVENT_STREAM,
        headers={'Cache-Control': 'no-cache'},
    )


async def _relay_chunks(
    response: StartedResponse, cleanup: contextlib.ExitStack
) -> AsyncIterator[bytes]:
    """Yield the chunks; append an error event if the response is cut."""
    try:
        with cleanup:
            while (chunk := await response.next_chunk()) is not None:
                yield chunk
    except BriarrillError as exc:
        yield b'data: %b\n\n' % msgspec.json.encode(error_response_body(exc))
