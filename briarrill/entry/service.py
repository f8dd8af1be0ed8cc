"""briarrill.entry.service: assembles and runs one entry process."""

import math
import random

import attrs
import msgspec
import trio
from quart import Response
from quart_trio import QuartTrio
from werkzeug.exceptions import HTTPException, RequestEntityTooLarge

from ..control import Control
from ..coordination.retries import RetryBudgets
from ..coordination.routing import BoundedAffinityPolicy
from ..errors import (
    BadRequestError,
    BriarrillError,
    InternalError,
    NotFoundError,
    TooLargeError,
)
from ..metrics import REFUSED
from ..ops_app import add_ops_routes
from ..protocol.callers_api import error_body
from ..protocol.rpc import open_rpc_pool
from ..result_codes import Ran
from ..runtime import Readiness, open_platform, wait_for_stop_signal
from ..state.segment_copies import SegmentCopies
from ..state.settings import EntrySettings
from ..transport.http_server import serve_app
from ..transport.instance_list import Role
from .batch_routes import add_batch_routes
from .context import EntryContext
from .dispatch import Dispatcher
from .jobs import JobDirectory
from .lender import FleetLender
from .limits import Limits
from .online_routes import add_online_routes
from .upstreams import UpstreamSet

__all__ = ('run_entry',)

HTTP_NOT_FOUND = 404

# time for the balancer to see that the entry is not ready
DRAIN_NOTICE_S = 1.0


async def run_entry(cfg: EntrySettings) -> None:
    """Run until a stop signal and the drain that follows it."""
    async with (
        open_platform(cfg.platform) as platform,
        open_rpc_pool() as caller,
        trio.open_nursery() as nursery,
    ):
        control = Control(
            instance=cfg.instance,
            role=Role.ENTRY,
            ports=cfg.ports,
            platform=platform,
            readiness=Readiness(),
            caller=caller,
        )
        upstreams = UpstreamSet(control.membership, cfg.instance, cfg.ports)
        ctx = _make_context(cfg, control, upstreams)
        app = _make_app(ctx, nursery)
        await control.start(nursery, cfg.platform.instance_poll_s)
        nursery.start_soon(upstreams.run)
        nursery.start_soon(ctx.limits.run)
        nursery.start_soon(_begin_drain_on_signal, control)
        nursery.start_soon(_mark_ready, control)
        await serve_app(
            app,
            cfg.http.host or cfg.instance.host,
            cfg.http.port,
            _DrainTrigger(control.readiness).wait,
        )
        nursery.cancel_scope.cancel()


@attrs.frozen
class _DrainTrigger:
    """Ends the HTTP server some time after the drain has begun."""

    readiness: Readiness

    async def wait(self) -> None:
        await self.readiness.drain.wait()
        await trio.sleep(DRAIN_NOTICE_S)


async def _begin_drain_on_signal(control: Control) -> None:
    await wait_for_stop_signal()
    control.readiness.begin_drain()


async def _mark_ready(control: Control) -> None:
    await control.wait_configured()
    control.readiness.has_started = True


def _make_context(
    cfg: EntrySettings, control: Control, upstreams: UpstreamSet
) -> EntryContext:
    rng = random.Random()
    return EntryContext(
        cfg=cfg,
        control=control,
        dispatcher=Dispatcher(
            upstreams, BoundedAffinityPolicy(rng), RetryBudgets(), rng
        ),
        limits=Limits(cfg.instance.name, FleetLender(control)),
        copies=SegmentCopies(
            caller=control.caller,
            membership=control.membership,
            port=cfg.ports.batch_store,
            copies=cfg.copies,
        ),
    )


def _make_app(ctx: EntryContext, nursery: trio.Nursery) -> QuartTrio:
    app = QuartTrio('briarrill')
    app.config['MAX_CONTENT_LENGTH'] = ctx.cfg.max_file_bytes
    add_ops_routes(app, ctx.control.readiness)
    add_online_routes(app, ctx)
    add_batch_routes(app, ctx, JobDirectory(ctx.control, nursery))

    @app.errorhandler(BriarrillError)
    async def refuse(exc: BriarrillError) -> Response:
        return _error_response(exc)

    @app.errorhandler(HTTPException)
    async def refuse_http(exc: HTTPException) -> Response:
        return _error_response(_from_http_exception(exc))

    return app


def _from_http_exception(exc: HTTPException) -> BriarrillError:
    message = exc.description or exc.name
    if isinstance(exc, RequestEntityTooLarge):
        return TooLargeError(message)
    if exc.code == HTTP_NOT_FOUND:
        return NotFoundError(message)
    if exc.code and exc.code < InternalError.http_status:
        return BadRequestError(message)
    return InternalError(message)


def _error_response(exc: BriarrillError) -> Response:
    if exc.ran is Ran.NO:
        REFUSED.labels(exc.code.name).inc()
    headers = {}
    if exc.retry_after_s is not None:
        headers['Retry-After'] = str(math.ceil(exc.retry_after_s))
    return Response(
        msgspec.json.encode(error_body(exc)),
        status=exc.http_status,
        content_type='application/json',
        headers=headers,
    )
