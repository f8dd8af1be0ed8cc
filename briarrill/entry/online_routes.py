"""briarrill.entry.online_routes: completions and plain services."""

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

from ..errors import BadRequestError, BriarrillError, ForbiddenError
from ..protocol.callers_api import error_body, parse_completion
from ..tracing import open_action
from ..transport.http_connection import request_resources
from .context import Caller, EntryContext, read_body
from .dispatch import OpenAnswer
from .links import OnlineRequest

__all__ = ('add_online_routes',)

# bytes of a request body that choose the upstream of its prefix
PREFIX_BYTES = 512

EVENT_STREAM = 'text/event-stream'

SERVICES_PATH = '/services/'

# a caller marks a call that must run at most once with the value 'false'
IDEMPOTENT_HEADER = 'Idempotent'

# names a call, so that it is recognised when it is sent again
IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'
MAX_KEY_CHARACTERS = 255


def add_online_routes(app: QuartTrio, ctx: EntryContext) -> None:
    """Add the models, completions and services routes."""

    @app.get('/v1/models')
    async def models() -> dict[str, object]:
        return {
            'object': 'list',
            'data': [_model(name) for name in ctx.caller().contract.models],
        }

    @app.post('/v1/chat/completions')
    @app.post('/v1/completions')
    async def completions() -> Response:
        caller = ctx.caller()
        body = await read_body()
        head = parse_completion(body)
        if head.model not in caller.contract.models:
            raise ForbiddenError(
                f'model {head.model!r} is not in the contract'
            )
        return await _answer(ctx, caller, head.model, request.path, body)

    @app.route(
        '/services/<name>/<path:path>',
        methods=['GET', 'POST', 'PUT', 'PATCH', 'DELETE'],
    )
    async def service(name: str, **_path: str) -> Response:
        caller = ctx.caller()
        if name not in caller.contract.services:
            raise ForbiddenError(f'service {name!r} is not in the contract')
        body = await read_body()
        return await _answer(ctx, caller, name, _path_at_service(), body)


def _path_at_service() -> str:
    """Return what follows the service's name, as the caller encoded it."""
    raw: bytes = request.scope['raw_path']
    rest = raw.decode('ascii').removeprefix(SERVICES_PATH).partition('/')[2]
    return f'/{rest}'


def _model(name: str) -> dict[str, object]:
    return {'id': name, 'object': 'model', 'created': 0, 'owned_by': ''}


async def _answer(
    ctx: EntryContext, caller: Caller, target: str, path: str, body: bytes
) -> Response:
    """Relay a request and its answer.

    The limits hold until the answer has ended, which for a stream is after
    this function has returned.
    """
    with contextlib.ExitStack() as stack:
        admitted = await ctx.limits.request(caller.name, caller.contract)
        held = stack.enter_context(admitted)
        req = _online_request(ctx, caller, target, path, body)
        stack.enter_context(ctx.in_flight.hold(req.request_id))
        action = stack.enter_context(
            open_action(
                'entry:request',
                request_id=req.request_id,
                contract=caller.name,
                target=target,
            )
        )
        trace = action.serialize_task_id().decode()
        answer = await ctx.dispatcher.open(attrs.evolve(req, trace=trace))
        stack.callback(answer.close)
        stack.callback(lambda: held.charge(answer.tokens))
        if _is_stream(body):
            ending = stack.pop_all()
            # the answer may be given up before its first chunk is taken
            request_resources(request).push(ending)
            return _stream_response(answer, ending)
        return await _whole_response(answer)


def _online_request(
    ctx: EntryContext, caller: Caller, target: str, path: str, body: bytes
) -> OnlineRequest:
    query = request.query_string.decode()
    is_idempotent = _is_idempotent(ctx, target, path)
    named = '' if is_idempotent else _named_id(caller)
    return OnlineRequest(
        request_id=named or uuid.uuid4().hex,
        contract=caller.name,
        target=target,
        method=request.method,
        path=f'{path}?{query}' if query else path,
        body=body,
        idempotent=is_idempotent,
        deadline_s=time.monotonic() + ctx.cfg.request_timeout_s,
        content_type=request.content_type or 'application/json',
        # a call that is sent again goes to the sidecar that remembers it
        prefix_key=named or xxhash.xxh3_64_hexdigest(body[:PREFIX_BYTES]),
    )


def _named_id(caller: Caller) -> str:
    """Return the identifier that the caller gave, apart by contract.

    :raises BadRequestError: the name is too long.
    """
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER, '')
    if not key:
        return ''
    if len(key) > MAX_KEY_CHARACTERS:
        raise BadRequestError(
            f'{IDEMPOTENCY_KEY_HEADER}: at most {MAX_KEY_CHARACTERS} '
            'characters'
        )
    return xxhash.xxh3_128_hexdigest(f'{caller.name}\0{key}'.encode())


def _is_idempotent(ctx: EntryContext, target: str, path: str) -> bool:
    """Completions may be repeated; calls that a service lists may not."""
    marked = request.headers.get(IDEMPOTENT_HEADER, 'true').lower()
    if marked not in {'true', 'false'}:
        raise BadRequestError(f'{IDEMPOTENT_HEADER}: must be true or false')
    if marked == 'false':
        return False
    service = ctx.configuration.services.get(target)
    if service is None:
        return True
    meant = _meant_path(path)
    return not any(
        meant.startswith(prefix) for prefix in service.non_idempotent
    )


def _meant_path(path: str) -> str:
    """Return the path that a service may take an encoded one for."""
    decoded = posixpath.normpath(unquote(path))
    return f'/{decoded.lstrip("/")}'


def _is_stream(body: bytes) -> bool:
    if request.path.startswith(SERVICES_PATH):
        return False
    return parse_completion(body).stream


async def _whole_response(answer: OpenAnswer) -> Response:
    parts = []
    while (chunk := await answer.next_chunk()) is not None:
        parts.append(chunk)
    finish = answer.finish
    return Response(
        b''.join(parts),
        status=finish.http_status,
        content_type=finish.content_type,
    )


def _stream_response(
    answer: OpenAnswer, held: contextlib.ExitStack
) -> Response:
    return Response(
        _stream(answer, held),
        content_type=EVENT_STREAM,
        headers={'Cache-Control': 'no-cache'},
    )


async def _stream(
    answer: OpenAnswer, held: contextlib.ExitStack
) -> AsyncIterator[bytes]:
    """Relay chunks; an answer that ends early ends with an error event."""
    try:
        with held:
            while (chunk := await answer.next_chunk()) is not None:
                yield chunk
    except BriarrillError as exc:
        yield b'data: %b\n\n' % msgspec.json.encode(error_body(exc))
