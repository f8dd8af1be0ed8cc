"""A batch process that is stopped hands its jobs over."""

import trio

from tests.batch.world import open_world

ITEMS = 150


async def test_job_is_handed_over_and_no_item_runs_twice(network, tmp_path):
    async with open_world(network, tmp_path, batches=3) as world:
        world.token_s = 0.01
        await world.create(ITEMS)
        owner = await world.wait_owner()
        await world.wait_runs(40)
        owner.stop.set()
        with trio.fail_after(10):
            await owner.ended.wait()
        job = await world.wait_final()
        assert job.owner != owner.batch.store.process
        await world.check_whole(job)
        assert len(world.runs) == ITEMS


async def test_all_processes_are_replaced_one_by_one(network, tmp_path):
    async with open_world(network, tmp_path, batches=3) as world:
        world.token_s = 0.03
        await world.create(ITEMS)
        await world.wait_runs(20)
        for number in range(3):
            leaving = world.members[f'batch-{number}']
            leaving.stop.set()
            with trio.fail_after(10):
                await leaving.ended.wait()
            await world.start_batch(number)
        await world.check_whole(await world.wait_final())
        assert len(world.runs) == ITEMS


async def test_stop_during_an_outage_loses_nothing(network, tmp_path):
    async with open_world(network, tmp_path, batches=3) as world:
        world.token_s = 0.01
        await world.create(ITEMS)
        owner = await world.wait_owner()
        await world.wait_runs(40)
        world.store.is_down = True
        owner.stop.set()
        await trio.sleep(world.lease_ttl_s * 1.5)
        assert not owner.ended.is_set()
        world.store.is_down = False
        with trio.fail_after(10):
            await owner.ended.wait()
        await world.check_whole(await world.wait_final())
