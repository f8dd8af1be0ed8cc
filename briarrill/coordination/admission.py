"""briarrill.coordination.admission: who may run at an upstream.

Bounds the upstream's running set. Online requests are admitted before batch
items, in fair order between contracts, and take slots from running batch
items when none is free.
"""

import collections
import contextlib
import math
import time
from collections.abc import AsyncIterator

import attrs
import trio

from ..errors import CapacityError, DeadlineUnreachableError, OverloadedError
from ..metrics import ADMITTED, PREEMPTED
from .fair_queue import FairQueue
from .service_times import ServiceTimes

__all__ = ('Admission', 'BatchSlot', 'reserved_slots')

# share of the slots that batch leaves free at an online weight of 1.0
MAX_RESERVED_SHARE = 0.5

# shortest wait that a refusal names
MIN_RETRY_AFTER_S = 1.0


def reserved_slots(slots: int, online_weight: float) -> int:
    """Return the slots that batch leaves free under an online weight."""
    return round(slots * online_weight * MAX_RESERVED_SHARE)


@attrs.define(eq=False)
class BatchSlot:
    """A slot held by batch work.

    :param scope: cancelled when an online request needs the slot.
    """

    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    granted: trio.Event = attrs.field(factory=trio.Event)
    preempted: bool = False

    def preempt(self) -> None:
        """Tell the holder to leave."""
        self.preempted = True
        self.scope.cancel()
        PREEMPTED.inc()


@attrs.define(eq=False)
class _Waiter:
    """An online request that waits for a slot or its refusal."""

    woken: trio.Event = attrs.field(factory=trio.Event)
    refusal: CapacityError | None = None


class Admission:
    """Slots of one upstream.

    :param slots: size of the running set.
    :param queue: online requests that may wait.
    :param reserved: slots that batch work leaves free, default none.
    """

    def __init__(self, slots: int, queue: int, reserved: int = 0) -> None:
        """Start with all slots free."""
        self.slots = slots
        self._reserved = reserved
        self._queue_limit = queue
        self._online_running = 0
        self._waiting: FairQueue[_Waiter] = FairQueue()
        self._batch: list[BatchSlot] = []
        self._batch_waiting: collections.deque[BatchSlot] = collections.deque()
        self._service_times = ServiceTimes()

    @property
    def online_running(self) -> int:
        """Return the online requests that hold a slot."""
        return self._online_running

    @property
    def online_queued(self) -> int:
        """Return the online requests that wait for a slot."""
        return len(self._waiting)

    @property
    def batch_running(self) -> int:
        """Return the slots that batch work holds."""
        return len(self._batch)

    @property
    def free(self) -> int:
        """Return the free slots; none are while an online request waits."""
        return self.slots - self._online_running - self.batch_running

    @property
    def batch_capacity(self) -> int:
        """Return the slots that batch work may hold now."""
        online = self._online_running + self.online_queued
        return max(0, self.slots - self._reserved - online)

    def reserve(self, reserved: int) -> None:
        """Change the slots that batch work leaves free.

        Batch items that run are not preempted for it.
        """
        self._reserved = reserved
        self._admit_waiting()

    @contextlib.asynccontextmanager
    async def online_slot(
        self, contract: str, time_left_s: float = math.inf
    ) -> AsyncIterator[None]:
        """Hold a slot for an online request.

        :raises OverloadedError: the queue is full.
        :raises DeadlineUnreachableError: the request cannot finish in time.
        """
        if self.free > 0:
            self._online_running += 1
        else:
            await self._wait_for_slot(contract, time_left_s)
        ADMITTED.labels('online').inc()
        started_s = time.monotonic()
        try:
            yield
            self._service_times.add(time.monotonic() - started_s)
        finally:
            self._release_online()

    @contextlib.asynccontextmanager
    async def batch_slot(self) -> AsyncIterator[BatchSlot]:
        """Wait for a slot and hold it for batch work.

        The body must leave at once when the slot's scope is cancelled.
        """
        slot = BatchSlot()
        self._batch_waiting.append(slot)
        self._admit_waiting()
        try:
            await slot.granted.wait()
            ADMITTED.labels('batch').inc()
            yield slot
        finally:
            self._release_batch(slot)

    async def _wait_for_slot(self, contract: str, time_left_s: float) -> None:
        deadline_s = time.monotonic() + time_left_s
        self._check_reachable(contract, time_left_s)
        self._make_room(contract)
        waiter = _Waiter()
        self._waiting.push(contract, waiter)
        self._preempt_batch()
        try:
            await waiter.woken.wait()
        except trio.Cancelled:
            self._abandon(contract, waiter)
            raise
        if waiter.refusal is not None:
            raise waiter.refusal
        if deadline_s - time.monotonic() < self._service_times.shortest_s:
            self._release_online()
            raise self._unreachable(contract)

    def _check_reachable(self, contract: str, time_left_s: float) -> None:
        wait_s = self._expected_wait_s(contract)
        if wait_s and wait_s + self._service_times.mean_s > time_left_s:
            raise self._unreachable(contract)

    def _unreachable(self, contract: str) -> DeadlineUnreachableError:
        return DeadlineUnreachableError(
            'the request would finish after its deadline',
            retry_after_s=self._retry_after_s(contract),
        )

    def _retry_after_s(self, contract: str) -> float:
        return max(MIN_RETRY_AFTER_S, self._expected_wait_s(contract))

    def _expected_wait_s(self, contract: str) -> float:
        """Return the wait of a new request; batch yields its slots first."""
        behind = self._waiting.ahead_of(contract) - self.batch_running + 1
        return max(0, behind) * self._service_times.mean_s / self.slots

    def _make_room(self, contract: str) -> None:
        """Refuse the new request, or one of a contract with more waiting."""
        if len(self._waiting) < self._queue_limit:
            return
        refusal = OverloadedError(
            'the upstream queue is full',
            retry_after_s=self._retry_after_s(contract),
        )
        displaced = self._waiting.drop_for(contract)
        if displaced is None:
            raise refusal
        displaced.refusal = refusal
        displaced.woken.set()

    def _abandon(self, contract: str, waiter: _Waiter) -> None:
        if not waiter.woken.is_set():
            self._waiting.remove(contract, waiter)
            self._admit_waiting()
        elif waiter.refusal is None:
            self._release_online()

    def _release_online(self) -> None:
        self._online_running -= 1
        self._admit_waiting()

    def _release_batch(self, slot: BatchSlot) -> None:
        if slot.granted.is_set():
            self._batch.remove(slot)
        else:
            self._batch_waiting.remove(slot)
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        while self._waiting and self.free > 0:
            self._waiting.pop().woken.set()
            self._online_running += 1
        while self._batch_waiting and self.free > 0:
            if self.batch_running >= self.batch_capacity:
                return
            slot = self._batch_waiting.popleft()
            self._batch.append(slot)
            slot.granted.set()

    def _preempt_batch(self) -> None:
        """Preempt the youngest batch items, one for each waiting request."""
        leaving = sum(slot.preempted for slot in self._batch)
        for slot in reversed(self._batch):
            if leaving >= self.online_queued:
                return
            if not slot.preempted:
                slot.preempt()
                leaving += 1
