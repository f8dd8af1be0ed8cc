"""Replays of callers that read jobs while all entries have just started."""

import collections
import json
import random

import attrs
import pytest
import trio

from briarrill.coordination.mirror import Mirror
from briarrill.coordination.relay_protocol import IntentKind
from briarrill.errors import PlatformUnavailableError
from briarrill.state.stored_jobs import (
    ItemState,
    StoredResult,
    job_creation_changes,
    result_creation_changes,
)
from standins.memory_key_value import MemoryKeyValue
from tests.relay.test_job_calls import EntryHandler
from tests.state.test_stored_jobs import make_job

ENTRIES = 40
JOBS = 30
RESULTS = 3

# each of them reads each job twice a second, at any entry
READERS = 4
POLL_INTERVAL_S = 0.5

# limit of the service for the reads of all processes
READS_PER_S = 2000

# time that an entry takes to read all keys over its link
SNAPSHOT_S = 4.0

# times at which the service returns from an outage, each job gets a further
# result, and the replay ends
RETURN_S = 2.0
COMMIT_S = 4.0
END_S = 8.0

# time within which a result that was read must be readable at every entry
SETTLING_S = 1.0


class ServiceAtItsRate(MemoryKeyValue):
    """Away at first; then rejects reads above its rate."""

    def __init__(self):
        super().__init__()
        self.reads = collections.Counter()
        self.is_away = False

    async def follow_prefix(self, prefix, min_interval_s=0, after_revision=0):
        self.count_read()
        await trio.sleep(SNAPSHOT_S)
        async for change in super().follow_prefix(
            prefix, min_interval_s, after_revision
        ):
            yield change

    async def read(self, key):
        self.count_read()
        return await super().read(key)

    async def read_prefix(self, prefix, *, after='', limit=0):
        self.count_read()
        return await super().read_prefix(prefix, after=after, limit=limit)

    def count_read(self):
        """Count a read; reject it during the outage and above the rate."""
        if self.is_away:
            raise PlatformUnavailableError('away', retry_after_s=1.0)
        second = int(trio.current_time())
        self.reads[second] += 1
        if self.reads[second] > READS_PER_S:
            raise PlatformUnavailableError('too many reads', retry_after_s=1.0)


@attrs.define
class Replay:
    """Callers that read jobs at entries.

    :ivar seen: times and ends of the results of each job that any entry
        returned.
    :ivar missing: times of the answers without results that were readable.
    :ivar refused: times of the answers with an error.
    """

    service: ServiceAtItsRate
    entries: list
    rng: random.Random
    began_at: float = attrs.field(factory=trio.current_time)
    seen: dict = attrs.field(
        factory=lambda: collections.defaultdict(list), init=False
    )
    missing: list = attrs.field(factory=list, init=False)
    refused: list = attrs.field(factory=list, init=False)

    @property
    def now(self):
        return trio.current_time() - self.began_at

    async def read_repeatedly(self, job_id):
        await trio.sleep(self.rng.uniform(0, POLL_INTERVAL_S))
        while True:
            await self._read(self.rng.choice(self.entries), job_id)
            await trio.sleep(POLL_INTERVAL_S)

    async def _read(self, entry, job_id):
        position = self.rng.randrange(2)
        try:
            status, body = await entry(
                IntentKind.READ_RESULTS,
                job_id=job_id,
                position=position,
                wait_s=1.0,
            )
        except PlatformUnavailableError:
            self.refused.append(self.now)
            return
        assert status == 200
        end = json.loads(body)['next_token']
        settled = [
            seen_end
            for seen_at, seen_end in self.seen[job_id]
            if self.now - seen_at > SETTLING_S
        ]
        if end == position and position < max(settled, default=1):
            self.missing.append(self.now)
        self.seen[job_id].append((self.now, end))


async def store_jobs(service):
    """Store jobs that have one result and more items than they get."""
    for number in range(JOBS):
        job = make_job(f'j{number}', count=RESULTS)
        await service.transact(job_creation_changes(job, 1_000_000))
    await commit_results(service, 0)


async def commit_results(service, position):
    """Store a result of each job."""
    for number in range(JOBS):
        job_id = f'j{number}'
        stored = [StoredResult(f'{job_id}-{position}', ItemState.COMPLETED)]
        await service.transact(
            result_creation_changes(job_id, position, stored)
        )


@pytest.mark.parametrize('seed', range(3))
async def test_jobs_are_readable_within_the_settling_time_of_a_return(
    seed, autojump_clock, monkeypatch
):
    rng = random.Random(seed)
    monkeypatch.setattr('briarrill.coordination.mirror.random', rng)
    service = ServiceAtItsRate()
    await store_jobs(service)
    service.reads.clear()
    service.is_away = True
    replay = Replay(service, [], rng)
    async with trio.open_nursery() as nursery:
        for _ in range(ENTRIES):
            entry = EntryHandler(service)
            mirror = Mirror(service, '', entry.table)
            entry.follow(mirror)
            replay.entries.append(entry)
            nursery.start_soon(mirror.run)
        for job_id in [f'j{number}' for number in range(JOBS)] * READERS:
            nursery.start_soon(replay.read_repeatedly, job_id)
        await trio.sleep(RETURN_S)
        service.is_away = False
        await trio.sleep(COMMIT_S - RETURN_S)
        await commit_results(service, 1)
        await trio.sleep(END_S - COMMIT_S)
        nursery.cancel_scope.cancel()
    assert {max(seen)[1] for seen in replay.seen.values()} == {2}
    assert not replay.missing
    assert max(replay.refused) < RETURN_S + SETTLING_S
    assert max(service.reads.values()) < READS_PER_S
