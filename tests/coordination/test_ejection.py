"""Tests of the ejection of failing and slow upstreams, and their return."""

import random

import attrs
import pytest

from briarrill.coordination.ejection import (
    ERRORS_TO_EJECT,
    FAILURES_TO_EJECT,
    FIRST_EJECTION_S,
    MAX_EJECTION_S,
    MIN_SAMPLES,
    RAMP_UP_S,
    Ejector,
)

SEED = 3


@attrs.frozen
class _Upstream:
    name: str
    load: float = 0


POOL = [_Upstream(f'u{number}') for number in range(6)]


@attrs.define
class _Clock:
    now: float = 100

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return _Clock()


@pytest.fixture
def ejector(clock):
    return Ejector(random.Random(SEED), clock)


def _fail(ejector, name, times=FAILURES_TO_EJECT):
    for _ in range(times):
        ejector.record_failure(name)


def _eligible_share(ejector, name, rounds=400):
    """Return the share of requests for which an upstream is eligible."""
    eligible = [
        name in {candidate.name for candidate in ejector.eligible(POOL)}
        for _ in range(rounds)
    ]
    return sum(eligible) / rounds


def test_upstream_with_consecutive_failures_is_ejected(ejector):
    _fail(ejector, 'u0', FAILURES_TO_EJECT - 1)
    ejector.record_success('u0')
    _fail(ejector, 'u0', FAILURES_TO_EJECT - 1)
    assert _eligible_share(ejector, 'u0') == 1
    _fail(ejector, 'u0', 1)
    assert _eligible_share(ejector, 'u0') == 0


def test_first_chunks_do_not_end_a_row_of_failures(ejector):
    """Guards against upstreams whose responses break after a sound head."""
    for _ in range(FAILURES_TO_EJECT):
        ejector.record_first_chunk('u0', 0.1)
        ejector.record_failure('u0')
    assert _eligible_share(ejector, 'u0') == 0


def test_one_broken_response_in_fifty_does_not_eject(ejector):
    for number in range(500):
        ejector.record_first_chunk('u0', 0.1)
        if number % 50:
            ejector.record_success('u0')
        else:
            ejector.record_failure('u0')
        assert _eligible_share(ejector, 'u0', 1) == 1


def test_upstream_with_consecutive_errors_is_ejected(ejector):
    for _ in range(ERRORS_TO_EJECT - 1):
        ejector.record_error('u0')
    assert _eligible_share(ejector, 'u0') == 1
    ejector.record_error('u0')
    assert _eligible_share(ejector, 'u0') == 0


@pytest.mark.parametrize('was_ejected', [False, True])
def test_requests_that_fail_anywhere_eject_no_upstream(
    ejector, clock, was_ejected
):
    """Guards against leaving sound upstreams out for one caller's requests."""
    if was_ejected:
        _fail(ejector, 'u0')
        clock.now += FIRST_EJECTION_S
    for number in range(1, 500):
        clock.now += 0.05
        if number % 5:
            ejector.record_success('u0')
        else:
            ejector.record_error('u0')
    assert _eligible_share(ejector, 'u0') == 1


def test_failure_tells_whether_it_ejects(ejector):
    told = [ejector.record_failure('u0') for _ in range(FAILURES_TO_EJECT + 1)]
    assert told == [False] * (FAILURES_TO_EJECT - 1) + [True, False]


def test_returned_upstream_needs_several_failures_again(ejector, clock):
    _fail(ejector, 'u0')
    clock.now += FIRST_EJECTION_S + RAMP_UP_S
    ejector.record_success('u0')
    _fail(ejector, 'u0', FAILURES_TO_EJECT - 1)
    assert _eligible_share(ejector, 'u0') == 1


def test_upstream_slower_than_its_pool_is_ejected(ejector):
    for _ in range(MIN_SAMPLES + 1):
        for candidate in POOL:
            ejector.record_first_chunk(
                candidate.name, 2.0 if candidate.name == 'u0' else 0.2
            )
    assert _eligible_share(ejector, 'u0') == 0
    assert _eligible_share(ejector, 'u1') == 1


def test_uniformly_slow_pool_is_not_ejected(ejector):
    for _ in range(MIN_SAMPLES):
        for number, candidate in enumerate(POOL):
            ejector.record_first_chunk(candidate.name, 2.0 + 0.5 * number)
    assert len(ejector.eligible(POOL)) == len(POOL)


@pytest.mark.parametrize('size', range(1, 7))
def test_half_of_a_failing_pool_stays_eligible(ejector, clock, size):
    pool = POOL[:size]
    for candidate in pool:
        _fail(ejector, candidate.name)
        clock.now += 0.1
    eligible = ejector.eligible(pool)
    assert len(eligible) >= size / 2
    # the upstream whose ejection ends first comes first
    assert eligible[0].name == 'u0'


def test_returning_upstream_gets_a_rising_share(ejector, clock):
    _fail(ejector, 'u0')
    clock.now += FIRST_EJECTION_S - 0.1
    assert _eligible_share(ejector, 'u0') == 0
    clock.now += 0.1 + RAMP_UP_S / 4
    assert _eligible_share(ejector, 'u0') == pytest.approx(0.25, abs=0.08)
    clock.now += RAMP_UP_S / 2
    assert _eligible_share(ejector, 'u0') == pytest.approx(0.75, abs=0.08)
    clock.now += RAMP_UP_S / 4
    assert _eligible_share(ejector, 'u0') == 1


def test_failure_of_a_returning_upstream_doubles_its_ejection(ejector, clock):
    _fail(ejector, 'u0')
    clock.now += FIRST_EJECTION_S + 1
    ejector.record_failure('u0')
    clock.now += FIRST_EJECTION_S + 1
    assert _eligible_share(ejector, 'u0') == 0
    clock.now += FIRST_EJECTION_S + RAMP_UP_S
    assert _eligible_share(ejector, 'u0') == 1
    for _ in range(20):
        ejector.record_failure('u0')
        clock.now += MAX_EJECTION_S
    clock.now += RAMP_UP_S
    assert _eligible_share(ejector, 'u0') == 1
