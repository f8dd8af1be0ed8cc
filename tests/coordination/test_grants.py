"""Tests of grants under limits, with replays of the load of a fleet."""

import random

import pytest

from briarrill.coordination import grants
from briarrill.coordination.grants import GrantBook

# what the users allow: half as much again as the limit over this time, and
# some requests
WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5

REPORT_INTERVAL_S = 0.45


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 100.0

    monkeypatch.setattr(grants.time, 'monotonic', lambda: Clock.now)
    return Clock


def _most_in_window(sent_at):
    return max(
        sum(start <= moment < start + WINDOW_S for moment in sent_at)
        for start in sent_at
    )


def _allowed(rate_per_s):
    return EXCESS_FACTOR * rate_per_s * WINDOW_S + EXCESS_REQUESTS


def test_requests_follow_each_other_at_the_rate(clock):
    book = GrantBook()
    delays = [book.ask('i', 2.0, max_wait_s=10).delay_s for _ in range(5)]
    assert delays == [0, 0.5, 1.0, 1.5, 2.0]


def test_request_that_would_wait_too_long_is_refused_and_takes_no_place(clock):
    book = GrantBook()
    assert book.ask('i', 2.0, max_wait_s=0).is_granted
    for _ in range(3):
        refused = book.ask('i', 2.0, max_wait_s=0.4)
        assert (refused.is_granted, refused.delay_s) == (False, 0.5)
    clock.now += 0.5
    assert book.ask('i', 2.0, max_wait_s=0).is_granted


def test_places_that_are_saved_up_are_bounded(clock):
    book = GrantBook()
    book.ask('i', 4.0, max_wait_s=0)
    clock.now += 3600
    granted = [book.ask('i', 4.0, max_wait_s=0).is_granted for _ in range(10)]
    assert sum(granted) == 3


def test_limit_of_zero_still_lets_its_end_be_noticed(clock):
    book = GrantBook()
    granted = 0
    for _ in range(100):
        granted += book.ask('i', 0.0, max_wait_s=0).is_granted
        clock.now += 0.1
    assert 1 < granted <= EXCESS_REQUESTS * 10 / WINDOW_S


def test_items_get_what_online_requests_leave(clock):
    book = GrantBook()
    book.ask('i', 4.0, max_wait_s=0)
    clock.now += 0.3
    assert not book.ask('i', 4.0, max_wait_s=0, is_batch=True).is_granted
    clock.now += 0.3
    assert book.ask('i', 4.0, max_wait_s=0, is_batch=True).is_granted
    # an online request is refused: items wait although places come free
    assert book.ask('i', 4.0, max_wait_s=0).is_granted
    assert not book.ask('i', 4.0, max_wait_s=0).is_granted
    clock.now += 0.8
    assert not book.ask('i', 4.0, max_wait_s=0, is_batch=True).is_granted
    clock.now += 0.3
    assert book.ask('i', 4.0, max_wait_s=0, is_batch=True).is_granted


@pytest.mark.parametrize('share', [1.0, 0.5, 0.25])
@pytest.mark.parametrize('rate_per_s', [0.0, 0.3, 0.5, 0.9, 1.5])
def test_items_are_sent_under_a_low_limit(clock, rate_per_s, share):
    """Guards against a limit whose end nothing can notice."""
    book = GrantBook()
    sent_at = []
    for _ in range(600):
        clock.now += 0.1
        if book.ask(
            'i', rate_per_s, max_wait_s=0, is_batch=True, share=share
        ).is_granted:
            sent_at.append(clock.now)
    granted_per_s = max(rate_per_s, grants.MIN_RATE_PER_S) * share
    assert len(sent_at) >= 0.9 * granted_per_s * 60 - 1
    assert _most_in_window(sent_at) <= _allowed(rate_per_s)


def test_changed_rate_applies_to_the_next_request(clock):
    book = GrantBook()
    book.ask('i', 1.0, max_wait_s=0)
    assert book.ask('i', 10.0, max_wait_s=0).delay_s == pytest.approx(0.1)


def test_grants_of_a_peer_take_places(clock):
    book = GrantBook()
    book.record_peer('p', 1, {'i': 7})
    assert not book.ask('i', 1.0, max_wait_s=0).is_granted
    clock.now += 1
    book.record_peer('p', 1, {'i': 7})
    assert book.ask('i', 1.0, max_wait_s=0).is_granted
    book.record_peer('p', 1, {'i': 9})
    clock.now += 1
    assert not book.ask('i', 1.0, max_wait_s=0).is_granted


def test_impossible_count_of_a_peer_holds_requests_up_for_a_short_time(clock):
    book = GrantBook()
    book.record_peer('p', 1, {'i': 3})
    book.record_peer('p', 1, {'i': 2**62})
    refused = book.ask('i', 2.0, max_wait_s=0)
    assert not refused.is_granted
    assert refused.delay_s <= grants.MAX_DEBT_S + 0.5
    clock.now += grants.MAX_DEBT_S + 0.5
    assert book.ask('i', 2.0, max_wait_s=0).is_granted


def test_late_report_of_a_peer_is_not_counted_twice(clock):
    book = GrantBook()
    for count in (1, 2, 1, 2):
        book.record_peer('p', 1, {'i': count})
    clock.now += 2
    assert book.ask('i', 1.0, max_wait_s=0).is_granted


def test_grants_are_told_for_some_time(clock):
    book = GrantBook()
    book.ask('i', 1.0, max_wait_s=0)
    assert book.granted() == {'i': 1}
    clock.now += 1.1
    assert book.granted() == {}


class _Replay:
    """Owners that decide about the requests for one upstream.

    :param owner_of: returns the owner that a process asks, by the process's
        number and the second.
    :param hears: tells whether one owner hears another.
    """

    def __init__(self, clock, rate_per_s, owner_of, hears, share=1.0):
        self.clock = clock
        self.rate_per_s = rate_per_s
        self.owner_of = owner_of
        self.hears = hears
        self.share = share
        self.books = [GrantBook() for _ in range(4)]
        self.sent_at = []

    def run(self, seed, processes, demand_per_s, duration_s):
        rng = random.Random(seed)
        began_at = self.clock.now
        next_report_at = self.clock.now
        while self.clock.now - began_at < duration_s:
            self.clock.now += rng.expovariate(demand_per_s)
            if self.clock.now >= next_report_at:
                next_report_at += REPORT_INTERVAL_S
                self._exchange_reports()
            second = self.clock.now - began_at
            owner = self.owner_of(rng.randrange(processes), second)
            grant = self.books[owner].ask(
                'i', self.rate_per_s, max_wait_s=0.15, share=self.share
            )
            if grant.is_granted:
                self.sent_at.append(self.clock.now + grant.delay_s)
        self.sent_at.sort()

    def _exchange_reports(self):
        for number, book in enumerate(self.books):
            for other, other_book in enumerate(self.books):
                if number != other and self.hears(number, other):
                    other_book.record_peer(f'p{number}', 1, book.granted())


def _hears_all(_own, _other):
    return True


VIEWS = {
    'one owner': (lambda process, second: 0, _hears_all, 1.0),
    'owner changes': (
        lambda process, second: int(second / 3) % 4,
        _hears_all,
        1.0,
    ),
    'two owners': (lambda process, second: process % 2, _hears_all, 1.0),
    'two halves': (
        lambda process, second: process % 2,
        lambda own, other: False,
        0.5,
    ),
}


@pytest.mark.parametrize('view', VIEWS)
@pytest.mark.parametrize('rate_per_s', [0.7, 2.5, 6.0, 20.0])
@pytest.mark.parametrize('seed', range(3))
def test_fleet_keeps_a_limit_and_uses_it(clock, view, rate_per_s, seed):
    """350 processes ask for ten times what the limit leaves."""
    owner_of, hears, share = VIEWS[view]
    replay = _Replay(clock, rate_per_s, owner_of, hears, share)
    replay.run(seed, 350, 10 * rate_per_s, duration_s=60)
    assert _most_in_window(replay.sent_at) <= _allowed(rate_per_s)
    assert len(replay.sent_at) >= 0.9 * rate_per_s * 60


@pytest.mark.parametrize('seed', range(3))
def test_load_below_a_limit_is_hardly_held_up(clock, seed):
    replay = _Replay(clock, 10.0, *VIEWS['one owner'])
    replay.run(seed, 350, 5.0, duration_s=60)
    assert len(replay.sent_at) >= 0.9 * 5.0 * 60


def test_frozen_owner_that_wakes_grants_no_burst(clock):
    """Its peers had another owner meanwhile."""
    frozen, other = GrantBook(), GrantBook()
    sent_at = []
    for step in range(400):
        clock.now += 0.05
        is_frozen = 100 <= step < 260
        book = other if is_frozen else frozen
        if book.ask('i', 2.5, max_wait_s=0).is_granted:
            sent_at.append(clock.now)
        if step == 268:
            # reports arrive some time after it woke up
            frozen.record_peer('other', 1, other.granted())
    assert _most_in_window(sent_at) <= _allowed(2.5)


def test_memory_does_not_grow_with_upstreams_that_are_gone(clock):
    book = GrantBook()
    for number in range(1000):
        clock.now += 1
        book.ask(f'i-{number}', 1.0, max_wait_s=0)
    assert len(book._accounts) <= 62
