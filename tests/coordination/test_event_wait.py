"""Tests of the limit on the wait for a stream's next event."""

from briarrill.coordination.event_wait import EventWait

HALF_S = 0.5


def test_only_the_time_spent_reading_counts():
    now = [100.0]
    wait = EventWait(2, clock=lambda: now[0])
    for _ in range(3):
        with wait.reading():
            now[0] += 0.5
        now[0] += 60
    assert wait.remaining_s == HALF_S
    with wait.reading():
        now[0] += 1
    assert wait.remaining_s == 0
    wait.restart(3)
    assert wait.remaining_s == 3


def test_reading_that_fails_counts_too():
    now = [100.0]
    wait = EventWait(2, clock=lambda: now[0])
    try:
        with wait.reading():
            now[0] += 1.5
            raise OSError
    except OSError:
        assert wait.remaining_s == HALF_S
