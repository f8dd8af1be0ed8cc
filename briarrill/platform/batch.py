"""briarrill.platform.batch: runs a batch process on the platform."""

import trio
from eliot import log_message
from prometheus_client import generate_latest

from ..coordination.quarantine_trials import QuarantineTrials
from ..coordination.suspect_probes import SuspectProber
from ..item_runs.checkpoints import Checkpoints
from ..item_runs.handover import HANDOVER_PATH, Handover
from ..item_runs.item_runner import ItemRunner
from ..item_runs.result_commits import Committer
from ..item_runs.scheduler import Scheduler
from ..item_runs.slots import FreeSlots
from ..item_runs.wait_check import WaitCheck
from ..state.checkpoint_file import CheckpointFile
from ..state.keys import ROOT_PREFIX
from .configuration import OPERATOR_PREFIX
from .process_parts import (
    ProcessParts,
    open_parts,
    run_background_tasks,
    watch_signals,
)
from .relay_protocol import PlatformRelayProtocol
from .retirement import Retirement
from .settings import PlatformInstance

__all__ = ('run_batch',)

# running items are preempted PREEMPT_MARGIN_S before the kill, and the writes
# of results stop COMMIT_MARGIN_S before it
PREEMPT_MARGIN_S = 1.5
COMMIT_MARGIN_S = 0.3

DRAIN_POLL_INTERVAL_S = 0.02

# metrics are among what peers read, since a batch process has no other port
METRICS_PATH = '/metrics'


async def run_batch(cfg: PlatformInstance) -> None:
    """Run items until a stop signal, then drain."""
    async with open_parts(cfg, runs_batch=True) as parts:
        jobs = parts.make_job_table().jobs
        committer = Committer(parts.store, jobs)
        handover = Handover(cfg.name, parts.load, cfg.peer_port, {})
        parts.resources[HANDOVER_PATH] = handover.hand_over
        parts.resources[METRICS_PATH] = _read_metrics
        slots = FreeSlots(
            process=cfg.name,
            upstreams=parts.upstreams,
            load=parts.load,
            is_connected=lambda: parts.is_connected(ROOT_PREFIX),
        )
        runner = ItemRunner(
            PlatformRelayProtocol(),
            parts.load.silence,
            parts.load.delays,
            parts.upstreams,
            parts.ends,
            parts.load.limits,
            QuarantineTrials(parts.ends.quarantine, slots.rank_for),
            parts.load.knowledge,
        )
        scheduler = Scheduler(jobs, slots, handover, runner, committer)
        _connect_reports(parts, scheduler)
        prober = SuspectProber(
            runner.protocol,
            parts.upstreams,
            parts.load.silence,
            parts.load.schedule_report,
        )
        retirement = Retirement(parts.store, cfg.name, scheduler)
        parts.operator_keys.add('', retirement)
        check = WaitCheck(
            scheduler.waits, lambda: parts.routing_configuration.routes
        )
        async with run_background_tasks(parts), trio.open_nursery() as nursery:
            nursery.start_soon(watch_signals, parts.readiness)
            for run in (committer.run, prober.run, check.run, retirement.run):
                nursery.start_soon(run)
            nursery.start_soon(
                scheduler.run,
                check.routes,
                lambda: not parts.mirrors[OPERATOR_PREFIX].is_behind,
            )
            if cfg.data_dir is not None:
                checkpoints = Checkpoints(
                    CheckpointFile(cfg.data_dir),
                    jobs,
                    handover.suspended,
                    lambda: scheduler.local_items.open_items,
                    parts.load.schedule_urgent_report,
                )
                nursery.start_soon(checkpoints.run)
            await parts.readiness.drain_begun.wait()
            await _drain(scheduler, cfg.grace_s)
            nursery.cancel_scope.cancel()


def _read_metrics(_: str) -> bytes:
    return generate_latest()


def _connect_reports(parts: ProcessParts, scheduler: Scheduler) -> None:
    """Add this process's items to its reports; wake on peers' reports."""
    complete_report = parts.complete_report
    parts.load.complete_report = lambda report: (
        scheduler.local_items.complete_report(complete_report(report))
    )
    parts.load.peers.on_report.append(scheduler.wake_on_report)


async def _drain(scheduler: Scheduler, grace_s: float) -> None:
    """Let running items end, then preempt the rest and write results."""
    scheduler.begin_drain()
    with trio.move_on_after(grace_s - PREEMPT_MARGIN_S):
        while not scheduler.local_items.is_idle:
            await trio.sleep(DRAIN_POLL_INTERVAL_S)
    scheduler.preempt_all()
    with trio.move_on_after(PREEMPT_MARGIN_S - COMMIT_MARGIN_S):
        while not scheduler.local_items.is_idle:
            await trio.sleep(DRAIN_POLL_INTERVAL_S)
    log_message('drain:ended', is_idle=scheduler.local_items.is_idle)
