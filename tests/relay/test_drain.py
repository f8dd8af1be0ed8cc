"""A planned stop under load: each request that was read is answered."""

import contextlib
import os

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from briarrill.errors import BriarrillError, PeerUnreachableError
from briarrill.relay import drain
from briarrill.relay.drain import drain_front_end
from briarrill.transport.http_channel import connect
from standins.platform_engine import StandinEngine, respond_with
from tests.relay.front_end_setup import IDEMPOTENT, run_front_end

GRACE_S = 5
REQUEST = (
    b'POST /idempotent/ HTTP/1.1\r\nhost: h.example\r\n'
    b'briarrill-attempt-id: r1\r\ncontent-length: 0\r\n\r\n'
)


@pytest.fixture(autouse=True)
def short_notice(monkeypatch):
    """Have balancers know of the drain at once."""
    monkeypatch.setattr(drain, 'BALANCER_NOTICE_S', 0.05)


def _drain(setup, grace_s=GRACE_S):
    return drain_front_end(setup.front, grace_s, setup.stop_accepting)


async def _open(setup):
    sock = trio.socket.socket()
    await sock.connect(setup.address)
    return sock


async def _read_all(sock):
    """Return what is received until the connection ends."""
    received = b''
    with contextlib.suppress(OSError):
        while part := await sock.recv(65_536):
            received += part
    return received


async def test_request_that_arrives_as_idle_connections_close_is_answered():
    engine = StandinEngine(respond_with(b'ok'))
    async with run_front_end([IDEMPOTENT], engine) as setup:
        sock = await _open(setup)
        while not setup.front.has_connections:
            await trio.sleep(0.01)
        await wait_all_tasks_blocked()
        with sock:
            # no task runs between the two calls
            os.write(sock.fileno(), REQUEST)
            setup.front.close_idle()
            assert b'200' in await _read_all(sock)


async def test_connection_that_was_not_accepted_yet_is_answered():
    """Its request lies in the queue of the listening socket."""
    engine = StandinEngine(respond_with(b'ok'))
    async with run_front_end([IDEMPOTENT], engine) as setup:
        setup.front.readiness.reject_work()
        sock = await _open(setup)
        with sock:
            await sock.send(REQUEST)
            setup.stop_accepting()
            assert b'503' in await _read_all(sock)
        with pytest.raises(PeerUnreachableError):
            await connect(setup.address, 1)


async def test_no_request_stays_without_answer_while_clients_go_on():
    """Clients use connections and open new ones until the end."""
    engine = StandinEngine(respond_with(b'ok'))
    unanswered = []
    answered = []

    async def use_connections(setup):
        while True:
            try:
                sock = await _open(setup)
            except OSError:
                return
            with sock:
                await sock.send(REQUEST)
                received = await sock.recv(65_536)
                (answered if received else unanswered).append(received)

    async with (
        run_front_end([IDEMPOTENT], engine) as setup,
        trio.open_nursery() as nursery,
    ):
        for _ in range(20):
            nursery.start_soon(use_connections, setup)
        await trio.sleep(0.1)
        setup.front.readiness.begin_drain()
        await _drain(setup)
        assert not setup.front.has_connections
    assert answered
    assert not unanswered


async def test_half_sent_request_does_not_outlast_the_grace_time():
    engine = StandinEngine(respond_with(b'ok'))
    async with run_front_end([IDEMPOTENT], engine) as setup:
        sock = await _open(setup)
        with sock:
            await sock.send(REQUEST[:20])
            with trio.fail_after(GRACE_S):
                await _drain(setup, drain.CUT_OFF_MARGIN_S + 0.5)


async def test_channel_of_a_stopped_process_is_refused():
    engine = StandinEngine(respond_with(b'ok'))
    async with run_front_end([IDEMPOTENT], engine) as setup:
        await _drain(setup)
        with pytest.raises(BriarrillError):
            await setup.send_request('/idempotent/')
