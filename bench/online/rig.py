"""bench.online.rig: one entry before sidecars in other processes."""

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
    'completion',
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
    """Sizes and the admission of a rig."""

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


def completion(tokens: int) -> bytes:
    """Return the body of a request with a prompt of its own."""
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
    hosts: list[subprocess.Popen[bytes]]

    async def batch_tokens(self) -> int:
        """Ask for the tokens that batch streams got."""
        return await trio.to_thread.run_sync(self._ask)

    def _ask(self) -> int:
        return sum(_ask_tokens(host) for host in self.hosts)


def _ask_tokens(host: subprocess.Popen[bytes]) -> int:
    if host.stdin is None or host.stdout is None:
        return 0
    host.stdin.write(b'count\n')
    host.stdin.flush()
    return int(host.stdout.readline())


@contextlib.asynccontextmanager
async def open_rig(plan: RigPlan, seed: int) -> AsyncIterator[Rig]:
    """Start the sidecars, the links and the batch work; stop on exit."""
    with contextlib.ExitStack() as stack:
        hosts = [
            stack.enter_context(_open_host(plan, first))
            for first in range(0, plan.engines, SIDECARS_PER_PROCESS)
        ]
        links = [_link(number) for number in range(plan.engines)]
        async with trio.open_nursery() as nursery:
            for link in links:
                nursery.start_soon(link.run)
            upstreams = _AllLinks(links)
            with trio.fail_after(START_TIMEOUT_S):
                while len(upstreams.serving(MODEL)) < plan.engines:
                    await trio.sleep(0.05)
            rng = random.Random(seed)
            dispatcher = Dispatcher(
                upstreams, TwoChoicesPolicy(rng), RetryBudgets(), rng
            )
            yield Rig(dispatcher, hosts)
            nursery.cancel_scope.cancel()


@contextlib.contextmanager
def _open_host(plan: RigPlan, first: int) -> Iterator[subprocess.Popen[bytes]]:
    """Start a process with some of the sidecars."""
    host = subprocess.Popen(
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
        yield host
    finally:
        host.terminate()
        host.wait()


def _link(number: int) -> UpstreamLink:
    own = InstanceSettings('entry-0', f'{NETWORK}.1', 'sofia-a', 'bg-sofia')
    instance = Instance(
        name=f'upstream-{number}',
        host=sidecar_host(number),
        failure_domain='sofia-a',
        region='bg-sofia',
        roles=(Role.UPSTREAM,),
        pool='drafting',
    )
    return UpstreamLink(instance, PORT, own)
