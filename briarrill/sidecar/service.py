"""briarrill.sidecar.service: assembles and runs one sidecar process."""

import contextlib

import attrs
import httpx
import trio

from ..control import Control
from ..coordination.admission import Admission, reserved_slots
from ..protocol.rpc import open_rpc_pool
from ..readiness import Readiness
from ..runtime import (
    open_platform,
    serve_ops,
    wait_for_stop_signal,
)
from ..state.settings import SidecarSettings, UpstreamKind
from ..transport.instance_list import Instance, Role
from ..transport.zmq_socket import open_router
from .batch import BatchPuller, BatchRunner
from .online import OnlineServer, SidecarIdentity
from .unfinished_items import UnfinishedItems
from .upstreams import UPSTREAMS, Upstream

__all__ = ('run_sidecar',)

MODEL_POLL_S = 1.0
DRAIN_POLL_S = 0.05

# interval of the check whether a batch process is still listed
UNLISTED_POLL_S = 1.0

# time for entries to receive the draining state before the exit
DRAIN_NOTICE_S = 1.0

# time for the socket to send the last messages before the exit
DRAIN_FLUSH_S = 0.2

# admission limits the requests to the upstream
UNLIMITED_CONNECTIONS = httpx.Limits(max_connections=None)


async def run_sidecar(cfg: SidecarSettings) -> None:
    """Run a sidecar until it has drained after a stop signal."""
    async with (
        open_platform(cfg.platform) as platform,
        open_rpc_pool() as caller,
        httpx.AsyncClient(
            base_url=cfg.upstream.url,
            timeout=None,
            limits=UNLIMITED_CONNECTIONS,
        ) as client,
    ):
        upstream = UPSTREAMS[cfg.upstream.kind](client)
        control = Control(
            instance=cfg.instance,
            role=Role.UPSTREAM,
            ports=cfg.ports,
            platform=platform,
            readiness=Readiness(),
            caller=caller,
        )
        with open_router(
            cfg.instance.host, cfg.ports.sidecar_online
        ) as socket:
            server = OnlineServer(
                socket,
                _identity(cfg),
                upstream,
                Admission(cfg.upstream.slots, cfg.upstream.queue),
                control.readiness,
            )
            await _Sidecar(cfg, control, upstream, server).run()


def _identity(cfg: SidecarSettings) -> SidecarIdentity:
    is_service = cfg.upstream.kind is UpstreamKind.SERVICE
    return SidecarIdentity(
        process=cfg.instance.name,
        service=cfg.upstream.pool if is_service else '',
    )


@attrs.define
class _Sidecar:
    """Runs the tasks of one sidecar process."""

    cfg: SidecarSettings
    control: Control
    upstream: Upstream
    server: OnlineServer
    pullers: dict[str, BatchPuller] = attrs.field(factory=dict)
    unfinished_items: UnfinishedItems = attrs.field(factory=UnfinishedItems)

    async def run(self) -> None:
        """Run all tasks until the sidecar has drained."""
        cfg = self.cfg
        self.control.report_load = self.server.load
        async with trio.open_nursery() as nursery:
            await self.control.start(nursery, cfg.platform.instance_poll_s)
            nursery.start_soon(
                serve_ops,
                cfg.metrics,
                cfg.instance.host,
                self.control.readiness,
            )
            nursery.start_soon(self.server.run)
            nursery.start_soon(self._poll_models)
            nursery.start_soon(self._run_pullers)
            nursery.start_soon(self._begin_drain_on_signal)
            nursery.start_soon(self._apply_policy)
            await self._wait_drained()
            nursery.cancel_scope.cancel()

    async def _begin_drain_on_signal(self) -> None:
        await wait_for_stop_signal()
        self.control.readiness.begin_drain()

    async def _wait_drained(self) -> None:
        """Wait for the drain and for the calls and items in flight."""
        await self.control.readiness.drain_begun.wait()
        self.server.broadcast_heartbeat()
        await trio.sleep(DRAIN_NOTICE_S)
        while self._count_in_flight():
            await trio.sleep(DRAIN_POLL_S)
        await trio.sleep(DRAIN_FLUSH_S)

    def _count_in_flight(self) -> int:
        return self.server.in_flight + len(self.unfinished_items)

    async def _apply_policy(self) -> None:
        """Reserve slots for online requests by each configuration version."""
        admission = self.server.admission
        holder = self.control.config_holder
        await self.control.wait_configured()
        self.control.readiness.has_started = True
        while True:
            weight = holder.current.policy.online_weight
            admission.reserve(reserved_slots(admission.slots, weight))
            await holder.wait_changed()

    async def _poll_models(self) -> None:
        """Fetch the upstream's models at intervals; keep them on errors."""
        while True:
            with contextlib.suppress(httpx.HTTPError):
                models = await self.upstream.fetch_models()
                self.server.models = models
                for puller in self.pullers.values():
                    puller.models = models
            await trio.sleep(MODEL_POLL_S)

    async def _run_pullers(self) -> None:
        """Run one puller for each listed batch process."""
        runner = BatchRunner(
            self.upstream, self.server.admission, self.server.ends
        )
        async with trio.open_nursery() as nursery:
            while True:
                for instance in self.control.membership.live_instances(
                    Role.BATCH
                ):
                    if instance.name not in self.pullers:
                        nursery.start_soon(self._run_puller, instance, runner)
                await self.control.membership.wait_changed()

    async def _run_puller(
        self, instance: Instance, runner: BatchRunner
    ) -> None:
        """Pull items from one batch process until it is unlisted."""
        puller = BatchPuller(
            _identity(self.cfg),
            runner,
            self.control.readiness,
            instance.name,
            self.unfinished_items,
        )
        puller.models = self.server.models
        self.pullers[instance.name] = puller
        self._update_process_counts()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stop_when_unlisted, puller, nursery)
            await puller.run(instance.host, self.cfg.ports.batch_items)
        self.pullers.pop(instance.name)
        self._update_process_counts()

    def _update_process_counts(self) -> None:
        """Set the number of pulled processes at all pullers."""
        for puller in self.pullers.values():
            puller.process_count = len(self.pullers)

    async def _stop_when_unlisted(
        self, puller: BatchPuller, nursery: trio.Nursery
    ) -> None:
        """Stop a puller whose process is unlisted and owns no items."""
        membership = self.control.membership
        while (
            membership.find_instance(puller.owner) or puller.unfinished_count
        ):
            await trio.sleep(UNLISTED_POLL_S)
        nursery.cancel_scope.cancel()
