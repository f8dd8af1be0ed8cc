"""bench.batch: throughput, cost and recovery of batch jobs.

Usage: python -m bench.batch [ceiling|zero-cost|recovery|memory]...

Each figure is a line: its name, what was measured and its target.
"""

import os
import sys
import time

import httpx
import trio

from .batch_fleet import item_body, open_bench_fleet

SEED = 1
NETWORK = os.environ.get('BRIARRILL_TEST_NETWORK', '149')

# engines of the ceiling: slots, time a token, tokens an item
ENGINES = 2
SLOTS = 8
TOKEN_MS = 20.0
TOKENS = 16
CEILING_ITEMS = 600
PAIRS = 2

ZERO_COST_ITEMS = 20_000
ROOM = 200
LARGE_ITEMS = 670_000
MEMORY_SECONDS = 30
RECOVERY_ITEMS = 60_000
LEASE_TTL_S = 3

CEILING_TARGET = 0.95
WRITES_TARGET = 5
MEMORY_TARGET_MB = 256


def report(name, text, target='none'):
    """Print one figure."""
    sys.stdout.write(f'{name}: {text} (target {target}, seed {SEED})\n')
    sys.stdout.flush()


async def _drive_engines(urls):
    """Run the items directly, as many at a time as there are slots."""
    numbers = iter(range(CEILING_ITEMS))

    async def work(client, url):
        for number in numbers:
            body = {**item_body(number, TOKENS), 'stream': True}
            target = f'{url}/v1/chat/completions'
            reply = await client.post(target, json=body)
            reply.raise_for_status()

    async with (
        httpx.AsyncClient(timeout=60) as client,
        trio.open_nursery() as nursery,
    ):
        for url in urls * SLOTS:
            nursery.start_soon(work, client, url)


def measure_ceiling():
    """Compare items a second with the engines driven directly."""
    with open_bench_fleet(
        f'127.{NETWORK}.20',
        engines=ENGINES,
        slots=SLOTS,
        token_ms=TOKEN_MS,
    ) as bench:
        urls = [bench.fleet.upstream_url(number) for number in range(ENGINES)]
        for pair in range(PAIRS):
            begun = time.monotonic()
            trio.run(_drive_engines, urls)
            direct = CEILING_ITEMS / (time.monotonic() - begun)
            file_id = bench.upload(pair * CEILING_ITEMS, CEILING_ITEMS, TOKENS)
            begun = time.monotonic()
            bench.wait(bench.create(file_id))
            batch = CEILING_ITEMS / (time.monotonic() - begun)
            report(
                'batch share of the ceiling',
                f'{batch / direct:.3f} ({batch:.1f} against'
                f' {direct:.1f} items/s)',
                f'at least {CEILING_TARGET}',
            )


def measure_zero_cost():
    """Measure one batch process and its cost with free items."""
    with open_bench_fleet(f'127.{NETWORK}.21', engines=0) as bench:
        file_id = bench.upload(0, ZERO_COST_ITEMS, TOKENS)
        before = bench.batch_usage()
        counts = bench.counts()
        with bench.open_pullers(2, ROOM):
            time.sleep(2)
            begun = time.monotonic()
            job_id = bench.create(file_id)
            bench.wait(job_id)
            spent_s = time.monotonic() - begun
        after = bench.batch_usage()
        owner = bench.owner(before)
        cpu_s = after[owner][1] - before[owner][1]
        report('zero-cost items/s', f'{ZERO_COST_ITEMS / spent_s:.0f}')
        report(
            'owner processor us/item', f'{cpu_s / ZERO_COST_ITEMS * 1e6:.0f}'
        )
        _report_writes(counts, bench.counts(), spent_s)
        disk = bench.data_bytes() / ZERO_COST_ITEMS
        report('disk bytes/item, both copies, in and out', f'{disk:.0f}')


def _report_writes(before, after, spent_s):
    thousands = ZERO_COST_ITEMS / 1000
    writes = _difference(before, after, 'kv/txn')
    size = after['bytes_written'] - before['bytes_written']
    reads = _difference(before, after, 'kv/range')
    report(
        'key-value writes/1000 items',
        f'{writes / thousands:.2f}',
        f'at most {WRITES_TARGET}',
    )
    report('key-value bytes/1000 items', f'{size / thousands:.0f}')
    report('key-value reads/s', f'{reads / spent_s:.1f}')


def _difference(before, after, call):
    return after['calls'].get(call, 0) - before['calls'].get(call, 0)


def measure_recovery():
    """Kill the owner and wait for the first item of the next."""
    with open_bench_fleet(
        f'127.{NETWORK}.22',
        engines=0,
        entries=3,
        domains=('a', 'b', 'c'),
        lease_ttl_s=LEASE_TTL_S,
    ) as bench:
        file_id = bench.upload(0, RECOVERY_ITEMS, TOKENS)
        before = bench.batch_usage()
        with bench.open_pullers(2, 20) as reports:
            job_id = bench.create(file_id)
            time.sleep(3)
            owner = bench.owner(before)
            killed_at = time.monotonic()
            bench.fleet.members[owner].kill()
            job = bench.wait(job_id)
    firsts = [row['first_at'].get('2') for row in reports]
    first_s = min(first for first in firsts if first) - killed_at
    report(
        'owner death to first item',
        f'{first_s:.2f} s',
        f'at most {LEASE_TTL_S + 2} s',
    )
    report('items after the loss', f'{job["request_counts"]}')


def measure_memory():
    """Read the owner's memory with a small and with the largest job."""
    for items in (ZERO_COST_ITEMS, LARGE_ITEMS):
        with open_bench_fleet(f'127.{NETWORK}.23', engines=0) as bench:
            begun = time.monotonic()
            file_id = bench.upload(0, items, TOKENS)
            upload_s = time.monotonic() - begun
            with bench.open_pullers(2, ROOM):
                bench.create(file_id)
                time.sleep(MEMORY_SECONDS)
                usage = bench.batch_usage()
        peak = max(resident for resident, _ in usage.values())
        report(
            f'peak memory of a batch process, job of {items} items',
            f'{peak / 1e6:.0f} MB',
            f'under {MEMORY_TARGET_MB} MB',
        )
        report(f'upload of {items} items', f'{items / upload_s:.0f} items/s')


MEASUREMENTS = {
    'ceiling': measure_ceiling,
    'zero-cost': measure_zero_cost,
    'recovery': measure_recovery,
    'memory': measure_memory,
}


if __name__ == '__main__':
    for chosen in sys.argv[1:] or MEASUREMENTS:
        MEASUREMENTS[chosen]()
