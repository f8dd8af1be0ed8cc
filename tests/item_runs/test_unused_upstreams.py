"""Tests of the adoption of upstreams that their owners leave unused."""

import pytest

from briarrill.item_runs import unused_upstreams
from briarrill.item_runs.unused_upstreams import (
    ADOPTION_DELAY_S,
    SAMPLE_INTERVAL_S,
    UnusedUpstreams,
    UpstreamUse,
)

SERVICES, SECOND, THIRD, OTHERS = map(frozenset, 'rsto')

UNUSED = UpstreamUse(has_room=True, peer_items=0)
USED = UpstreamUse(has_room=True, peer_items=1)
FULL = UpstreamUse(has_room=False, peer_items=0)


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 100.0

    monkeypatch.setattr(unused_upstreams.time, 'monotonic', lambda: Clock.now)
    return Clock


@pytest.fixture
def unused(clock):
    return UnusedUpstreams()


def _adopt(unused, clock, **uses):
    unused.record_wait(SERVICES, uses)
    clock.now += ADOPTION_DELAY_S
    unused.record_wait(SERVICES, uses)


def test_upstream_that_nobody_uses_while_items_wait_is_adopted(unused, clock):
    unused.record_wait(SERVICES, {'i': UNUSED})
    clock.now += ADOPTION_DELAY_S / 2
    unused.record_wait(SERVICES, {'i': UNUSED})
    assert not unused.adopted(SERVICES)
    clock.now += ADOPTION_DELAY_S / 2
    unused.record_wait(SERVICES, {'i': UNUSED})
    assert unused.adopted(SERVICES) == {'i'}
    assert not unused.adopted(OTHERS)


@pytest.mark.parametrize('use', [USED, FULL])
def test_upstream_that_is_used_or_full_is_left_to_its_owner(
    unused, clock, use
):
    _adopt(unused, clock, i=use)
    assert not unused.adopted(SERVICES)


def test_time_without_waiting_items_does_not_count(unused, clock):
    unused.record_wait(SERVICES, {'i': UNUSED})
    clock.now += ADOPTION_DELAY_S
    unused.record_no_wait(SERVICES)
    unused.record_wait(SERVICES, {'i': UNUSED})
    assert not unused.adopted(SERVICES)


def test_use_in_between_begins_the_time_anew(unused, clock):
    unused.record_wait(SERVICES, {'i': UNUSED})
    clock.now += ADOPTION_DELAY_S / 2
    unused.record_wait(SERVICES, {'i': USED})
    clock.now += ADOPTION_DELAY_S / 2
    unused.record_wait(SERVICES, {'i': UNUSED})
    assert not unused.adopted(SERVICES)


def test_adopted_upstream_is_kept_while_own_items_fill_it(unused, clock):
    _adopt(unused, clock, i=UNUSED)
    unused.record_wait(SERVICES, {'i': FULL})
    assert unused.adopted(SERVICES) == {'i'}


@pytest.mark.parametrize('uses', [{'i': USED}, {}])
def test_adopted_upstream_is_left_once_a_peer_uses_it_or_it_is_gone(
    unused, clock, uses
):
    _adopt(unused, clock, i=UNUSED)
    unused.record_wait(SERVICES, uses)
    assert not unused.adopted(SERVICES)


def test_adoption_ends_when_nothing_waits(unused, clock):
    _adopt(unused, clock, i=UNUSED)
    unused.record_no_wait(SERVICES)
    assert not unused.adopted(SERVICES)
    assert not unused._known


def test_upstreams_are_looked_at_at_intervals(unused, clock):
    assert unused.is_sample_due()
    assert not unused.is_sample_due()
    clock.now += SAMPLE_INTERVAL_S
    assert unused.is_sample_due()


def test_only_routes_with_an_unused_or_adopted_upstream_matter(unused, clock):
    unused.record_wait(SECOND, {'i': UNUSED})
    _adopt(unused, clock, i=UNUSED)
    sample = unused.begin_sample(
        {SERVICES: {'i': FULL}, SECOND: {'i': USED}, THIRD: {'i': UNUSED}}
    )
    assert sample.uses.keys() == {SERVICES, THIRD}
    assert SECOND not in unused._known
    sample.record({THIRD})
    assert unused._known.keys() == {THIRD}


def test_route_that_is_removed_and_added_again_has_adopted_nothing(
    unused, clock
):
    _adopt(unused, clock, i=UNUSED)
    assert not unused.begin_sample({}).uses
    assert not unused.adopted(SERVICES)
