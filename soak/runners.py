"""soak.runners: stand-in runners with faults, which register themselves."""

import contextlib
import itertools
import json
from collections import Counter
from collections.abc import Iterator

import attrs
import trio

from briarrill.platform.upstreams import REGISTRATIONS_PREFIX
from briarrill.transport.http_callers import CallerConnection, serve_callers
from standins.platform_engine import (
    ReceivedRequest,
    StandinEngine,
    respond_with,
)
from standins.platform_processes import BORN_MS, register_upstream
from standins.platform_store import StandinStore

from .plan import PART_PREFIX
from .record import Record, event_text

__all__ = ('PART_SERVICE', 'Runner', 'SERVICE', 'SLOTS')

#: Requests that a runner runs at a time; as many wait there.
SLOTS = 4

#: Service of all routes, and of the part of a route that is split.
SERVICE = 'llm'
PART_SERVICE = 'part'

RUNNER_PORT = 8080

NOT_EXECUTED = (b'briarrill-not-executed', b'1')


@attrs.define
class Runner:
    """Runs one upstream after another at one address.

    :ivar limit: requests a second that it names, 0 for none.
    :ivar refusal: status and ``Retry-After`` of its refusals, if it refuses.
    :ivar at_work: request to its number of runs here.
    """

    store: StandinStore
    name: str
    host: str
    record: Record
    service: str = SERVICE
    limit: float = 0
    refusal: tuple[int, float] | None = None
    at_work: Counter[str] = attrs.field(factory=Counter)
    _starts: int = 0
    _mutes: int = 0
    _sound: trio.Event = attrs.field(factory=trio.Event)
    _down: trio.Event = attrs.field(factory=trio.Event)
    _next_start: trio.Event = attrs.field(factory=trio.Event)
    _keeps_id: bool = False
    _slots: trio.CapacityLimiter = attrs.field(
        factory=lambda: trio.CapacityLimiter(SLOTS)
    )

    async def run(self) -> None:
        """Start upstreams until cancelled, each after the last has ended."""
        upstream_id = f'{self.name}-0'
        for start in itertools.count():
            self._starts = start
            if not self._keeps_id:
                upstream_id = f'{self.name}-{start}'
            self._down, self._next_start = trio.Event(), trio.Event()
            self._slots = trio.CapacityLimiter(SLOTS)
            engine = StandinEngine(self._respond)
            engine.reports = False
            async with serve_callers(
                (self.host, RUNNER_PORT), engine.caller_limits, engine.serve
            ):
                register_upstream(
                    self.store,
                    upstream_id,
                    self.host,
                    start,
                    service=self.service,
                )
                await self._down.wait()
            await self._next_start.wait()
            self.store.remove(f'{REGISTRATIONS_PREFIX}{upstream_id}')

    async def crash(self, down_s: float, *, keeps_id: bool) -> None:
        """End the upstream with all that it runs; start another one."""
        if self._down.is_set():
            return
        self._keeps_id = keeps_id
        self._down.set()
        await trio.sleep(down_s)
        self._next_start.set()

    @contextlib.contextmanager
    def mute(self) -> Iterator[None]:
        """Send nothing until exit, then go on."""
        if not self._mutes:
            self._sound = trio.Event()
        self._mutes += 1
        try:
            yield
        finally:
            self._mutes -= 1
            if not self._mutes:
                self._sound.set()

    async def _respond(
        self, req: ReceivedRequest, conn: CallerConnection
    ) -> None:
        await self._wait_sound()
        if req.head.target == b'/report':
            report = {'born': BORN_MS + self._starts}
            await conn.send_response(200, (), json.dumps(report).encode())
            return
        refusal = self.refusal
        if refusal is None and sum(self.at_work.values()) >= 2 * SLOTS:
            refusal = (503, 0)
        if refusal:
            status, retry_s = refusal
            retry = (b'retry-after', str(retry_s).encode())
            await respond_with(b'', status, (NOT_EXECUTED, retry))(req, conn)
            return
        request_id = (req.header(b'briarrill-attempt-id') or b'').decode()
        self.record.check_customer(request_id, req.customers, req.credentials)
        path = req.head.path
        if self.service != SERVICE and not path.startswith(PART_PREFIX):
            self.record.odd_routes.append(f'{path} at {self.service}')
        with self._worked_on(request_id):
            async with self._slots:
                await self._stream(request_id, req, conn)

    async def _stream(
        self, request_id: str, req: ReceivedRequest, conn: CallerConnection
    ) -> None:
        """Stream the events that the body of the request asks for."""
        work = json.loads(req.body)
        first = int(req.header(b'last-event-id') or b'0') + 1
        await trio.sleep(work['first_s'])
        await self._wait_sound()
        headers = [
            (b'briarrill-attempt-id', request_id.encode()),
            (b'briarrill-response-seal', b'3e1b.07'),
        ]
        if self.limit:
            headers.append((b'server-limit', str(self.limit).encode()))
        await conn.send_head(200, tuple(headers))
        for number in range(first, work['events'] + 1):
            text = event_text(request_id, number)
            await conn.send_body(f'id: {number}\ndata: {text}\n\n'.encode())
            await trio.sleep(work['gap_s'])
            await self._wait_sound()
        await conn.send_end()

    @contextlib.contextmanager
    def _worked_on(self, request_id: str) -> Iterator[None]:
        self.at_work[request_id] += 1
        try:
            yield
        finally:
            self.at_work[request_id] -= 1
            if not self.at_work[request_id]:
                self.at_work.pop(request_id)

    async def _wait_sound(self) -> None:
        if self._mutes:
            await self._sound.wait()
