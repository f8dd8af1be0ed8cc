"""Tests of job creation: rejected, of unknown outcome, or accepted once."""

import attrs
import pytest
import trio

from briarrill.errors import (
    ConflictError,
    PlatformUnavailableError,
    WriteUnknownError,
)
from briarrill.result_codes import Ran
from briarrill.state.job_records import JobState
from briarrill.state.keys import OPEN_JOBS_PREFIX
from tests.batch.batch_fleet import open_batch_fleet


async def test_create_with_lost_reply_is_unknown_and_repeat_runs_job_once(
    network, tmp_path
):
    async with open_batch_fleet(network, tmp_path) as fleet:
        record = await fleet.upload(20)
        job = fleet.make_job_record(record)
        fleet.store.replies_to_lose = 2
        with pytest.raises(PlatformUnavailableError) as rejected:
            await fleet.directory.create_job(job)
        assert rejected.value.ran is Ran.NO
        with pytest.raises(WriteUnknownError) as lost:
            await fleet.directory.create_job(job)
        assert lost.value.ran is Ran.UNKNOWN
        again = await fleet.directory.create_job(fleet.make_job_record(record))
        assert again.job_id == job.job_id
        await fleet.check_results_complete(await fleet.wait_job_final())
        assert len(fleet.started_prompts) == 20


async def test_create_during_outage_is_rejected_and_job_never_runs(
    network, tmp_path
):
    async with open_batch_fleet(network, tmp_path) as fleet:
        record = await fleet.upload(20)
        fleet.store.is_down = True
        for call in (
            fleet.directory.check_available(),
            fleet.directory.create_job(fleet.make_job_record(record)),
        ):
            with pytest.raises(PlatformUnavailableError) as rejected:
                await call
            assert rejected.value.ran is Ran.NO
            assert rejected.value.retry_after_s
        fleet.store.is_down = False
        await trio.sleep(1)
        assert not fleet.started_prompts


async def test_create_with_used_name_and_other_file_raises_conflict(
    network, tmp_path
):
    async with open_batch_fleet(network, tmp_path) as fleet:
        await fleet.create_job(5)
        other = await fleet.upload(5, id_prefix='b')
        with pytest.raises(ConflictError):
            await fleet.directory.create_job(fleet.make_job_record(other))


async def test_job_notice_lost_with_entry_job_completes(network, tmp_path):
    """The entry dies after its reply and before it notifies a process."""
    async with open_batch_fleet(network, tmp_path) as fleet:
        record = await fleet.upload(20)
        fleet.directory = attrs.evolve(
            fleet.directory, nursery=_DiscardingNursery()
        )
        await fleet.directory.create_job(fleet.make_job_record(record))
        await fleet.check_results_complete(await fleet.wait_job_final())


async def test_input_copy_lost_after_create_job_completes(network, tmp_path):
    async with open_batch_fleet(network, tmp_path, batches=3) as fleet:
        record = await fleet.upload(20)
        await fleet.directory.create_job(fleet.make_job_record(record))
        place = record.segments[0].places[0]
        number = place.instance.removeprefix('entry-')
        fleet.members[f'batch-{number}'].kill()
        await fleet.check_results_complete(await fleet.wait_job_final())


async def test_open_job_index_is_empty_after_jobs_completed(network, tmp_path):
    async with open_batch_fleet(network, tmp_path) as fleet:
        await fleet.create_job(5)
        await fleet.create_job(5, 'b', name='job-2')
        for name in ('job-1', 'job-2'):
            assert (
                await fleet.wait_job_final(name)
            ).state is JobState.COMPLETED
        with trio.fail_after(5):
            while await fleet.client.read_prefix(OPEN_JOBS_PREFIX):
                await trio.sleep(0.05)


async def test_idle_reads_are_bounded_with_many_finished_jobs(
    network, tmp_path
):
    async with open_batch_fleet(network, tmp_path) as fleet:
        record = await fleet.upload(1)
        finished = attrs.evolve(
            fleet.make_job_record(record), state=JobState.COMPLETED
        )
        for number in range(50):
            job = attrs.evolve(finished, job_id=f'old-{number}')
            await fleet.directory.create_job(job)
        await trio.sleep(1.5)
        before = fleet.store.reads
        await trio.sleep(2)
        # two searchers with two reads a second each, and reads of the index
        assert fleet.store.reads - before <= 2 * 2 * 2 + 4


class _DiscardingNursery:
    """Discards tasks, like a process that ends before they run."""

    def start_soon(self, *_):
        """Discard the task."""
