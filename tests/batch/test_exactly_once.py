"""Each item has one correct result despite lost processes and replies."""

import random

import pytest
import trio

from briarrill.errors import StoreFullError
from briarrill.result_codes import Ran, ResultCode
from briarrill.sidecar.batch import PREFETCH_ITEMS
from briarrill.state.job_records import JobState
from briarrill.state.segments import SegmentFolder
from tests.batch.batch_fleet import open_batch_fleet
from tests.batch.fakes import MODEL

ITEM_COUNT = 120
JOB_KEY = 'briarrill/jobs/kinship/job-1'

# items that two sidecars of four slots each have at most
MAX_ASSIGNED = 2 * (4 + PREFETCH_ITEMS)


@pytest.mark.parametrize('seed', range(4))
async def test_owner_killed_at_random_point_each_item_has_one_result(
    network, tmp_path, seed
):
    rng = random.Random(seed)
    async with open_batch_fleet(network, tmp_path, batches=3) as fleet:
        await fleet.create_job(ITEM_COUNT)
        owner = await fleet.wait_job_owner()
        await fleet.wait_items_started(rng.randrange(ITEM_COUNT))
        owner.kill()
        job = await fleet.wait_job_final()
        assert job.state is JobState.COMPLETED
        await fleet.check_results_complete(job)


async def test_commit_with_lost_replies_adds_no_segment_twice(
    network, tmp_path
):
    async with open_batch_fleet(network, tmp_path) as fleet:
        await fleet.create_job(ITEM_COUNT)
        await fleet.wait_items_started(ITEM_COUNT // 2)
        fleet.store.replies_to_lose = 2
        job = await fleet.wait_job_final()
        await fleet.check_results_complete(job)
        assert fleet.store.replies_to_lose == 0


async def test_claim_with_lost_reply_job_completes(network, tmp_path):
    async with open_batch_fleet(network, tmp_path) as fleet:
        record = fleet.make_job_record(await fleet.upload(10))
        await fleet.directory._create_index_entry('briarrill/jobs/x', record)
        await fleet.directory.create_job(record)
        fleet.store.replies_to_lose = 1
        await fleet.check_results_complete(await fleet.wait_job_final())
        assert fleet.store.replies_to_lose == 0


async def test_sidecar_killed_with_items_job_completes(network, tmp_path):
    async with open_batch_fleet(network, tmp_path) as fleet:
        fleet.token_interval_s = 0.02
        await fleet.create_job(60)
        await fleet.wait_items_started(20)
        fleet.members['sidecar-0'].kill()
        await fleet.check_results_complete(await fleet.wait_job_final())


async def test_key_value_outage_past_lease_job_completes(network, tmp_path):
    async with open_batch_fleet(network, tmp_path) as fleet:
        fleet.token_interval_s = 0.05
        await fleet.create_job(ITEM_COUNT)
        await fleet.wait_items_started(ITEM_COUNT // 3)
        fleet.store.is_down = True
        await fleet.wait_items_started(ITEM_COUNT)
        await trio.sleep(fleet.lease_ttl_s * 1.5)
        fleet.store.is_down = False
        await fleet.check_results_complete(await fleet.wait_job_final())


async def test_failing_item_ends_with_one_error_line_after_three_attempts(
    network, tmp_path
):
    async with open_batch_fleet(network, tmp_path) as fleet:
        fleet.failing_prompts = {'prompt 3', 'prompt 17'}
        await fleet.create_job(30)
        job = await fleet.wait_job_final()
        await fleet.check_results_complete(job)
        assert job.failed == 2
        assert fleet.started_prompts.count('prompt 3') == 3


async def test_job_created_twice_concurrently_runs_once(network, tmp_path):
    async with open_batch_fleet(network, tmp_path) as fleet:
        record = await fleet.upload(40)
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                job = fleet.make_job_record(record)
                nursery.start_soon(fleet.directory.create_job, job)
        await fleet.check_results_complete(await fleet.wait_job_final())
        assert len(fleet.started_prompts) == 40


async def test_owner_with_expired_lease_assigns_no_item(network, tmp_path):
    """An expired lease stands for a process that was suspended past it."""
    async with open_batch_fleet(network, tmp_path) as fleet:
        await fleet.create_job(ITEM_COUNT)
        owner = await fleet.wait_job_owner()
        await fleet.wait_items_started(10)
        runner = owner.batch.runners[JOB_KEY]
        owner.lease._valid_until = 0.0
        assert runner.next_item(('clause-drafter',), 'upstream-9') is None
        await fleet.check_results_complete(await fleet.wait_job_final())


async def test_owner_with_new_lease_assigns_no_item_before_reclaim(
    network, tmp_path
):
    async with open_batch_fleet(network, tmp_path, batches=3) as fleet:
        fleet.token_interval_s = 0.05
        await fleet.create_job(ITEM_COUNT)
        owner = await fleet.wait_job_owner()
        await fleet.wait_items_started(10)
        epoch = (await fleet.find_job()).epoch
        # the lease expires and a new one is granted before the process notices
        fleet.store.end_lease(owner.lease.lease_id)
        owner.lease._valid_until = 0.0
        await owner.lease._renew()
        runner = owner.batch.runners[JOB_KEY]
        assert runner.next_item(('clause-drafter',), 'upstream-9') is None
        job = await fleet.wait_job_final()
        assert job.epoch > epoch
        await fleet.check_results_complete(job)


async def test_owner_cut_off_alone_assigns_no_item_once_revoked(
    network, tmp_path
):
    """The others reach the service, so that one of them claims the job."""
    async with open_batch_fleet(network, tmp_path) as fleet:
        fleet.token_interval_s = 0.1
        await fleet.create_job(ITEM_COUNT)
        owner = await fleet.wait_job_owner()
        runner = owner.batch.runners[JOB_KEY]
        codes = _record_codes(runner)
        await fleet.wait_items_started(10)
        owner.client.is_disconnected = True
        with trio.fail_after(20):
            while ResultCode.CANCELLED not in codes:
                await trio.sleep(0.002)
        # the check of the record fails meanwhile
        await trio.sleep(0.5)
        assert runner.next_item((MODEL,), 'upstream-9') is None
        assert codes.count(ResultCode.CANCELLED) <= MAX_ASSIGNED
        await fleet.check_results_complete(await fleet.wait_job_final())


def _record_codes(runner):
    """Return a list that gets the result code of each outcome of a job."""
    codes = []
    record_outcome = runner.record_outcome

    def record(outcome, sidecar):
        codes.append(outcome.code)
        record_outcome(outcome, sidecar)

    runner.record_outcome = record
    return codes


async def test_process_with_segment_replicas_killed_job_completes(
    network, tmp_path
):
    async with open_batch_fleet(network, tmp_path, batches=4) as fleet:
        await fleet.create_job(ITEM_COUNT)
        await fleet.wait_items_started(ITEM_COUNT // 2)
        owner = await fleet.wait_job_owner()
        lost = next(
            member
            for member in fleet.members.values()
            if member.batch and member is not owner
        )
        lost.kill()
        await fleet.check_results_complete(await fleet.wait_job_final())


async def test_only_segment_copy_unavailable_job_waits_for_its_process(
    network, tmp_path
):
    async with open_batch_fleet(network, tmp_path, copies=1) as fleet:
        record = await fleet.upload(20)
        place = record.segments[0].places[0]
        number = int(place.instance.removeprefix('entry-'))
        fleet.members[f'batch-{number}'].kill()
        await fleet.directory.create_job(fleet.make_job_record(record))
        await trio.sleep(0.5)
        assert (await fleet.find_job()).state is JobState.IN_PROGRESS
        await fleet.start_batch(number)
        await fleet.check_results_complete(await fleet.wait_job_final())


async def test_full_data_folders_upload_rejected_and_results_kept(
    network, tmp_path, monkeypatch
):
    async with open_batch_fleet(network, tmp_path) as fleet:
        await fleet.create_job(ITEM_COUNT)
        await fleet.wait_items_started(ITEM_COUNT // 3)
        with monkeypatch.context() as patch:
            patch.setattr(SegmentFolder, 'put', _raise_store_full)
            with pytest.raises(StoreFullError) as rejected:
                await fleet.upload(5, id_prefix='b')
            assert rejected.value.ran is Ran.NO
            await fleet.wait_items_started(ITEM_COUNT)
            await trio.sleep(0.5)
            assert (await fleet.find_job()).state is JobState.IN_PROGRESS
        await fleet.check_results_complete(await fleet.wait_job_final())


def _raise_store_full(*_):
    raise StoreFullError('the data folder is full')
