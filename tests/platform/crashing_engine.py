"""A stand-in upstream that ends whenever it runs certain requests."""

import contextlib
import enum
import pathlib
from collections.abc import AsyncIterator, Callable, Sequence

import attrs
import trio

from briarrill.platform.upstreams import REGISTRATIONS_PREFIX
from briarrill.transport.http_callers import (
    CallerConnection,
    CallerGoneError,
    serve_callers,
)
from standins.platform_engine import (
    ReceivedRequest,
    StandinEngine,
    encode_event,
    stream_events,
)
from standins.platform_store import StandinStore
from tests.platform.platform_fleet import (
    STORE_PORT,
    Fleet,
    register_upstream,
    start_process,
    wait_ready,
)

ENGINE_PORT = 8080

# last numbers of the entries' addresses
ENTRY_HOSTS = (2, 4)

# time from an end to the next start
DOWN_S = 0.3


@contextlib.asynccontextmanager
async def run_engines_and_processes(
    network: str,
    folder: pathlib.Path,
    store: StandinStore,
    engines: Sequence['CrashingEngine'],
) -> AsyncIterator[Fleet]:
    """Run two entries, a batch process and upstreams until exit."""
    processes: dict[str, trio.Process] = {}
    async with (
        serve_callers(
            (f'{network}.1', STORE_PORT), store.caller_limits, store.serve
        ),
        trio.open_nursery() as nursery,
    ):
        for engine in engines:
            nursery.start_soon(engine.run)
        try:
            for program, number in (('entry', 2), ('batch', 3), ('entry', 4)):
                processes[f'{program}-{number}'] = await start_process(
                    network, folder, program, number
                )
            with trio.fail_after(60):
                for number in ENTRY_HOSTS:
                    await wait_ready(f'{network}.{number}')
            yield Fleet(network, store, None, processes)
        finally:
            for process in processes.values():
                process.kill()
                await process.wait()
            nursery.cancel_scope.cancel()


class End(enum.Enum):
    """How an upstream ends under a request.

    BETWEEN_EVENTS: the stream has no length or chunks and closes after an
    event, so that it looks complete. SILENT: its connections stay open, but
    nothing is sent until it starts again.
    """

    BEFORE_HEAD = 'before head'
    INSIDE_ANSWER = 'inside answer'
    BETWEEN_EVENTS = 'between events'
    SILENT = 'silent'


def has_part(part: bytes) -> Callable[[ReceivedRequest], bool]:
    """Return a check for a prompt part that is not the last one."""

    def check(req: ReceivedRequest) -> bool:
        listed = req.header(b'briarrill-prompt-prefix') or b''
        shared = [part.partition(b':')[0] for part in listed.split(b',')]
        return part in shared[:-1]

    return check


_UNFRAMED_HEAD = b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n'


@attrs.define
class CrashingEngine:
    """Runs one upstream after another at one address.

    :param store: where each upstream registers, under an ID of its own.
    :param is_fatal: tells under which requests upstreams end.
    :param keeps_id: whether the next upstream has the same identifier.
    :param crashes: upstreams that ended so far.
    :param reached: fatal requests that reached an upstream.
    :param served: other requests that were received.
    """

    store: StandinStore
    name: str
    host: str
    is_fatal: Callable[[ReceivedRequest], bool]
    end: End
    keeps_id: bool = False
    crashes: int = 0
    reached: int = 0
    served: int = 0

    async def run(self) -> None:
        """Start upstreams until cancelled, each after the last has ended."""
        while True:
            start = 0 if self.keeps_id else self.crashes
            upstream_id = f'{self.name}-{start}'
            async with trio.open_nursery() as nursery:
                address = (self.host, ENGINE_PORT)
                engine = StandinEngine(self._respond)
                async with serve_callers(
                    address, engine.caller_limits, engine.serve
                ):
                    register_upstream(
                        self.store, upstream_id, self.host, self.crashes
                    )
                    await self._wait_crash(self.crashes)
                    if self.end is End.SILENT:
                        await trio.sleep(DOWN_S)
                nursery.cancel_scope.cancel()
            await trio.sleep(DOWN_S)
            self.store.remove(f'{REGISTRATIONS_PREFIX}{upstream_id}')

    async def _wait_crash(self, crashes: int) -> None:
        while self.crashes == crashes:
            await trio.sleep(0.005)

    async def _respond(
        self, req: ReceivedRequest, conn: CallerConnection
    ) -> None:
        """Stream an answer, or end under the request."""
        if not self.is_fatal(req):
            self.served += 1
            await stream_events(3, pause_s=0.01)(req, conn)
            return
        self.reached += 1
        if self.end is End.INSIDE_ANSWER:
            await conn.send_head(200, ())
            await conn.send_body(encode_event(1) + b'id: 2')
        elif self.end is End.BETWEEN_EVENTS:
            await conn._send(_UNFRAMED_HEAD + encode_event(1))
        self.crashes += 1
        if self.end is not End.SILENT:
            raise CallerGoneError
        await trio.sleep_forever()
