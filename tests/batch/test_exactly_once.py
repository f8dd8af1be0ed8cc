"""Every accepted item has one result, its own, through every loss."""

import random

import pytest
import trio

from briarrill.errors import StoreFullError
from briarrill.result_codes import Ran
from briarrill.state.job_records import JobState
from briarrill.state.segments import SegmentFolder
from tests.batch.world import open_world

ITEMS = 120
JOB = 'briarrill/jobs/kinship/job-1'


@pytest.mark.parametrize('seed', range(4))
async def test_owner_is_killed_at_a_random_point(network, tmp_path, seed):
    rng = random.Random(seed)
    async with open_world(network, tmp_path, batches=3) as world:
        await world.create(ITEMS)
        owner = await world.wait_owner()
        await world.wait_runs(rng.randrange(ITEMS))
        owner.kill()
        job = await world.wait_final()
        assert job.state is JobState.COMPLETED
        await world.check_whole(job)


async def test_commit_replies_are_lost_after_effect(network, tmp_path):
    async with open_world(network, tmp_path) as world:
        await world.create(ITEMS)
        await world.wait_runs(ITEMS // 2)
        world.store.lose_replies = 2
        job = await world.wait_final()
        await world.check_whole(job)
        assert world.store.lose_replies == 0


async def test_claim_reply_is_lost_after_effect(network, tmp_path):
    async with open_world(network, tmp_path) as world:
        record = world.job_record(await world.upload(10))
        await world.directory._write_index('briarrill/jobs/x', record)
        await world.directory.create(record)
        world.store.lose_replies = 1
        await world.check_whole(await world.wait_final())
        assert world.store.lose_replies == 0


async def test_sidecar_is_lost_with_items(network, tmp_path):
    async with open_world(network, tmp_path) as world:
        world.token_s = 0.02
        await world.create(60)
        await world.wait_runs(20)
        world.members['sidecar-0'].kill()
        await world.check_whole(await world.wait_final())


async def test_service_is_down_in_the_middle_and_at_the_end(network, tmp_path):
    async with open_world(network, tmp_path) as world:
        world.token_s = 0.05
        await world.create(ITEMS)
        await world.wait_runs(ITEMS // 3)
        world.store.is_down = True
        await world.wait_runs(ITEMS)
        await trio.sleep(world.lease_ttl_s * 1.5)
        world.store.is_down = False
        await world.check_whole(await world.wait_final())


async def test_impossible_items_end_with_one_error_line(network, tmp_path):
    async with open_world(network, tmp_path) as world:
        world.impossible = {'prompt 3', 'prompt 17'}
        await world.create(30)
        job = await world.wait_final()
        await world.check_whole(job)
        assert job.failed == 2
        assert world.runs.count('prompt 3') == 3


async def test_job_sent_to_two_entries_at_once_runs_once(network, tmp_path):
    async with open_world(network, tmp_path) as world:
        record = await world.upload(40)
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                job = world.job_record(record)
                nursery.start_soon(world.directory.create, job)
        await world.check_whole(await world.wait_final())
        assert len(world.runs) == 40


async def test_thawed_owner_hands_out_nothing(network, tmp_path):
    """Freezing is a lease that was not renewed and a handout that waits."""
    async with open_world(network, tmp_path) as world:
        await world.create(ITEMS)
        owner = await world.wait_owner()
        await world.wait_runs(10)
        runner = owner.batch.runners[JOB]
        owner.lease._valid_until = 0.0
        assert runner.next_item(('clause-drafter',), 'upstream-9') is None
        await world.check_whole(await world.wait_final())


async def test_owner_whose_lease_was_granted_anew_stops(network, tmp_path):
    async with open_world(network, tmp_path, batches=3) as world:
        world.token_s = 0.05
        await world.create(ITEMS)
        owner = await world.wait_owner()
        await world.wait_runs(10)
        epoch = (await world.find()).epoch
        # the lease lapses unnoticed and the process gets a new one at once
        world.store.end_lease(owner.lease.lease_id)
        owner.lease._valid_until = 0.0
        await owner.lease._renew()
        runner = owner.batch.runners[JOB]
        assert runner.next_item(('clause-drafter',), 'upstream-9') is None
        job = await world.wait_final()
        assert job.epoch > epoch
        await world.check_whole(job)


async def test_one_of_two_segment_holders_is_lost(network, tmp_path):
    async with open_world(network, tmp_path, batches=4) as world:
        await world.create(ITEMS)
        await world.wait_runs(ITEMS // 2)
        owner = await world.wait_owner()
        lost = next(
            member
            for member in world.members.values()
            if member.batch and member is not owner
        )
        lost.kill()
        await world.check_whole(await world.wait_final())


async def test_lost_single_copy_is_waited_for(network, tmp_path):
    async with open_world(network, tmp_path, copies=1) as world:
        record = await world.upload(20)
        place = record.segments[0].places[0]
        number = int(place.instance.removeprefix('entry-'))
        world.members[f'batch-{number}'].kill()
        await world.directory.create(world.job_record(record))
        await trio.sleep(0.5)
        assert (await world.find()).state is JobState.IN_PROGRESS
        await world.start_batch(number)
        await world.check_whole(await world.wait_final())


async def test_full_data_folders_lose_nothing(network, tmp_path, monkeypatch):
    async with open_world(network, tmp_path) as world:
        await world.create(ITEMS)
        await world.wait_runs(ITEMS // 3)
        with monkeypatch.context() as patch:
            patch.setattr(SegmentFolder, 'put', _refuse_full)
            with pytest.raises(StoreFullError) as refused:
                await world.upload(5, mark='b')
            assert refused.value.ran is Ran.NO
            await world.wait_runs(ITEMS)
            await trio.sleep(0.5)
            assert (await world.find()).state is JobState.IN_PROGRESS
        await world.check_whole(await world.wait_final())


def _refuse_full(*_):
    raise StoreFullError('the data folder is full')
