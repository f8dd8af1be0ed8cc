"""bench.online.sidecars: a process of sidecars with simulated engines.

The engines use the stand-in's token-rate model without its HTTP server. For
each line on standard input, the process prints the number of tokens
generated for batch items so far.
"""

import contextlib
import itertools
import json
import sys
from collections.abc import AsyncIterator

import attrs
import httpx
import msgspec
import trio

from briarrill.coordination.admission import Admission
from briarrill.protocol.messages import BatchItem
from briarrill.readiness import Readiness
from briarrill.sidecar.batch import BatchRunner
from briarrill.sidecar.online import OnlineServer, SidecarIdentity
from briarrill.sidecar.upstreams import (
    Upstream,
    UpstreamRequest,
    UpstreamResponse,
)
from briarrill.transport.zmq_socket import open_router
from standins.engine import EngineModel, stream_chat

from .baselines import SharedQueue
from .rig import MODEL, PATH, PORT, RigPlan, completion_body, sidecar_host

ADMISSIONS = {'own': Admission, 'shared queue': SharedQueue}

BATCH_TOKENS = 60

# batch items in flight beyond the slots, so that a free slot is refilled
# at once
EXTRA_BATCH_ITEMS = 2


class SimulatedUpstream(Upstream):
    """Upstream by the engine model; counts the generated events."""

    kind = 'modelled'

    def __init__(self, engine: EngineModel) -> None:
        """Share the engine with the sidecar's other upstream objects."""
        super().__init__(httpx.AsyncClient())
        self.engine = engine
        self.tokens = 0

    async def fetch_models(self) -> tuple[str, ...]:
        """Return the model of the bench."""
        return (MODEL,)

    def iter_chunks(self, reply: httpx.Response) -> AsyncIterator[bytes]:
        """Raise: no response comes over HTTP."""
        raise NotImplementedError

    @contextlib.asynccontextmanager
    async def send(
        self, req: UpstreamRequest
    ) -> AsyncIterator[UpstreamResponse]:
        """Generate the response; leaving the context stops it."""
        async with contextlib.aclosing(self._count_events(req)) as chunks:
            yield UpstreamResponse(200, 'text/event-stream', chunks)

    async def _count_events(
        self, req: UpstreamRequest
    ) -> AsyncIterator[bytes]:
        events = stream_chat(self.engine, json.loads(req.body))
        async with contextlib.aclosing(events):
            async for event in events:
                self.tokens += 1
                yield event


@attrs.define
class _Sidecar:
    """One sidecar: its online server and the upstream of its batch items."""

    plan: RigPlan
    number: int
    server: OnlineServer
    batch: SimulatedUpstream

    async def run_batch(self) -> None:
        """Run batch items without end, more than there are slots."""
        runner = BatchRunner(
            self.batch, self.server.admission, self.server.ends
        )
        async with trio.open_nursery() as nursery:
            for _ in range(self.plan.slots + EXTRA_BATCH_ITEMS):
                nursery.start_soon(_run_items, runner)


async def _run_items(runner: BatchRunner) -> None:
    for index in itertools.count():
        await runner.run_item(
            BatchItem(
                job='bench',
                index=index,
                epoch=1,
                contract='kinship-plans',
                model=MODEL,
                url=PATH,
                body=completion_body(BATCH_TOKENS),
            )
        )


def _open_sidecar(
    stack: contextlib.ExitStack, plan: RigPlan, number: int
) -> _Sidecar:
    engine = EngineModel(
        (MODEL,),
        plan.token_s,
        seed=number,
        prefill_s_per_word=plan.prefill_s_per_word,
    )
    readiness = Readiness()
    server = OnlineServer(
        stack.enter_context(open_router(sidecar_host(number), PORT)),
        SidecarIdentity(f'upstream-{number}'),
        SimulatedUpstream(engine),
        ADMISSIONS[plan.admission](plan.slots, plan.queue, plan.reserved),
        readiness,
    )
    server.models = (MODEL,)
    return _Sidecar(plan, number, server, SimulatedUpstream(engine))


async def _serve_token_counts(sidecars: list[_Sidecar]) -> None:
    while await trio.to_thread.run_sync(
        sys.stdin.readline, abandon_on_cancel=True
    ):
        tokens = sum(sidecar.batch.tokens for sidecar in sidecars)
        sys.stdout.write(f'{tokens}\n')
        sys.stdout.flush()


async def _main(plan: RigPlan, first: int, end: int) -> None:
    with contextlib.ExitStack() as stack:
        sidecars = [
            _open_sidecar(stack, plan, number) for number in range(first, end)
        ]
        async with trio.open_nursery() as nursery:
            for sidecar in sidecars:
                nursery.start_soon(sidecar.server.run)
                if plan.with_batch:
                    nursery.start_soon(sidecar.run_batch)
            await _serve_token_counts(sidecars)
            nursery.cancel_scope.cancel()


if __name__ == '__main__':
    rig_plan = msgspec.json.decode(sys.argv[1], type=RigPlan)
    sidecar_numbers = [int(word) for word in sys.argv[2:]]
    trio.run(_main, rig_plan, *sidecar_numbers)
