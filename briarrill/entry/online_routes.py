"""briarrill.entry.online_routes: completions and plain services."""

import contextlib
import time
import uuid
from collections.abc import AsyncIterator

import attrs
import msgspec
import xxhash
from quart import Response, request
from quart_trio import QuartTrio

from ..errors import BriarrillError, ForbiddenError
from ..protocol.callers_api import error_body, parse_completion
from ..tracing import open_action
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
    async def service(name: str, path: str) -> Response:
        caller = ctx.caller()
        if name not in caller.contract.services:
            raise ForbiddenError(f'service {name!r} is not in the contract')
        body = await read_body()
        return await _answer(ctx, caller, name, f'/{path}', body)


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
            return _stream_response(answer, stack.pop_all())
        return await _whole_response(answer)


def _online_request(
    ctx: EntryContext, caller: Caller, target: str, path: str, body: bytes
) -> OnlineRequest:
    query = request.query_string.decode()
    return OnlineRequest(
        request_id=uuid.uuid4().hex,
        contract=caller.name,
        target=target,
        method=request.method,
        path=f'{path}?{query}' if query else path,
        body=body,
        idempotent=_is_idempotent(ctx, target, path),
        deadline_s=time.monotonic() + ctx.cfg.request_timeout_s,
        content_type=request.content_type or 'application/json',
        prefix_key=xxhash.xxh3_64_hexdigest(body[:PREFIX_BYTES]),
    )


def _is_idempotent(ctx: EntryContext, target: str, path: str) -> bool:
    """Completions may be repeated; calls that a service lists may not."""
    if request.headers.get(IDEMPOTENT_HEADER) == 'false':
        return False
    service = ctx.configuration.services.get(target)
    if service is None:
        return True
    return not any(
        path.startswith(prefix) for prefix in service.non_idempotent
    )


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
