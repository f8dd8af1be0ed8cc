"""A cancelled job stops, whoever owns it."""

import random

import pytest
import trio

from briarrill.errors import PeerUnreachableError
from briarrill.state.job_records import JobState
from tests.batch.world import CONTRACT, open_world

ITEMS = 200
STOP_LIMIT_S = 2.0


async def _wait_stopped(world):
    with trio.fail_after(STOP_LIMIT_S):
        while world.running:
            await trio.sleep(0.01)
    return len(world.runs)


async def test_cancel_stops_running_streams(network, tmp_path):
    async with open_world(network, tmp_path) as world:
        world.token_s = 5.0
        await world.create(ITEMS)
        await world.wait_runs(8)
        await world.directory.cancel(CONTRACT, 'job-1')
        runs = await _wait_stopped(world)
        job = await world.wait_final()
        assert job.state is JobState.CANCELLED
        assert len(world.runs) == runs


async def test_cancel_while_the_owner_is_dead(network, tmp_path):
    async with open_world(network, tmp_path, batches=3) as world:
        world.token_s = 5.0
        await world.create(ITEMS)
        await world.wait_runs(8)
        owner = await world.wait_owner()
        owner.kill()
        await world.directory.cancel(CONTRACT, 'job-1')
        runs = await _wait_stopped(world)
        job = await world.wait_final()
        assert job.state is JobState.CANCELLED
        assert len(world.runs) == runs


async def test_cancel_while_the_owner_hears_nothing(network, tmp_path):
    async with open_world(network, tmp_path, batches=3) as world:
        world.token_s = 5.0
        await world.create(ITEMS)
        await world.wait_runs(8)
        owner = await world.wait_owner()
        call = world.caller.call

        async def call_others(host, *rest):
            if host == owner.batch.cfg.instance.host:
                raise PeerUnreachableError('the notice is lost')
            return await call(host, *rest)

        world.caller.call = call_others
        await world.directory.cancel(CONTRACT, 'job-1')
        await _wait_stopped(world)
        job = await world.wait_final()
        assert job.state is JobState.CANCELLED


@pytest.mark.parametrize('seed', range(4))
async def test_cancel_races_with_completion(network, tmp_path, seed):
    rng = random.Random(seed)
    async with open_world(network, tmp_path) as world:
        await world.create(40)
        await world.wait_runs(rng.randrange(30, 41))
        await trio.sleep(rng.random() * 0.02)
        await world.directory.cancel(CONTRACT, 'job-1')
        job = await world.wait_final()
        rows = await world.results(job)
        assert len({key for key, _ in rows}) == len(rows) == job.done
        if job.state is JobState.COMPLETED:
            await world.check_whole(job)
        again = await world.directory.cancel(CONTRACT, 'job-1')
        assert (again.state, again.writer) == (job.state, job.writer)


async def test_committed_results_of_a_cancelled_job_are_kept(
    network, tmp_path
):
    async with open_world(network, tmp_path) as world:
        world.token_s = 0.02
        await world.create(ITEMS)
        await world.wait_runs(60)
        await world.directory.cancel(CONTRACT, 'job-1')
        job = await world.wait_final()
        rows = await world.results(job)
        assert len(rows) >= 60 - 8
        for custom_id, row in rows:
            world.check_answer(world.prompts[custom_id], row)
