"""Tests of upstreams that fall silent for a while and go on."""

import functools

import attrs
import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from briarrill.coordination.ejection import FAILURES_TO_EJECT
from briarrill.coordination.silence import PROBE_PAUSE_S
from briarrill.coordination.suspect_probes import SuspectProber
from briarrill.platform.relay_protocol import PlatformRelayProtocol
from standins.platform_engine import (
    StandinEngine,
    reject_unexecuted,
    respond_with,
    stream_events,
)
from tests.relay.front_end_setup import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    STREAM,
    run_front_end,
)


class SilentEngine(StandinEngine):
    """Answers nothing, not even requests for a report, until it goes on.

    :ivar goes_on: set once it answers again.
    """

    def __init__(self, behaviour):
        super().__init__(behaviour, born=5)
        self.goes_on = trio.Event()

    async def serve(self, conn):
        await self.goes_on.wait()
        await super().serve(conn)


def _register_starts(setup):
    """Let the registrations name the start, which is asked for."""
    for upstream in list(setup.upstreams.registered_upstreams):
        setup.upstreams.register(
            attrs.evolve(upstream, incarnation=f'{upstream.upstream_id}/5')
        )


async def test_upstream_that_was_silent_gets_requests_again():
    silent = SilentEngine(respond_with(b'silent'))
    other = StandinEngine(respond_with(b'other'), born=5)
    async with (
        run_front_end([IDEMPOTENT], silent, other) as setup,
        trio.open_nursery() as nursery,
    ):
        _register_starts(setup)
        prober = SuspectProber(
            PlatformRelayProtocol(),
            setup.upstreams,
            setup.load.silence,
            setup.load.schedule_report,
        )
        nursery.start_soon(prober.run)
        sent = await setup.send_request('/idempotent/x', deadline_ms='5000')
        assert sent[2] == b'other'
        assert setup.load.is_suspect('i-0')
        silent.goes_on.set()
        for _ in range(20):
            await trio.sleep(PROBE_PAUSE_S / 10)
            if not setup.load.is_suspect('i-0'):
                break
        sent = await setup.send_request('/idempotent/x', attempt_id='r2')
        assert sent[2] == b'silent'
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('route', 'behaviour'),
    [
        (NON_IDEMPOTENT, respond_with(b'x')),
        (IDEMPOTENT, respond_with(b'', 404)),
        (IDEMPOTENT, reject_unexecuted()),
        (STREAM, stream_events(1)),
    ],
)
async def test_any_response_ends_the_suspicion_of_silence(route, behaviour):
    async with run_front_end([route], StandinEngine(behaviour)) as setup:
        setup.load.silence.mark_silent('i-0')
        await setup.send_request(f'{route.prefix}x')
        assert not setup.load.is_suspect('i-0')


@pytest.mark.parametrize(
    ('behaviour', 'is_suspect'),
    [(respond_with(b'x'), False), (reject_unexecuted(), True)],
)
async def test_only_a_whole_response_ends_that_of_lost_responses(
    behaviour, is_suspect
):
    engine = StandinEngine(behaviour)
    async with run_front_end([NON_IDEMPOTENT], engine) as setup:
        setup.load.silence.mark_suspect('i-0')
        await setup.send_request('/non_idempotent/x')
        # the caller has the response before its end is recorded
        await wait_all_tasks_blocked(0.05)
        assert setup.load.is_suspect('i-0') == is_suspect


async def test_request_that_may_not_be_repeated_waits_for_its_upstream():
    silent = SilentEngine(respond_with(b'silent'))
    other = StandinEngine(respond_with(b'other'))
    async with (
        run_front_end([NON_IDEMPOTENT], silent, other) as setup,
        trio.open_nursery() as nursery,
    ):

        async def go_on():
            await trio.sleep(1)
            silent.goes_on.set()

        nursery.start_soon(go_on)
        status, _, body = await setup.send_request('/non_idempotent/x')
        assert (status, body) == (200, b'silent')
        assert len(silent.requests) == 1
        assert not other.requests


async def test_requests_that_one_silence_delayed_do_not_eject_its_upstream():
    """They were sent at once, and are no row of failures."""
    silent = SilentEngine(respond_with(b'silent'))
    other = StandinEngine(respond_with(b'other'))
    async with run_front_end([IDEMPOTENT], silent, other) as setup:
        setup.load.in_flight.online['i-1'] = 2 * FAILURES_TO_EJECT
        async with trio.open_nursery() as nursery:
            for number in range(FAILURES_TO_EJECT + 1):
                nursery.start_soon(
                    functools.partial(
                        setup.send_request,
                        '/idempotent/x',
                        attempt_id=f'r{number}',
                    )
                )
        assert len(other.requests) == FAILURES_TO_EJECT + 1
        silent.goes_on.set()
        assert setup.load.silence.record_reply('i-0')
        sent = await setup.send_request('/idempotent/x', attempt_id='last')
        assert sent[2] == b'silent'
