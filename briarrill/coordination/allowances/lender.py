"""briarrill.coordination.allowances.lender: interfaces of lenders.

A process that admits requests borrows them from a lender. The terms are what
the limits follow from: a contract, or the rate of a customer.
"""

import abc
import time
from collections.abc import Callable
from typing import Generic, TypeVar

import attrs
from eliot import log_message

from ...metrics import ALLOWANCE_CALLS
from ...protocol.messages import Allowance, Borrow

__all__ = ('HolderLender', 'Lender')

# holders tried in order before a process lends to itself
MAX_HOLDERS_TRIED = 2

_Terms = TypeVar('_Terms')


class Lender(abc.ABC, Generic[_Terms]):
    """Lends allowances: parts of limits that hold over all processes."""

    @abc.abstractmethod
    async def borrow(self, borrow: Borrow, terms: _Terms) -> Allowance:
        """Return an allowance for this process; raises no error."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Do what has to be done at intervals, until cancelled."""


@attrs.define
class HolderLender(Lender[_Terms]):
    """Borrows from the holder of a limit, or from the next in its order.

    A holder that does not reply is skipped for a while.

    :param suspect_s: time for which it is skipped.
    :param clock: monotonic clock.
    """

    suspect_s: float
    clock: Callable[[], float] = attrs.field(
        default=time.monotonic, kw_only=True
    )
    _suspected_until: dict[str, float] = attrs.field(factory=dict, init=False)

    async def borrow(self, borrow: Borrow, terms: _Terms) -> Allowance:
        """Borrow from the first holder that replies.

        If none does, this process lends a share of its own.
        """
        for name in self._holders(borrow.contract, MAX_HOLDERS_TRIED):
            if name == self._own_name:
                return self._lend(borrow, terms)
            if self._suspected_until.get(name, 0) > self.clock():
                continue
            allowance = await self._ask(name, borrow, terms)
            if allowance is not None:
                ALLOWANCE_CALLS.labels('answered').inc()
                return allowance
            ALLOWANCE_CALLS.labels('failed').inc()
            log_message('allowance:holder-silent', holder=name)
            self._suspected_until[name] = self.clock() + self.suspect_s
        ALLOWANCE_CALLS.labels('alone').inc()
        return self._lend_alone(borrow, terms)

    def _forget_suspects(self) -> None:
        """Ask all holders again."""
        self._suspected_until.clear()

    @property
    @abc.abstractmethod
    def _own_name(self) -> str:
        """Return the name of this process."""

    @abc.abstractmethod
    def _holders(self, name: str, count: int) -> list[str]:
        """Return the holder and its successors, at most ``count`` names.

        :param name: whose limits they hold.
        """

    @abc.abstractmethod
    async def _ask(
        self, holder: str, borrow: Borrow, terms: _Terms
    ) -> Allowance | None:
        """Ask another process; return none if it does not reply."""

    @abc.abstractmethod
    def _lend(self, borrow: Borrow, terms: _Terms) -> Allowance:
        """Lend as the holder."""

    @abc.abstractmethod
    def _lend_alone(self, borrow: Borrow, terms: _Terms) -> Allowance:
        """Lend while no holder replies."""
