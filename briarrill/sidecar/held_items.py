"""briarrill.sidecar.held_items: the batch items that a sidecar holds.

One table for all batch processes: when a job changes its owner and the new
one hands out an item that still runs here, the run goes on and its outcome
goes to the new owner.
"""

import collections
from collections.abc import Callable
from typing import TypeVar

import attrs
import trio

from ..protocol.messages import BatchItem, ItemOutcome

__all__ = ('HeldItem', 'HeldItems')

# jobs whose newest epoch or cancellation is remembered
MAX_JOBS = 10_000

ItemKey = tuple[str, int]

_Noted = TypeVar('_Noted')


@attrs.define(eq=False)
class HeldItem:
    """An item without an outcome.

    :param owner: instance of the batch process that gets the outcome.
    :param deliver: sends the outcome there.
    """

    batch_item: BatchItem
    owner: str
    deliver: Callable[[ItemOutcome], None]
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)


@attrs.define
class HeldItems:
    """Items held from all batch processes."""

    _held: dict[ItemKey, HeldItem] = attrs.field(factory=dict)
    _count_by_owner: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _epochs: collections.OrderedDict[str, int] = attrs.field(
        factory=collections.OrderedDict
    )
    _cancelled: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )

    def __len__(self) -> int:
        """Return the items of all owners."""
        return len(self._held)

    def count(self, owner: str) -> int:
        """Return the items of one owner."""
        return self._count_by_owner[owner]

    def is_stopped(self, batch_item: BatchItem) -> bool:
        """Return whether its job is cancelled or has a newer owner."""
        newest = self._epochs.get(batch_item.job, 0)
        return batch_item.job in self._cancelled or batch_item.epoch < newest

    def adopt(self, newer: HeldItem) -> bool:
        """Let a running item's outcome go to its newest owner.

        :return: whether the item was held already.
        """
        held = self._held.get(_key(newer.batch_item))
        if held is None:
            return False
        self._count_by_owner[held.owner] -= 1
        self._count_by_owner[newer.owner] += 1
        held.batch_item = newer.batch_item
        held.owner = newer.owner
        held.deliver = newer.deliver
        return True

    def add(self, held: HeldItem) -> None:
        """Add an item that begins to wait or run."""
        self._held[_key(held.batch_item)] = held
        self._count_by_owner[held.owner] += 1

    def remove(self, held: HeldItem) -> None:
        """Remove an item that has ended."""
        self._held.pop(_key(held.batch_item))
        self._count_by_owner[held.owner] -= 1

    def revoke(self, job: str, epoch: int | None) -> None:
        """Stop a job's items, up to an epoch or, when cancelled, all."""
        if epoch is None:
            _remember(self._cancelled, job, None)
        for held in self._held.values():
            is_newer = epoch is not None and held.batch_item.epoch > epoch
            if held.batch_item.job == job and not is_newer:
                held.scope.cancel()

    def note_epoch(self, batch_item: BatchItem) -> None:
        """Remember the newest owner's epoch of the item's job."""
        newest = self._epochs.get(batch_item.job, 0)
        _remember(self._epochs, batch_item.job, max(newest, batch_item.epoch))


def _key(batch_item: BatchItem) -> ItemKey:
    return batch_item.job, batch_item.index


def _remember(
    table: collections.OrderedDict[str, _Noted], job: str, noted: _Noted
) -> None:
    table[job] = noted
    table.move_to_end(job)
    if len(table) > MAX_JOBS:
        table.popitem(last=False)
