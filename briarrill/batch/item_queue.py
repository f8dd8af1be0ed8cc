"""briarrill.batch.item_queue: items of one job that wait for a sidecar."""

import collections
import time

import attrs

from ..protocol.messages import BatchItem

__all__ = ('ItemQueue',)

# wait before the second attempt; doubles with each further one
FIRST_BACKOFF_S = 0.25

# time after which an item may return to the sidecar where it failed
OTHER_UPSTREAM_S = 2.0


@attrs.frozen
class _Retry:
    """An item that failed at a sidecar."""

    batch_item: BatchItem
    failed_at: str
    ready_at: float

    def may_run_at(self, sidecar: str, now: float) -> bool:
        if sidecar == self.failed_at:
            return now >= self.ready_at + OTHER_UPSTREAM_S
        return now >= self.ready_at


class ItemQueue:
    """Items by model, those to be repeated before new ones."""

    def __init__(self) -> None:
        """Start empty."""
        self._fresh: dict[str, collections.deque[BatchItem]] = {}
        self._retries: list[_Retry] = []
        self._count = 0

    def __len__(self) -> int:
        """Return the items that were not tried yet."""
        return self._count

    def add(self, batch_item: BatchItem) -> None:
        """Add an item behind the others."""
        self._row(batch_item.model).append(batch_item)
        self._count += 1

    def add_first(self, batch_item: BatchItem) -> None:
        """Add an item before the others."""
        self._row(batch_item.model).appendleft(batch_item)
        self._count += 1

    def add_retry(self, batch_item: BatchItem, failed_at: str) -> None:
        """Add an item that failed, to run later and elsewhere if it can."""
        backoff_s = FIRST_BACKOFF_S * 2 ** (batch_item.attempt - 1)
        self._retries.append(
            _Retry(batch_item, failed_at, time.monotonic() + backoff_s)
        )

    def pop(self, models: tuple[str, ...], sidecar: str) -> BatchItem | None:
        """Take the next item that the sidecar can run."""
        retry = self._find_retry(models, sidecar)
        if retry is not None:
            self._retries.remove(retry)
            return retry.batch_item
        for model in models:
            if self._fresh.get(model):
                self._count -= 1
                return self._fresh[model].popleft()
        return None

    def _row(self, model: str) -> collections.deque[BatchItem]:
        return self._fresh.setdefault(model, collections.deque())

    def _find_retry(
        self, models: tuple[str, ...], sidecar: str
    ) -> _Retry | None:
        now = time.monotonic()
        for retry in self._retries:
            if retry.batch_item.model not in models:
                continue
            if retry.may_run_at(sidecar, now):
                return retry
        return None
