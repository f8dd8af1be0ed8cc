"""Tests of the detection of outages from late replies."""

import pytest

from briarrill.coordination import reply_monitor
from briarrill.coordination.reply_monitor import ReplyMonitor


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 100.0

    monkeypatch.setattr(reply_monitor.time, 'monotonic', lambda: Clock.now)
    return Clock


def test_reply_in_time_is_not_late(clock):
    replies = ReplyMonitor()
    with replies.call(4):
        clock.now += 4
    assert not replies.was_late(2)
    assert replies.replied_at == 104


def test_overdue_reply_is_late_before_it_comes(clock):
    replies = ReplyMonitor()
    with replies.call(4), replies.call(0.5):
        clock.now += 0.6
        assert replies.was_late(2)


def test_late_reply_counts_for_some_time(clock):
    replies = ReplyMonitor()
    with replies.call(0.5):
        clock.now += 0.6
    clock.now += 1.9
    assert replies.was_late(2)
    clock.now += 0.2
    assert not replies.was_late(2)


def test_late_times_of_calls_that_overlap_count_once(clock):
    replies = ReplyMonitor()
    with replies.call(2):
        with replies.call(1):
            clock.now += 3
            assert replies.late_s == 2
        clock.now += 1
        assert replies.late_s == 3
    clock.now += 5
    assert replies.late_s == 3


def test_reply_in_time_adds_no_late_time(clock):
    replies = ReplyMonitor()
    with replies.call(1):
        clock.now += 1
    clock.now += 5
    assert replies.late_s == 0


def test_failed_call_is_no_reply(clock):
    replies = ReplyMonitor()
    with pytest.raises(ValueError), replies.call(0.5):
        raise ValueError
    assert not replies.was_late(2)
    assert replies.replied_at < 0


def test_reply_on_an_older_connection_verifies_the_open_ones(clock):
    replies = ReplyMonitor()
    replies.record_connection(opened_at=100)
    clock.now += 1
    replies.record_connection(opened_at=99)
    assert replies.verified_at == 101


def test_reply_on_a_newer_connection_verifies_nothing(clock):
    replies = ReplyMonitor()
    replies.record_connection(opened_at=100)
    clock.now += 1
    replies.record_connection(opened_at=100.5)
    assert replies.verified_at == 100
    replies.forget_connections()
    replies.record_connection(opened_at=100.5)
    assert replies.verified_at == 101
