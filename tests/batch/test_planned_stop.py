"""Tests of the graceful stop: jobs move to another batch process."""

import trio

from tests.batch.batch_fleet import open_batch_fleet

ITEM_COUNT = 150


async def test_stopped_owner_releases_job_and_no_item_runs_twice(
    network, tmp_path
):
    async with open_batch_fleet(network, tmp_path, batches=3) as fleet:
        fleet.token_interval_s = 0.01
        await fleet.create_job(ITEM_COUNT)
        owner = await fleet.wait_job_owner()
        await fleet.wait_items_started(40)
        owner.stop.set()
        with trio.fail_after(10):
            await owner.ended.wait()
        job = await fleet.wait_job_final()
        assert job.owner != owner.batch.store.process
        await fleet.check_results_complete(job)
        assert len(fleet.started_prompts) == ITEM_COUNT


async def test_rolling_restart_of_all_processes_runs_no_item_twice(
    network, tmp_path
):
    async with open_batch_fleet(network, tmp_path, batches=3) as fleet:
        fleet.token_interval_s = 0.03
        await fleet.create_job(ITEM_COUNT)
        await fleet.wait_items_started(20)
        for number in range(3):
            stopping = fleet.members[f'batch-{number}']
            stopping.stop.set()
            with trio.fail_after(10):
                await stopping.ended.wait()
            await fleet.start_batch(number)
        await fleet.check_results_complete(await fleet.wait_job_final())
        assert len(fleet.started_prompts) == ITEM_COUNT


async def test_stop_during_outage_waits_for_commit_and_job_completes(
    network, tmp_path
):
    async with open_batch_fleet(network, tmp_path, batches=3) as fleet:
        fleet.token_interval_s = 0.01
        await fleet.create_job(ITEM_COUNT)
        owner = await fleet.wait_job_owner()
        await fleet.wait_items_started(40)
        fleet.store.is_down = True
        owner.stop.set()
        await trio.sleep(fleet.lease_ttl_s * 1.5)
        assert not owner.ended.is_set()
        fleet.store.is_down = False
        with trio.fail_after(10):
            await owner.ended.wait()
        await fleet.check_results_complete(await fleet.wait_job_final())
