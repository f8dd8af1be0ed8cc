"""briarrill.coordination.admission: who may run at an upstream.

Bounds the upstream's running set. Online requests are admitted before batch
items, in fair order between contracts, and take slots from running batch
items when none is free.
"""

import collections
import contextlib
import itertools
from collections.abc import AsyncIterator

import attrs
import trio

from ..errors import OverloadedError
from ..metrics import ADMITTED, PREEMPTED

__all__ = ('Admission', 'BatchSlot')


@attrs.define(eq=False)
class BatchSlot:
    """A slot held by batch work.

    :param scope: cancelled when an online request needs the slot.
    :param number: grows with each slot that is taken.
    """

    scope: trio.CancelScope
    number: int
    preempted: bool = False


class Admission:
    """Slots of one upstream.

    :param slots: size of the running set.
    :param queue: online requests that may wait.
    :param reserved: slots that batch work leaves free, default none.
    """

    def __init__(self, slots: int, queue: int, reserved: int = 0) -> None:
        """Start with all slots free."""
        self.slots = slots
        self.reserved = reserved
        self._queue_limit = queue
        self._online_running = 0
        self._queued = 0
        self._batch: list[BatchSlot] = []
        self._batch_granted = 0
        self._batch_waiting: collections.deque[trio.Event] = (
            collections.deque()
        )
        self._order = itertools.count()
        self._waiting: dict[str, collections.deque[trio.Event]] = {}

    @property
    def online_running(self) -> int:
        """Return the online requests that hold a slot."""
        return self._online_running

    @property
    def online_queued(self) -> int:
        """Return the online requests that wait for a slot."""
        return self._queued

    @property
    def batch_running(self) -> int:
        """Return the slots that batch work holds."""
        return len(self._batch) + self._batch_granted

    @property
    def free(self) -> int:
        """Return the free slots."""
        return self.slots - self._online_running - self.batch_running

    @property
    def batch_capacity(self) -> int:
        """Return the slots that batch work may hold now."""
        online = self._online_running + self._queued
        return max(0, self.slots - self.reserved - online)

    @contextlib.asynccontextmanager
    async def online_slot(self, contract: str) -> AsyncIterator[None]:
        """Hold a slot for an online request.

        :raises OverloadedError: the queue is full.
        """
        if self.free > 0 and not self._queued:
            self._online_running += 1
        else:
            await self._wait_for_slot(contract)
        ADMITTED.labels('online').inc()
        try:
            yield
        finally:
            self._online_running -= 1
            self._admit_waiting()

    @contextlib.asynccontextmanager
    async def batch_slot(self) -> AsyncIterator[BatchSlot]:
        """Wait for a slot and hold it for batch work.

        The body must leave at once when the slot's scope is cancelled.
        """
        granted = trio.Event()
        self._batch_waiting.append(granted)
        self._admit_waiting()
        try:
            await granted.wait()
        except trio.Cancelled:
            self._abandon_batch_grant(granted)
            raise
        slot = BatchSlot(trio.CancelScope(), next(self._order))
        self._batch_granted -= 1
        self._batch.append(slot)
        ADMITTED.labels('batch').inc()
        try:
            yield slot
        finally:
            self._batch.remove(slot)
            self._admit_waiting()

    async def _wait_for_slot(self, contract: str) -> None:
        if self._queued >= self._queue_limit:
            raise OverloadedError(
                'the upstream queue is full', retry_after_s=1
            )
        admitted = trio.Event()
        queue = self._waiting.setdefault(contract, collections.deque())
        queue.append(admitted)
        self._queued += 1
        self._preempt_batch()
        try:
            await admitted.wait()
        except trio.Cancelled:
            self._leave_queue(contract, admitted)
            raise

    def _leave_queue(self, contract: str, admitted: trio.Event) -> None:
        if admitted.is_set():
            self._online_running -= 1
            self._admit_waiting()
            return
        self._queued -= 1
        queue = self._waiting[contract]
        queue.remove(admitted)
        if not queue:
            self._waiting.pop(contract)

    def _admit_waiting(self) -> None:
        while self._queued and self.free > 0:
            contract = next(iter(self._waiting))
            queue = self._waiting.pop(contract)
            queue.popleft().set()
            if queue:
                self._waiting[contract] = queue
            self._queued -= 1
            self._online_running += 1
        self._admit_batch()

    def _admit_batch(self) -> None:
        while self._batch_waiting and self.free > 0:
            if self.batch_running >= self.batch_capacity:
                return
            self._batch_waiting.popleft().set()
            self._batch_granted += 1

    def _abandon_batch_grant(self, granted: trio.Event) -> None:
        if granted.is_set():
            self._batch_granted -= 1
            self._admit_waiting()
        else:
            self._batch_waiting.remove(granted)

    def _preempt_batch(self) -> None:
        """Cancel the youngest batch streams, one for each waiting request."""
        leaving = sum(slot.preempted for slot in self._batch)
        running = [slot for slot in self._batch if not slot.preempted]
        youngest_first = reversed(running)
        for slot in itertools.islice(youngest_first, self._queued - leaving):
            slot.preempted = True
            slot.scope.cancel()
            PREEMPTED.inc()
