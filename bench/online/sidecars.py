"""bench.online.sidecars: some sidecars with modelled engines in a process.

The engines follow the stand-in's token-rate model without its HTTP server.
Each line on the standard input is answered with the tokens that batch
streams got so far.
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
from standins.engine import EngineModel, stream_answer

from .baselines import SharedQueue
from .rig import MODEL, PATH, PORT, RigPlan, completion, sidecar_host

ADMISSIONS = {'own': Admission, 'shared queue': SharedQueue}

BATCH_TOKENS = 60

# batch items beyond the slots, so that a slot is refilled at once
PREFETCH_ITEMS = 2


class ModelledUpstream(Upstream):
    """An engine by its token-rate model; counts what it generates."""

    kind = 'modelled'

    def __init__(self, engine: EngineModel) -> None:
        """Share the engine with other kinds of work."""
        super().__init__(httpx.AsyncClient())
        self.engine = engine
        self.tokens = 0

    async def fetch_models(self) -> tuple[str, ...]:
        """Return the one model."""
        return (MODEL,)

    def iter_chunks(self, reply: httpx.Response) -> AsyncIterator[bytes]:
        """Not used: nothing comes over HTTP."""
        raise NotImplementedError

    @contextlib.asynccontextmanager
    async def send(
        self, req: UpstreamRequest
    ) -> AsyncIterator[UpstreamResponse]:
        """Generate the answer; leaving the context stops it."""
        async with contextlib.aclosing(self._count(req)) as chunks:
            yield UpstreamResponse(200, 'text/event-stream', chunks)

    async def _count(self, req: UpstreamRequest) -> AsyncIterator[bytes]:
        events = stream_answer(self.engine, json.loads(req.body))
        async with contextlib.aclosing(events):
            async for event in events:
                self.tokens += 1
                yield event


@attrs.define
class _Sidecar:
    """One sidecar and the batch work that it runs."""

    plan: RigPlan
    number: int
    server: OnlineServer
    batch: ModelledUpstream

    async def run_batch(self) -> None:
        """Keep the slots saturated with batch items."""
        runner = BatchRunner(self.batch, self.server.admission)
        async with trio.open_nursery() as nursery:
            for _ in range(self.plan.slots + PREFETCH_ITEMS):
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
                body=completion(BATCH_TOKENS),
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
        ModelledUpstream(engine),
        ADMISSIONS[plan.admission](plan.slots, plan.queue, plan.reserved),
        readiness,
    )
    server.models = (MODEL,)
    return _Sidecar(plan, number, server, ModelledUpstream(engine))


async def _answer_counts(sidecars: list[_Sidecar]) -> None:
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
            await _answer_counts(sidecars)
            nursery.cancel_scope.cancel()


if __name__ == '__main__':
    own_plan = msgspec.json.decode(sys.argv[1], type=RigPlan)
    own_numbers = [int(word) for word in sys.argv[2:]]
    trio.run(_main, own_plan, *own_numbers)
