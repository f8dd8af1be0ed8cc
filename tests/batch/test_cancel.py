"""Tests of cancelling jobs, also with a dead or unreachable owner."""

import random

import pytest
import trio

from briarrill.errors import PeerUnreachableError
from briarrill.state.job_records import JobState
from tests.batch.batch_fleet import CONTRACT, open_batch_fleet

ITEM_COUNT = 200
STOP_DEADLINE_S = 2.0


async def _wait_no_item_running(fleet):
    """Wait until no item runs; return the number of items started."""
    with trio.fail_after(STOP_DEADLINE_S):
        while fleet.running_count:
            await trio.sleep(0.01)
    return len(fleet.started_prompts)


async def test_cancel_with_running_items_stops_them_and_starts_no_more(
    network, tmp_path
):
    async with open_batch_fleet(network, tmp_path) as fleet:
        fleet.token_interval_s = 5.0
        await fleet.create_job(ITEM_COUNT)
        await fleet.wait_items_started(8)
        await fleet.directory.cancel_job(CONTRACT, 'job-1')
        started_count = await _wait_no_item_running(fleet)
        job = await fleet.wait_job_final()
        assert job.state is JobState.CANCELLED
        assert len(fleet.started_prompts) == started_count


async def test_cancel_after_owner_was_killed_stops_items(network, tmp_path):
    async with open_batch_fleet(network, tmp_path, batches=3) as fleet:
        fleet.token_interval_s = 5.0
        await fleet.create_job(ITEM_COUNT)
        await fleet.wait_items_started(8)
        owner = await fleet.wait_job_owner()
        owner.kill()
        await fleet.directory.cancel_job(CONTRACT, 'job-1')
        started_count = await _wait_no_item_running(fleet)
        job = await fleet.wait_job_final()
        assert job.state is JobState.CANCELLED
        assert len(fleet.started_prompts) == started_count


async def test_cancel_with_lost_notice_to_owner_stops_items(network, tmp_path):
    async with open_batch_fleet(network, tmp_path, batches=3) as fleet:
        fleet.token_interval_s = 5.0
        await fleet.create_job(ITEM_COUNT)
        await fleet.wait_items_started(8)
        owner = await fleet.wait_job_owner()
        call = fleet.caller.call

        async def call_all_but_owner(host, *rest):
            if host == owner.batch.cfg.instance.host:
                raise PeerUnreachableError('the notice is lost')
            return await call(host, *rest)

        fleet.caller.call = call_all_but_owner
        await fleet.directory.cancel_job(CONTRACT, 'job-1')
        await _wait_no_item_running(fleet)
        job = await fleet.wait_job_final()
        assert job.state is JobState.CANCELLED


@pytest.mark.parametrize('seed', range(4))
async def test_cancel_racing_completion_keeps_one_final_state(
    network, tmp_path, seed
):
    rng = random.Random(seed)
    async with open_batch_fleet(network, tmp_path) as fleet:
        await fleet.create_job(40)
        await fleet.wait_items_started(rng.randrange(30, 41))
        await trio.sleep(rng.random() * 0.02)
        await fleet.directory.cancel_job(CONTRACT, 'job-1')
        job = await fleet.wait_job_final()
        rows = await fleet.read_results(job)
        assert (
            len({custom_id for custom_id, _ in rows}) == len(rows) == job.done
        )
        if job.state is JobState.COMPLETED:
            await fleet.check_results_complete(job)
        again = await fleet.directory.cancel_job(CONTRACT, 'job-1')
        assert (again.state, again.writer) == (job.state, job.writer)


async def test_cancelled_job_keeps_results_of_finished_items(
    network, tmp_path
):
    async with open_batch_fleet(network, tmp_path) as fleet:
        fleet.token_interval_s = 0.02
        await fleet.create_job(ITEM_COUNT)
        await fleet.wait_items_started(60)
        await fleet.directory.cancel_job(CONTRACT, 'job-1')
        job = await fleet.wait_job_final()
        rows = await fleet.read_results(job)
        assert len(rows) >= 60 - 8
        for custom_id, row in rows:
            fleet.check_response(fleet.prompts[custom_id], row)
