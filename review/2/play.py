"""An item's result is stored at two positions, another one is lost.

One storage machine gets no response from the store for 4.2 s, while two of
its items end.
"""

import collections
import pathlib

import trio

from review import parts

ITEMS = 6
SILENCE_S = 4.2

# from the start of the silence until the two items end
ITEMS_END_AFTER_S = 2.6

# seconds, events and status of each item's run
PLANS = {
    'item0': (0.5, 40, 200),
    'item1': (0.5, 0, 422),
    **{f'item{number}': (6 + number, 223, 200) for number in range(2, ITEMS)},
}

SHORT_ITEMS = ('item0', 'item1')

STORAGE = {
    'storage-devonport-c-1': 'devonport-c',
    'storage-hobart-a-1': 'hobart-a',
    'storage-launceston-b-1': 'launceston-b',
}
CUT = 'storage-devonport-c-1'
ENTRY = 'edge-hobart-a-1'


async def play(fleet, nursery, record):
    """Return whether each item is listed once."""
    runner = parts.Runner('i-1', fleet.new_host(), record, PLANS)
    runner.holds = {item_id: trio.Event() for item_id in SHORT_ITEMS}
    await fleet.serve(nursery, runner.host, parts.RUNNER_PORT, runner.serve)
    route = parts.batch_route('jobs', '/pule252/', 'llm')
    config = parts.configuration(7, [route], ['llm'])
    fleet.store.put('op/config', config)
    fleet.store.put(
        f'servers/{runner.runner_id}', runner.registration('llm', 'hobart-a')
    )
    await fleet.start(nursery, ENTRY, 'entry', 'hobart-a')
    for name, zone in STORAGE.items():
        await fleet.start(nursery, name, 'batch', zone)
    await fleet.wait_ready(ENTRY)
    await trio.sleep(4)

    items = [(item_id, f'/pule252/3/{item_id}', 940) for item_id in PLANS]
    status, _, _ = await fleet.call(
        ENTRY,
        'POST',
        '/pule252/job1',
        {'briarrill-attempt-id': 'job1'},
        parts.job_body(items),
    )
    record(f'client: job1 of {ITEMS} items submitted, answered {status}')
    if status != 202:
        raise RuntimeError('the job was not accepted')
    while 'item0' not in runner.started:
        await trio.sleep(0.01)
    await fleet.gates[CUT].replied.wait()
    nursery.start_soon(end_items, runner)
    if parts.has_trouble():
        record(f'trouble: the store is silent to {CUT} for {SILENCE_S} s')
        fleet.gates[CUT].silence()
        await trio.sleep(SILENCE_S)
        fleet.gates[CUT].open()
        record('trouble: over')
    return await read_until_listed(fleet, record)


async def end_items(runner):
    """Let the two items end, the whole one first."""
    await trio.sleep(ITEMS_END_AFTER_S)
    for item_id in SHORT_ITEMS:
        runner.holds[item_id].set()
        await trio.sleep(0.05)


async def read_until_listed(fleet, record):
    """Read the results for 45 s; return whether each item is listed once."""
    results = []
    for _ in range(45):
        await trio.sleep(1)
        status, total, results = await parts.read_all(fleet, ENTRY, 'job1')
        listed = [one['id'] for one in results]
        record(f'client: read {status}, total {total}, {listed}')
        if len(set(listed)) == ITEMS:
            break
    counts = collections.Counter(one['id'] for one in results)
    twice = [item_id for item_id, count in counts.items() if count > 1]
    missing = sorted(PLANS.keys() - counts.keys())
    record(f'listed twice: {twice}; never listed: {missing}')
    return not twice and not missing


if __name__ == '__main__':
    parts.main(pathlib.Path(__file__).parent, play)
