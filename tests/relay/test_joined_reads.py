"""Readers that join a read of the store that began before they came."""

import json

import trio

from briarrill.coordination.relay_protocol import IntentKind
from briarrill.errors import BriarrillError, PlatformUnavailableError
from briarrill.state.keys import job_body_prefix, job_results_prefix
from briarrill.state.stored_jobs import (
    ItemState,
    StoredResult,
    job_creation_changes,
    result_creation_changes,
)
from standins.memory_key_value import MemoryKeyValue
from tests.relay.test_job_calls import EntryHandler
from tests.state.test_stored_jobs import make_job

# a slow link: replies come that much later than they were made
REPLY_DELAY_S = 1.4

# time within which a result that one entry returned is readable at all
SETTLE_S = 1.0


class SlowReplies(MemoryKeyValue):
    """Sends replies of reads of results late."""

    delay_s = 0.0

    async def read_prefix(self, prefix, *, after='', limit=0):
        entries = await super().read_prefix(prefix, after=after, limit=limit)
        if prefix == job_results_prefix('j1'):
            await trio.sleep(self.delay_s)
        return entries


async def test_reader_that_joins_an_old_read_gets_newer_results(
    autojump_clock,
):
    service = SlowReplies()
    await service.transact(job_creation_changes(make_job(), 1_000_000))
    entry, other = EntryHandler(service), EntryHandler(service)
    await entry.table.read('j1')
    entry.is_behind = True
    await trio.sleep(1)
    service.delay_s = REPLY_DELAY_S
    statuses = []

    async def read(name):
        try:
            status, body = await entry(IntentKind.READ_RESULTS)
        except PlatformUnavailableError:
            statuses.append((name, 503, None))
        else:
            statuses.append((name, status, len(json.loads(body)['results'])))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read, 'early')
        await trio.sleep(0.05)
        service.delay_s = 0
        await service.transact(
            result_creation_changes(
                'j1', 0, [StoredResult('j1-0', ItemState.COMPLETED, 'y')]
            )
        )
        # another entry returns the result
        _, body = await other(IntentKind.READ_RESULTS)
        assert len(json.loads(body)['results']) == 1
        service.delay_s = REPLY_DELAY_S
        await trio.sleep(SETTLE_S + 0.2)
        await read('late')
    assert ('late', 200, 0) not in statuses


class SlowRecords(MemoryKeyValue):
    """Sends replies of reads of jobs' records late."""

    async def read_prefix(self, prefix, *, after='', limit=0):
        entries = await super().read_prefix(prefix, after=after, limit=limit)
        if prefix == job_body_prefix('j1'):
            await trio.sleep(REPLY_DELAY_S)
        return entries


async def test_job_is_not_unknown_on_the_strength_of_an_old_read(
    autojump_clock,
):
    service = SlowRecords()
    entry = EntryHandler(service)
    statuses = []

    async def read(name):
        try:
            status, _ = await entry(IntentKind.READ_RESULTS)
        except BriarrillError as exc:
            status = exc.http_status
        statuses.append((name, status))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read, 'early')
        await trio.sleep(0.05)
        # another entry accepts the job
        await service.transact(job_creation_changes(make_job(), 1_000_000))
        await trio.sleep(SETTLE_S + 0.2)
        await read('late')
    assert ('late', 404) not in statuses
