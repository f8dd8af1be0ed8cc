"""Callers that use and open connections until a stopped process is gone."""

import os
import random

import attrs
import h11
import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from briarrill.relay import drain
from briarrill.relay.drain import drain_front_end
from standins.platform_engine import (
    StandinEngine,
    respond_with,
    stream_events,
)
from tests.relay.front_end_setup import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    ROUTE_HOST,
    STREAM,
    run_front_end,
)

ROUTES = (IDEMPOTENT, NON_IDEMPOTENT, STREAM)
CALLERS = 24
GRACE_S = 8
OK = 200
UNAVAILABLE = 503
RUN_BODY = b'ok'

# longest pause before a request, and within one
MAX_PAUSE_S = 0.03


@pytest.fixture(autouse=True)
def short_notice(monkeypatch):
    """Have balancers know of the drain soon."""
    monkeypatch.setattr(drain, 'BALANCER_NOTICE_S', 0.3)


@attrs.define
class Response:
    """Response to a request, complete if the connection did not end it."""

    request_id: str
    status: int = 0
    body: bytes = b''
    announces_close: bool = False
    is_complete: bool = False


@attrs.define
class Callers:
    """Callers that go on until no connection can be opened.

    :ivar responses: one for each request of which all bytes were sent.
    :ivar late_ids: requests that began after the start of the drain.
    :ivar served_late: set after the first response to one of them.
    :ivar refused: set after the first refusal.
    """

    address: tuple
    rng: random.Random
    is_draining: bool = False
    responses: list = attrs.Factory(list)
    late_ids: set = attrs.Factory(set)
    served_late: trio.Event = attrs.Factory(trio.Event)
    refused: trio.Event = attrs.Factory(trio.Event)
    sent: int = 0

    async def run(self):
        """Use one connection after the other."""
        while True:
            sock = trio.socket.socket()
            with sock:
                try:
                    await sock.connect(self.address)
                except OSError:
                    return
                await self._use(sock)

    async def _use(self, sock):
        parser = h11.Connection(h11.CLIENT)
        while True:
            await trio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
            # no task runs between this look and the write
            if sock.is_readable():
                assert await sock.recv(1) == b''
                return
            response = await self._exchange(sock, parser)
            if parser.our_state is h11.MUST_CLOSE:
                assert await sock.recv(1) == b''
                return
            if not response.is_complete:
                return
            parser.start_next_cycle()

    async def _exchange(self, sock, parser):
        self.sent += 1
        response = Response(f'r{self.sent}')
        if self.is_draining:
            self.late_ids.add(response.request_id)
        raw = self._encode(response.request_id, parser)
        split = self.rng.choice((0, self.rng.randrange(1, len(raw))))
        if split:
            os.write(sock.fileno(), raw[:split])
            await trio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
        os.write(sock.fileno(), raw[split:])
        self.responses.append(response)
        await _read_response(sock, parser, response)
        if response.status == UNAVAILABLE:
            self.refused.set()
        elif response.request_id in self.late_ids:
            self.served_late.set()
        return response

    def _encode(self, request_id, parser):
        """Return a request of any route, with a body."""
        body = b'x' * self.rng.randrange(1, 200)
        head = h11.Request(
            method='POST',
            target=self.rng.choice(ROUTES).prefix,
            headers=[
                ('host', ROUTE_HOST.decode()),
                ('briarrill-attempt-id', request_id),
                ('content-length', str(len(body))),
            ],
        )
        events = (head, h11.Data(data=body), h11.EndOfMessage())
        return b''.join(parser.send(event) for event in events)


async def _read_response(sock, parser, response):
    try:
        while not response.is_complete:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await sock.recv(65_536))
            elif isinstance(event, h11.Response):
                response.status = event.status_code
                response.announces_close = (
                    b'connection',
                    b'close',
                ) in event.headers
            elif isinstance(event, h11.Data):
                response.body += bytes(event.data)
            else:
                response.is_complete = isinstance(event, h11.EndOfMessage)
                if not response.is_complete:
                    return
    except (OSError, h11.RemoteProtocolError):
        return


async def _respond(req, conn):
    """Respond at once, or stream for a while."""
    is_stream = req.head.target == STREAM.prefix.encode()
    behaviour = (
        stream_events(20, pause_s=0.02)
        if is_stream
        else respond_with(RUN_BODY)
    )
    await behaviour(req, conn)


@pytest.mark.parametrize('seed', [1, 2, 3])
async def test_no_request_is_cut_while_callers_use_a_stopped_process(seed):
    held = []
    is_drained = False

    async def hold_one_stream(req, conn):
        """Respond, to the first stream only once a request was refused."""
        if not held and req.head.target == STREAM.prefix.encode():
            held.append(req)
            await callers.refused.wait()
        await _respond(req, conn)

    engine = StandinEngine(hold_one_stream)
    async with (
        run_front_end(ROUTES, engine) as setup,
        trio.open_nursery() as nursery,
    ):
        callers = Callers(setup.address, random.Random(seed))
        for _ in range(CALLERS):
            nursery.start_soon(callers.run)
        while len(callers.responses) < CALLERS * 2:
            await trio.sleep(0.01)
        setup.front.readiness.begin_drain()
        callers.is_draining = True
        await callers.served_late.wait()
        await drain_front_end(setup.front, GRACE_S, setup.stop_accepting)
        assert not setup.front.has_connections
        is_drained = True
    assert is_drained
    assert [each for each in callers.responses if not each.is_complete] == []
    run_ids = [
        req.header(b'briarrill-attempt-id').decode() for req in engine.requests
    ]
    assert len(run_ids) == len(set(run_ids))
    by_status = {OK: set(), UNAVAILABLE: set()}
    for response in callers.responses:
        by_status[response.status].add(response.request_id)
    assert by_status[OK] == set(run_ids)
    assert by_status[UNAVAILABLE].isdisjoint(run_ids)
    unannounced = {
        each.request_id
        for each in callers.responses
        if not each.announces_close
    }
    assert unannounced.isdisjoint(callers.late_ids)


async def test_response_that_begins_in_a_drain_announces_the_close():
    """Else its caller uses the connection again as it is closed."""
    respond = trio.Event()

    async def respond_later(req, conn):
        await respond.wait()
        await _respond(req, conn)

    responses = []

    async def send_request(setup):
        responses.append(await setup.send_request(IDEMPOTENT.prefix))

    engine = StandinEngine(respond_later)
    async with (
        run_front_end(ROUTES, engine) as setup,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(send_request, setup)
        while not engine.requests:
            await trio.sleep(0.01)
        setup.front.readiness.begin_drain()
        nursery.start_soon(
            drain_front_end, setup.front, GRACE_S, setup.stop_accepting
        )
        await wait_all_tasks_blocked()
        respond.set()
    ((status, headers, body),) = responses
    assert (status, body) == (OK, RUN_BODY)
    assert headers.get(b'connection') == b'close'
