"""Tests of reads that several tasks share."""

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from briarrill.coordination.shared_reads import SharedReads
from briarrill.errors import PlatformUnavailableError


class PausedRead:
    """A read that waits until it is released.

    :ivar runs: how often it began.
    :ivar error: raised at its end.
    """

    def __init__(self, error=None):
        self.runs = 0
        self.error = error
        self.released = trio.Event()

    async def __call__(self):
        self.runs += 1
        await self.released.wait()
        if self.error is not None:
            raise self.error


async def run_shared(shared, read, scope, ends, subject='one'):
    """Run a shared read in a scope and record how it ended."""
    with scope:
        try:
            await shared.run(subject, read)
        except PlatformUnavailableError as exc:
            ends.append(exc.retry_after_s)
        else:
            ends.append('read')


@pytest.mark.parametrize(
    ('error', 'end'),
    [
        (None, 'read'),
        (PlatformUnavailableError('down', retry_after_s=2.0), 2.0),
    ],
)
async def test_all_that_wait_share_a_read_and_its_end(error, end):
    shared, read, ends = SharedReads(), PausedRead(error), []
    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(
                run_shared, shared, read, trio.CancelScope(), ends
            )
        await wait_all_tasks_blocked()
        read.released.set()
    assert read.runs == 1
    assert ends == [end] * 3


async def test_other_subjects_and_later_calls_read_themselves():
    shared, read, ends = SharedReads(), PausedRead(), []
    async with trio.open_nursery() as nursery:
        for subject in ('one', 'two'):
            nursery.start_soon(
                run_shared, shared, read, trio.CancelScope(), ends, subject
            )
        await wait_all_tasks_blocked()
        assert read.runs == 2
        read.released.set()
    await shared.run('one', read)
    assert read.runs == 3


async def test_one_that_waits_takes_over_a_cancelled_read():
    shared, read, ends = SharedReads(), PausedRead(), []
    first = trio.CancelScope()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run_shared, shared, read, first, ends)
        await wait_all_tasks_blocked()
        for _ in range(2):
            nursery.start_soon(
                run_shared, shared, read, trio.CancelScope(), ends
            )
        await wait_all_tasks_blocked()
        first.cancel()
        await wait_all_tasks_blocked()
        assert read.runs == 2
        read.released.set()
    assert ends == ['read', 'read']
