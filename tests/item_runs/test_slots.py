"""Tests of the search for upstreams with free slots."""

import pytest

from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.routes import RouteKind
from briarrill.coordination.upstream_table import (
    RegisteredUpstream,
    UpstreamTable,
)
from briarrill.item_runs.slots import FreeSlots
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


def _fill(slots, name):
    slots.load.in_flight.online[name] = SLOTS


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
