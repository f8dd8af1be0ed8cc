"""Tests of upstreams whose registration expires, with and without outages."""

import attrs

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
