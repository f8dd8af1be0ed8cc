"""Fixtures: fake sidecars and an entry's dispatcher connected to them."""

import contextlib
import functools
import random
import time
import types

import attrs
import pytest
import trio

from briarrill.coordination.retries import RetryBudgets
from briarrill.coordination.routing import TwoChoicesPolicy
from briarrill.coordination.upstream_ends import observe_prompt_news
from briarrill.entry.calls import OnlineRequest
from briarrill.entry.dispatch import Dispatcher
from briarrill.entry.upstreams import UpstreamSet
from briarrill.errors import PeerUnreachableError
from briarrill.protocol.codec import decode, encode
from briarrill.protocol.messages import (
    CancelCall,
    Chunk,
    Finish,
    Heartbeat,
    Hello,
    LoadReport,
    Submit,
    Welcome,
)
from briarrill.state.membership import Membership
from briarrill.state.settings import InstanceSettings, PortSettings
from briarrill.transport.instance_list import Instance, Role
from briarrill.transport.zmq_socket import open_router
from tests.entry import serving

PORTS = PortSettings()
SEED = 11


class FakeSidecar:
    """Keeps sessions with entries; the test replies to each submit."""

    def __init__(self, host):
        self.host = host
        self.name = f'upstream-{host}'
        self.submits = []
        self.cancels = []
        self.is_silent = False
        self.load = LoadReport(slots=4)
        self._changed = trio.Event()
        self._peers = {}

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        with open_router(self.host, PORTS.sidecar_online) as socket:
            self._socket = socket
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_heartbeats)
                task_status.started()
                while True:
                    peer, *frames = await self._socket.receive()
                    self._handle_message(peer, decode(frames))

    async def wait_submit(self, count=1):
        """Wait for the submit with this number, counted from 1."""
        while len(self.submits) < count:
            await self._changed.wait()
        return self.submits[count - 1]

    async def wait_cancel(self):
        """Wait for the first cancel message."""
        while not self.cancels:
            await self._changed.wait()
        return self.cancels[0]

    def send_chunk(self, submit, seq, body=b'data: x\n\n'):
        self.send(submit, Chunk(submit.request_id, submit.attempt, seq, body))

    def send_finish(self, submit, **fields):
        self.send(submit, Finish(submit.request_id, submit.attempt, **fields))

    def send(self, submit, message):
        peer = next(
            peer
            for peer, session in self._peers.items()
            if session == submit.session
        )
        self._socket.send([peer, *encode(message)])

    async def _send_heartbeats(self):
        """Send heartbeats to all sessions, except while silent."""
        while True:
            for peer, session in self._peers.items():
                if not self.is_silent:
                    heartbeat = Heartbeat(
                        session=session,
                        clock_s=time.monotonic(),
                        load=self.load,
                        models=('m',),
                    )
                    with contextlib.suppress(PeerUnreachableError):
                        self._socket.send([peer, *encode(heartbeat)])
            await trio.sleep(0.1)

    def _handle_message(self, peer, message):
        if isinstance(message, Hello) and not self.is_silent:
            session = self._peers.setdefault(peer, f'session-{peer.hex()}')
            welcome = Welcome(
                session=session,
                process=self.name,
                clock_s=time.monotonic(),
                load=self.load,
                models=('m',),
            )
            self._socket.send([peer, *encode(welcome)])
        elif isinstance(message, Submit):
            self.submits.append(message)
        elif isinstance(message, CancelCall):
            self.cancels.append(message)
        self._changed.set()
        self._changed = trio.Event()


def _instance(sidecar):
    return Instance(
        name=sidecar.name,
        host=sidecar.host,
        failure_domain='hobart-a',
        region='lutruwita',
        roles=(Role.UPSTREAM,),
        pool='drafting',
    )


@contextlib.asynccontextmanager
async def _open_entry(sidecars, instances=None, budgets=None):
    """Run a dispatcher that is linked to fake sidecars until exit.

    :param instances: the instance list, if not the sidecars' own addresses.
    """
    membership = Membership(
        tuple(instances or (_instance(sidecar) for sidecar in sidecars))
    )
    own = InstanceSettings('entry-1', '127.0.0.1', 'hobart-a', 'lutruwita')
    ends = observe_prompt_news()
    upstreams = UpstreamSet(membership, own, PORTS, ends.receive_news)
    rng = random.Random(SEED)
    dispatcher = Dispatcher(
        upstreams,
        TwoChoicesPolicy(rng),
        budgets or RetryBudgets(),
        rng,
        ends.quarantine,
    )
    cancel_scopes = {}
    async with trio.open_nursery() as nursery:
        for sidecar in sidecars:
            cancel_scopes[sidecar.name] = await nursery.start(
                _run_cancellable, sidecar
            )
        nursery.start_soon(upstreams.run)
        nursery.start_soon(ends.run)
        with trio.fail_after(10):
            while not _have_all_reported(upstreams.serving('m'), sidecars):
                await trio.sleep(0.01)
            yield types.SimpleNamespace(
                dispatcher=dispatcher,
                membership=membership,
                upstreams=upstreams,
                cancel_scopes=cancel_scopes,
            )
        nursery.cancel_scope.cancel()


def _have_all_reported(links, sidecars):
    """Whether all sidecars are linked and have reported their slots."""
    reported = [link for link in links if link.load_report.slots]
    return len(reported) == len(sidecars)


async def _run_cancellable(sidecar, task_status=trio.TASK_STATUS_IGNORED):
    """Run a sidecar; report a cancel scope that stops it as started."""
    async with trio.open_nursery() as nursery:
        await nursery.start(sidecar.run)
        task_status.started(nursery.cancel_scope)


@pytest.fixture
def open_entry():
    return _open_entry


@pytest.fixture
def sidecars(network):
    return [FakeSidecar(f'{network}.{number}') for number in (1, 2, 3)]


@pytest.fixture
def make_request():
    def make(request_id='r1', **fields):
        return attrs.evolve(
            OnlineRequest(
                request_id=request_id,
                contract='c',
                target='m',
                method='POST',
                path='/v1/chat/completions',
                body=b'{}',
                idempotent=True,
                deadline_s=time.monotonic() + 20,
            ),
            **fields,
        )

    return make


@pytest.fixture
def serve_entry(network):
    return functools.partial(serving.serve_entry, network)


@pytest.fixture
def make_instance():
    return _instance
