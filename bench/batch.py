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

# fleet and job of the ceiling bench; ITEM_TOKENS is the length of each
# completion in all benches
CEILING_ENGINES = 2
CEILING_SLOTS = 8
CEILING_TOKEN_MS = 20.0
ITEM_TOKENS = 16
CEILING_ITEMS = 600
REPETITIONS = 2

ZERO_COST_ITEMS = 20_000
# items that each pull requests
PULLED_ITEMS = 200
LARGEST_JOB_ITEMS = 670_000
MEMORY_WINDOW_S = 30
RECOVERY_ITEMS = 60_000
LEASE_TTL_S = 3

CEILING_SHARE_TARGET = 0.95
KEY_VALUE_WRITES_TARGET = 5  # per 1000 items
MEMORY_TARGET_MB = 256


def print_figure(name, text, target='none'):
    """Print a figure's name, its text, target and seed."""
    sys.stdout.write(f'{name}: {text} (target {target}, seed {SEED})\n')
    sys.stdout.flush()


async def _run_items_directly(urls):
    """Run the items at the engines directly, one in flight for each slot."""
    numbers = iter(range(CEILING_ITEMS))

    async def run_items(client, url):
        for number in numbers:
            body = {**item_body(number, ITEM_TOKENS), 'stream': True}
            target = f'{url}/v1/chat/completions'
            reply = await client.post(target, json=body)
            reply.raise_for_status()

    async with (
        httpx.AsyncClient(timeout=60) as client,
        trio.open_nursery() as nursery,
    ):
        for url in urls * CEILING_SLOTS:
            nursery.start_soon(run_items, client, url)


def measure_ceiling():
    """Compare items per second of a job with directly driven engines."""
    with open_bench_fleet(
        f'127.{NETWORK}.20',
        engines=CEILING_ENGINES,
        slots=CEILING_SLOTS,
        token_ms=CEILING_TOKEN_MS,
    ) as bench:
        urls = [
            bench.fleet.upstream_url(number)
            for number in range(CEILING_ENGINES)
        ]
        for pair in range(REPETITIONS):
            started_at = time.monotonic()
            trio.run(_run_items_directly, urls)
            direct = CEILING_ITEMS / (time.monotonic() - started_at)
            file_id = bench.upload_items(
                pair * CEILING_ITEMS, CEILING_ITEMS, ITEM_TOKENS
            )
            started_at = time.monotonic()
            bench.wait_completed(bench.create_job(file_id))
            batch = CEILING_ITEMS / (time.monotonic() - started_at)
            print_figure(
                'batch share of the ceiling',
                f'{batch / direct:.3f} ({batch:.1f} against'
                f' {direct:.1f} items/s)',
                f'at least {CEILING_SHARE_TARGET}',
            )


def measure_zero_cost():
    """Measure the owner's throughput and cost with items that take no time."""
    with open_bench_fleet(f'127.{NETWORK}.21', engines=0) as bench:
        file_id = bench.upload_items(0, ZERO_COST_ITEMS, ITEM_TOKENS)
        before = bench.batch_usage()
        counters = bench.key_value_counts()
        with bench.open_pullers(2, PULLED_ITEMS):
            time.sleep(2)
            started_at = time.monotonic()
            job_id = bench.create_job(file_id)
            bench.wait_completed(job_id)
            took_s = time.monotonic() - started_at
        after = bench.batch_usage()
        owner = bench.find_busiest_batch(before)
        cpu_s = after[owner][1] - before[owner][1]
        print_figure('zero-cost items/s', f'{ZERO_COST_ITEMS / took_s:.0f}')
        print_figure(
            'owner processor us/item', f'{cpu_s / ZERO_COST_ITEMS * 1e6:.0f}'
        )
        _print_key_value_cost(counters, bench.key_value_counts(), took_s)
        disk_bytes = bench.data_bytes() / ZERO_COST_ITEMS
        print_figure(
            'disk bytes/item, both copies, in and out', f'{disk_bytes:.0f}'
        )


def _print_key_value_cost(before, after, took_s):
    thousands = ZERO_COST_ITEMS / 1000
    writes = _count_calls(before, after, 'kv/txn')
    size = after['bytes_written'] - before['bytes_written']
    reads = _count_calls(before, after, 'kv/range')
    print_figure(
        'key-value writes/1000 items',
        f'{writes / thousands:.2f}',
        f'at most {KEY_VALUE_WRITES_TARGET}',
    )
    print_figure('key-value bytes/1000 items', f'{size / thousands:.0f}')
    print_figure('key-value reads/s', f'{reads / took_s:.1f}')


def _count_calls(before, after, call):
    return after['calls'].get(call, 0) - before['calls'].get(call, 0)


def measure_recovery():
    """Kill a job's owner; measure the time to the next owner's first item."""
    with open_bench_fleet(
        f'127.{NETWORK}.22',
        engines=0,
        entries=3,
        failure_domains=('a', 'b', 'c'),
        lease_ttl_s=LEASE_TTL_S,
    ) as bench:
        file_id = bench.upload_items(0, RECOVERY_ITEMS, ITEM_TOKENS)
        before = bench.batch_usage()
        with bench.open_pullers(2, 20) as reports:
            job_id = bench.create_job(file_id)
            time.sleep(3)
            owner = bench.find_busiest_batch(before)
            killed_at = time.monotonic()
            bench.fleet.members[owner].kill()
            job = bench.wait_completed(job_id)
    # the next owner has the second epoch
    first_times = [row['first_at'].get('2') for row in reports]
    first_s = min(first for first in first_times if first) - killed_at
    print_figure(
        'owner death to first item',
        f'{first_s:.2f} s',
        f'at most {LEASE_TTL_S + 2} s',
    )
    print_figure('items after the loss', f'{job["request_counts"]}')


def measure_memory():
    """Measure peak memory and upload rate for a small and the largest job."""
    for items in (ZERO_COST_ITEMS, LARGEST_JOB_ITEMS):
        with open_bench_fleet(f'127.{NETWORK}.23', engines=0) as bench:
            started_at = time.monotonic()
            file_id = bench.upload_items(0, items, ITEM_TOKENS)
            upload_s = time.monotonic() - started_at
            with bench.open_pullers(2, PULLED_ITEMS):
                bench.create_job(file_id)
                time.sleep(MEMORY_WINDOW_S)
                usage = bench.batch_usage()
        peak = max(resident for resident, _ in usage.values())
        print_figure(
            f'peak memory of a batch process, job of {items} items',
            f'{peak / 1e6:.0f} MB',
            f'under {MEMORY_TARGET_MB} MB',
        )
        print_figure(
            f'upload of {items} items', f'{items / upload_s:.0f} items/s'
        )


MEASUREMENTS = {
    'ceiling': measure_ceiling,
    'zero-cost': measure_zero_cost,
    'recovery': measure_recovery,
    'memory': measure_memory,
}


if __name__ == '__main__':
    for chosen in sys.argv[1:] or MEASUREMENTS:
        MEASUREMENTS[chosen]()
