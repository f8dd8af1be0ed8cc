"""Tests of the measured time to first bytes and its effect on placement."""

import collections
import random

import attrs
import pytest

from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.placement import (
    UpstreamCandidate,
    choose_candidate,
)
from briarrill.coordination.start_delays import (
    MIN_DELAY_S,
    MIN_SLOW_SPAN_S,
    SAMPLE_EXPIRY_S,
    StartDelays,
)
from briarrill.protocol.load_reports import LoadReport


@attrs.define
class Clock:
    """A clock that the test advances."""

    now: float = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def delays(clock):
    return StartDelays(clock)


def _measure(delays, clock, seconds, name='x'):
    with delays.measure_start(name) as record_first_bytes:
        clock.now += seconds
        record_first_bytes()


def test_pending_wait_counts_as_a_delay(delays, clock):
    with delays.measure_start('x'):
        clock.now += 2 * MIN_DELAY_S
        assert delays.recent_delay_s('x') == pytest.approx(2 * MIN_DELAY_S)
        assert delays.recent_delays_s == {'x': pytest.approx(2 * MIN_DELAY_S)}


def test_delay_below_the_minimum_is_not_reported(delays, clock):
    _measure(delays, clock, MIN_DELAY_S / 2)
    assert delays.recent_delays_s == {}
    assert delays.recent_delay_s('x') == 0


def test_single_delay_shrinks_as_time_passes(delays, clock):
    _measure(delays, clock, 0.8)
    assert delays.recent_delay_s('x') == pytest.approx(0.8)
    clock.now += 0.5
    assert delays.recent_delay_s('x') == pytest.approx(0.3)
    clock.now += 0.3
    assert delays.recent_delay_s('x') == 0


def test_slow_upstream_keeps_its_delay_until_its_samples_expire(delays, clock):
    for _ in range(10):
        _measure(delays, clock, 0.4)
    clock.now += SAMPLE_EXPIRY_S - 1
    assert delays.recent_delay_s('x') == pytest.approx(0.4)
    clock.now += MIN_SLOW_SPAN_S
    assert delays.recent_delay_s('x') == 0


def test_upstream_with_one_recent_fast_start_is_not_slow(delays, clock):
    _measure(delays, clock, 0.04)
    for _ in range(10):
        _measure(delays, clock, 0.4)
    clock.now += 0.5
    assert delays.recent_delay_s('x') == 0


def test_upstream_with_expired_samples_is_removed(delays, clock):
    _measure(delays, clock, 1)
    clock.now += SAMPLE_EXPIRY_S + 1
    assert delays.recent_delays_s == {}
    assert not delays._upstreams


def test_delay_ends_after_a_few_fast_starts(delays, clock):
    _measure(delays, clock, 0.4)
    for _ in range(3):
        _measure(delays, clock, 0.01)
    assert delays.recent_delay_s('x') == 0


def test_aborted_wait_counts_only_if_longer_than_the_delay(delays, clock):
    with delays.measure_start('x'):
        clock.now += 0.5
    assert delays.recent_delay_s('x') == pytest.approx(0.5)
    with delays.measure_start('x'):
        clock.now += 0.01
    assert delays.recent_delay_s('x') == pytest.approx(0.49)


def test_exchange_uses_the_longest_delay_of_its_peers():
    exchange = LoadExchange('a', '127.0.0.1', 0, (), lambda report: report)
    assert exchange.delay_s('x') == 0
    exchange.receive_report(LoadReport('b', 'h', 1, 1, delays={'x': 0.6}))
    exchange.receive_report(LoadReport('c', 'h', 1, 1, delays={'x': 0.2}))
    assert exchange.delay_s('x') == pytest.approx(0.6)
    exchange.receive_report(LoadReport('b', 'h', 1, 2))
    assert exchange.delay_s('x') == pytest.approx(0.2)


def _make_candidate(name, delay_s, **fields):
    return UpstreamCandidate(
        name, 8, online=0, batch=0, delay_s=delay_s, **fields
    )


def test_placement_avoids_three_slow_upstreams_of_nine():
    """All nine upstreams have free slots; three start requests late."""
    slow = {f's{number}': 0.3 + number / 10 for number in range(3)}
    names = [*slow, *(f'f{number}' for number in range(6))]
    rng = random.Random(1)
    load = collections.Counter()
    for _ in range(40):
        candidates = [
            attrs.evolve(
                _make_candidate(name, slow.get(name, 0)), online=load[name]
            )
            for name in names
        ]
        load[choose_candidate(candidates, rng, 0.1, 0.3).name] += 1
    assert not set(slow) & set(load)
    assert max(load.values()) <= 8


def test_placement_prefers_a_slow_upstream_to_a_longer_queue():
    full = UpstreamCandidate('full', 8, online=24, batch=0)
    rng = random.Random(1)
    assert choose_candidate(
        [full, _make_candidate('slow', 0.3)], rng, 0.1, 0.5
    ) == (_make_candidate('slow', 0.3))


def test_placement_uses_half_of_a_pool_with_one_fast_upstream():
    candidates = [_make_candidate(f's{number}', 0.5) for number in range(5)]
    candidates.append(_make_candidate('fast', 0))
    rng = random.Random(1)
    chosen = {
        choose_candidate(candidates, rng, 0.1, 0.3).name for _ in range(100)
    }
    assert len(chosen) == 3
    assert 'fast' in chosen


def test_placement_uses_all_upstreams_that_are_equally_slow():
    candidates = [_make_candidate(f's{number}', 0.5) for number in range(4)]
    rng = random.Random(1)
    chosen = {
        choose_candidate(candidates, rng, 0.1, 0.3).name for _ in range(100)
    }
    assert len(chosen) == 4
