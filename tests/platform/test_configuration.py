"""Tests of reading the operator's configuration and registrations."""

import json

import pytest

from briarrill.coordination.routes import RouteKind
from briarrill.coordination.upstream_table import UpstreamTable
from briarrill.errors import NotFoundError
from briarrill.platform.configuration import (
    CONFIGURATION_KEY,
    RoutingConfigurationHolder,
)
from briarrill.platform.upstreams import Registrations


def configuration(version, *routes):
    """Return a configuration body with one route per (prefix, service)."""
    route_fields = [
        {
            'name': prefix.strip('/') or 'root',
            'host': 'h',
            'prefix': prefix,
            'kind': 'streaming',
            'timeout_ms': 5000,
            'target_latency_ms': 300,
            'service': service,
            'something_new': [1],
        }
        for prefix, service in routes
    ]
    return json.dumps({'version': version, 'routes': route_fields}).encode()


def _make_holder():
    changes = []
    return RoutingConfigurationHolder(lambda: changes.append(1)), changes


def test_only_newer_configuration_version_is_applied():
    holder, changes = _make_holder()
    holder.apply_key(CONFIGURATION_KEY, configuration(4, ('/a/', 'one')))
    holder.apply_key(CONFIGURATION_KEY, configuration(9, ('/a/', 'two')))
    holder.apply_key(CONFIGURATION_KEY, configuration(7, ('/a/', 'old')))
    holder.apply_key(CONFIGURATION_KEY, configuration(9, ('/a/', 'same')))
    assert holder.version == 9
    assert holder.routes.find('h', '/a/x').targets[0].service == 'two'
    assert len(changes) == 2


@pytest.mark.parametrize(
    'body',
    [b'', b'{}', b'{"version": 99, "routes": [{"name": 3}]}', b'\xff'],
)
def test_unreadable_configuration_is_ignored(body):
    holder, _ = _make_holder()
    holder.apply(configuration(4, ('/a/', 'one')))
    holder.apply(body)
    holder.apply_key(CONFIGURATION_KEY, None)
    assert holder.version == 4


def _odd_configuration(path, raw):
    """Return a configuration of version 9 with a number as given.

    :param path: field, or the part and its field.
    """
    cfg = json.loads(configuration(9, ('/a/', 'two')))
    cfg['limits'] = {}
    part, _, name = path.rpartition('.')
    fields = {'': cfg, 'limits': cfg['limits'], 'route': cfg['routes'][0]}
    fields[part][name] = 'odd'
    return json.dumps(cfg).encode().replace(b'"odd"', raw)


@pytest.mark.parametrize(
    'path',
    [
        'version',
        'limits.max_header_bytes',
        'limits.max_body_bytes',
        'limits.header_timeout_ms',
        'limits.idle_timeout_ms',
        'route.timeout_ms',
        'route.target_latency_ms',
        'route.max_attempts',
        'route.gap_aim_ms',
        'route.completion_target_ms',
        'route.keep_s',
        'route.max_queued_tokens',
    ],
)
@pytest.mark.parametrize('raw', [b'-1', b'9' * 25, b'9' * 400, b'1e400'])
def test_configuration_with_an_unusable_number_is_ignored(path, raw):
    holder, changes = _make_holder()
    holder.apply(configuration(4, ('/a/', 'one')))
    holder.apply(_odd_configuration(path, raw))
    assert holder.version == 4
    assert holder.routes.find('h', '/a/x').targets[0].service == 'one'
    holder.apply(_odd_configuration(path, b'10'))
    assert holder.version in {9, 10}
    assert len(changes) == 2


def test_route_lookup_returns_longest_prefix_of_host():
    holder, _ = _make_holder()
    holder.apply(configuration(1, ('/', 'r'), ('/a/', 's'), ('/a/b/', 'l')))
    find = holder.routes.find
    assert find('h', '/a/b/c').targets[0].service == 'l'
    assert find('h', '/a/bc').targets[0].service == 's'
    assert find('h', '/ab/').targets[0].service == 'r'
    with pytest.raises(NotFoundError):
        find('other', '/a/')


def test_batch_route_fields_are_converted():
    body = json.dumps(
        {
            'version': 1,
            'routes': [
                {
                    'name': 'b',
                    'host': 'h',
                    'prefix': '/b/',
                    'kind': 'batch',
                    'timeout_ms': 15000,
                    'target_latency_ms': 400,
                    'completion_target_ms': 18000,
                    'keep_s': 60,
                    'max_queued_tokens': 1000,
                    'max_attempts': 3,
                    'traffic_split': [
                        {'service': 'x', 'weight': 90},
                        {'service': 'y', 'weight': 10},
                    ],
                }
            ],
        }
    ).encode()
    holder, _ = _make_holder()
    holder.apply(body)
    (route,) = holder.routes.batch_routes
    assert route.kind is RouteKind.BATCH
    assert (route.completion_objective_s, route.item_ttl_s) == (18, 60)
    assert route.max_unfinished_tokens == 1000
    assert [target.weight for target in route.targets] == [90, 10]


REGISTRATION = {
    'service': 'llm',
    'address': '10.0.0.9:8080',
    'zone': 'a',
    'slots': 8,
    'state': 'ready',
    'call_seq': 4,
    'born': 17,
}


def _table_with(**changed):
    table = UpstreamTable(lambda: True)
    body = json.dumps({**REGISTRATION, **changed}).encode()
    Registrations(table).apply_key('servers/i-1', body)
    return table


def test_registration_adds_upstream():
    (upstream,) = _table_with().accepting_upstreams('llm')
    assert upstream.upstream_id == 'i-1'
    assert upstream.address == ('10.0.0.9', 8080)
    assert upstream.incarnation == 'i-1/17'


def test_draining_upstream_is_not_offered():
    assert _table_with(state='draining').accepting_upstreams('llm') == []


@pytest.mark.parametrize(
    'changed',
    [
        {'slots': '8'},
        {'state': 'resting'},
        {'address': 'nowhere'},
        {'service': None},
    ],
)
def test_invalid_registration_adds_no_upstream(changed):
    assert _table_with(**changed).registered_upstreams == ()


def test_unreadable_registration_removes_the_upstream():
    table = _table_with()
    Registrations(table).apply_key('servers/i-1', b'\x00')
    assert table.registered_upstreams == ()
