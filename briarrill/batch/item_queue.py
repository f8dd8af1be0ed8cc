"""briarrill.batch.item_queue: queue of one job's unassigned items."""

import collections
import time

import attrs

from ..protocol.messages import BatchItem

__all__ = ('ItemQueue',)

# backoff before the second attempt; doubles with each further attempt
FIRST_RETRY_BACKOFF_S = 0.25

# additional delay before a retry on the sidecar where the item failed
SAME_SIDECAR_EXTRA_DELAY_S = 2.0


@attrs.frozen
class _Retry:
    """An item that failed and waits for its next attempt.

    :param ready_at: end of the backoff, monotonic seconds.
    """

    batch_item: BatchItem
    failed_sidecar: str
    ready_at: float

    def may_run_on(self, sidecar: str, now: float) -> bool:
        if sidecar == self.failed_sidecar:
            return now >= self.ready_at + SAME_SIDECAR_EXTRA_DELAY_S
        return now >= self.ready_at


class ItemQueue:
    """Unassigned items by model; retries go before first attempts."""

    def __init__(self) -> None:
        """Start empty."""
        self._queues_by_model: dict[str, collections.deque[BatchItem]] = {}
        self._retries: list[_Retry] = []
        self._queued_count = 0

    def __len__(self) -> int:
        """Return the number of queued items, without those of add_retry."""
        return self._queued_count

    def add(self, batch_item: BatchItem) -> None:
        """Add an item at the back of its model's queue."""
        self._model_queue(batch_item.model).append(batch_item)
        self._queued_count += 1

    def add_to_front(self, batch_item: BatchItem) -> None:
        """Add an item at the front of its model's queue."""
        self._model_queue(batch_item.model).appendleft(batch_item)
        self._queued_count += 1

    def add_retry(self, batch_item: BatchItem, failed_sidecar: str) -> None:
        """Add a failed item, to run after a backoff.

        For another SAME_SIDECAR_EXTRA_DELAY_S it runs on other sidecars only.
        """
        backoff_s = FIRST_RETRY_BACKOFF_S * 2 ** (batch_item.attempt - 1)
        self._retries.append(
            _Retry(batch_item, failed_sidecar, time.monotonic() + backoff_s)
        )

    def pop(self, models: tuple[str, ...], sidecar: str) -> BatchItem | None:
        """Remove and return the next item for one of the models, if any."""
        retry = self._find_retry(models, sidecar)
        if retry is not None:
            self._retries.remove(retry)
            return retry.batch_item
        for model in models:
            if self._queues_by_model.get(model):
                self._queued_count -= 1
                return self._queues_by_model[model].popleft()
        return None

    def _model_queue(self, model: str) -> collections.deque[BatchItem]:
        return self._queues_by_model.setdefault(model, collections.deque())

    def _find_retry(
        self, models: tuple[str, ...], sidecar: str
    ) -> _Retry | None:
        """Return the first retry that may run on the sidecar now."""
        now = time.monotonic()
        for retry in self._retries:
            if retry.batch_item.model not in models:
                continue
            if retry.may_run_on(sidecar, now):
                return retry
        return None
