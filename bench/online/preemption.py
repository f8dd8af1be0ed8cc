"""bench.online.preemption: time for an online burst to preempt batch items.

Uses a sidecar's admission and batch runner, with a stand-in engine over HTTP
in a process of its own.
"""

import httpx
import trio

from bench.traces import load_trace
from briarrill.coordination.admission import Admission
from briarrill.protocol.messages import BatchItem
from briarrill.sidecar.batch import BatchRunner
from briarrill.sidecar.engine_ends import EngineEnds
from briarrill.sidecar.upstreams import EngineUpstream, UpstreamRequest

from .baselines import TimedAdmission, TimedSharedQueue
from .engine_process import open_engine
from .figures import print_line
from .replay import percentile
from .rig import MODEL, PATH, completion_body

__all__ = ('measure_preemption',)

SLOTS = 8
PREEMPTION_BURSTS = 25
BASELINE_BURSTS = 4
BATCH_TOKENS = 100
ONLINE_TOKENS = 3


async def measure_preemption() -> None:
    """Send bursts as large as the number of slots; print their waits."""
    target = load_trace('online-bursts').outcomes['yield_ms']
    with open_engine() as url:
        async with httpx.AsyncClient(base_url=url, timeout=None) as client:
            upstream = EngineUpstream(client)
            timed = TimedAdmission(SLOTS, queue=64)
            shared = TimedSharedQueue(SLOTS, queue=64)
            for admission, bursts in (
                (timed, PREEMPTION_BURSTS),
                (shared, BASELINE_BURSTS),
            ):
                await _run_bursts(upstream, admission, bursts)
    p50, p99 = (
        percentile(timed.waits_s, percent) * 1000 for percent in (50, 99)
    )
    baseline = percentile(shared.waits_s, 99) * 1000
    verdict = 'reached' if p99 <= target else 'NOT reached'
    print_line(
        f'slots yielded to a burst of {SLOTS}, {len(timed.waits_s)} requests: '
        f'p50 {p50:.1f} ms p99 {p99:.1f} ms '
        f'max {max(timed.waits_s) * 1000:.1f} '
        f'ms (target {target:.0f} ms, {verdict}; one shared queue p99 '
        f'{baseline:.0f} ms)'
    )


async def _run_bursts(
    upstream: EngineUpstream, admission: Admission, bursts: int
) -> None:
    runner = BatchRunner(
        upstream, admission, EngineEnds('s', upstream.client.base_url)
    )
    async with trio.open_nursery() as nursery:
        for _ in range(SLOTS + 2):
            nursery.start_soon(_run_items, runner)
        for _ in range(bursts):
            await trio.sleep(1)
            async with trio.open_nursery() as burst:
                for _ in range(SLOTS):
                    burst.start_soon(_call, upstream, admission)
        nursery.cancel_scope.cancel()


async def _run_items(runner: BatchRunner) -> None:
    while True:
        await runner.run_item(
            BatchItem(
                job='bench',
                index=0,
                epoch=1,
                contract='kinship-plans',
                model=MODEL,
                url=PATH,
                body=completion_body(BATCH_TOKENS),
            )
        )


async def _call(upstream: EngineUpstream, admission: Admission) -> None:
    async with admission.online_slot('signal-engineers'):
        req = UpstreamRequest('POST', PATH, completion_body(ONLINE_TOKENS))
        async with upstream.send(req) as response:
            async for _ in response.chunks:
                await trio.lowlevel.checkpoint()
