"""Tests of conditional writes whose reply is lost."""

import contextlib
from functools import partial

import pytest
import trio

from briarrill.coordination.job_table import JobTable
from briarrill.errors import UpstreamLostError, WriteUnknownError
from briarrill.item_runs.item import ItemProgress
from briarrill.item_runs.result_commits import Committer
from briarrill.platform.store import PlatformStore
from briarrill.platform.store_writes import write_with_retry
from briarrill.state.stored_jobs import ItemState, job_creation_changes
from briarrill.transport.key_value import KeyChange
from standins.memory_key_value import MemoryKeyValue
from standins.platform_store import StandinStore
from tests.serving import serve_standin
from tests.state.test_stored_jobs import make_job

CHANGES = (KeyChange('k/0', b'zero', 0), KeyChange('k/1', b'one', 0))


class InterruptedStore(StandinStore):
    """A store that another process writes to after each lost reply.

    :ivar theirs: keys and values that it writes, once.
    """

    def __init__(self, theirs):
        super().__init__()
        self.theirs = theirs

    async def _dispatch(self, call, argument, fields, body):
        reply = await super()._dispatch(call, argument, fields, body)
        if reply is None:
            for key, value in self.theirs.items():
                self.put(key, value)
            self.theirs = {}
        return reply


@contextlib.asynccontextmanager
async def interrupted_store(theirs):
    standin = InterruptedStore(theirs)
    async with serve_standin(standin) as address:
        client = PlatformStore(address)
        with trio.fail_after(20):
            yield client, standin
        client.close()


@pytest.mark.parametrize(
    ('theirs', 'is_made'),
    [
        ({'k/0': b'zero'}, False),
        ({'k/1': b'one'}, False),
        ({'k/0': b'zero', 'k/1': b'other'}, False),
        ({'k/0': b'other', 'k/1': b'one'}, False),
        ({'k/0': b'zero', 'k/1': b'one'}, True),
    ],
)
async def test_conflict_with_the_same_value_of_another_writer(theirs, is_made):
    """One equal key does not show that the whole write was made."""
    async with interrupted_store(theirs) as (client, standin):
        standin.delay_writes = 1
        revision = await client.transact(CHANGES)
        assert (revision is not None) is is_made
        stored = {
            key: entry.revision for key, entry in standin.entries.items()
        }
        assert set(stored) == set(theirs)
        if is_made:
            assert revision == max(stored.values())


async def test_own_write_of_several_keys_is_recognized():
    async with interrupted_store({}) as (client, standin):
        standin.lose_replies = 1
        revision = await client.transact(CHANGES)
        assert revision == standin.entries['k/1'].revision


@pytest.mark.parametrize(
    'theirs', [{}, {'k/0': b'zero'}, {'k/0': b'zero', 'k/1': b'one'}]
)
async def test_write_and_delete_after_a_lost_reply(theirs):
    """A deleted key counts like a written one."""
    async with interrupted_store(theirs) as (client, standin):
        standin.put('k/1', b'old')
        changes = (
            KeyChange('k/0', b'zero', 0),
            KeyChange('k/1', None, standin.revision),
        )
        standin.delay_writes = 1
        revision = await client.transact(changes)
        assert (revision is None) is bool(theirs)
        assert ('k/1' in standin.entries) is bool(theirs)


async def test_keys_that_cannot_be_read_back_leave_the_outcome_unknown():
    async with interrupted_store({'k/0': b'zero'}) as (client, standin):
        standin.delay_writes = 1
        standin.rejects = lambda call, fields: call == 'kv-key'
        with pytest.raises(WriteUnknownError):
            await client.transact(CHANGES)


class InterruptedService(MemoryKeyValue):
    """Retries lost writes; another process acts between the attempts.

    :ivar interrupt: called once after a lost reply.
    """

    interrupt = None

    async def transact(self, changes):
        return await write_with_retry(
            self, changes, partial(self._call, changes)
        )

    async def _call(self, changes):
        try:
            return await MemoryKeyValue.transact(self, changes)
        except WriteUnknownError as exc:
            interrupt, self.interrupt = self.interrupt, None
            if interrupt is not None:
                await interrupt()
            raise UpstreamLostError(str(exc)) from exc


async def test_results_are_listed_once_if_a_peer_writes_the_first_of_them():
    """A hand-over while the reply to the write of two results is lost."""
    service = InterruptedService()
    job = make_job(count=3)
    await service.transact(job_creation_changes(job, 1_000_000))
    committers = []
    for _ in range(2):
        table = JobTable(service)
        table.add(job)
        committers.append(Committer(service, table))
    own, peer = committers

    def completed(item):
        progress = ItemProgress(job.job_id, job.items[item])
        progress.add_stream_bytes(b'id: 1\ndata: text-%d\n\n' % item)
        progress.is_complete = True
        return progress

    async def commit_at_peer():
        for item in (0, 2):
            peer.add(completed(item), ItemState.COMPLETED)
            await peer._commit_job(job.job_id)

    own.add(completed(0), ItemState.COMPLETED)
    own.add(ItemProgress(job.job_id, job.items[1]), ItemState.ERRORED)
    service.delay_writes = 1
    service.interrupt = commit_at_peer
    with trio.fail_after(5):
        while not own.is_idle:
            await own._commit_job(job.job_id)
    service.apply_delayed_writes()
    fresh = JobTable(service)
    await fresh.read(job.job_id)
    stored = fresh.find(job.job_id).results
    assert [one.item_id for one in stored] == ['j1-0', 'j1-2', 'j1-1']
    # what the process believes is what is stored
    assert own.jobs.find(job.job_id).results == stored
