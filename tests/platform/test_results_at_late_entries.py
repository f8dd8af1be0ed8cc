"""Results of jobs at entries that lack what the others know.

A result that one entry has returned is readable at all of them soon after, or
the request is refused.
"""

import contextlib
import os
import signal

import pytest
import trio

from briarrill.transport.http_callers import serve_callers
from standins.platform_store import StandinStore
from tests.platform.platform_fleet import (
    PEER_PORT,
    STORE_PORT,
    register_upstream,
    start_process,
    store_routes,
    wait_ready,
)
from tests.platform.test_late_entries import WithholdingStore
from tests.platform.test_results_after_restart import (
    read_page,
    running_fleet,
)

SOUND_ENTRY = 3
CUT_OFF_ENTRY = 6

# last number of the address at which the entry that is cut off has the store
OTHER_STORE = 10

JOBS = tuple(f'j{number}' for number in range(6))
ITEMS = 2

# time within which a result that one entry returned is readable at all, from
# the deployments' rule
SETTLE_S = 1.0


# time within which requests arrive at an entry that stands still
ARRIVAL_S = 0.3

# time after which a cut-off process knows that it is
LONGEST_DOUBT_S = 5


async def _submit(fleet):
    for job_id in JOBS:
        assert await fleet.submit(job_id, ITEMS) == 202


async def _wait_until_known(fleet, number):
    for job_id in JOBS:
        while (await read_page(fleet, number, job_id))[0] != 200:
            await trio.sleep(0.05)


async def _finish(fleet):
    """Have the jobs run, and their results returned by the sound entry."""
    register_upstream(fleet.store, 'i-1', f'{fleet.network}.9')
    for job_id in JOBS:
        while len((await read_page(fleet, SOUND_ENTRY, job_id))[1]) < ITEMS:
            await trio.sleep(0.05)
    await trio.sleep(SETTLE_S)


@contextlib.asynccontextmanager
async def _fleet_with_lone_entry(network, folder):
    """Run a fleet with an entry that hears no peer, and jobs it knows."""
    store = StandinStore()
    store_routes(store)
    other_store = WithholdingStore(store)
    host = f'{network}.{OTHER_STORE}'
    async with (
        serve_callers(
            (host, STORE_PORT), other_store.caller_limits, other_store.serve
        ),
        running_fleet(network, folder, store) as (fleet, _),
    ):
        fleet.processes[CUT_OFF_ENTRY] = await start_process(
            network, folder, 'entry', CUT_OFF_ENTRY, host, PEER_PORT + 100
        )
        await wait_ready(f'{network}.{CUT_OFF_ENTRY}')
        await _submit(fleet)
        await _wait_until_known(fleet, CUT_OFF_ENTRY)
        await trio.sleep(0.5)
        yield fleet, other_store


@pytest.mark.parametrize(
    'withheld',
    [('kv-watch', 'kv-range', 'kv-key', 'kv-txn'), ('kv-watch',)],
    ids=['cut-off', 'silent-watch'],
)
async def test_entry_that_is_cut_off_lacks_no_results(
    network, tmp_path, withheld
):
    with trio.fail_after(60):
        async with _fleet_with_lone_entry(network, tmp_path) as (
            fleet,
            other_store,
        ):
            other_store.withheld = withheld
            cut_at = trio.current_time()
            await _finish(fleet)
            lacking = []
            while (age_s := trio.current_time() - cut_at) < LONGEST_DOUBT_S:
                status, results = await read_page(
                    fleet, CUT_OFF_ENTRY, JOBS[0]
                )
                if status == 200 and len(results) < ITEMS:
                    lacking.append(round(age_s, 2))
                await trio.sleep(0.05)
            assert not lacking


async def test_entry_that_stood_still_lacks_no_results(network, tmp_path):
    pages = []

    async def read(fleet, job_id):
        pages.append(await read_page(fleet, CUT_OFF_ENTRY, job_id))

    with trio.fail_after(60):
        async with _fleet_with_lone_entry(network, tmp_path) as (fleet, _):
            pid = fleet.processes[CUT_OFF_ENTRY].pid
            os.kill(pid, signal.SIGSTOP)
            try:
                await _finish(fleet)
                async with trio.open_nursery() as nursery:
                    for job_id in JOBS:
                        nursery.start_soon(read, fleet, job_id)
                    await trio.sleep(ARRIVAL_S)
                    os.kill(pid, signal.SIGCONT)
            finally:
                os.kill(pid, signal.SIGCONT)
    assert [len(results) for status, results in pages if status == 200] == (
        [ITEMS] * len(JOBS)
    )
