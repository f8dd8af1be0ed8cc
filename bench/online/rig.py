"""bench.online.rig: an entry's dispatcher and sidecars in processes."""

import contextlib
import itertools
import json
import os
import random
import subprocess
import sys
from collections.abc import AsyncIterator, Iterator

import attrs
import msgspec
import trio

from briarrill.coordination.prompt_crashes import PromptQuarantine
from briarrill.coordination.retries import RetryBudgets
from briarrill.coordination.routing import TwoChoicesPolicy
from briarrill.entry.dispatch import Dispatcher
from briarrill.entry.links import UpstreamLink
from briarrill.state.settings import InstanceSettings
from briarrill.transport.instance_list import Instance, Role

__all__ = (
    'MODEL',
    'PATH',
    'PORT',
    'Rig',
    'RigPlan',
    'completion_body',
    'open_rig',
    'sidecar_host',
)

MODEL = 'clause-drafter'
PATH = '/v1/chat/completions'
PORT = 7130
NETWORK = '127.129.200'
PROMPT_WORDS = 96
SIDECARS_PER_PROCESS = 3
START_TIMEOUT_S = 20.0


@attrs.frozen
class RigPlan:
    """Sizes, engine speed and admission of a rig.

    :param reserved: slots of each sidecar reserved for online requests.
    :param with_batch: whether batch items saturate the slots.
    :param admission: ``own`` or the baseline ``shared queue``.
    """

    engines: int = 9
    slots: int = 8
    queue: int = 64
    reserved: int = 0
    token_s: float = 0.04
    prefill_s_per_word: float = 0.0006
    with_batch: bool = False
    admission: str = 'own'


_prompt_numbers = itertools.count()


def sidecar_host(number: int) -> str:
    """Return the address of a sidecar."""
    return f'{NETWORK}.{number + 1}'


def completion_body(tokens: int) -> bytes:
    """Return the body of a streamed request with a unique prompt."""
    number = next(_prompt_numbers)
    words = ' '.join(f'w{os.getpid()}-{number}' for _ in range(PROMPT_WORDS))
    return json.dumps(
        {
            'model': MODEL,
            'stream': True,
            'max_tokens': tokens,
            'messages': [{'role': 'user', 'content': words}],
        }
    ).encode()


class _AllLinks:
    """An entry's links to all sidecars of the rig."""

    def __init__(self, links: list[UpstreamLink]) -> None:
        self.links = links

    def serving(self, target: str) -> list[UpstreamLink]:
        """Return the usable links, whatever the target."""
        return [link for link in self.links if link.is_usable]


@attrs.define
class Rig:
    """A dispatcher and the running sidecar processes behind it."""

    dispatcher: Dispatcher
    processes: list[subprocess.Popen[bytes]]

    async def batch_tokens(self) -> int:
        """Return the tokens generated for batch items so far."""
        return await trio.to_thread.run_sync(self._read_batch_tokens)

    def _read_batch_tokens(self) -> int:
        return sum(_request_token_count(process) for process in self.processes)


def _request_token_count(process: subprocess.Popen[bytes]) -> int:
    if process.stdin is None or process.stdout is None:
        return 0
    process.stdin.write(b'count\n')
    process.stdin.flush()
    return int(process.stdout.readline())


@contextlib.asynccontextmanager
async def open_rig(plan: RigPlan, seed: int) -> AsyncIterator[Rig]:
    """Start the sidecars, the links and the batch work; stop them on exit.

    :param seed: seed of the routing policy and of retries.
    :raises trio.TooSlowError: a link is not usable after START_TIMEOUT_S.
    """
    with contextlib.ExitStack() as stack:
        processes = [
            stack.enter_context(_run_sidecars(plan, first))
            for first in range(0, plan.engines, SIDECARS_PER_PROCESS)
        ]
        links = [_make_link(number) for number in range(plan.engines)]
        async with trio.open_nursery() as nursery:
            for link in links:
                nursery.start_soon(link.run)
            upstreams = _AllLinks(links)
            with trio.fail_after(START_TIMEOUT_S):
                while len(upstreams.serving(MODEL)) < plan.engines:
                    await trio.sleep(0.05)
            rng = random.Random(seed)
            dispatcher = Dispatcher(
                upstreams,
                TwoChoicesPolicy(rng),
                RetryBudgets(),
                rng,
                PromptQuarantine(),
            )
            yield Rig(dispatcher, processes)
            nursery.cancel_scope.cancel()


@contextlib.contextmanager
def _run_sidecars(
    plan: RigPlan, first: int
) -> Iterator[subprocess.Popen[bytes]]:
    """Run a process with up to SIDECARS_PER_PROCESS sidecars.

    :param first: number of its first sidecar.
    """
    process = subprocess.Popen(
        [
            sys.executable,
            '-m',
            'bench.online.sidecars',
            msgspec.json.encode(plan).decode(),
            str(first),
            str(min(first + SIDECARS_PER_PROCESS, plan.engines)),
        ],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        yield process
    finally:
        process.terminate()
        process.wait()


def _make_link(number: int) -> UpstreamLink:
    own = InstanceSettings('entry-0', f'{NETWORK}.1', 'sofia-a', 'bg-sofia')
    instance = Instance(
        name=f'upstream-{number}',
        host=sidecar_host(number),
        failure_domain='sofia-a',
        region='bg-sofia',
        roles=(Role.UPSTREAM,),
        pool='drafting',
    )
    return UpstreamLink(instance, PORT, own, lambda _news: None)
