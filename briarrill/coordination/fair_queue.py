"""briarrill.coordination.fair_queue: a queue that takes contracts in turn."""

import collections
from typing import Generic, TypeVar

__all__ = ('FairQueue',)

_Entry = TypeVar('_Entry')


class FairQueue(Generic[_Entry]):
    """Entries of contracts; each contract's are first in, first out.

    A contract that was served goes behind the others that wait.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._by_contract: dict[str, collections.deque[_Entry]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the entries of all contracts."""
        return self._count

    def push(self, contract: str, entry: _Entry) -> None:
        """Put an entry behind the others of its contract."""
        queue = self._by_contract.setdefault(contract, collections.deque())
        queue.append(entry)
        self._count += 1

    def pop(self) -> _Entry:
        """Take the first entry of the contract whose turn it is."""
        contract = next(iter(self._by_contract))
        queue = self._by_contract.pop(contract)
        entry = queue.popleft()
        if queue:
            self._by_contract[contract] = queue
        self._count -= 1
        return entry

    def remove(self, contract: str, entry: _Entry) -> None:
        """Take out an entry that waits no longer."""
        queue = self._by_contract[contract]
        queue.remove(entry)
        if not queue:
            self._by_contract.pop(contract)
        self._count -= 1

    def count_ahead_of(self, contract: str) -> int:
        """Return the entries to be served before a new one."""
        own = self._length(contract)
        return own + sum(
            min(len(queue), own + 1)
            for name, queue in self._by_contract.items()
            if name != contract
        )

    def evict_for(self, contract: str) -> _Entry | None:
        """Take out the last entry of the contract with the most entries.

        Nothing is taken out unless that contract still has as many entries
        as ``contract`` has with one more.
        """
        longest = max(self._by_contract, key=self._length, default='')
        if self._length(longest) <= self._length(contract) + 1:
            return None
        self._count -= 1
        return self._by_contract[longest].pop()

    def _length(self, contract: str) -> int:
        return len(self._by_contract.get(contract, ()))
