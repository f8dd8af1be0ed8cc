"""briarrill.sidecar.unfinished_items: the unfinished batch items of a sidecar.

All batch processes share one table: if a job's new owner assigns an item
that is still running here, the run continues and its outcome is sent to the
new owner.
"""

import collections
from collections.abc import Callable
from typing import TypeVar

import attrs
import trio

from ..protocol.messages import BatchItem, ItemOutcome

__all__ = ('UnfinishedItem', 'UnfinishedItems')

# limit of each of the two tables: newest epochs by job, cancelled jobs
MAX_REMEMBERED_JOBS = 10_000

ItemKey = tuple[str, int]

_Recorded = TypeVar('_Recorded')


@attrs.define(eq=False)
class UnfinishedItem:
    """A batch item without an outcome.

    :param owner: instance of the batch process that receives the outcome.
    :param deliver: sends the outcome to the owner.
    :param scope: cancelled to stop the item's run.
    """

    batch_item: BatchItem
    owner: str
    deliver: Callable[[ItemOutcome], None]
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)


@attrs.define
class UnfinishedItems:
    """Table of the unfinished items of all batch processes."""

    _unfinished_by_key: dict[ItemKey, UnfinishedItem] = attrs.field(
        factory=dict
    )
    _count_by_owner: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _newest_epochs: collections.OrderedDict[str, int] = attrs.field(
        factory=collections.OrderedDict
    )
    _cancelled_jobs: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )

    def __len__(self) -> int:
        """Return the number of items of all owners."""
        return len(self._unfinished_by_key)

    def count(self, owner: str) -> int:
        """Return the number of items of one owner."""
        return self._count_by_owner[owner]

    def is_revoked(self, batch_item: BatchItem) -> bool:
        """Return whether the item's job is cancelled or has a newer owner."""
        newest_epoch = self._newest_epochs.get(batch_item.job, 0)
        return (
            batch_item.job in self._cancelled_jobs
            or batch_item.epoch < newest_epoch
        )

    def reassign(self, newer: UnfinishedItem) -> bool:
        """Reassign an unfinished item to the owner that assigned it again.

        :return: whether the item was in the table.
        """
        unfinished = self._unfinished_by_key.get(_item_key(newer.batch_item))
        if unfinished is None:
            return False
        self._count_by_owner[unfinished.owner] -= 1
        self._count_by_owner[newer.owner] += 1
        unfinished.batch_item = newer.batch_item
        unfinished.owner = newer.owner
        unfinished.deliver = newer.deliver
        return True

    def add(self, unfinished: UnfinishedItem) -> None:
        """Add an item that waits for a slot or runs."""
        self._unfinished_by_key[_item_key(unfinished.batch_item)] = unfinished
        self._count_by_owner[unfinished.owner] += 1

    def remove(self, unfinished: UnfinishedItem) -> None:
        """Remove an item whose run has ended."""
        self._unfinished_by_key.pop(_item_key(unfinished.batch_item))
        self._count_by_owner[unfinished.owner] -= 1

    def revoke(self, job: str, epoch: int | None) -> None:
        """Cancel the runs of a job's items.

        :param epoch: newest epoch to cancel; ``None`` cancels the whole job,
            and later items of it are rejected.
        """
        if epoch is None:
            _put_bounded(self._cancelled_jobs, job, None)
        for unfinished in self._unfinished_by_key.values():
            is_newer = (
                epoch is not None and unfinished.batch_item.epoch > epoch
            )
            if unfinished.batch_item.job == job and not is_newer:
                unfinished.scope.cancel()

    def record_epoch(self, batch_item: BatchItem) -> None:
        """Record the epoch of an item's job."""
        self.record_claim(batch_item.job, batch_item.epoch)

    def record_claim(self, job: str, epoch: int) -> None:
        """Record the epoch of a claim; older items are not started any more.

        Those that run go on, since the new owner may assign them again.
        """
        newest_epoch = self._newest_epochs.get(job, 0)
        _put_bounded(self._newest_epochs, job, max(newest_epoch, epoch))


def _item_key(batch_item: BatchItem) -> ItemKey:
    return batch_item.job, batch_item.index


def _put_bounded(
    table: collections.OrderedDict[str, _Recorded], job: str, entry: _Recorded
) -> None:
    """Set a job's entry; a full table evicts the job set longest ago."""
    table[job] = entry
    table.move_to_end(job)
    if len(table) > MAX_REMEMBERED_JOBS:
        table.popitem(last=False)
