"""Tests of results that the service does not take in one transaction.

A write that the service refuses is refused again each time, so that the
results of a job were never listed.
"""

import contextlib

import attrs
import pytest
import trio

from briarrill.coordination.job_table import JobTable
from briarrill.errors import WriteRefusedError
from briarrill.item_runs.item import ItemProgress
from briarrill.item_runs.result_commits import Committer
from briarrill.metrics import BATCH_COMMITS, KEY_VALUE_WRITES_REFUSED
from briarrill.platform.store import PlatformStore
from briarrill.state.stored_jobs import ItemState, job_creation_changes
from briarrill.transport.key_value import KeyChange, TransactionLimits
from standins.memory_key_value import MemoryKeyValue
from standins.platform_store import StandinStore
from tests.serving import serve_standin
from tests.state.test_stored_jobs import make_job

# fewer than the limit of a job, more than fit into two writes
JOB_ITEMS = 40


def completed(job, item, output_bytes=10):
    """Return the completed progress of an item."""
    progress = ItemProgress(job.job_id, job.items[item])
    text = b'x' * output_bytes
    progress.add_stream_bytes(b'id: 1\ndata: %s\n\n' % text)
    progress.is_complete = True
    return progress


async def store_job(service, job_id='j1', count=JOB_ITEMS):
    """Store a job; return it with a table that holds it."""
    job = make_job(job_id, count)
    await service.transact(job_creation_changes(job, 900_000))
    table = JobTable(service)
    table.add(job)
    return job, table


@contextlib.asynccontextmanager
async def running(committer):
    """Run a committer inside the block, for a limited time."""
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(committer.run)
            yield
            nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def platform_store():
    """Serve a stand-in store; yield a client and the stand-in."""
    standin = StandinStore()
    async with serve_standin(standin) as address:
        client = PlatformStore(address)
        yield client, standin
        client.close()


async def wait_idle(committer):
    while not committer.is_idle:
        await trio.sleep(0.01)


@pytest.mark.parametrize('state', list(ItemState))
async def test_many_results_at_once_are_listed_without_a_refusal(state):
    async with platform_store() as (client, standin):
        job, table = await store_job(client)
        committer = Committer(client, table)
        refused = KEY_VALUE_WRITES_REFUSED._value.get()
        for item in range(JOB_ITEMS):
            committer.add(completed(job, item), state)
        async with running(committer):
            await wait_idle(committer)
        assert table.find(job.job_id).is_finished
        assert KEY_VALUE_WRITES_REFUSED._value.get() == refused
        # the job, and as few writes as the entries of one allow
        assert standin.calls.count('kv-txn') == 1 + 3


async def test_refused_result_holds_up_no_other_and_is_seen():
    """The service takes smaller values than the process was told."""
    service = MemoryKeyValue()
    job, table = await store_job(service, count=8)
    service.limits = TransactionLimits(32, 1000)
    committer = Committer(service, table)
    for item in range(8):
        committer.add(
            completed(job, item, 2000 if item == 3 else 10),
            ItemState.COMPLETED,
        )
    refused = BATCH_COMMITS.labels('refused')._value.get()
    async with running(committer):
        await wait_idle(committer)
    tracked = table.find(job.job_id)
    assert len(tracked.results) == 7
    assert job.items[3].item_id not in tracked.finished_item_ids
    assert BATCH_COMMITS.labels('refused')._value.get() > refused
    # no process runs it again
    assert job.items[3].item_id in committer.unpropagated_items


async def test_write_that_is_refused_for_an_unknown_reason_is_split():
    """Only the first half of each write passes; no result is lost."""

    class Service(MemoryKeyValue):
        async def transact(self, changes):
            if len(changes) > 3:
                raise WriteRefusedError('too many changes')
            return await super().transact(changes)

    service = Service()
    job, table = await store_job(service)
    committer = Committer(service, table)
    for item in range(JOB_ITEMS):
        committer.add(completed(job, item), ItemState.COMPLETED)
    async with running(committer):
        await wait_idle(committer)
    assert table.find(job.job_id).is_finished


async def test_refused_item_is_listed_as_errored_once_its_job_expires():
    service = MemoryKeyValue()
    job, table = await store_job(service, count=1)
    service.limits = TransactionLimits(32, 1000)
    committer = Committer(service, table)
    committer.add(completed(job, 0, 2000), ItemState.COMPLETED)
    async with running(committer):
        await wait_idle(committer)
        committer.add(
            ItemProgress(job.job_id, job.items[0]), ItemState.ERRORED
        )
        await wait_idle(committer)
    assert table.find(job.job_id).results[0].state is ItemState.ERRORED


@pytest.mark.parametrize('status', [400, 403, 413])
async def test_refusal_that_cannot_change_is_no_outage(status):
    async with platform_store() as (client, standin):
        standin.error_status = status
        for _ in range(3):
            with pytest.raises(WriteRefusedError):
                await client.transact([KeyChange('k', b'x', 0)])
        assert client.is_reachable
        assert standin.calls.count('kv-txn') == 3


@pytest.mark.parametrize(
    ('changes', 'fitting'),
    [
        ([KeyChange(f'k{number}', b'x', 0) for number in range(20)], 16),
        ([KeyChange(f'k{number}', b'x') for number in range(40)], 32),
        ([KeyChange(f'k{number}', None, 5) for number in range(17)], 16),
        ([KeyChange('k', b'x', 0), KeyChange('l', b'x' * 2_000_000)], 1),
        ([KeyChange('k', b'x' * 2_000_000)], 0),
    ],
)
async def test_limits_are_known_before_the_call(changes, fitting):
    async with platform_store() as (client, standin):
        assert client.limits.count_leading(changes) == fitting
        with pytest.raises(WriteRefusedError):
            await client.transact(changes)
        assert not standin.calls
        if fitting:
            # without an error, also where a comparison does not hold
            await client.transact(changes[:fitting])
            assert standin.calls == ['kv-txn']


async def test_limits_count_each_comparison_as_an_entry():
    change = KeyChange('k', b'x')
    assert change.entries == 1
    assert attrs.evolve(change, mod_revision=0).entries == 2
