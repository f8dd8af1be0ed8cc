"""Tests of reads of the results that a table may lack."""

import math

import pytest
import trio

from briarrill.coordination.job_table import MAX_ABSENCE_AGE_S, JobTable
from briarrill.coordination.latest_results import (
    FAILURE_PAUSE_S,
    LatestResults,
)
from briarrill.errors import PlatformUnavailableError
from briarrill.state.stored_jobs import (
    ItemState,
    StoredResult,
    result_creation_changes,
)
from briarrill.transport.key_value import (
    KeySnapshot,
    WatchEvent,
    WatchProgress,
)
from standins.memory_key_value import MemoryKeyValue
from tests.state.test_stored_jobs import make_job

STORED_AT = 5


class Service:
    """Replies as of the time of the call, after a delay.

    :ivar reads: revisions after which changes were asked for.
    """

    def __init__(self):
        self.events = []
        self.reads = []
        self.delay_s = 0.01
        self.is_away = False
        self.is_compacted = False

    async def follow_prefix(self, prefix, min_interval_s=0, after_revision=0):
        self.reads.append(after_revision)
        shown = [
            event
            for event in self.events
            if event.key.startswith(prefix)
            and event.mod_revision > after_revision
        ]
        await trio.sleep(self.delay_s)
        if self.is_away:
            raise PlatformUnavailableError('away')
        if self.is_compacted:
            yield KeySnapshot(())
        for event in shown:
            yield event
        yield WatchProgress(STORED_AT + len(self.events))
        await trio.sleep_forever()

    def commit(self, position):
        """Store a result of the job."""
        (change,) = result_creation_changes(
            'j1',
            position,
            [StoredResult(f'j1-{position}', ItemState.COMPLETED, 'x')],
        )
        revision = STORED_AT + len(self.events) + 1
        self.events.append(WatchEvent(change.key, change.body, revision))


class Entry:
    """The table of an entry that follows nothing."""

    def __init__(self, position=STORED_AT):
        self.service = Service()
        jobs = JobTable(MemoryKeyValue())
        self.job = jobs.add(make_job())
        self.latest = LatestResults(self.service, jobs, lambda: position)


async def test_results_that_the_table_lacks_are_read(autojump_clock):
    entry = Entry()
    entry.service.commit(0)
    assert await entry.latest.confirm()
    assert len(entry.job.results) == 1
    entry.service.commit(1)
    await trio.sleep(MAX_ABSENCE_AGE_S)
    assert await entry.latest.confirm()
    assert len(entry.job.results) == 2
    assert entry.service.reads == [STORED_AT, STORED_AT + 1]


async def test_one_read_serves_all_jobs_for_its_validity(autojump_clock):
    entry = Entry()
    answers = []

    async def confirm():
        answers.append(await entry.latest.confirm())

    async with trio.open_nursery() as nursery:
        for _ in range(5):
            nursery.start_soon(confirm)
    for _ in range(4):
        await confirm()
        await trio.sleep(MAX_ABSENCE_AGE_S / 5)
    assert answers == [True] * 9
    assert len(entry.service.reads) == 1


async def test_read_counts_from_its_beginning(autojump_clock):
    entry = Entry()
    entry.service.delay_s = MAX_ABSENCE_AGE_S * 0.75
    assert await entry.latest.confirm()
    entry.service.commit(0)
    await trio.sleep(MAX_ABSENCE_AGE_S * 0.5)
    assert await entry.latest.confirm()
    assert len(entry.service.reads) == 2
    assert len(entry.job.results) == 1


@pytest.mark.parametrize(
    ('faults', 'position'),
    [
        ({'delay_s': math.inf}, STORED_AT),
        ({'is_away': True}, STORED_AT),
        ({'is_compacted': True}, STORED_AT),
        ({}, 0),
    ],
    ids=['silent', 'away', 'compacted', 'not followed'],
)
async def test_nothing_is_confirmed_that_was_not_read(
    autojump_clock, faults, position
):
    entry = Entry(position)
    entry.service.commit(0)
    for name, fault in faults.items():
        setattr(entry.service, name, fault)
    for _ in range(5):
        assert not await entry.latest.confirm()
    assert len(entry.service.reads) <= 1


async def test_reads_go_on_after_a_pause(autojump_clock):
    entry = Entry()
    entry.service.is_away = True
    assert not await entry.latest.confirm()
    entry.service.is_away = False
    entry.service.commit(0)
    await trio.sleep(FAILURE_PAUSE_S)
    assert await entry.latest.confirm()
    assert len(entry.job.results) == 1


async def test_read_of_a_reader_that_leaves_pauses_no_others(autojump_clock):
    entry = Entry()
    entry.service.delay_s = MAX_ABSENCE_AGE_S / 2
    with trio.move_on_after(MAX_ABSENCE_AGE_S / 4):
        await entry.latest.confirm()
    assert await entry.latest.confirm()
    assert len(entry.service.reads) == 2
