"""Done items of a job are never listed after an outage of the store.

The job's items end while the store answers nobody; the results of one
process are then written at once, and the store accepts 32 entries a call.
"""

import pathlib
import time

import trio

from review import parts

ITEMS = 24
OUTAGE_S = 4.5
WATCHED_S = 40

# for which the runners have no item when an open one counts as lost
IDLE_S = 5

# seconds, events and status of each item's run; they end one after the other
PLANS = {
    f'item{number:02}': (1 + number * 0.15, 40, 200) for number in range(ITEMS)
}
ENTRY = 'edge-hobart-a-1'
STORAGE = {
    'storage-devonport-c-1': 'devonport-c',
    'storage-hobart-a-1': 'hobart-a',
    'storage-launceston-b-1': 'launceston-b',
}
RUNNERS = 12


async def play(fleet, nursery, record):
    """Return whether each item is listed."""
    runners = []
    for number in range(RUNNERS):
        runner = parts.Runner(
            f'i-{number:02}', fleet.new_host(), record, PLANS
        )
        runners.append(runner)
        await fleet.serve(
            nursery, runner.host, parts.RUNNER_PORT, runner.serve
        )
        zone = list(STORAGE.values())[number % len(STORAGE)]
        fleet.store.put(
            f'servers/{runner.runner_id}', runner.registration('llm', zone)
        )
    route = parts.batch_route('jobs', '/pule252/', 'llm')
    fleet.store.put('op/config', parts.configuration(7, [route], ['llm']))
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
    await trio.sleep(0.8)
    if parts.has_trouble():
        record(f'trouble: the store is down for {OUTAGE_S} s')
        for gate in fleet.gates.values():
            gate.silence()
        await trio.sleep(OUTAGE_S)
        for gate in fleet.gates.values():
            gate.open()
        record('trouble: over')
    return await watch(fleet, runners, record)


async def watch(fleet, runners, record):
    """Return whether all items are listed, or runners still have some."""
    results = []
    began_at = quiet_since = time.monotonic()
    while time.monotonic() - began_at < WATCHED_S and len(results) < ITEMS:
        await trio.sleep(0.5)
        status, total, results = await parts.read_all(fleet, ENTRY, 'job1')
        listed = [one['id'] for one in results]
        record(f'client: read {status}, total {total}, {listed}')
        if any(runner.running for runner in runners):
            quiet_since = time.monotonic()
    quiet_s = time.monotonic() - quiet_since
    record(f'{len(results)} of {ITEMS} listed; runners idle for {quiet_s:.1f}')
    return len(results) == ITEMS or quiet_s < IDLE_S


if __name__ == '__main__':
    parts.main(pathlib.Path(__file__).parent, play)
