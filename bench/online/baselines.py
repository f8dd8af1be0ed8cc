"""bench.online.baselines: admission without priorities, and wait times."""

import contextlib
import math
from collections.abc import AsyncIterator

import trio

from briarrill.coordination.admission import Admission, BatchSlot

__all__ = ('SharedQueue', 'TimedAdmission', 'TimedSharedQueue')


class SharedQueue(Admission):
    """Baseline: one FIFO queue for online and batch, without rejections."""

    def __init__(self, slots: int, queue: int, reserved: int = 0) -> None:
        """Start with all slots free."""
        super().__init__(slots, queue, reserved)
        self._limiter = trio.CapacityLimiter(slots)

    @contextlib.asynccontextmanager
    async def online_slot(
        self, contract: str, time_left_s: float = math.inf
    ) -> AsyncIterator[None]:
        """Hold a slot after waiting in the shared queue."""
        async with self._limiter_slot():
            yield

    @contextlib.asynccontextmanager
    async def batch_slot(self) -> AsyncIterator[BatchSlot]:
        """Hold a slot after waiting in the shared queue."""
        async with self._limiter_slot():
            yield BatchSlot()

    @contextlib.asynccontextmanager
    async def _limiter_slot(self) -> AsyncIterator[None]:
        borrower = object()
        await self._limiter.acquire_on_behalf_of(borrower)
        try:
            yield
        finally:
            self._limiter.release_on_behalf_of(borrower)


class _WaitRecorder(Admission):
    """Records how long each online request waits for its slot."""

    def __init__(self, slots: int, queue: int, reserved: int = 0) -> None:
        """Start with no wait times."""
        super().__init__(slots, queue, reserved)
        self.waits_s: list[float] = []

    @contextlib.asynccontextmanager
    async def online_slot(
        self, contract: str, time_left_s: float = math.inf
    ) -> AsyncIterator[None]:
        """Hold a slot and record the seconds of the wait for it."""
        arrived_s = trio.current_time()
        async with super().online_slot(contract, time_left_s):
            self.waits_s.append(trio.current_time() - arrived_s)
            yield


class TimedAdmission(_WaitRecorder):
    """The admission under test, with wait times."""


class TimedSharedQueue(_WaitRecorder, SharedQueue):
    """The baseline, with wait times."""
