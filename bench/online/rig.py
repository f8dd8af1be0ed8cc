"""bench.online.rig: sidecars with modelled engines, and one entry.

All run in one process over real sockets; the engines follow the stand-in's
token-rate model without its HTTP server.
"""

import contextlib
import itertools
import json
import random
from collections.abc import AsyncIterator

import attrs
import httpx
import trio

from briarrill.coordination.admission import Admission
from briarrill.coordination.retries import RetryBudgets
from briarrill.coordination.routing import TwoChoicesPolicy
from briarrill.entry.dispatch import Dispatcher
from briarrill.entry.links import UpstreamLink
from briarrill.protocol.messages import BatchItem
from briarrill.runtime import Readiness
from briarrill.sidecar.batch import BatchRunner
from briarrill.sidecar.online import Identity, OnlineServer
from briarrill.sidecar.upstreams import Answer, Call, Upstream
from briarrill.state.settings import InstanceSettings
from briarrill.transport.instance_list import Instance, Role
from briarrill.transport.zmq_socket import open_router
from standins.engine import EngineModel, stream_answer

__all__ = ('MODEL', 'PATH', 'Rig', 'RigPlan', 'completion', 'open_rig')

MODEL = 'clause-drafter'
PATH = '/v1/chat/completions'
PORT = 7130
NETWORK = '127.129.200'
PROMPT_WORDS = 96
BATCH_TOKENS = 60

# batch items beside the slots, so that a slot is refilled at once
LOOKAHEAD_ITEMS = 2


@attrs.frozen
class RigPlan:
    """Sizes and the admission of a rig."""

    engines: int = 9
    slots: int = 8
    queue: int = 64
    reserved: int = 0
    token_s: float = 0.04
    prefill_s_per_word: float = 0.0006
    with_batch: bool = False
    admission: type[Admission] = Admission


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

    def split(self, reply: httpx.Response) -> AsyncIterator[bytes]:
        """Not used: nothing comes over HTTP."""
        raise NotImplementedError

    @contextlib.asynccontextmanager
    async def open_call(self, call: Call) -> AsyncIterator[Answer]:
        """Generate the answer; leaving the context stops it."""
        async with contextlib.aclosing(self._count(call)) as chunks:
            yield Answer(200, 'text/event-stream', chunks)

    async def _count(self, call: Call) -> AsyncIterator[bytes]:
        events = stream_answer(self.engine, json.loads(call.body))
        async with contextlib.aclosing(events):
            async for event in events:
                self.tokens += 1
                yield event


_prompt_numbers = itertools.count()


def completion(tokens: int) -> bytes:
    """Return the body of a request with a prompt of its own."""
    number = next(_prompt_numbers)
    words = ' '.join(f'w{number}' for _ in range(PROMPT_WORDS))
    return json.dumps(
        {
            'model': MODEL,
            'stream': True,
            'max_tokens': tokens,
            'messages': [{'role': 'user', 'content': words}],
        }
    ).encode()


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
            for _ in range(self.plan.slots + LOOKAHEAD_ITEMS):
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


class _AllLinks:
    """The links of an entry to all sidecars of the rig."""

    def __init__(self, links: list[UpstreamLink]) -> None:
        self.links = links

    def serving(self, target: str) -> list[UpstreamLink]:
        """Return the usable links."""
        return [link for link in self.links if link.is_usable]


@attrs.define
class Rig:
    """Running sidecars and the dispatcher before them."""

    dispatcher: Dispatcher
    sidecars: list[_Sidecar]

    @property
    def batch_tokens(self) -> int:
        """Return the tokens that batch streams got."""
        return sum(sidecar.batch.tokens for sidecar in self.sidecars)


@contextlib.asynccontextmanager
async def open_rig(plan: RigPlan, seed: int) -> AsyncIterator[Rig]:
    """Start the sidecars, the links and the batch work; stop on exit."""
    with contextlib.ExitStack() as stack:
        sidecars = [
            _open_sidecar(stack, plan, number)
            for number in range(plan.engines)
        ]
        links = [_link(number) for number in range(plan.engines)]
        async with trio.open_nursery() as nursery:
            for sidecar in sidecars:
                nursery.start_soon(sidecar.server.run)
                if plan.with_batch:
                    nursery.start_soon(sidecar.run_batch)
            for link in links:
                nursery.start_soon(link.run)
            upstreams = _AllLinks(links)
            while len(upstreams.serving(MODEL)) < plan.engines:
                await trio.sleep(0.05)
            policy = TwoChoicesPolicy(random.Random(seed))
            yield Rig(Dispatcher(upstreams, policy, RetryBudgets()), sidecars)
            nursery.cancel_scope.cancel()


def _host(number: int) -> str:
    return f'{NETWORK}.{number + 1}'


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
        stack.enter_context(open_router(_host(number), PORT)),
        Identity(f'upstream-{number}'),
        ModelledUpstream(engine),
        plan.admission(plan.slots, plan.queue, plan.reserved),
        readiness,
    )
    server.models = (MODEL,)
    return _Sidecar(plan, number, server, ModelledUpstream(engine))


def _link(number: int) -> UpstreamLink:
    own = InstanceSettings('entry-0', NETWORK, 'sofia-a', 'bg-sofia')
    instance = Instance(
        name=f'upstream-{number}',
        host=_host(number),
        failure_domain='sofia-a',
        region='bg-sofia',
        roles=(Role.UPSTREAM,),
        pool='drafting',
    )
    return UpstreamLink(instance, PORT, own)
