"""Tests of the search for upstreams with free slots."""

import types

import attrs
import pytest

from briarrill.coordination.capacity.speed import MIN_COMPARED
from briarrill.coordination.capacity.work import UpstreamCapacity
from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.routes import RouteKind, Target
from briarrill.coordination.upstream_table import (
    RegisteredUpstream,
    UpstreamTable,
)
from briarrill.item_runs import slots as slots_module
from briarrill.item_runs.slots import SUSPECT_TRIAL_DELAY_S, FreeSlots
from briarrill.protocol.load_reports import LoadReport
from briarrill.state.keys import ROOT_PREFIX
from tests.relay.front_end_setup import route

BATCH_ROUTE = route(RouteKind.BATCH)
SLOTS = 4


@pytest.fixture
def slots():
    """Free slots of a process that owns two upstreams."""
    upstreams = UpstreamTable(lambda: True)
    for name in ('i-0', 'i-1'):
        upstreams.register(
            RegisteredUpstream(
                name, 'llm', ('127.0.0.1', 1), 'a', SLOTS, incarnation=name
            )
        )
    load = LoadExchange('me', '127.0.0.1', 0, (), lambda report: report)
    return FreeSlots('me', upstreams, load, lambda: True)


def _load(slots, name, online):
    slots.load.in_flight.online[name] = online


def _fill(slots, name):
    _load(slots, name, SLOTS)


def test_avoided_upstream_is_passed_over(slots):
    chosen = slots.choose_upstream(BATCH_ROUTE, 'i-0')
    assert chosen.upstream_id == 'i-1'


def test_avoided_upstream_is_chosen_if_no_other_has_a_free_slot(slots):
    _fill(slots, 'i-1')
    chosen = slots.choose_upstream(BATCH_ROUTE, 'i-0')
    assert chosen.upstream_id == 'i-0'


def test_item_may_wait_for_a_slot_of_another_upstream(slots):
    _fill(slots, 'i-1')
    found = slots.choose_upstream(BATCH_ROUTE, 'i-0', waits_for_others=True)
    assert found is None
    slots.upstreams.unregister('i-1')
    found = slots.choose_upstream(BATCH_ROUTE, 'i-0', waits_for_others=True)
    assert found.upstream_id == 'i-0'


def test_no_upstream_is_chosen_without_a_free_slot(slots):
    _fill(slots, 'i-0')
    _fill(slots, 'i-1')
    assert slots.choose_upstream(BATCH_ROUTE, 'i-0') is None


@pytest.fixture
def clock(monkeypatch):
    """Set the time of the module under test."""
    fake = types.SimpleNamespace(now=100.0)
    fake.monotonic = lambda: fake.now
    monkeypatch.setattr(slots_module, 'time', fake)
    return fake


def _suspect_all(slots):
    for name in ('i-0', 'i-1'):
        slots.load.silence.mark_suspect(name)


def test_suspected_upstreams_get_one_item_each_if_nothing_else_has_room(
    slots, clock
):
    """A suspicion may outlast its cause, and only bytes end it."""
    _suspect_all(slots)
    assert not slots.has_free_slot(BATCH_ROUTE)
    clock.now += SUSPECT_TRIAL_DELAY_S + 0.1
    assert slots.has_free_slot(BATCH_ROUTE)
    chosen = set()
    while upstream := slots.choose_upstream(BATCH_ROUTE, ''):
        slots.own_items[upstream.upstream_id] += 1
        chosen.add(upstream.upstream_id)
    assert chosen == {'i-0', 'i-1'}
    assert max(slots.own_items.values()) == 1


def test_time_without_room_is_that_of_the_services_of_a_route(slots, clock):
    """Guards against times that a route keeps though it was moved."""
    upstream = slots.upstreams.find('i-0')
    slots.upstreams.register(
        attrs.evolve(
            upstream, upstream_id='i-2', service='other', incarnation='i-2'
        )
    )
    for name in ('i-0', 'i-1', 'i-2'):
        slots.load.silence.mark_suspect(name)
    assert not slots.has_free_slot(BATCH_ROUTE)
    clock.now += SUSPECT_TRIAL_DELAY_S + 0.1
    moved = attrs.evolve(BATCH_ROUTE, targets=(Target('other'),))
    assert not slots.has_free_slot(moved)
    renamed = attrs.evolve(BATCH_ROUTE, name='renamed')
    assert slots.has_free_slot(renamed)


def test_suspected_upstreams_get_nothing_while_another_has_room(slots, clock):
    """Also if the other one is owned by a peer."""
    slots.load.silence.mark_suspect('i-1')
    slots.load.receive_report(
        LoadReport(
            'a-peer',
            '127.0.0.2',
            1,
            1,
            runs_batch=True,
            connected=(ROOT_PREFIX,),
        )
    )
    assert not slots.has_free_slot(BATCH_ROUTE)
    clock.now += SUSPECT_TRIAL_DELAY_S + 0.1
    assert not slots.has_free_slot(BATCH_ROUTE)
    _fill(slots, 'i-0')
    assert not slots.has_free_slot(BATCH_ROUTE)
    clock.now += SUSPECT_TRIAL_DELAY_S + 0.1
    assert slots.choose_upstream(BATCH_ROUTE, '').upstream_id == 'i-1'


def test_upstream_that_only_its_owner_suspects_gets_an_item_from_another(
    slots, clock
):
    """The owner's link to it may be cut."""
    slots.load.silence.mark_suspect('i-1')
    slots.load.receive_report(
        LoadReport(
            'a-peer',
            '127.0.0.2',
            1,
            1,
            runs_batch=True,
            connected=(ROOT_PREFIX,),
            suspects=('i-0',),
        )
    )
    slots.own_items['i-1'] = 1
    assert not slots.has_free_slot(BATCH_ROUTE)
    clock.now += SUSPECT_TRIAL_DELAY_S + 0.1
    assert slots.choose_upstream(BATCH_ROUTE, '').upstream_id == 'i-0'


def test_suspected_upstream_at_its_limit_gets_no_item(
    slots, clock, monkeypatch
):
    _suspect_all(slots)
    blocked = types.SimpleNamespace(blocked_s=lambda incarnation: 1.0)
    monkeypatch.setattr(slots.load.limits, 'limits', blocked)
    assert not slots.has_free_slot(BATCH_ROUTE)
    clock.now += SUSPECT_TRIAL_DELAY_S + 0.1
    assert not slots.has_free_slot(BATCH_ROUTE)


def test_waiting_items_share_a_search_until_one_starts(slots, monkeypatch):
    """Hundreds of items may avoid an upstream or have output."""
    searches = []
    free_slots_at = FreeSlots._free_slots_at

    def count_search(slots, upstream):
        searches.append(upstream)
        return free_slots_at(slots, upstream)

    monkeypatch.setattr(FreeSlots, '_free_slots_at', count_search)
    _fill(slots, 'i-1')
    with slots.searching():
        for _ in range(100):
            assert not slots.choose_upstream(
                BATCH_ROUTE, 'i-0', waits_for_others=True
            )
        assert len(searches) == 2
        for _ in range(SLOTS - 1):
            chosen = slots.choose_upstream(BATCH_ROUTE, 'i-1')
            assert chosen.upstream_id == 'i-0'
            slots.count_start('i-0')
        assert not slots.choose_upstream(BATCH_ROUTE, 'i-1')
    # a later pass sees what others have changed meanwhile
    slots.load.in_flight.online.clear()
    assert slots.choose_upstream(BATCH_ROUTE, 'i-0').upstream_id == 'i-1'


def test_item_goes_to_a_slow_upstream_before_a_usual_one(slots):
    """Online requests may need the usual one at the next peak."""
    for _ in range(20):
        for name in (f'i-{number}' for number in range(MIN_COMPARED)):
            seconds = 0.02 if name == 'i-1' else 0.01
            slots.load.knowledge.speeds.record(name, 'llm', 'event', seconds)
    assert slots.choose_upstream(BATCH_ROUTE, '').upstream_id == 'i-1'
    _fill(slots, 'i-1')
    assert slots.choose_upstream(BATCH_ROUTE, '').upstream_id == 'i-0'


def test_item_starts_where_memory_is_left_beside_all_that_is_held(slots):
    capacity = UpstreamCapacity(SLOTS, 4000)
    slots.load.knowledge.capacities = lambda: {'llm': capacity}
    slots.memory.count_start('i-0', 2500)
    peer = LoadReport('e', 'host-e', 1, 1, tokens={'i-1': 1500})
    slots.load.receive_report(peer)
    for tokens, expected in ((500, 'i-0'), (1500, 'i-1')):
        chosen = slots.choose_upstream(BATCH_ROUTE, 'i-1', tokens=tokens)
        assert chosen.upstream_id == expected
    assert slots.choose_upstream(BATCH_ROUTE, '', tokens=1501) is None
    slots.memory.count_end('i-0', 2500)
    chosen = slots.choose_upstream(BATCH_ROUTE, '', tokens=1501)
    assert chosen.upstream_id == 'i-0'
