"""briarrill.batch.job_finder: finds unfinished jobs without an owner.

Two batch processes, chosen by rendezvous hashing, follow the leases and the
index of open jobs and offer each job without an owner to a process; the
others look now and then, in case both are lost. The reads thus grow neither
with the fleet nor with jobs that run or are finished.
"""

import collections
import contextlib
import itertools
import time
import uuid
from collections.abc import Iterable

import attrs
import trio
from eliot import log_message

from ..errors import BriarrillError
from ..protocol.messages import JobNotice
from ..protocol.rpc import RpcCaller
from ..state.job_records import decode_job_record
from ..state.keys import JOBS, LEASES, OPEN_JOBS, open_job_key
from ..state.membership import Membership
from ..state.rendezvous import rank
from ..transport.instance_list import Instance, Role
from ..transport.key_value import KeyValue
from .job_store import JobStore

__all__ = ('JobFinder', 'contract_of', 'new_process_name')

SEARCH_INTERVAL_S = 0.5

# searches between two readings of the index when no lease has changed
INDEX_INTERVAL = 10

# searches of the chosen processes for each one of the others
IDLE_INTERVAL = 60

SEARCHERS = 2

# age at which an index entry without a job is left from a failed create
DANGLING_S = 300

# wait before a claim that failed is tried again
RETRY_CLAIM_S = 0.5

NOTICE_TIMEOUT_S = 0.5

_MARK = '.batch.'


def new_process_name(instance: str) -> str:
    """Return a name that no earlier process on the instance had."""
    return f'{instance}{_MARK}{uuid.uuid4().hex[:8]}'


def contract_of(key: str) -> str:
    """Return the contract of a job's key; it decides who owns the job."""
    return key.removeprefix(JOBS).partition('/')[0]


@attrs.define
class JobFinder:
    """Offers jobs to this process and to the others.

    :param port: where batch processes answer notices.
    """

    store: JobStore
    membership: Membership
    caller: RpcCaller
    port: int
    _offers: dict[str, float] = attrs.field(factory=dict)
    _offered: trio.Event = attrs.field(factory=trio.Event)
    _owners: dict[str, str] = attrs.field(factory=dict)
    _tries: collections.Counter[str] = attrs.field(factory=collections.Counter)
    _alive: set[str] = attrs.field(factory=set)

    def offer(self, key: str) -> None:
        """Offer a job to this process."""
        self._offers[key] = time.monotonic()
        self._offered.set()

    def offer_later(self, key: str) -> None:
        """Offer a job again whose claim failed."""
        self._offers.setdefault(key, time.monotonic() + RETRY_CLAIM_S)

    async def next_offer(self) -> str:
        """Wait for a job that this process should claim."""
        while True:
            now = time.monotonic()
            for key, ready_at in self._offers.items():
                if ready_at <= now:
                    self._offers.pop(key)
                    return key
            with trio.move_on_after(RETRY_CLAIM_S):
                await self._offered.wait()
            self._offered = trio.Event()

    async def run(self) -> None:
        """Search until cancelled."""
        for number in itertools.count():
            if self._is_searcher() or number % IDLE_INTERVAL == 0:
                with contextlib.suppress(BriarrillError):
                    await self._search(number)
            await trio.sleep(SEARCH_INTERVAL_S)

    async def announce(self, keys: Iterable[str]) -> None:
        """Offer jobs that this process released to others."""
        for key in keys:
            for instance in self._candidates(key):
                if await self._notify(instance, key):
                    break

    def _is_searcher(self) -> bool:
        names = [row.name for row in self.membership.live(Role.BATCH)]
        return self._own_instance in rank('job-search', names)[:SEARCHERS]

    @property
    def _own_instance(self) -> str:
        return self.store.process.partition(_MARK)[0]

    async def _search(self, number: int) -> None:
        leases = await self.store.service.read_prefix(LEASES)
        alive = {entry.key.removeprefix(LEASES) for entry in leases}
        if alive == self._alive and number % INDEX_INTERVAL:
            return
        index = await self.store.service.read_prefix(OPEN_JOBS)
        is_quiet = True
        for entry in index:
            key = f'{JOBS}{entry.key.removeprefix(OPEN_JOBS)}'
            if await self._needs_owner(key, entry, alive):
                is_quiet = False
                await self._offer_to_best(key, alive)
        # until all have an owner, the index is read each time
        self._alive = alive if is_quiet else set()
        self._forget_closed({entry.key for entry in index})

    async def _needs_owner(
        self, key: str, entry: KeyValue, alive: set[str]
    ) -> bool:
        if self._owners.get(key) in alive:
            return False
        found = await self.store.service.read(key)
        if found is None:
            await self._drop_dangling(entry)
            return False
        record = decode_job_record(found.body)
        if record.state.is_final:
            await self.store.close(key)
            return False
        self._owners[key] = record.owner
        return record.owner not in alive

    async def _drop_dangling(self, entry: KeyValue) -> None:
        age_s = time.time() - float(entry.body or 0)
        if age_s > DANGLING_S:
            log_message('job:dangling-index', key=entry.key)
            await self.store.service.delete(
                entry.key, mod_revision=entry.mod_revision
            )

    async def _offer_to_best(self, key: str, alive: set[str]) -> None:
        """Offer to the next candidate each time the job is still free."""
        holders = {name.partition(_MARK)[0] for name in alive}
        candidates = [
            row for row in self._candidates(key) if row.name in holders
        ]
        if not candidates:
            return
        chosen = candidates[self._tries[key] % len(candidates)]
        self._tries[key] += 1
        if chosen.name == self._own_instance:
            self.offer(key)
        else:
            await self._notify(chosen, key)

    def _candidates(self, key: str) -> list[Instance]:
        by_name = {row.name: row for row in self.membership.live(Role.BATCH)}
        return [by_name[name] for name in rank(contract_of(key), by_name)]

    async def _notify(self, instance: Instance, key: str) -> bool:
        try:
            await self.caller.call(
                instance.host, self.port, JobNotice(job=key), NOTICE_TIMEOUT_S
            )
        except BriarrillError as exc:
            log_message('job:notice-lost', reason=exc.message)
            return False
        return True

    def _forget_closed(self, index_keys: set[str]) -> None:
        for key in list(self._owners):
            if open_job_key(key) not in index_keys:
                self._owners.pop(key)
                self._tries.pop(key, None)
