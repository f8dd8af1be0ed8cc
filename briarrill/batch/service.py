"""briarrill.batch.service: assembles and runs one batch process."""

import pathlib
from collections.abc import Awaitable, Callable

import attrs
import trio
from eliot import log_message

from ..control import Control
from ..coordination.leases import Lease, hold_lease
from ..coordination.upstream_ends import observe_prompt_news
from ..errors import BriarrillError, DrainingError
from ..protocol.messages import (
    CancelJob,
    GetSegment,
    JobNotice,
    Message,
    Ok,
    PutSegment,
)
from ..protocol.rpc import (
    RequestHandlers,
    RpcPool,
    open_rpc_pool,
    serve_rpc,
)
from ..readiness import Readiness
from ..runtime import (
    Platform,
    open_platform,
    serve_ops,
    wait_for_stop_signal,
)
from ..state.configuration_cache import ConfigurationCache
from ..state.contracts import Contract
from ..state.segment_replicas import SegmentReplicas
from ..state.segments import SegmentFolder
from ..state.settings import BatchSettings
from ..transport.instance_list import Role
from ..transport.zmq_socket import open_router
from .item_dispatcher import ItemDispatcher
from .item_sources import ItemSources
from .job_finder import JobFinder, new_process_name
from .job_runner import JobRunner
from .job_store import JobStore
from .store_server import StoreServer

__all__ = ('BatchProcess', 'run_batch')

_REMOVED_CONTRACT_LIMITS = Contract(api_key_sha256=())


async def run_batch(cfg: BatchSettings) -> None:
    """Run a batch process until a stop signal and the drain after it."""
    process = new_process_name(cfg.instance.name)
    async with (
        open_platform(cfg.platform) as platform,
        open_rpc_pool() as caller,
        hold_lease(platform.key_value, process, cfg.lease_ttl_s) as lease,
    ):
        with open_router(cfg.instance.host, cfg.ports.batch_items) as socket:
            control = _make_control(cfg, platform, caller)
            store = _make_job_store(cfg, platform, lease, process)
            sources = ItemSources(_ContractLookup(control).find)
            batch = BatchProcess(
                cfg=cfg,
                control=control,
                store=store,
                segment_replicas=_make_segment_replicas(cfg, control),
                dispatcher=ItemDispatcher(
                    socket, sources, observe_prompt_news()
                ),
                finder=JobFinder(
                    store, control.membership, caller, cfg.ports.batch_store
                ),
            )
            await batch.run(wait_for_stop_signal)


@attrs.frozen
class _ContractLookup:
    """Looks up contracts; a removed contract has the default limits."""

    control: Control

    def find(self, name: str) -> Contract:
        contracts = self.control.config_holder.current.contracts
        return contracts.get(name, _REMOVED_CONTRACT_LIMITS)


def _make_control(
    cfg: BatchSettings, platform: Platform, caller: RpcPool
) -> Control:
    return Control(
        instance=cfg.instance,
        role=Role.BATCH,
        ports=cfg.ports,
        platform=platform,
        readiness=Readiness(),
        caller=caller,
        config_cache=ConfigurationCache(pathlib.Path(cfg.store.folder)),
    )


def _make_job_store(
    cfg: BatchSettings, platform: Platform, lease: Lease, process: str
) -> JobStore:
    return JobStore(
        service=platform.key_value,
        lease=lease,
        process=process,
        host=cfg.instance.host,
    )


def _make_segment_replicas(
    cfg: BatchSettings, control: Control
) -> SegmentReplicas:
    return SegmentReplicas(
        caller=control.caller,
        membership=control.membership,
        port=cfg.ports.batch_store,
        replica_count=cfg.store.copies,
    )


@attrs.define
class BatchProcess:
    """Assembled components and running jobs of one batch process.

    :param runners: runners of the owned jobs, by job key.
    """

    cfg: BatchSettings
    control: Control
    store: JobStore
    segment_replicas: SegmentReplicas
    dispatcher: ItemDispatcher
    finder: JobFinder
    runners: dict[str, JobRunner] = attrs.field(factory=dict)

    async def run(self, wait_stop: Callable[[], Awaitable[None]]) -> None:
        """Run until stopped and drained.

        :param wait_stop: returns when the graceful stop begins.
        """
        cfg = self.cfg
        async with trio.open_nursery() as nursery:
            await nursery.start(
                serve_rpc,
                cfg.instance.host,
                cfg.ports.batch_store,
                self._store_handlers(),
            )
            await self.control.start(nursery, cfg.platform.instance_poll_s)
            nursery.start_soon(
                serve_ops,
                cfg.metrics,
                cfg.instance.host,
                self.control.readiness,
            )
            nursery.start_soon(self.dispatcher.run)
            nursery.start_soon(self._drain_on_stop, wait_stop)
            await self.control.wait_configured()
            self.control.readiness.has_started = True
            await self._run_jobs()
            nursery.cancel_scope.cancel()

    def _store_handlers(self) -> RequestHandlers:
        folder = SegmentFolder(self.cfg.store.folder, self.cfg.store.max_bytes)
        server = StoreServer(folder)
        return {
            PutSegment: server.handle_put,
            GetSegment: server.handle_get,
            JobNotice: self._handle_notice,
            CancelJob: self._handle_cancel,
        }

    async def _drain_on_stop(
        self, wait_stop: Callable[[], Awaitable[None]]
    ) -> None:
        await wait_stop()
        self.control.readiness.begin_drain()

    async def _handle_notice(self, notice: JobNotice) -> Message:
        if self.control.readiness.is_draining:
            raise DrainingError('the batch process is stopping')
        self.finder.offer(notice.job)
        return Ok()

    async def _handle_cancel(self, cancel: CancelJob) -> Message:
        """Revoke a job's items at all sidecars, whoever owns the job."""
        runner = self.runners.get(cancel.job)
        if runner is not None:
            runner.cancel()
        self.dispatcher.revoke(cancel.job, epoch=None)
        return Ok()

    async def _run_jobs(self) -> None:
        """Claim and run jobs until the drain, then release them."""
        async with trio.open_nursery() as nursery:
            async with trio.open_nursery() as claiming:
                claiming.start_soon(self.finder.run)
                claiming.start_soon(self._claim_offers, nursery)
                await self.control.readiness.drain_begun.wait()
                claiming.cancel_scope.cancel()
            for runner in list(self.runners.values()):
                runner.release()
            released = list(self.runners)
        await self.finder.offer_released_jobs(released)

    async def _claim_offers(self, nursery: trio.Nursery) -> None:
        """Claim offered jobs and start a runner for each."""
        while True:
            key = await self.finder.next_offer()
            if key in self.runners:
                continue
            try:
                job = await self.store.claim(key)
            except BriarrillError as exc:
                # the claim may have taken effect, so it is retried
                log_message('job:claim-failed', reason=exc.message)
                self.finder.offer_after_delay(key)
                continue
            if job is not None:
                runner = JobRunner(
                    job, self.store, self.segment_replicas, self.dispatcher
                )
                # set before the task starts, or a second offer claims it again
                self.runners[key] = runner
                nursery.start_soon(self._run_job, runner)

    async def _run_job(self, runner: JobRunner) -> None:
        """Run a job and unregister its runner at the end."""
        if self.control.readiness.is_draining:
            runner.release()
        try:
            await runner.run()
        finally:
            self.runners.pop(runner.job)
