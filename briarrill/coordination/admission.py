"""briarrill.coordination.admission: admission control of one upstream.

Bounds the number of requests that run at an upstream. Online requests are
admitted before batch items, round-robin between contracts, and preempt
running batch items when no slot is free.
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

# share of the slots that batch work leaves free at an online weight of 1.0
MAX_RESERVED_SHARE = 0.5

# lower bound of the retry delay that a rejection reports
MIN_RETRY_AFTER_S = 1.0


def reserved_slots(slots: int, online_weight: float) -> int:
    """Return how many slots batch work leaves free for online requests.

    :param online_weight: policy setting from 0 to 1.
    """
    return round(slots * online_weight * MAX_RESERVED_SHARE)


@attrs.define(eq=False)
class BatchSlot:
    """A slot that a batch item waits for or holds.

    :param scope: cancelled when an online request needs the slot.
    :param granted: set when the batch item gets the slot.
    """

    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    granted: trio.Event = attrs.field(factory=trio.Event)
    preempted: bool = False

    def preempt(self) -> None:
        """Cancel the batch item that holds the slot."""
        self.preempted = True
        self.scope.cancel()
        PREEMPTED.inc()


@attrs.define(eq=False)
class _QueuedRequest:
    """A queued online request.

    :param resolved: set when the request got a slot or was rejected.
    """

    resolved: trio.Event = attrs.field(factory=trio.Event)
    rejection: CapacityError | None = None


class Admission:
    """Slots of one upstream and the queues for them.

    :param slots: most requests that run at the same time.
    :param queue: most online requests that wait for a slot.
    :param reserved: slots that batch work leaves free, default none.
    """

    def __init__(self, slots: int, queue: int, reserved: int = 0) -> None:
        """Start with all slots free and empty queues."""
        self.slots = slots
        self._reserved = reserved
        self._queue_limit = queue
        self._online_running = 0
        self._online_queue: FairQueue[_QueuedRequest] = FairQueue()
        self._batch_slots: list[BatchSlot] = []
        self._batch_queue: collections.deque[BatchSlot] = collections.deque()
        self._service_times = ServiceTimes()

    @property
    def online_running(self) -> int:
        """Return the number of online requests that hold a slot."""
        return self._online_running

    @property
    def online_queued(self) -> int:
        """Return the number of online requests that wait for a slot."""
        return len(self._online_queue)

    @property
    def batch_running(self) -> int:
        """Return the number of slots that batch items hold."""
        return len(self._batch_slots)

    @property
    def free_slots(self) -> int:
        """Return the number of free slots, 0 while online requests wait."""
        return self.slots - self._online_running - self.batch_running

    @property
    def batch_capacity(self) -> int:
        """Return how many slots batch items may hold now."""
        online = self._online_running + self.online_queued
        return max(0, self.slots - self._reserved - online)

    def reserve(self, reserved: int) -> None:
        """Set how many slots batch work leaves free.

        Running batch items are not preempted to reach the new number.
        """
        self._reserved = reserved
        self._admit_waiting()

    @contextlib.asynccontextmanager
    async def online_slot(
        self, contract: str, time_left_s: float = math.inf
    ) -> AsyncIterator[None]:
        """Wait for a slot and hold it for an online request.

        :param time_left_s: time until the request's deadline.
        :raises OverloadedError: the queue is full.
        :raises DeadlineUnreachableError: the request is expected to finish
            after its deadline.
        """
        if self.free_slots > 0:
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
        """Wait for a slot and hold it for a batch item.

        The body must exit at once when the slot's scope is cancelled.
        """
        slot = BatchSlot()
        self._batch_queue.append(slot)
        self._admit_waiting()
        try:
            await slot.granted.wait()
            ADMITTED.labels('batch').inc()
            yield slot
        finally:
            self._release_batch(slot)

    async def _wait_for_slot(self, contract: str, time_left_s: float) -> None:
        """Queue an online request until it gets a slot.

        :raises OverloadedError: rejected since the queue is full.
        :raises DeadlineUnreachableError: the request cannot finish before its
            deadline, checked before and after the wait.
        """
        deadline_s = time.monotonic() + time_left_s
        self._check_reachable(contract, time_left_s)
        self._enforce_queue_limit(contract)
        waiter = _QueuedRequest()
        self._online_queue.push(contract, waiter)
        self._preempt_batch()
        try:
            await waiter.resolved.wait()
        except trio.Cancelled:
            self._cancel_wait(contract, waiter)
            raise
        if waiter.rejection is not None:
            raise waiter.rejection
        if deadline_s - time.monotonic() < self._service_times.shortest_s:
            self._release_online()
            raise self._deadline_error(contract)

    def _check_reachable(self, contract: str, time_left_s: float) -> None:
        """Check that a new request can finish before its deadline.

        :raises DeadlineUnreachableError: the expected wait and run time
            exceed ``time_left_s``.
        """
        wait_s = self._expected_wait_s(contract)
        if wait_s and wait_s + self._service_times.mean_s > time_left_s:
            raise self._deadline_error(contract)

    def _deadline_error(self, contract: str) -> DeadlineUnreachableError:
        return DeadlineUnreachableError(
            'the request would finish after its deadline',
            retry_after_s=self._retry_after_s(contract),
        )

    def _retry_after_s(self, contract: str) -> float:
        return max(MIN_RETRY_AFTER_S, self._expected_wait_s(contract))

    def _expected_wait_s(self, contract: str) -> float:
        """Return how long a new request of a contract waits for a slot.

        Batch items are preempted first, so their slots count as free.
        """
        queue_position = (
            self._online_queue.count_ahead_of(contract)
            - self.batch_running
            + 1
        )
        return max(0, queue_position) * self._service_times.mean_s / self.slots

    def _enforce_queue_limit(self, contract: str) -> None:
        """Reject one request if the queue is full.

        The last queued request of the contract with the longest queue is
        rejected, unless that queue is no longer than its own contract's queue
        with the new request; then the new request is rejected.

        :raises OverloadedError: the new request is rejected.
        """
        if len(self._online_queue) < self._queue_limit:
            return
        evicted = self._online_queue.evict_for(contract)
        if evicted is None:
            raise _queue_full_error(
                self._queue_limit, self._retry_after_s(contract)
            )
        displaced_contract, displaced = evicted
        displaced.rejection = _queue_full_error(
            self._queue_limit, self._retry_after_s(displaced_contract)
        )
        displaced.resolved.set()

    def _cancel_wait(self, contract: str, waiter: _QueuedRequest) -> None:
        """Remove a cancelled request from the queue, or release its slot."""
        if not waiter.resolved.is_set():
            self._online_queue.remove(contract, waiter)
            self._admit_waiting()
        elif waiter.rejection is None:
            self._release_online()

    def _release_online(self) -> None:
        self._online_running -= 1
        self._admit_waiting()

    def _release_batch(self, slot: BatchSlot) -> None:
        if slot.granted.is_set():
            self._batch_slots.remove(slot)
        else:
            self._batch_queue.remove(slot)
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        """Grant free slots to queued online requests, then to batch items."""
        while self._online_queue and self.free_slots > 0:
            self._online_queue.pop().resolved.set()
            self._online_running += 1
        while self._batch_queue and self.free_slots > 0:
            if self.batch_running >= self.batch_capacity:
                return
            slot = self._batch_queue.popleft()
            self._batch_slots.append(slot)
            slot.granted.set()

    def _preempt_batch(self) -> None:
        """Preempt the newest batch items, one for each queued request."""
        preempted_slots = sum(slot.preempted for slot in self._batch_slots)
        for slot in reversed(self._batch_slots):
            if preempted_slots >= self.online_queued:
                return
            if not slot.preempted:
                slot.preempt()
                preempted_slots += 1


def _queue_full_error(limit: int, retry_after_s: float) -> OverloadedError:
    return OverloadedError(
        'the queue of online requests at the upstream is full;'
        f' the limit is {limit}',
        retry_after_s=retry_after_s,
    )
