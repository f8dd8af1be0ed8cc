"""briarrill.entry.app: the HTTP application for callers."""

import math

import msgspec
import trio
from quart import Response
from quart_trio import QuartTrio
from werkzeug.exceptions import (
    HTTPException,
    RequestEntityTooLarge,
    RequestTimeout,
)

from ..errors import (
    BadRequestError,
    BodyTimeoutError,
    BriarrillError,
    InternalError,
    NotFoundError,
    TooLargeError,
)
from ..metrics import REFUSED
from ..ops_app import add_ops_routes
from ..protocol.callers_api import error_response_body
from ..result_codes import Ran
from ..state.job_directory import JobDirectory
from ..transport.caller_memory import CallerMemory
from ..transport.http_connection import (
    MEMORY_CONFIG_KEY,
    FlowControlledConnection,
    FlowControlledRequest,
)
from .batch_routes import add_batch_routes
from .context import EntryContext
from .online_routes import add_online_routes
from .request_checks import add_request_checks
from .uploads import UPLOAD_PATH

__all__ = ('make_app',)

HTTP_NOT_FOUND = 404


class _EntryRequest(FlowControlledRequest):
    """A caller's request; only the body of a file upload is streamed."""

    streamed_paths = frozenset((UPLOAD_PATH,))


class _EntryApp(QuartTrio):
    """A Quart application whose requests and sends are bounded."""

    asgi_http_class = FlowControlledConnection
    request_class = _EntryRequest


def make_app(ctx: EntryContext, nursery: trio.Nursery) -> QuartTrio:
    """Return the application with all routes of an entry.

    :param nursery: runs the job directory's background tasks, which outlive
        a response.
    """
    app = _EntryApp('briarrill')
    app.config['MAX_CONTENT_LENGTH'] = ctx.cfg.max_body_bytes
    app.config[MEMORY_CONFIG_KEY] = CallerMemory(ctx.cfg.max_held_bytes)
    app.config['BODY_TIMEOUT'] = ctx.cfg.body_timeout_s
    # the deadline of each request bounds its response
    app.config['RESPONSE_TIMEOUT'] = None
    add_ops_routes(app, ctx.control.readiness)
    add_request_checks(app, ctx)
    add_online_routes(app, ctx)
    add_batch_routes(app, ctx, _make_job_directory(ctx, nursery))

    @app.errorhandler(BriarrillError)
    async def send_error(exc: BriarrillError) -> Response:
        return _make_error_response(exc)

    @app.errorhandler(HTTPException)
    async def send_http_error(exc: HTTPException) -> Response:
        return _make_error_response(_from_http_exception(exc))

    return app


def _from_http_exception(exc: HTTPException) -> BriarrillError:
    """Convert an HTTP exception of the framework to an error of ours."""
    message = exc.description or exc.name
    if isinstance(exc, RequestEntityTooLarge):
        return TooLargeError('the request body is larger than max_body_bytes')
    if isinstance(exc, RequestTimeout):
        return BodyTimeoutError(
            'the request body did not arrive within body_timeout_s'
        )
    if exc.code == HTTP_NOT_FOUND:
        return NotFoundError(message)
    if exc.code and exc.code < InternalError.http_status:
        return BadRequestError(message)
    return InternalError(message)


def _make_error_response(exc: BriarrillError) -> Response:
    """Return the JSON response for an error.

    A request that did not run is counted as refused.
    """
    if exc.ran is Ran.NO:
        REFUSED.labels(exc.code.name).inc()
    headers = {}
    if exc.retry_after_s is not None:
        headers['Retry-After'] = str(math.ceil(exc.retry_after_s))
    return Response(
        msgspec.json.encode(error_response_body(exc)),
        status=exc.http_status,
        content_type='application/json',
        headers=headers,
    )


def _make_job_directory(
    ctx: EntryContext, nursery: trio.Nursery
) -> JobDirectory:
    return JobDirectory(
        key_value=ctx.control.platform.key_value,
        caller=ctx.control.caller,
        membership=ctx.control.membership,
        port=ctx.cfg.ports.batch_store,
        nursery=nursery,
    )
