"""Tests of the limits that upstreams name, change and end."""

import pytest

from briarrill.coordination import request_limits
from briarrill.coordination.request_limits import RequestLimits
from briarrill.protocol.limit_news import NamedLimit

RATE_PER_S = 2.5
HIGHER_PER_S = 4.0


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 100.0

    monkeypatch.setattr(request_limits.time, 'monotonic', lambda: Clock.now)
    return Clock


def test_limit_holds_until_a_response_without_one(clock):
    limits = RequestLimits()
    limits.record_response('i/1', 2.5)
    clock.now += 30
    assert limits.rate_per_s('i/1') == RATE_PER_S
    limits.record_response('i/1', 4.0)
    assert limits.rate_per_s('i/1') == HIGHER_PER_S
    clock.now += 1
    limits.record_response('i/1', None)
    assert limits.rate_per_s('i/1') is None


def test_restarted_upstream_has_no_limit(clock):
    limits = RequestLimits()
    limits.record_response('i/1', 2.5)
    assert limits.rate_per_s('i/2') is None


def test_block_ends_with_its_time_and_with_the_limit(clock):
    limits = RequestLimits()
    limits.record_response('i/1', 2.5)
    limits.block('i/1', 0.4)
    assert limits.blocked_s('i/1') == pytest.approx(0.4)
    clock.now += 0.5
    assert not limits.blocked_s('i/1')
    limits.block('i/1', 0.4)
    limits.record_response('i/1', None)
    assert not limits.blocked_s('i/1')


def test_changes_are_told_once_and_newer_responses_win(clock):
    own, peer = RequestLimits(), RequestLimits()
    own.record_response('i/1', 2.5)
    clock.now += 0.2
    peer.receive_news(own.news())
    assert peer.rate_per_s('i/1') == RATE_PER_S
    assert peer.news() == ()
    clock.now += 0.2
    peer.record_response('i/1', None)
    peer.receive_news((NamedLimit('i/1', 2.5, 0.3),))
    assert peer.rate_per_s('i/1') is None
    own.receive_news(peer.news())
    assert own.rate_per_s('i/1') is None
    clock.now += 2
    assert own.news() == peer.news() == ()


def test_repeated_limit_is_no_news(clock):
    limits = RequestLimits()
    for _ in range(30):
        limits.record_response('i/1', 2.5)
        clock.now += 0.1
    assert limits.news() == ()


def test_upstreams_without_a_limit_leave_no_trace(clock):
    limits = RequestLimits()
    limits.record_response('i/1', None)
    assert not limits._observed
    for number in range(1000):
        clock.now += 1
        limits.record_response(f'i/{number}', 2.5)
    assert len(limits._observed) <= 62
