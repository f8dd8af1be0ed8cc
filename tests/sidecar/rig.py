"""A sidecar's online server with a scripted upstream, and an entry's link."""

import contextlib
import time

import attrs
import httpx
import trio

from briarrill.coordination.admission import Admission
from briarrill.entry.links import OnlineRequest, UpstreamLink
from briarrill.readiness import Readiness
from briarrill.sidecar.online import Identity, OnlineServer
from briarrill.sidecar.upstreams import Answer, Upstream
from briarrill.state.settings import InstanceSettings
from briarrill.transport.instance_list import Instance, Role
from briarrill.transport.zmq_socket import open_router

PORT = 7130


class ScriptedUpstream(Upstream):
    """Counts each call that it runs and answers as the test says.

    :param body: answers one call; yields the chunks.
    """

    kind = 'scripted'

    def __init__(self, body=None):
        super().__init__(httpx.AsyncClient())
        self.body = body or self.one_chunk
        self.ran = []
        self.running = 0

    async def fetch_models(self):
        return ('model',)

    def split(self, reply):
        raise NotImplementedError

    @contextlib.asynccontextmanager
    async def open_call(self, call):
        self.ran.append(call.path)
        self.running += 1
        try:
            yield Answer(200, 'text/plain', self.body(call))
        finally:
            self.running -= 1

    async def one_chunk(self, call):
        yield b'done'

    async def endless(self, call):
        while True:
            yield b'token '
            await trio.sleep(0.005)


@attrs.define
class Rig:
    """One sidecar server and what a test needs to meet it."""

    host: str
    upstream: Upstream
    server: OnlineServer
    readiness: Readiness

    @contextlib.asynccontextmanager
    async def linked(self, name='entry-0'):
        """Run an entry's link until exit."""
        link = make_link(self.host, name)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            await until(lambda: link.is_usable)
            yield link
            nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def open_rig(host, upstream, *, is_running=True, slots=2, queue=8):
    """Bind a sidecar's online server and run it until exit."""
    readiness = Readiness()
    with open_router(host, PORT) as socket:
        server = OnlineServer(
            socket,
            Identity('upstream-0'),
            upstream,
            Admission(slots, queue),
            readiness,
        )
        server.models = ('model',)
        async with trio.open_nursery() as nursery:
            if is_running:
                nursery.start_soon(server.run)
            yield Rig(host, upstream, server, readiness)
            nursery.cancel_scope.cancel()


def make_link(host, name='entry-0'):
    own = InstanceSettings(name, f'{host}0', 'hobart-a', 'lutruwita')
    instance = Instance(
        name='upstream-0',
        host=host,
        failure_domain='hobart-a',
        region='lutruwita',
        roles=(Role.UPSTREAM,),
        pool='drafting',
    )
    return UpstreamLink(instance, PORT, own)


def make_request(request_id='r1', *, idempotent=True, time_left_s=30.0, **kw):
    return OnlineRequest(
        request_id=request_id,
        contract='kinship',
        target='model',
        method='POST',
        path=kw.pop('path', f'/{request_id}'),
        body=b'{}',
        idempotent=idempotent,
        deadline_s=time.monotonic() + time_left_s,
        **kw,
    )


async def until(is_reached):
    """Wait until a condition holds."""
    with trio.fail_after(10):
        while not is_reached():
            await trio.sleep(0.005)


async def read_all(call):
    """Return the chunks of a call and its finish."""
    chunks = []
    with trio.fail_after(10):
        while (chunk := await call.next_chunk()) is not None:
            chunks.append(chunk)
    return chunks, call.finish
