"""Tests of the route of each item after the routes of its job have changed.

All items of a job went the way of its first one, or of a route that had the
name of theirs before.
"""

import attrs
import pytest

from briarrill.coordination.item_routes import find_item_routes
from briarrill.coordination.job_table import TrackedJob
from briarrill.coordination.routes import RouteKind, RouteTable, Target
from briarrill.state.stored_jobs import StoredItem
from tests.relay.front_end_setup import route
from tests.state.test_stored_jobs import make_job

HOST = 'h'
PATHS = {
    'a': '/jobs/a/run',
    'b': '/jobs/b/run',
    'beside': '/jobs/run',
    'outside': '/else/run',
}


def make_route(prefix, service, name='', kind=RouteKind.BATCH, host=HOST):
    """Return a route that is named after its prefix."""
    return attrs.evolve(
        route(kind),
        name=name or prefix,
        host=host,
        prefix=prefix,
        targets=(Target(service),),
    )


def make_online_route(prefix):
    return make_route(prefix, 'online', kind=RouteKind.IDEMPOTENT)


ACCEPTED = make_route('/jobs/', 'old', name='jobs')

# routes in force, and the service of each path, empty if its route has ended
CHANGES = {
    'none': ([ACCEPTED], 'old old old old'),
    'moved to another service': ([make_route('/jobs/', 'new')], 'new ' * 4),
    'removed': ([make_route('/x/', 'x')], [''] * 4),
    'online': ([make_online_route('/jobs/')], [''] * 4),
    'at another host': ([attrs.evolve(ACCEPTED, host='i')], [''] * 4),
    'split and removed': (
        [make_route('/jobs/a/', 'a'), make_route('/jobs/b/', 'b')],
        ['a', 'b', '', ''],
    ),
    'split and kept': (
        [ACCEPTED, make_route('/jobs/b/', 'b')],
        'old b old old',
    ),
    'one part has the name': (
        [
            make_route('/jobs/a/', 'a', name='jobs'),
            make_route('/jobs/b/', 'b'),
        ],
        ['a', 'b', '', ''],
    ),
    'one part has no route': (
        [make_route('/jobs/b/', 'b')],
        ['', 'b', '', ''],
    ),
    'one part is online': (
        [make_online_route('/jobs/a/'), make_route('/jobs/b/', 'b')],
        ['', 'b', '', ''],
    ),
    'one part is online beside the rest': (
        [ACCEPTED, make_online_route('/jobs/a/')],
        'old old old old',
    ),
    'name is given to another route': (
        [
            make_route('/jobs/', 'new', name='other'),
            make_route('/else/', 'else', name='jobs'),
        ],
        'new new new new',
    ),
    'taken by a shorter prefix': ([make_route('/', 'all')], 'all ' * 4),
    'taken by an online prefix': (
        [make_online_route('/'), make_route('/jobs/a/', 'a')],
        ['a', '', '', ''],
    ),
}


def make_stored_job(prefix=ACCEPTED.prefix):
    """Return a job with an item of each path."""
    items = tuple(
        StoredItem(name, path, {}, b'', 10) for name, path in PATHS.items()
    )
    return attrs.evolve(
        make_job(count=0),
        route=ACCEPTED.name,
        host=HOST,
        items=items,
        prefix=prefix,
    )


def services_of(item_routes):
    """Return the service of each item, empty for those without a route."""
    found = [item_routes.of(name) for name in PATHS]
    return ['' if one is None else one.targets[0].service for one in found]


@pytest.mark.parametrize('change', CHANGES)
def test_each_item_goes_where_its_own_path_is_sent(change):
    """Guards against items that run where only another item is sent."""
    routes, services = CHANGES[change]
    if isinstance(services, str):
        services = services.split()
    found = find_item_routes(make_stored_job(), RouteTable(9, tuple(routes)))
    assert services_of(found) == services


def test_job_of_an_earlier_release_is_known_by_the_name_of_its_route():
    """Its prefix is not stored; items outside of it must not be lost."""
    job = make_stored_job(prefix='')
    split = (ACCEPTED, make_route('/jobs/b/', 'b'))
    found = find_item_routes(job, RouteTable(9, split))
    assert services_of(found) == ['old', 'b', 'old', 'old']
    moved = (attrs.evolve(ACCEPTED, host='i'), make_route('/jobs/b/', 'b'))
    found = find_item_routes(job, RouteTable(9, moved))
    assert services_of(found) == ['', 'b', '', '']


def test_routes_of_items_follow_the_configuration():
    tracked = TrackedJob('j1')
    one, two = (
        RouteTable(version, (make_route('/jobs/', service),))
        for version, service in ((8, 'old'), (9, 'new'))
    )
    assert tracked.item_routes(one).of('a') is None
    tracked.add_job(make_stored_job())
    for routes, service in ((one, 'old'), (two, 'new'), (one, 'old')):
        assert services_of(tracked.item_routes(routes)) == [service] * 4
    assert tracked.item_routes(one) is tracked.item_routes(one)
