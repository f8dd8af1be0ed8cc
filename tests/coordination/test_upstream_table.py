"""Upstreams whose registration is missing, for a moment or for good."""

import attrs

from briarrill.coordination.upstream_table import (
    RegisteredUpstream,
    UpstreamTable,
)

ONE = RegisteredUpstream('i-1', 'llm', ('10.0.0.1', 80), 'a', 8)


class Service:
    is_settled = True


def _table():
    service = Service()
    table = UpstreamTable(lambda: service.is_settled)
    table.put(ONE)
    return table, service


def test_missing_registration_ends_an_upstream_at_once():
    table, _ = _table()
    table.remove('i-1')
    assert table.of_service('llm') == []
    assert table.find('i-1') is None


def test_registration_that_lapsed_in_an_outage_is_kept_for_its_return():
    table, service = _table()
    service.is_settled = False
    table.remove('i-1')
    assert table.of_service('llm') == [ONE]
    table.put(ONE)
    service.is_settled = True
    assert table.of_service('llm') == [ONE]


def test_registration_still_missing_after_the_return_is_gone():
    table, service = _table()
    service.is_settled = False
    table.remove('i-1')
    service.is_settled = True
    assert table.all == ()


def test_draining_upstream_gets_no_new_requests():
    table, _ = _table()
    table.put(attrs.evolve(ONE, is_draining=True))
    assert table.of_service('llm') == []
    assert len(table.all) == 1
