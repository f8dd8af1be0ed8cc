"""Tests of upstreams whose registration expires, with and without outages."""

import attrs

from briarrill.coordination import mirror, upstream_table
from briarrill.coordination.upstream_table import (
    RegisteredUpstream,
    UpstreamTable,
)

UPSTREAM = RegisteredUpstream('i-1', 'llm', ('10.0.0.1', 80), 'a', 8)


class Service:
    is_stable = True


def _table():
    service = Service()
    table = UpstreamTable(lambda: service.is_stable)
    table.register(UPSTREAM)
    return table, service


def test_unregistered_upstream_is_removed_while_the_service_is_reachable():
    table, _ = _table()
    table.unregister('i-1')
    assert table.accepting_upstreams('llm') == []
    assert table.find('i-1') is None


def test_upstream_unregistered_in_an_outage_stays_if_registered_again():
    table, service = _table()
    service.is_stable = False
    table.unregister('i-1')
    assert table.accepting_upstreams('llm') == [UPSTREAM]
    table.register(UPSTREAM)
    service.is_stable = True
    assert table.accepting_upstreams('llm') == [UPSTREAM]


def test_upstream_missing_after_an_outage_is_removed():
    table, service = _table()
    service.is_stable = False
    table.unregister('i-1')
    service.is_stable = True
    assert table.registered_upstreams == ()


def test_draining_upstream_is_listed_but_accepts_no_requests():
    table, _ = _table()
    table.register(attrs.evolve(UPSTREAM, is_draining=True))
    assert table.accepting_upstreams('llm') == []
    assert len(table.registered_upstreams) == 1


def test_upstream_that_announced_its_departure_accepts_no_requests():
    table, _ = _table()
    leaving = attrs.evolve(UPSTREAM, incarnation='i-1/7')
    table.register(leaving)
    table.mark_leaving('i-1/7')
    assert table.accepting_upstreams('llm') == []
    assert table.leaving_incarnations == ('i-1/7',)
    table.register(leaving)
    assert table.accepting_upstreams('llm') == []
    restarted = attrs.evolve(UPSTREAM, incarnation='i-1/8')
    table.register(restarted)
    assert table.accepting_upstreams('llm') == [restarted]
    assert table.leaving_incarnations == ()


def test_departure_outlives_a_registration_lost_in_an_outage():
    table, service = _table()
    leaving = attrs.evolve(UPSTREAM, incarnation='i-1/7')
    table.mark_leaving('i-1/7')
    table.unregister('i-1')
    table.register(leaving)
    assert table.accepting_upstreams('llm') == []


def test_old_departures_are_forgotten(monkeypatch):
    now = 100.0
    monkeypatch.setattr(upstream_table.time, 'monotonic', lambda: now)
    table, _ = _table()
    for number in range(1000):
        now += 1
        table.mark_leaving(f'gone/{number}')
    assert len(table._leaving_since) <= 62


def test_upstream_removed_before_a_reconnection_is_gone_by_a_peers_word():
    table, service = _table()
    table.register(attrs.evolve(UPSTREAM, incarnation='i-1/7'))
    service.is_stable = False
    table.unregister('i-1')
    assert table.find('i-1') is not None
    table.record_peer_removals(('i-1/7',))
    assert table.accepting_upstreams('llm') == []
    assert table.find('i-1') is None


def test_peers_word_of_a_removal_does_not_affect_a_listed_upstream():
    table, service = _table()
    upstream = attrs.evolve(UPSTREAM, incarnation='i-1/7')
    table.register(upstream)
    service.is_stable = False
    table.record_peer_removals(('i-1/7',))
    assert table.accepting_upstreams('llm') == [upstream]


def test_old_word_of_a_removal_does_not_remove_an_upstream(monkeypatch):
    now = 100.0
    monkeypatch.setattr(upstream_table.time, 'monotonic', lambda: now)
    table, service = _table()
    table.register(attrs.evolve(UPSTREAM, incarnation='i-1/7'))
    table.record_peer_removals(('i-1/7',))
    now += 1.1
    service.is_stable = False
    table.unregister('i-1')
    assert table.find('i-1') is not None


def test_removals_are_told_until_the_upstream_registers_again(monkeypatch):
    now = 100.0
    monkeypatch.setattr(upstream_table.time, 'monotonic', lambda: now)
    table, _ = _table()
    upstream = attrs.evolve(UPSTREAM, incarnation='i-1/7')
    table.register(upstream)
    table.unregister('i-1')
    assert table.removed_incarnations == ('i-1/7',)
    table.register(upstream)
    assert table.removed_incarnations == ()
    table.unregister('i-1')
    now += 16
    assert table.removed_incarnations == ()


def test_peers_word_is_not_passed_on():
    table, service = _table()
    table.register(attrs.evolve(UPSTREAM, incarnation='i-1/7'))
    service.is_stable = False
    table.unregister('i-1')
    table.record_peer_removals(('i-1/7',))
    assert table.find('i-1') is None
    assert table.removed_incarnations == ()


def test_grace_and_reconnection_end_before_an_instance_is_in_touch():
    # the shortest contact time of a deployment, 3 s
    longest_s = upstream_table.RETURN_GRACE_S + mirror.MAX_RETRY_PAUSE_S
    assert longest_s < 3


def test_late_ready_state_does_not_undo_a_draining_state():
    table, _ = _table()
    ready = attrs.evolve(UPSTREAM, incarnation='i-1/7')
    table.register(attrs.evolve(ready, is_draining=True))
    table.register(ready)
    assert table.accepting_upstreams('llm') == []
    restarted = attrs.evolve(UPSTREAM, incarnation='i-1/8')
    table.register(restarted)
    assert table.accepting_upstreams('llm') == [restarted]
