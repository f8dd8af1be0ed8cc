"""Upstreams that fall silent are left for others at once, by all."""

import random

from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.placement import Place, choose_place
from briarrill.coordination.silence import (
    SILENCE_S,
    SUSPICION_S,
    SilenceWatch,
)
from briarrill.protocol.load_reports import LoadReport


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def test_stream_that_falls_silent_makes_its_upstream_suspect():
    clock = Clock()
    watch = SilenceWatch(clock)
    with watch.begun_stream('i-1'):
        clock.now += SILENCE_S / 2
        watch.hear('i-1')
        clock.now += SILENCE_S * 0.9
        assert watch.suspects == ()
        clock.now += SILENCE_S
        assert watch.suspects == ('i-1',)
        watch.hear('i-1')
        assert watch.suspects == ()


def test_upstream_without_a_stream_is_not_suspected_for_its_silence():
    clock = Clock()
    watch = SilenceWatch(clock)
    with watch.begun_stream('i-1'):
        watch.hear('i-1')
    clock.now += 10 * SILENCE_S
    assert watch.suspects == ()


def test_upstreams_that_are_gone_are_forgotten():
    clock = Clock()
    watch = SilenceWatch(clock)
    for number in range(20):
        with watch.begun_stream(f'i-{number}'):
            clock.now += SUSPICION_S
    assert len(watch._heard_at) <= 2


def test_suspicion_without_new_evidence_ends():
    clock = Clock()
    watch = SilenceWatch(clock)
    watch.suspect('i-1')
    assert watch.suspects == ('i-1',)
    clock.now += SUSPICION_S + 0.1
    assert watch.suspects == ()


def test_suspicion_of_a_peer_holds_unless_own_evidence_speaks_against_it():
    exchange = LoadExchange('a', '127.0.0.1', 0, (), lambda report: report)
    exchange.take_report(LoadReport('b', '127.0.0.2', 1, 1, suspects=('i-1',)))
    assert exchange.is_suspect('i-1')
    assert not exchange.is_suspect('i-2')
    exchange.silence.hear('i-1')
    assert not exchange.is_suspect('i-1')


def test_suspect_is_chosen_only_when_all_are():
    suspect = Place('silent', 8, 0, 0, is_suspect=True)
    busy = Place('busy', 8, 12, 0)
    rng = random.Random(1)
    assert choose_place([suspect, busy], rng, 0.1, 0.3) is busy
    assert choose_place([suspect], rng, 0.1, 0.3) is suspect
