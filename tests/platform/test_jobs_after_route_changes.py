"""Requests about stored jobs after their route has changed.

A job was found only while its host had a batch route in the newest
configuration; its results got 404 afterwards.
"""

import json

import attrs
import pytest
import trio

from standins.platform_engine import stream_events
from standins.platform_store import StandinStore
from tests.platform.platform_fleet import ROUTES, start_process, wait_ready
from tests.platform.small_fleet import small_fleet

ITEMS = 3
LATE_ENTRY = 4

ONLINE, BATCH = ROUTES['routes']
OTHER_HOST = {'host': 'other'}

CHANGES = {
    'removed': [ONLINE],
    'replaced': [ONLINE, {**ONLINE, 'name': 'new', 'prefix': '/jobs/'}],
    'last of its host': [{**ONLINE, **OTHER_HOST}],
    'moved to another service': [ONLINE, {**BATCH, 'service': 'none'}],
    'moved to another host': [ONLINE, {**BATCH, **OTHER_HOST}],
    'taken by a prefix of all': [{**ONLINE, 'prefix': '/'}],
}


async def change_routes(fleet, routes):
    """Put routes into force; wait until the entry has them."""
    # its status tells when these are in force; no upstream serves it
    probe = {**ONLINE, 'name': 'probe', 'prefix': '/p/', 'host': 'p'}
    probe['service'] = 'none'
    config = {'version': 4, 'routes': [*routes, probe]}
    fleet.store.put('op/config', json.dumps(config).encode())
    while True:
        status, _ = await fleet.send_request('POST', '/p/x', host='p')
        if status != 404:
            return
        await trio.sleep(0.05)


async def read(fleet, job_id, after=0):
    """Read results; return them as the entry sent them, or the status."""
    status, body = await fleet.send_request(
        'GET', f'/lots/{job_id}?after={after}'
    )
    return json.loads(body)['results'] if status == 200 else status


@pytest.mark.parametrize('change', CHANGES)
async def test_finished_job_is_found_whatever_becomes_of_its_route(
    network, tmp_path, change
):
    """At the entry that accepted it and at one that started later."""
    store = StandinStore()
    with trio.fail_after(60):
        async with small_fleet(network, tmp_path, store) as fleet:
            assert await fleet.submit('j1', ITEMS) == 202
            before = (await fleet.read_results('j1', ITEMS))['results']
            await change_routes(fleet, CHANGES[change])
            fleet.processes['late'] = await start_process(
                network, tmp_path, 'entry', LATE_ENTRY
            )
            await wait_ready(f'{network}.{LATE_ENTRY}')
            for entry in (fleet, attrs.evolve(fleet, entry=LATE_ENTRY)):
                await check_job_of(entry, before)
                if not change.startswith('taken'):
                    assert await read(entry, 'none') in {404, 503}


async def check_job_of(fleet, results):
    """Read, submit again and end the job at an entry."""
    while (page := await read(fleet, 'j1')) == 503:
        await trio.sleep(0.05)
    assert page == results
    assert await read(fleet, 'j1', after=1) == results[1:]
    assert await fleet.submit('j1', ITEMS) == 202
    assert (await fleet.send_request('DELETE', '/lots/j1'))[0] == 200
    assert await read(fleet, 'j1') == results


@pytest.mark.parametrize('change', CHANGES)
async def test_open_job_is_read_and_ended_after_its_route_ended(
    network, tmp_path, change
):
    """Its items are given up, or run by the route that it has now."""
    store = StandinStore()
    with trio.fail_after(60):
        async with small_fleet(network, tmp_path, store) as fleet:
            fleet.engine.behaviours = [stream_events(10_000, pause_s=0.05)]
            for job_id in ('j1', 'j2'):
                assert await fleet.submit(job_id, ITEMS) == 202
            await change_routes(fleet, CHANGES[change])
            assert await fleet.submit('j1', ITEMS) == 202
            # an item that is not listed yet has its body
            listed = {one['id'] for one in await read(fleet, 'j1')}
            for number in range(ITEMS):
                status, body = await fleet.send_request(
                    'GET', f'/items/j1?id=j1-{number}'
                )
                assert (status, body) == (200, b'prompt') or (
                    f'j1-{number}' in listed
                )
            assert (await fleet.send_request('DELETE', '/lots/j2'))[0] == 200
            assert isinstance(await read(fleet, 'j2'), list)
            if change.startswith('moved'):
                return
            page = await fleet.read_results('j1', ITEMS)
            states = {one['state'] for one in page['results']}
            assert states == {'errored'}
