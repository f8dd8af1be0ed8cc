"""Jobs created through entries: refused, unknown or accepted once."""

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
from briarrill.state.keys import OPEN_JOBS
from tests.batch.world import open_world


async def test_create_whose_reply_is_lost_is_unknown_and_safe_to_repeat(
    network, tmp_path
):
    async with open_world(network, tmp_path) as world:
        record = await world.upload(20)
        job = world.job_record(record)
        world.store.lose_replies = 2
        with pytest.raises(PlatformUnavailableError) as refused:
            await world.directory.create(job)
        assert refused.value.ran is Ran.NO
        with pytest.raises(WriteUnknownError) as lost:
            await world.directory.create(job)
        assert lost.value.ran is Ran.UNKNOWN
        again = await world.directory.create(world.job_record(record))
        assert again.job_id == job.job_id
        await world.check_whole(await world.wait_final())
        assert len(world.runs) == 20


async def test_outage_refuses_at_once_and_nothing_runs(network, tmp_path):
    async with open_world(network, tmp_path) as world:
        record = await world.upload(20)
        world.store.is_down = True
        for call in (
            world.directory.check_available(),
            world.directory.create(world.job_record(record)),
        ):
            with pytest.raises(PlatformUnavailableError) as refused:
                await call
            assert refused.value.ran is Ran.NO
            assert refused.value.retry_after_s
        world.store.is_down = False
        await trio.sleep(1)
        assert not world.runs


async def test_name_of_a_job_stands_for_one_input_file(network, tmp_path):
    async with open_world(network, tmp_path) as world:
        await world.create(5)
        other = await world.upload(5, mark='b')
        with pytest.raises(ConflictError):
            await world.directory.create(world.job_record(other))


async def test_entry_is_lost_right_after_the_acknowledgement(
    network, tmp_path
):
    """The notice to a batch process is lost with the entry."""
    async with open_world(network, tmp_path) as world:
        record = await world.upload(20)
        world.directory = attrs.evolve(world.directory, nursery=_LostNotices())
        await world.directory.create(world.job_record(record))
        await world.check_whole(await world.wait_final())


async def test_segment_holder_is_lost_right_after_the_acknowledgement(
    network, tmp_path
):
    async with open_world(network, tmp_path, batches=3) as world:
        record = await world.upload(20)
        await world.directory.create(world.job_record(record))
        place = record.segments[0].places[0]
        number = place.instance.removeprefix('entry-')
        world.members[f'batch-{number}'].kill()
        await world.check_whole(await world.wait_final())


async def test_index_is_empty_after_the_jobs_have_ended(network, tmp_path):
    async with open_world(network, tmp_path) as world:
        await world.create(5)
        await world.create(5, 'b', name='job-2')
        for name in ('job-1', 'job-2'):
            assert (await world.wait_final(name)).state is JobState.COMPLETED
        with trio.fail_after(5):
            while await world.client.read_prefix(OPEN_JOBS):
                await trio.sleep(0.05)


async def test_reads_do_not_grow_with_finished_jobs(network, tmp_path):
    async with open_world(network, tmp_path) as world:
        record = await world.upload(1)
        finished = attrs.evolve(
            world.job_record(record), state=JobState.COMPLETED
        )
        for number in range(50):
            job = attrs.evolve(finished, job_id=f'old-{number}')
            await world.directory.create(job)
        await trio.sleep(1.5)
        before = world.store.reads
        await trio.sleep(2)
        # two searchers, two reads a second each, and the index now and then
        assert world.store.reads - before <= 2 * 2 * 2 + 4


class _LostNotices:
    """A nursery of a process that ends before its tasks run."""

    def start_soon(self, *_):
        """Run nothing."""
