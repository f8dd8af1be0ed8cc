"""briarrill.coordination.fair_queue: round-robin queue between contracts."""

import collections
from typing import Generic, TypeVar

__all__ = ('FairQueue',)

_Entry = TypeVar('_Entry')


class FairQueue(Generic[_Entry]):
    """One FIFO queue per contract, served round-robin."""

    def __init__(self) -> None:
        """Start empty."""
        self._by_contract: dict[str, collections.deque[_Entry]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of entries of all contracts."""
        return self._count

    def push(self, contract: str, entry: _Entry) -> None:
        """Append an entry to its contract's queue."""
        queue = self._by_contract.setdefault(contract, collections.deque())
        queue.append(entry)
        self._count += 1

    def pop(self) -> _Entry:
        """Remove and return the first entry of the next contract.

        :raises StopIteration: the queue is empty.
        """
        contract = next(iter(self._by_contract))
        queue = self._by_contract.pop(contract)
        entry = queue.popleft()
        if queue:
            self._by_contract[contract] = queue
        self._count -= 1
        return entry

    def remove(self, contract: str, entry: _Entry) -> None:
        """Remove a queued entry.

        :raises KeyError: the contract has no entries.
        :raises ValueError: the entry is not queued.
        """
        queue = self._by_contract[contract]
        queue.remove(entry)
        if not queue:
            self._by_contract.pop(contract)
        self._count -= 1

    def count_ahead_of(self, contract: str) -> int:
        """Return how many entries are served before a new one."""
        own = self._length(contract)
        return own + sum(
            min(len(queue), own + 1)
            for name, queue in self._by_contract.items()
            if name != contract
        )

    def evict_for(self, contract: str) -> tuple[str, _Entry] | None:
        """Remove the last entry of the longest queue.

        Nothing is removed unless that queue then still has at least as many
        entries as the one of ``contract`` with a new entry.

        :return: the contract of the removed entry and the entry, if any.
        """
        longest = max(self._by_contract, key=self._length, default='')
        if self._length(longest) <= self._length(contract) + 1:
            return None
        self._count -= 1
        return longest, self._by_contract[longest].pop()

    def _length(self, contract: str) -> int:
        return len(self._by_contract.get(contract, ()))
