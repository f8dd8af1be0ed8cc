"""Tests of the time during which a service was followed."""

import pytest

from briarrill.coordination import followed_time
from briarrill.coordination.followed_time import FollowedTime


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 100.0

    monkeypatch.setattr(followed_time.time, 'monotonic', lambda: Clock.now)
    return Clock


def test_only_times_between_start_and_stop_count(clock):
    followed = FollowedTime()
    clock.now += 5
    followed.start()
    clock.now += 2
    followed.stop()
    clock.now += 10
    followed.start()
    clock.now += 1
    assert followed.total_s == 3


def test_second_start_and_second_stop_change_nothing(clock):
    followed = FollowedTime()
    followed.start()
    clock.now += 1
    followed.start()
    clock.now += 1
    followed.stop()
    clock.now += 1
    followed.stop()
    assert followed.total_s == 2
