"""Jobs at processes that all start while the store rejects reads."""

import contextlib
import itertools
import json

import pytest
import trio

from briarrill.state.keys import JOB_RESULTS_PREFIX, ROOT_PREFIX
from briarrill.transport.http_callers import serve_callers
from briarrill.transport.http_messages import RequestHead
from standins.platform_engine import StandinEngine, stream_events
from standins.platform_store import StandinStore
from tests.platform.platform_fleet import (
    FRONT_PORT,
    STORE_PORT,
    Fleet,
    register_upstream,
    send_request_to,
    start_process,
    store_routes,
    wait_ready,
)

ENTRIES = (2, 3, 4)
BATCH = 5
JOBS = tuple(f'j{number}' for number in range(4))
ITEMS = 2

# of a limit of 1000 tokens; another job of 200 exceeds it
BIG_JOB_TOKENS = 900

# reads of each job at each entry while the store rejects reads
READS = 12


@contextlib.asynccontextmanager
async def running_fleet(network, folder, store):
    """Run entries and a batch process; yield them and a restart function."""
    engine = StandinEngine(stream_events(5, pause_s=0.01))
    processes = {}

    async def start_all():
        for number in ENTRIES:
            processes[number] = await start_process(
                network, folder, 'entry', number
            )
        processes[BATCH] = await start_process(network, folder, 'batch', BATCH)
        for number in ENTRIES:
            await wait_ready(f'{network}.{number}')

    async def kill_all():
        for process in processes.values():
            process.kill()
        for process in processes.values():
            await process.wait()

    async def restart_all():
        await kill_all()
        await start_all()

    async with (
        serve_callers(
            (f'{network}.1', STORE_PORT), store.caller_limits, store.serve
        ),
        serve_callers(
            (f'{network}.9', 8080), engine.caller_limits, engine.serve
        ),
    ):
        try:
            await start_all()
            yield Fleet(network, store, engine, processes), restart_all
        finally:
            await kill_all()


async def read_page(fleet, number, job_id, position=0):
    """Read a job at an entry; return the status and the results."""
    head = RequestHead(
        b'GET',
        f'/lots/{job_id}?after={position}'.encode(),
        ((b'host', b'h'), (b'briarrill-attempt-id', b'r1')),
    )
    status, body = await send_request_to(
        (f'{fleet.network}.{number}', FRONT_PORT), head
    )
    return status, json.loads(body)['results'] if status == 200 else []


class RejectedReads:
    """Rejects reads of all keys, and a share of those of jobs' results.

    :param period: each read of results is rejected but for one in so many.
    """

    def __init__(self, period):
        self._period = period
        self._numbers = itertools.count()

    def __call__(self, call, fields):
        prefix = fields.get('prefix', '')
        if call == 'kv-range' and prefix.startswith(JOB_RESULTS_PREFIX):
            return next(self._numbers) % self._period != 0
        return prefix == ROOT_PREFIX


@pytest.mark.parametrize('period', [2, 10])
async def test_results_that_were_read_are_never_missing_after_a_restart(
    network, tmp_path, period
):
    store = StandinStore()
    store_routes(store)
    register_upstream(store, 'i-1', f'{network}.9')
    with trio.fail_after(60):
        async with running_fleet(network, tmp_path, store) as (fleet, restart):
            for job_id in JOBS:
                assert await fleet.submit(job_id, ITEMS) == 202
            for job_id in JOBS:
                await fleet.read_results(job_id, ITEMS)
            store.rejects = RejectedReads(period)
            await restart()
            pages = [
                await read_page(fleet, number, job_id)
                for _, job_id, number in itertools.product(
                    range(READS), JOBS, ENTRIES
                )
            ]
            assert {status for status, _ in pages} <= {200, 503}
            counts = {
                len(results) for status, results in pages if status == 200
            }
            assert counts <= {ITEMS}
            store.rejects = lambda call, fields: False
            for number, job_id in itertools.product(ENTRIES, JOBS):
                while (await read_page(fleet, number, job_id))[0] != 200:
                    await trio.sleep(0.05)
                assert len((await read_page(fleet, number, job_id))[1]) == (
                    ITEMS
                )


async def test_limit_of_unfinished_tokens_holds_while_jobs_are_unread(
    network, tmp_path
):
    """The jobs of before the restart count although no entry has them."""
    store = StandinStore()
    store_routes(store)
    with trio.fail_after(60):
        async with running_fleet(network, tmp_path, store) as (fleet, restart):
            assert await fleet.submit('big', 1, tokens=BIG_JOB_TOKENS) == 202
            store.rejects = lambda call, fields: (
                fields.get('prefix') == ROOT_PREFIX
            )
            await restart()
            statuses = {
                await fleet.submit(f'more{number}', 1, tokens=200)
                for number in range(READS)
            }
            assert statuses == {503}
            assert await fleet.submit('big', 1, tokens=BIG_JOB_TOKENS) in {
                202,
                503,
            }
            store.rejects = lambda call, fields: False
            while await fleet.submit('small', 1, tokens=50) == 503:
                await trio.sleep(0.05)
            assert await fleet.submit('more', 1, tokens=200) == 429
            assert await fleet.submit('big', 1, tokens=BIG_JOB_TOKENS) == 202
