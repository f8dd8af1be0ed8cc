"""Tests of result commits: each position and item gets one result."""

import collections

import pytest
import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from briarrill.coordination.job_table import JobTable
from briarrill.errors import BriarrillError
from briarrill.item_runs.item import ItemProgress
from briarrill.item_runs.result_commits import (
    COMMIT_DELAY_S,
    COMMIT_RETRY_DELAY_S,
    Committer,
)
from briarrill.state.keys import (
    JOB_BODIES_PREFIX,
    job_results_prefix,
    numbered_key,
)
from briarrill.state.stored_jobs import (
    ItemState,
    decode_result,
    job_creation_changes,
    result_creation_changes,
)
from briarrill.transport.key_value import KeyChange
from standins.memory_key_value import MemoryKeyValue
from tests.state.test_stored_jobs import make_job

JOB_ITEMS = 6

# time for which a result cannot be read, and the most calls of one process
# meanwhile: one in five seconds, and those that find out
UNREADABLE_S = 30
MAX_BLOCKED_CALLS = 10


def completed_progress(item, text=b'x'):
    """Return the completed progress of an item of the job."""
    stored = make_job(count=JOB_ITEMS).items[item]
    progress = ItemProgress('j1', stored)
    progress.add_stream_bytes(b'id: 1\ndata: %s\n\n' % text)
    progress.is_complete = True
    return progress


class CommitMachine(RuleBasedStateMachine):
    """Two processes commit results of the same job while calls fail."""

    def __init__(self):
        super().__init__()
        self.service = MemoryKeyValue()
        job = make_job(count=JOB_ITEMS)
        trio.run(self.service.transact, job_creation_changes(job, 1_000_000))
        self.writers = []
        self.committed = {}
        for _ in range(2):
            table = JobTable(self.service)
            table.add(job)
            self.writers.append(Committer(self.service, table))

    @rule(writer=st.integers(0, 1), item=st.integers(0, JOB_ITEMS - 1))
    def finish(self, writer, item):
        self.writers[writer].add(
            completed_progress(item, b'by-%d' % writer), ItemState.COMPLETED
        )

    @rule(writer=st.integers(0, 1))
    def commit(self, writer):
        try:
            trio.run(self.writers[writer]._commit_job, 'j1')
        except BriarrillError:
            return

    @rule()
    def lose_next_reply(self):
        self.service.lose_replies = 1

    @rule()
    def delay_next_write(self):
        self.service.delay_writes = 1

    @rule()
    def apply_delayed_writes(self):
        self.service.apply_delayed_writes()

    @rule(is_down=st.booleans())
    def set_outage(self, is_down):
        self.service.is_down = is_down

    @invariant()
    def check_single_results(self):
        entries = self.service._entries
        prefix = job_results_prefix('j1')
        stored_results = {
            key: decode_result(entry[0].body)
            for key, entry in entries.items()
            if key.startswith(prefix)
        }
        assert self.committed.items() <= stored_results.items()
        self.committed = stored_results
        positions = sorted(int(key[-6:]) for key in stored_results)
        assert positions == list(range(len(stored_results)))
        items = collections.Counter(
            stored.item_id for stored in stored_results.values()
        )
        assert all(count == 1 for count in items.values())


CommitMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestCommits = CommitMachine.TestCase


@pytest.fixture
async def job():
    """Store a job; return the service and a job table that contains it."""
    service = MemoryKeyValue()
    stored = make_job(count=JOB_ITEMS)
    await service.transact(job_creation_changes(stored, 1_000_000))
    table = JobTable(service)
    table.add(stored)
    return service, table


async def test_results_within_commit_delay_are_written_together(job):
    service, table = job
    committer = Committer(service, table)
    writes = service.calls['txn']
    for item in range(JOB_ITEMS):
        committer.add(completed_progress(item), ItemState.ERRORED)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(committer.run)
        with trio.fail_after(5):
            while not committer.is_idle:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    assert service.calls['txn'] == writes + 1
    assert not table.find('j1').is_open


async def test_results_are_written_after_service_outage(job, monkeypatch):
    monkeypatch.setattr(
        'briarrill.item_runs.result_commits.COMMIT_RETRY_DELAY_S', 0.01
    )
    service, table = job
    committer = Committer(service, table)
    committer.add(completed_progress(0), ItemState.COMPLETED)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(committer.run)
        service.is_down = True
        await trio.sleep(0.5)
        assert not committer.is_idle
        service.is_down = False
        with trio.fail_after(5):
            while not committer.is_idle:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    assert table.find('j1').results[0].output == 'x'


async def test_job_that_goes_while_another_is_written_ends_no_commits(
    job, autojump_clock
):
    """Guards against a batch process that ends by an unexpected error."""
    service, table = job
    other = make_job('j2')
    await service.transact(job_creation_changes(other, 1_000_000))
    table.add(other)
    committer = Committer(service, table)
    finished = ItemProgress('j2', other.items[0])
    finished.add_stream_bytes(b'id: 1\ndata: x\n\n')
    finished.is_complete = True
    service.is_down = True
    committer.add(completed_progress(0), ItemState.COMPLETED)
    committer.add(finished, ItemState.COMPLETED)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(committer.run)
        await trio.sleep(COMMIT_DELAY_S + COMMIT_RETRY_DELAY_S / 2)
        # the first job's write has failed, and the second one's is due
        assert len(committer.release_completed()) == 2
        table.apply_key(f'{JOB_BODIES_PREFIX}j2/0', None)
        assert table.find('j2') is None
        service.is_down = False
        committer.add(completed_progress(1), ItemState.COMPLETED)
        with trio.fail_after(5):
            while not committer.is_idle:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    assert [one.item_id for one in table.find('j1').results] == ['j1-1']


async def test_release_completed_keeps_errored_results_queued(job):
    service, table = job
    committer = Committer(service, table)
    committer.add(completed_progress(0), ItemState.COMPLETED)
    impossible = completed_progress(1)
    impossible.is_complete = False
    committer.add(impossible, ItemState.ERRORED)
    (released,) = committer.release_completed()
    assert released.stored.item_id == 'j1-0'
    assert released.record().is_whole
    assert committer.has_pending('j1', 'j1-1')
    assert not committer.has_pending('j1', 'j1-0')


async def test_unreadable_result_does_not_hold_up_other_jobs(
    job, autojump_clock
):
    service, table = job
    key = numbered_key(job_results_prefix('j1'), 0)
    await service.transact([KeyChange(key, b'\xc1')])
    other = make_job('j2')
    await service.transact(job_creation_changes(other, 1_000_000))
    table.add(other)
    committer = Committer(service, table)
    committer.add(completed_progress(0), ItemState.COMPLETED)
    calls_before = service.calls.total()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(committer.run)
        for number, stored in enumerate(other.items):
            await trio.sleep(UNREADABLE_S / len(other.items))
            progress = ItemProgress('j2', stored)
            progress.add_stream_bytes(b'id: 1\ndata: x\n\n')
            progress.is_complete = True
            committer.add(progress, ItemState.COMPLETED)
            await trio.sleep(1)
            assert len(table.find('j2').results) == number + 1
        assert not table.find('j1').results
        calls = service.calls.total() - calls_before
        (repaired,) = result_creation_changes(
            'j1', 0, [completed_progress(1).result(ItemState.COMPLETED)]
        )
        await service.transact([KeyChange(key, repaired.body)])
        await trio.sleep(UNREADABLE_S)
        nursery.cancel_scope.cancel()
    finished = [result.item_id for result in table.find('j1').results]
    assert finished == ['j1-1', 'j1-0']
    assert committer.is_idle
    # those for the other job, and few for the blocked one
    assert calls <= len(other.items) + MAX_BLOCKED_CALLS
