"""Jobs whose items are sent to several services by a new configuration."""

import json

import pytest
import trio

from standins.platform_engine import reject_unexecuted, stream_events
from standins.platform_store import StandinStore
from tests.platform.platform_fleet import ROUTES, register_upstream
from tests.platform.small_fleet import ENGINE_NUMBERS, small_fleet
from tests.platform.test_jobs_after_route_changes import change_routes

ITEMS = 6
SERVICES = ('one', 'two')

ONLINE, BATCH = ROUTES['routes']


def make_route(service, prefix=None, **fields):
    """Return a batch route of a service, by default at a prefix of its own."""
    prefix = prefix or f'/jobs/{service}/'
    route = {**BATCH, 'name': f'to-{service}', 'prefix': prefix}
    return {**route, 'service': service, **fields}


# routes that a new version puts in place of /jobs/, and where each half runs
CHANGES = {
    'split': ([make_route('one'), make_route('two')], SERVICES),
    'one part keeps the name': (
        [make_route('one', name=BATCH['name']), make_route('two')],
        SERVICES,
    ),
    'one part is split off': (
        [make_route('one', '/jobs/', name=BATCH['name']), make_route('two')],
        SERVICES,
    ),
    'first part ends': ([make_route('two')], ('', 'two')),
    'second part ends': ([make_route('one')], ('one', '')),
    'first part is online': (
        [{**ONLINE, 'name': 'new', 'prefix': '/jobs/one/'}, make_route('two')],
        ('', 'two'),
    ),
    'names are exchanged': (
        [
            make_route('one', '/jobs/', name='else'),
            make_route('two', '/else/', name=BATCH['name']),
        ],
        ('one', 'one'),
    ),
}


async def submit(fleet):
    """Submit a job whose items belong to the parts in turn."""
    items = [
        {
            'id': f'{SERVICES[number % 2]}-{number}',
            'path': f'/jobs/{SERVICES[number % 2]}/{number}',
            'headers': {'Briarrill-Model': 'm'},
            'body': '',
            'tokens': 10,
        }
        for number in range(ITEMS)
    ]
    status, _ = await fleet.send_request(
        'POST',
        '/jobs/',
        json.dumps({'items': items}).encode(),
        briarrill_attempt_id='j1',
    )
    return status


def register_services(fleet):
    """Register an upstream of each service; its name is that of the service.

    The service of the routes at the start gets none.
    """
    fleet.store.remove('servers/sound')
    for service, number in zip(SERVICES, ENGINE_NUMBERS, strict=True):
        host = f'{fleet.network}.{number}'
        register_upstream(fleet.store, service, host, service=service)


@pytest.mark.parametrize('change', CHANGES)
async def test_items_run_only_where_their_own_path_is_sent(
    network, tmp_path, change
):
    """Guards against items at the service of the job's first item's route."""
    routes, services = CHANGES[change]
    store = StandinStore()
    with trio.fail_after(60):
        async with small_fleet(network, tmp_path, store) as fleet:
            fleet.engine.behaviours = [reject_unexecuted()]
            register_services(fleet)
            assert await submit(fleet) == 202
            await change_routes(fleet, [ONLINE, *routes])
            fleet.engine.behaviours = [stream_events(2)]
            page = await fleet.read_results('j1', ITEMS)
            states = {one['id']: one['state'] for one in page['results']}
            ran_at = {
                received.header(b'briarrill-attempt-id').decode(): (
                    received.header(b'briarrill-expect-instance').decode()
                )
                for received in fleet.engine.requests
                if received.head.method == b'POST'
            }
    expected = {
        f'{part}-{number}': service
        for number in range(ITEMS)
        for part, service in ((SERVICES[number % 2], services[number % 2]),)
    }
    assert {name: ran_at.get(name, '') for name in states} == expected
    assert states == {
        name: 'completed' if service else 'errored'
        for name, service in expected.items()
    }
