"""The results of a batch job are gone once its route is removed.

The job is accepted, done and read before the configuration that removes its
route; results stay readable for ``retention_s``.
"""

import pathlib

import trio

from review import parts

ITEMS = 4
PLANS = {f'item{number}': (1.0, 40, 200) for number in range(ITEMS)}
ENTRIES = {
    'edge-hobart-a-1': 'hobart-a',
    'edge-launceston-b-1': 'launceston-b',
}
STORAGE = {
    'storage-hobart-a-1': 'hobart-a',
    'storage-launceston-b-1': 'launceston-b',
}

# contact_ms, and config_apply_ms after the confirmation, with a margin
CONTACT_S = 4
APPLY_S = 4


def routes(*, with_batch):
    """Return the operator's routes, with the route of the job or without."""
    online = {
        'name': 'online',
        'host': 'ficu95.example',
        'prefix': '/lohu930/',
        'kind': 'streaming',
        'timeout_ms': 5000,
        'target_latency_ms': 300,
        'service': 'llm',
        'max_attempts': 1,
    }
    batch = parts.batch_route('jobs', '/pule252/', 'llm')
    return [online, batch] if with_batch else [online]


async def play(fleet, nursery, record):
    """Return whether the results are readable to the end."""
    runner = parts.Runner('i-1', fleet.new_host(), record, PLANS)
    await fleet.serve(nursery, runner.host, parts.RUNNER_PORT, runner.serve)
    fleet.store.put(
        'op/config', parts.configuration(7, routes(with_batch=True), ['llm'])
    )
    fleet.store.put(
        f'servers/{runner.runner_id}', runner.registration('llm', 'hobart-a')
    )
    for name, zone in ENTRIES.items():
        await fleet.start(nursery, name, 'entry', zone)
    for name, zone in STORAGE.items():
        await fleet.start(nursery, name, 'batch', zone)
    for name in ENTRIES:
        await fleet.wait_ready(name)
    await trio.sleep(CONTACT_S)

    items = [(item_id, f'/pule252/3/{item_id}', 940) for item_id in PLANS]
    first = next(iter(ENTRIES))
    status, _, _ = await fleet.call(
        first,
        'POST',
        '/pule252/job1',
        {'briarrill-attempt-id': 'job1'},
        parts.job_body(items),
    )
    record(f'client: job1 of {ITEMS} items submitted, answered {status}')
    if status != 202:
        raise RuntimeError('the job was not accepted')
    before = []
    while len(before) < ITEMS:
        await trio.sleep(0.3)
        _, _, before = await parts.read_all(fleet, first, 'job1')
    record(f'client: read {[one["id"] for one in before]}')

    changed = routes(with_batch=not parts.has_trouble())
    record(f'operator: version 8 with {[one["name"] for one in changed]}')
    fleet.store.put('op/config', parts.configuration(8, changed, ['llm']))
    await trio.sleep(APPLY_S)
    has_held = True
    for _ in range(5):
        for name in ENTRIES:
            status, _, results = await parts.read_all(fleet, name, 'job1')
            listed = [one['id'] for one in results]
            record(f'client: {name} answers {status}, {listed}')
            has_held = has_held and results == before
        await trio.sleep(1)
    return has_held


if __name__ == '__main__':
    parts.main(pathlib.Path(__file__).parent, play)
