"""briarrill.entry.service: assembles and runs one entry process."""

import random

import attrs
import trio

from ..control import Control
from ..coordination.prompt_crashes import PromptQuarantine
from ..coordination.retries import RetryBudgets
from ..coordination.routing import BoundedAffinityPolicy
from ..coordination.upstream_ends import observe_prompt_news
from ..protocol.rpc import open_rpc_pool
from ..readiness import Readiness
from ..runtime import open_platform, wait_for_stop_signal
from ..state.segment_replicas import SegmentReplicas
from ..state.settings import EntrySettings
from ..transport.http_server import HttpTimeouts, serve_app
from ..transport.instance_list import Role
from .app import make_app
from .context import EntryContext
from .dispatch import Dispatcher
from .lender import FleetLender
from .limits import ContractLimits
from .upstreams import UpstreamSet

__all__ = ('run_entry',)

# time for the load balancer to poll that the entry is not ready
DRAIN_NOTICE_S = 1.0

# added to request_timeout_s so that the last response can be sent
DRAIN_MARGIN_S = 5.0


async def run_entry(cfg: EntrySettings) -> None:
    """Run an entry until it has drained after a stop signal."""
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
        ends = observe_prompt_news()
        upstreams = UpstreamSet(
            control.membership, cfg.instance, cfg.ports, ends.receive_news
        )
        ctx = _make_context(cfg, control, upstreams, ends.quarantine)
        app = make_app(ctx, nursery)
        await control.start(nursery, cfg.platform.instance_poll_s)
        nursery.start_soon(upstreams.run)
        nursery.start_soon(ends.run)
        nursery.start_soon(ctx.limits.run)
        nursery.start_soon(_begin_drain_on_signal, control)
        nursery.start_soon(_mark_ready, control)
        await serve_app(
            app,
            cfg.http.host or cfg.instance.host,
            cfg.http.port,
            _DrainTrigger(control.readiness).wait,
            HttpTimeouts(
                idle_s=cfg.http.idle_timeout_s,
                send_s=cfg.http.send_timeout_s,
                shutdown_grace_s=cfg.request_timeout_s + DRAIN_MARGIN_S,
            ),
        )
        nursery.cancel_scope.cancel()


@attrs.frozen
class _DrainTrigger:
    """Stops the HTTP server ``DRAIN_NOTICE_S`` after the drain has begun.

    Requests are served until then, since the load balancer still sends them
    before its next poll of the readiness.
    """

    readiness: Readiness

    async def wait(self) -> None:
        """Wait for the drain, then stop accepting requests."""
        await self.readiness.drain_begun.wait()
        await trio.sleep(DRAIN_NOTICE_S)
        self.readiness.reject_work()


async def _begin_drain_on_signal(control: Control) -> None:
    await wait_for_stop_signal()
    control.readiness.begin_drain()


async def _mark_ready(control: Control) -> None:
    """Set the entry ready once it has a configuration."""
    await control.wait_configured()
    control.readiness.has_started = True


def _make_context(
    cfg: EntrySettings,
    control: Control,
    upstreams: UpstreamSet,
    quarantine: PromptQuarantine,
) -> EntryContext:
    """Assemble the services that the routes share."""
    rng = random.Random()
    return EntryContext(
        cfg=cfg,
        control=control,
        dispatcher=Dispatcher(
            upstreams,
            BoundedAffinityPolicy(rng),
            RetryBudgets(),
            rng,
            quarantine,
        ),
        limits=ContractLimits(cfg.instance.name, FleetLender(control)),
        segment_replicas=SegmentReplicas(
            caller=control.caller,
            membership=control.membership,
            port=cfg.ports.batch_store,
            replica_count=cfg.copies,
        ),
    )
