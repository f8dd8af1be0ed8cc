"""briarrill.batch.item_sources: chooses the job that supplies the next item.

Contracts share the sidecars in proportion to their ``batch_share``, measured
in items in flight; within a contract the job with the earliest deadline goes
first. All jobs of a contract have the same owner as long as it lives, so one
process enforces the contract's limit of items in flight.
"""

import abc
import collections
from collections.abc import Callable

import attrs

from ..protocol.messages import BatchItem, ItemOutcome
from ..state.contracts import Contract

__all__ = ('ItemSource', 'ItemSources')


class ItemSource(abc.ABC):
    """A job that supplies items and records their outcomes.

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
        """Remove and return an item for one of the models, if any."""

    @abc.abstractmethod
    def requeue_lost(self, batch_item: BatchItem) -> None:
        """Queue an item again whose sidecar was lost."""

    @abc.abstractmethod
    def record_outcome(self, outcome: ItemOutcome, sidecar: str) -> None:
        """Record an item's outcome that the sidecar reported."""


@attrs.define
class ItemSources:
    """The jobs of this process whose items are being assigned.

    :param find_contract: returns the current contract by its name.
    """

    find_contract: Callable[[str], Contract]
    _by_job: dict[str, ItemSource] = attrs.field(factory=dict)
    _in_flight: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def add(self, source: ItemSource) -> None:
        """Add a job, ordered by its deadline."""
        ordered = [*self._by_job.values(), source]
        ordered.sort(key=lambda added: added.due_at)
        self._by_job = {added.job: added for added in ordered}

    def remove(self, job: str) -> None:
        """Remove a job if it is present."""
        self._by_job.pop(job, None)

    def find(self, job: str) -> ItemSource | None:
        """Return the job's source, if it was added."""
        return self._by_job.get(job)

    def next_item(
        self, models: tuple[str, ...], sidecar: str
    ) -> BatchItem | None:
        """Remove and return the next item, and count it in flight.

        Contracts at their limit of items in flight are skipped.
        """
        by_contract: dict[str, list[ItemSource]] = {}
        for source in self._by_job.values():
            by_contract.setdefault(source.contract, []).append(source)
        for name in sorted(by_contract, key=self._in_flight_per_share):
            if not self._is_below_limit(name):
                continue
            for source in by_contract[name]:
                batch_item = source.next_item(models, sidecar)
                if batch_item is not None:
                    self._in_flight[name] += 1
                    return batch_item
        return None

    def remove_in_flight(self, batch_item: BatchItem) -> None:
        """Decrement the in-flight count of the item's contract."""
        self._in_flight[batch_item.contract] -= 1

    def _in_flight_per_share(self, contract: str) -> float:
        share = self.find_contract(contract).batch_share
        return self._in_flight[contract] / share

    def _is_below_limit(self, contract: str) -> bool:
        limit = self.find_contract(contract).batch_items_in_flight
        return self._in_flight[contract] < limit
