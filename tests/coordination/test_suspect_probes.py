"""Tests of asking suspected upstreams to reply."""

import contextlib

import pytest
import trio

from briarrill.coordination.silence import PROBE_PAUSE_S, SilenceDetector
from briarrill.coordination.suspect_probes import MAX_PROBES, SuspectProber
from briarrill.coordination.upstream_table import (
    RegisteredUpstream,
    UpstreamTable,
)
from briarrill.platform.relay_protocol import PlatformRelayProtocol
from standins.platform_engine import StandinEngine, respond_with
from tests.serving import free_port, serve_standin

SILENCE_S = 1.0


async def _stay_silent(_req, _conn):
    await trio.sleep_forever()


def _silent_engine(born=5):
    """Return an upstream that accepts connections and answers nothing."""
    engine = StandinEngine(_stay_silent, born=born)
    engine.reports = False
    return engine


@contextlib.asynccontextmanager
async def _run_prober(address, count=1, born=5):
    """Run a prober of suspected upstreams at an address."""
    silence = SilenceDetector()
    upstreams = UpstreamTable(lambda: True)
    for number in range(count):
        upstreams.register(
            RegisteredUpstream(
                f'i-{number}',
                'llm',
                address,
                'a',
                1,
                incarnation=f'i-{number}/{born}',
            )
        )
        silence.mark_silent(f'i-{number}')
    replies = []
    prober = SuspectProber(
        PlatformRelayProtocol(), upstreams, silence, lambda: replies.append(1)
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(prober.run)
        with trio.fail_after(10):
            yield silence, replies
        nursery.cancel_scope.cancel()


async def test_upstream_that_was_silent_and_replies_is_suspected_no_longer():
    engine = _silent_engine()
    async with (
        serve_standin(engine) as address,
        _run_prober(address) as (silence, replies),
    ):
        await trio.sleep(SILENCE_S)
        assert silence.suspects == ('i-0',)
        engine.reports = True
        for _ in range(20):
            await trio.sleep(PROBE_PAUSE_S / 10)
            if not silence.suspects:
                break
        assert silence.suspects == ()
        assert replies == [1]


@pytest.mark.parametrize(
    ('engine', 'born'),
    [
        pytest.param(_silent_engine(), 5, id='mute'),
        pytest.param(StandinEngine(respond_with(b''), born=6), 5, id='other'),
        pytest.param(_silent_engine(), 0, id='mute-without-a-start'),
    ],
)
async def test_upstream_that_does_not_reply_stays_suspected(engine, born):
    """A connection that is accepted is no reply."""
    async with (
        serve_standin(engine) as address,
        _run_prober(address, born=born) as (silence, replies),
    ):
        await trio.sleep(3 * PROBE_PAUSE_S)
        assert silence.suspects == ('i-0',)
        assert not replies


async def test_unreachable_upstreams_are_asked_in_turn():
    async with _run_prober(('127.0.0.1', free_port()), 3 * MAX_PROBES) as (
        silence,
        replies,
    ):
        await trio.sleep(2 * PROBE_PAUSE_S)
        assert len(silence.suspects) == 3 * MAX_PROBES
        assert not replies
