"""briarrill.batch.item_sources: whose item is handed out next.

Contracts share the sidecars by the weight in the contract, counted in items
in flight; within a contract the job that is due first goes first. All jobs
of a contract have the same owner as long as it lives, so its bound on items
in flight is kept by one process.
"""

import abc
import collections
from collections.abc import Callable

import attrs

from ..protocol.messages import BatchItem, ItemOutcome
from ..state.contracts import Contract

__all__ = ('ItemSource', 'ItemSources')


class ItemSource(abc.ABC):
    """A job as the hand-out sees it.

    :param job: the job's key.
    :param contract: the job's contract.
    :param due_at: the job's deadline, seconds since 1970.
    """

    job: str
    contract: str
    due_at: int

    @abc.abstractmethod
    def next_item(
        self, models: tuple[str, ...], sidecar: str
    ) -> BatchItem | None:
        """Return an item for one of the models, or nothing."""

    @abc.abstractmethod
    def take_back(self, batch_item: BatchItem) -> None:
        """Take back an item that was lost with its sidecar."""

    @abc.abstractmethod
    def take_outcome(self, outcome: ItemOutcome, sidecar: str) -> None:
        """Take an item's outcome."""


@attrs.define
class ItemSources:
    """The jobs that this process hands out.

    :param find_contract: returns the contract in force.
    """

    find_contract: Callable[[str], Contract]
    _by_job: dict[str, ItemSource] = attrs.field(factory=dict)
    _in_flight: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def add(self, source: ItemSource) -> None:
        """Add a job."""
        rows = [*self._by_job.values(), source]
        rows.sort(key=lambda row: row.due_at)
        self._by_job = {row.job: row for row in rows}

    def remove(self, job: str) -> None:
        """Remove a job."""
        self._by_job.pop(job, None)

    def find(self, job: str) -> ItemSource | None:
        """Return the job, if it is handed out."""
        return self._by_job.get(job)

    def next_item(
        self, models: tuple[str, ...], sidecar: str
    ) -> BatchItem | None:
        """Choose the next item and count it in flight."""
        by_contract: dict[str, list[ItemSource]] = {}
        for source in self._by_job.values():
            by_contract.setdefault(source.contract, []).append(source)
        for name in sorted(by_contract, key=self._use):
            if not self._has_room(name):
                continue
            for source in by_contract[name]:
                batch_item = source.next_item(models, sidecar)
                if batch_item is not None:
                    self._in_flight[name] += 1
                    return batch_item
        return None

    def leave(self, batch_item: BatchItem) -> None:
        """Count an item as no longer in flight."""
        self._in_flight[batch_item.contract] -= 1

    def _use(self, contract: str) -> float:
        share = self.find_contract(contract).batch_share
        return self._in_flight[contract] / share

    def _has_room(self, contract: str) -> bool:
        limit = self.find_contract(contract).batch_items_in_flight
        return self._in_flight[contract] < limit
