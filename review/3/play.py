"""All items of a sound batch job are listed as errored within a second.

The configuration adds a batch route while one storage machine gets no response
from the store.
"""

import pathlib

import trio

from review import parts

ITEMS = 6
PLANS = {f'item{number}': (8.0, 223, 200) for number in range(ITEMS)}
ENTRY = 'edge-hobart-a-1'
STORAGE = {
    'storage-hobart-a-1': 'hobart-a',
    'storage-hobart-a-2': 'hobart-a',
    'storage-launceston-b-1': 'launceston-b',
    'storage-devonport-c-1': 'devonport-c',
}
SILENT = 'storage-hobart-a-1'

# from the start of the silence to the change, and from this to the job
CHANGE_AFTER_S = 0.05
JOB_AFTER_S = 0.2
SILENCE_S = 4.0
WATCHED_S = 25


async def silence(fleet, record):
    """Turn one machine away from the store for a while."""
    fleet.gates[SILENT].silence()
    await trio.sleep(SILENCE_S)
    fleet.gates[SILENT].open()
    record('trouble: over')


async def play(fleet, nursery, record):
    """Return whether no item is given up."""
    runner = parts.Runner('i-1', fleet.new_host(), record, PLANS)
    await fleet.serve(nursery, runner.host, parts.RUNNER_PORT, runner.serve)
    first = parts.batch_route('jobs', '/pule252/', 'llm')
    added = parts.batch_route('more', '/puxa403/', 'llm')
    fleet.store.put('op/config', parts.configuration(7, [first], ['llm']))
    fleet.store.put(
        f'servers/{runner.runner_id}', runner.registration('llm', 'hobart-a')
    )
    await fleet.start(nursery, ENTRY, 'entry', 'hobart-a')
    for name, zone in STORAGE.items():
        await fleet.start(nursery, name, 'batch', zone)
    await fleet.wait_ready(ENTRY)
    await trio.sleep(5)

    if parts.has_trouble():
        record(f'trouble: no response to {SILENT} for {SILENCE_S} s')
        nursery.start_soon(silence, fleet, record)
    await trio.sleep(CHANGE_AFTER_S)
    record('operator: version 8 adds a batch route')
    fleet.store.put(
        'op/config', parts.configuration(8, [first, added], ['llm'])
    )
    await trio.sleep(JOB_AFTER_S)
    items = [(item_id, f'/puxa403/3/{item_id}', 940) for item_id in PLANS]
    status, _, _ = await fleet.call(
        ENTRY,
        'POST',
        '/puxa403/job1',
        {'briarrill-attempt-id': 'job1'},
        parts.job_body(items),
    )
    record(f'client: job1 of {ITEMS} items submitted, answered {status}')
    if status != 202:
        raise RuntimeError('the job was not accepted')
    results = []
    for _ in range(WATCHED_S):
        await trio.sleep(1)
        status, total, results = await parts.read_all(fleet, ENTRY, 'job1')
        listed = [(one['id'], one['state']) for one in results]
        record(f'client: read {status}, total {total}, {listed}')
        if len(results) == ITEMS:
            break
    states = [one['state'] for one in results]
    return states == ['completed'] * ITEMS


if __name__ == '__main__':
    parts.main(pathlib.Path(__file__).parent, play)
