"""briarrill.batch.service: assembles and runs one batch process."""

import contextlib
import pathlib

import attrs
import trio

from ..control import Control
from ..coordination.leases import Lease, hold_lease
from ..errors import BriarrillError
from ..protocol.messages import (
    CancelJob,
    GetSegment,
    JobNotice,
    Message,
    Ok,
    PutSegment,
)
from ..protocol.rpc import (
    HandlerTable,
    RpcPool,
    open_rpc_pool,
    serve_rpc,
)
from ..runtime import (
    Platform,
    Readiness,
    open_platform,
    serve_ops,
    wait_for_stop_signal,
)
from ..state.config_file import ConfigFile
from ..state.segment_copies import SegmentCopies
from ..state.segments import SegmentFolder
from ..state.settings import BatchSettings
from ..transport.instance_list import Role
from ..transport.zmq_socket import open_router
from .handout import Handout
from .job_runner import JobRunner
from .job_store import JobStore, OwnedJob
from .store_server import StoreServer

__all__ = ('run_batch',)

# seconds between searches for jobs without an owner
SEARCH_INTERVAL_S = 1.0


async def run_batch(cfg: BatchSettings) -> None:
    """Run until a stop signal and the drain that follows it."""
    process = f'{cfg.instance.name}.batch'
    async with (
        open_platform(cfg.platform) as platform,
        open_rpc_pool() as caller,
        hold_lease(platform.key_value, process, cfg.lease_ttl_s) as lease,
    ):
        with open_router(cfg.instance.host, cfg.ports.batch_items) as socket:
            control = _make_control(cfg, platform, caller)
            batch = _Batch(
                cfg=cfg,
                control=control,
                jobs=_make_job_store(cfg, platform, lease, process),
                copies=_make_copies(cfg, control),
                handout=Handout(socket),
            )
            await batch.run()


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
        config_file=ConfigFile(pathlib.Path(cfg.store.folder)),
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


def _make_copies(cfg: BatchSettings, control: Control) -> SegmentCopies:
    return SegmentCopies(
        caller=control.caller,
        membership=control.membership,
        port=cfg.ports.batch_store,
        copies=cfg.store.copies,
    )


@attrs.define
class _Batch:
    """The tasks of one batch process."""

    cfg: BatchSettings
    control: Control
    jobs: JobStore
    copies: SegmentCopies
    handout: Handout
    runners: dict[str, JobRunner] = attrs.field(factory=dict)
    search: trio.Event = attrs.field(factory=trio.Event)

    async def run(self) -> None:
        """Run until drained."""
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
            nursery.start_soon(self.handout.run)
            nursery.start_soon(self._begin_drain_on_signal)
            await self.control.wait_configured()
            self.control.readiness.has_started = True
            nursery.start_soon(self._find_jobs, nursery)
            await self.control.readiness.drain.wait()
            nursery.cancel_scope.cancel()

    def _store_handlers(self) -> HandlerTable:
        folder = SegmentFolder(self.cfg.store.folder, self.cfg.store.max_bytes)
        store = StoreServer(folder)
        return {
            PutSegment: store.answer_put,
            GetSegment: store.answer_get,
            JobNotice: self._answer_notice,
            CancelJob: self._answer_cancel,
        }

    async def _begin_drain_on_signal(self) -> None:
        await wait_for_stop_signal()
        self.control.readiness.begin_drain()

    async def _answer_notice(self, _notice: JobNotice) -> Message:
        self.search.set()
        return Ok()

    async def _answer_cancel(self, cancel: CancelJob) -> Message:
        runner = self.runners.get(cancel.job)
        if runner is not None:
            runner.cancel()
        return Ok()

    async def _find_jobs(self, nursery: trio.Nursery) -> None:
        while True:
            with contextlib.suppress(BriarrillError):
                for key in await self.jobs.find_unowned():
                    await self._claim(key, nursery)
            with trio.move_on_after(SEARCH_INTERVAL_S):
                await self.search.wait()
            self.search = trio.Event()

    async def _claim(self, key: str, nursery: trio.Nursery) -> None:
        if key in self.runners:
            return
        job = await self.jobs.claim(key)
        if job is not None:
            nursery.start_soon(self._run_job, job)

    async def _run_job(self, job: OwnedJob) -> None:
        runner = JobRunner(job, self.jobs, self.copies, self.handout)
        self.runners[job.key] = runner
        try:
            await runner.run()
        finally:
            self.runners.pop(job.key)
