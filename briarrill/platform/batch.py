"""briarrill.platform.batch: a batch process on the platform."""

import trio
from eliot import log_message

from ..coordination.job_table import JobTable
from ..item_runs.checkpoints import Checkpoints
from ..item_runs.commits import Committer
from ..item_runs.handover import HANDOVER_PATH, Handover
from ..item_runs.run import ItemRunner
from ..item_runs.scheduler import Scheduler
from ..item_runs.slots import FreeSlots
from ..state.checkpoint_file import CheckpointFile
from ..state.keys import ROOT
from .fleet import Fleet, follow_fleet, open_fleet, watch_signals
from .retirement import Retirement
from .settings import PlatformInstance
from .wire import PlatformWire

__all__ = ('run_batch',)

# time before the kill at which running items are given up, and what is left
# of it for their results
GIVE_UP_MARGIN_S = 1.5
COMMIT_MARGIN_S = 0.3

POLL_S = 0.02


async def run_batch(cfg: PlatformInstance) -> None:
    """Run until a stop signal and the drain that follows it."""
    async with open_fleet(cfg, runs_batch=True) as fleet:
        jobs = JobTable(fleet.store)
        fleet.own_keys.add('', jobs)
        committer = Committer(fleet.store, jobs)
        handover = Handover(cfg.name, fleet.load, cfg.peer_port, {})
        fleet.offers[HANDOVER_PATH] = handover.hand_over
        slots = FreeSlots(
            process=cfg.name,
            upstreams=fleet.upstreams,
            load=fleet.load,
            is_connected=lambda: fleet.mirrors[ROOT].is_connected,
        )
        runner = ItemRunner(
            PlatformWire(), fleet.load.silence, fleet.load.delays
        )
        scheduler = Scheduler(jobs, slots, handover, runner, committer)
        _connect(fleet, scheduler)
        retirement = Retirement(fleet.store, cfg.name, scheduler)
        fleet.operator_keys.add('', retirement)
        async with follow_fleet(fleet), trio.open_nursery() as nursery:
            nursery.start_soon(watch_signals, fleet.readiness)
            nursery.start_soon(committer.run)
            nursery.start_soon(scheduler.run, lambda: fleet.holder.routes)
            nursery.start_soon(retirement.run)
            if cfg.data_dir is not None:
                checkpoints = Checkpoints(
                    CheckpointFile(cfg.data_dir),
                    jobs,
                    handover.suspended,
                    lambda: scheduler.local_items.open_items,
                    fleet.load.report_now,
                )
                nursery.start_soon(checkpoints.run)
            await fleet.readiness.drain.wait()
            await _drain(scheduler, cfg.grace_s)
            nursery.cancel_scope.cancel()


def _connect(fleet: Fleet, scheduler: Scheduler) -> None:
    """Let reports tell of the items in hand, and wake the scheduler."""
    describe = fleet.describe
    fleet.load.describe = lambda report: scheduler.local_items.describe(
        describe(report)
    )
    fleet.load.on_report.append(lambda report: scheduler.wake())


async def _drain(scheduler: Scheduler, grace_s: float) -> None:
    """Let running items end, then give up the others."""
    scheduler.is_draining = True
    with trio.move_on_after(grace_s - GIVE_UP_MARGIN_S):
        while not scheduler.local_items.is_idle:
            await trio.sleep(POLL_S)
    scheduler.preempt_all()
    with trio.move_on_after(GIVE_UP_MARGIN_S - COMMIT_MARGIN_S):
        while not scheduler.local_items.is_idle:
            await trio.sleep(POLL_S)
    log_message('drain:ended', is_idle=scheduler.local_items.is_idle)
