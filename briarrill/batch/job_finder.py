"""briarrill.batch.job_finder: finds unfinished jobs without an owner.

Two batch processes, chosen by rendezvous hashing, poll the leases and the
index of open jobs and offer each job without an owner to a process. The other
processes search rarely, in case both are lost. The number of reads thus grows
neither with the fleet nor with running or finished jobs.
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

from ..decoding import find_whole_number
from ..errors import BriarrillError, InternalError
from ..protocol.messages import JobNotice
from ..protocol.rpc import RpcCaller
from ..state.job_records import decode_job_record
from ..state.keys import (
    JOBS_PREFIX,
    LEASES_PREFIX,
    OPEN_JOBS_PREFIX,
    open_job_key,
)
from ..state.membership import Membership
from ..state.rendezvous import rank_nodes
from ..transport.instance_list import Instance, Role
from ..transport.key_value import KeyValue
from .job_store import JobStore

__all__ = ('JobFinder', 'contract_of_job_key', 'new_process_name')

SEARCH_INTERVAL_S = 0.5

# the index is read in one of this many searches while no lease changes
INDEX_READ_INTERVAL_SEARCHES = 10

# a process that is not a searcher searches in one of this many intervals
STANDBY_INTERVAL_SEARCHES = 60

# batch processes that search in every interval
SEARCHER_COUNT = 2

# an older index entry without a job is left over from a failed create
DANGLING_ENTRY_MAX_AGE_S = 300

# delay before a failed claim is tried again
CLAIM_RETRY_DELAY_S = 0.5

JOB_NOTICE_TIMEOUT_S = 0.5

_PROCESS_NAME_SEPARATOR = '.batch.'


def new_process_name(instance: str) -> str:
    """Return a unique name for a new process on the instance."""
    return f'{instance}{_PROCESS_NAME_SEPARATOR}{uuid.uuid4().hex[:8]}'


def contract_of_job_key(key: str) -> str:
    """Return the contract part of a job's key.

    Candidates for the owner are ranked by it, so all jobs of a contract
    have the same owner while it lives.
    """
    return key.removeprefix(JOBS_PREFIX).partition('/')[0]


@attrs.define
class JobFinder:
    """Finds jobs without an owner and offers them to batch processes.

    :param caller: sends notices to other batch processes.
    :param port: port at which batch processes receive notices.
    """

    store: JobStore
    membership: Membership
    caller: RpcCaller
    port: int
    _claimable_at: dict[str, float] = attrs.field(factory=dict)
    _offer_added: trio.Event = attrs.field(factory=trio.Event)
    _known_owners: dict[str, str] = attrs.field(factory=dict)
    _offer_counts: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _settled_processes: set[str] = attrs.field(factory=set)

    def offer(self, key: str) -> None:
        """Queue a job for a claim by this process."""
        self._claimable_at[key] = time.monotonic()
        self._offer_added.set()

    def offer_after_delay(self, key: str) -> None:
        """Queue a job again after CLAIM_RETRY_DELAY_S, unless it is queued."""
        self._claimable_at.setdefault(
            key, time.monotonic() + CLAIM_RETRY_DELAY_S
        )

    async def next_offer(self) -> str:
        """Wait for the next queued job and return its key."""
        while True:
            now = time.monotonic()
            for key, ready_at in self._claimable_at.items():
                if ready_at <= now:
                    self._claimable_at.pop(key)
                    return key
            with trio.move_on_after(CLAIM_RETRY_DELAY_S):
                await self._offer_added.wait()
            self._offer_added = trio.Event()

    async def run(self) -> None:
        """Search for jobs without an owner until cancelled."""
        for search_number in itertools.count():
            if (
                self._is_searcher()
                or search_number % STANDBY_INTERVAL_SEARCHES == 0
            ):
                with contextlib.suppress(BriarrillError):
                    await self._search(search_number)
            await trio.sleep(SEARCH_INTERVAL_S)

    async def offer_released_jobs(self, keys: Iterable[str]) -> None:
        """Offer each released job to processes by rank until one accepts."""
        for key in keys:
            for instance in self._candidates(key):
                if await self._notify(instance, key):
                    break

    def _is_searcher(self) -> bool:
        names = [
            instance.name
            for instance in self.membership.live_instances(Role.BATCH)
        ]
        return (
            self._own_instance
            in rank_nodes('job-search', names)[:SEARCHER_COUNT]
        )

    @property
    def _own_instance(self) -> str:
        return self.store.process.partition(_PROCESS_NAME_SEPARATOR)[0]

    async def _search(self, search_number: int) -> None:
        """Offer each open job without a live owner to a candidate.

        Skips the index while the live processes are the same as when all
        jobs had an owner, except in each INDEX_READ_INTERVAL_SEARCHES-th
        search.
        """
        leases = await self.store.service.read_prefix(LEASES_PREFIX)
        live_processes = {
            entry.key.removeprefix(LEASES_PREFIX) for entry in leases
        }
        if (
            live_processes == self._settled_processes
            and search_number % INDEX_READ_INTERVAL_SEARCHES
        ):
            return
        index = await self.store.service.read_prefix(OPEN_JOBS_PREFIX)
        all_owned = True
        for entry in index:
            key = f'{JOBS_PREFIX}{entry.key.removeprefix(OPEN_JOBS_PREFIX)}'
            is_orphaned = False
            try:
                is_orphaned = await self._is_orphaned(
                    key, entry, live_processes
                )
            except InternalError as exc:
                log_message('job:unreadable', key=key, reason=exc.message)
            if is_orphaned:
                all_owned = False
                await self._offer_to_candidate(key, live_processes)
        # the index is read in each search until all jobs have an owner
        self._settled_processes = live_processes if all_owned else set()
        self._remove_closed_jobs({entry.key for entry in index})

    async def _is_orphaned(
        self, key: str, entry: KeyValue, live_processes: set[str]
    ) -> bool:
        """Return whether an unfinished job has no live owner.

        Deletes the index entry of a finished job, and an old one of a job
        that does not exist.

        :raises InternalError: the job's record is damaged.
        """
        if self._known_owners.get(key) in live_processes:
            return False
        stored = await self.store.service.read(key)
        if stored is None:
            await self._delete_if_dangling(entry)
            return False
        record = decode_job_record(stored.body)
        if record.state.is_final:
            await self.store.remove_from_index(key)
            return False
        self._known_owners[key] = record.owner
        return record.owner not in live_processes

    async def _delete_if_dangling(self, entry: KeyValue) -> None:
        """Delete an index entry that is too old to be a new job.

        One whose time cannot be read was not written for a job.
        """
        age_s = time.time() - (find_whole_number(entry.body) or 0)
        if age_s > DANGLING_ENTRY_MAX_AGE_S:
            log_message('job:dangling-index', key=entry.key)
            await self.store.service.delete(
                entry.key, mod_revision=entry.mod_revision
            )

    async def _offer_to_candidate(
        self, key: str, live_processes: set[str]
    ) -> None:
        """Offer a job to the next candidate after its last offer."""
        live_instances = {
            name.partition(_PROCESS_NAME_SEPARATOR)[0]
            for name in live_processes
        }
        candidates = [
            candidate
            for candidate in self._candidates(key)
            if candidate.name in live_instances
        ]
        if not candidates:
            return
        chosen = candidates[self._offer_counts[key] % len(candidates)]
        self._offer_counts[key] += 1
        if chosen.name == self._own_instance:
            self.offer(key)
        else:
            await self._notify(chosen, key)

    def _candidates(self, key: str) -> list[Instance]:
        """Return the live batch instances, the preferred owner first."""
        by_name = {
            instance.name: instance
            for instance in self.membership.live_instances(Role.BATCH)
        }
        return [
            by_name[name]
            for name in rank_nodes(contract_of_job_key(key), by_name)
        ]

    async def _notify(self, instance: Instance, key: str) -> bool:
        """Offer a job to another process; return whether it accepts."""
        try:
            await self.caller.call(
                instance.host,
                self.port,
                JobNotice(job=key),
                JOB_NOTICE_TIMEOUT_S,
            )
        except BriarrillError as exc:
            log_message('job:notice-lost', reason=exc.message)
            return False
        return True

    def _remove_closed_jobs(self, index_keys: set[str]) -> None:
        for key in list(self._known_owners):
            if open_job_key(key) not in index_keys:
                self._known_owners.pop(key)
                self._offer_counts.pop(key, None)
