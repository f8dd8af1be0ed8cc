"""A sidecar's online server with a scripted upstream, and entry links."""

import contextlib
import time

import attrs
import httpx
import trio

from briarrill.coordination.admission import Admission
from briarrill.entry.links import OnlineRequest, UpstreamLink
from briarrill.readiness import Readiness
from briarrill.sidecar.batch import BatchRunner
from briarrill.sidecar.engine_ends import EngineEnds
from briarrill.sidecar.online import OnlineServer, SidecarIdentity
from briarrill.sidecar.upstreams import Upstream, UpstreamResponse
from briarrill.state.settings import InstanceSettings
from briarrill.transport.instance_list import Instance, Role
from briarrill.transport.zmq_socket import open_router

PORT = 7130


class ScriptedUpstream(Upstream):
    """An upstream that records its calls and responds as scripted.

    :param make_chunks: yields the chunks of the response to a request.
    """

    kind = 'scripted'

    def __init__(self, make_chunks=None):
        super().__init__(httpx.AsyncClient())
        self.make_chunks = make_chunks or self.send_one_chunk
        self.called_paths = []
        self.open_calls = 0

    async def fetch_models(self):
        return ('model',)

    def iter_chunks(self, reply):
        raise NotImplementedError

    @contextlib.asynccontextmanager
    async def send(self, req):
        self.called_paths.append(req.path)
        self.open_calls += 1
        try:
            yield UpstreamResponse(200, 'text/plain', self.make_chunks(req))
        finally:
            self.open_calls -= 1

    async def send_one_chunk(self, req):
        yield b'done'

    async def send_endless_chunks(self, req):
        while True:
            yield b'token '
            await trio.sleep(0.005)


@attrs.define
class SidecarSetup:
    """A running sidecar server with its upstream and readiness."""

    host: str
    upstream: Upstream
    server: OnlineServer
    readiness: Readiness

    @contextlib.asynccontextmanager
    async def open_link(self, name='entry-0'):
        """Run an entry's link to the server until exit."""
        link = make_link(self.host, name)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            await wait_until(lambda: link.is_usable)
            yield link
            nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def open_sidecar(
    host, upstream, *, is_running=True, slots=2, queue=8, name='upstream-0'
):
    """Bind a sidecar's online server; run it until exit if asked to."""
    readiness = Readiness()
    with open_router(host, PORT) as socket:
        server = OnlineServer(
            socket,
            SidecarIdentity(name),
            upstream,
            Admission(slots, queue),
            readiness,
        )
        server.models = ('model',)
        async with trio.open_nursery() as nursery:
            if is_running:
                nursery.start_soon(server.run)
            yield SidecarSetup(host, upstream, server, readiness)
            nursery.cancel_scope.cancel()


def make_batch_runner(upstream, admission):
    ends = EngineEnds('upstream-0', upstream.client.base_url)
    return BatchRunner(upstream, admission, ends)


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
    return UpstreamLink(instance, PORT, own, lambda _news: None)


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


async def wait_until(condition):
    """Poll a condition until it is true; fail after 10 s."""
    with trio.fail_after(10):
        while not condition():
            await trio.sleep(0.005)


async def read_all(call):
    """Return all chunks of a call and its finish; fail after 10 s."""
    chunks = []
    with trio.fail_after(10):
        while (chunk := await call.next_chunk()) is not None:
            chunks.append(chunk)
    return chunks, call.finish
