"""briarrill.entry.lender: borrows allowances of contracts from holders."""

import abc
import time

import attrs

from ..control import Control
from ..coordination.allowances import AllowanceLedger, HolderOrder
from ..errors import BriarrillError, NotFoundError
from ..metrics import ALLOWANCE_CALLS
from ..protocol.messages import Allowance, Borrow, Message
from ..state.contracts import Contract
from ..transport.instance_list import Instance, Role

__all__ = ('FleetLender', 'Lender')

# holders tried in order before the entry lends to itself
MAX_HOLDERS_TRIED = 2

BORROW_TIMEOUT_S = 0.25

# time for which a holder is skipped after a failed call
SUSPECT_DURATION_S = 2.0


class Lender(abc.ABC):
    """Lends allowances: parts of a contract's limits."""

    @abc.abstractmethod
    async def borrow(self, borrow: Borrow, contract: Contract) -> Allowance:
        """Return an allowance for this entry; raises no error."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Follow changes of the membership until cancelled."""


@attrs.define
class FleetLender(Lender):
    """Borrows from the contract's holder, or from the next in its order.

    :param control: receives the borrow messages of other entries.
    :param ledger: allowances lent by this entry as a holder.
    """

    control: Control
    ledger: AllowanceLedger = attrs.field(factory=AllowanceLedger)
    _order: HolderOrder = attrs.field(init=False)
    _applied_instances: tuple[Instance, ...] = attrs.field(
        default=(), init=False
    )
    _hosts: dict[str, str] = attrs.field(factory=dict, init=False)
    _suspected_until: dict[str, float] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Register the handler for calls of other entries."""
        self._order = HolderOrder(self.control.instance.name)
        self.control.extra_handlers[Borrow] = self.lend_to_entry
        self._apply_membership()

    async def run(self) -> None:
        """Apply each new instance list without delay, until cancelled.

        The time since which this entry is the holder bounds what it may
        lend.
        """
        while True:
            self._apply_membership()
            await self.control.membership.wait_changed()

    async def borrow(self, borrow: Borrow, contract: Contract) -> Allowance:
        """Borrow from the first holder that replies.

        If none does, lend this entry an equal share of the limits itself.
        """
        self._apply_membership()
        for name in self._order.holders(borrow.contract, MAX_HOLDERS_TRIED):
            if name == self._order.own_name:
                return self._lend(borrow, contract)
            allowance = await self._borrow_from(name, borrow)
            if allowance is not None:
                return allowance
        ALLOWANCE_CALLS.labels('alone').inc()
        share = 1 / max(1, len(self._order.entries))
        return self._lend(borrow, contract, share)

    async def lend_to_entry(self, borrow: Borrow) -> Message:
        """Reply to a call of another entry with an allowance.

        :raises NotFoundError: the configuration of this entry lacks the
            contract.
        """
        self._apply_membership()
        contracts = self.control.config_holder.current.contracts
        contract = contracts.get(borrow.contract)
        if contract is None:
            raise NotFoundError(f'contract {borrow.contract!r}')
        return self._lend(borrow, contract)

    def _lend(
        self, borrow: Borrow, contract: Contract, share: float = 1.0
    ) -> Allowance:
        """Lend from this entry's own ledger.

        :param share: part of the limits that may be lent.
        """
        holder_since = self._order.holder_since(borrow.contract)
        return self.ledger.lend(borrow, contract, holder_since, share)

    async def _borrow_from(
        self, name: str, borrow: Borrow
    ) -> Allowance | None:
        """Borrow from a holder; return ``None`` if it is skipped or fails."""
        if self._suspected_until.get(name, 0) > time.monotonic():
            return None
        try:
            reply = await self.control.caller.call(
                self._hosts[name],
                self.control.ports.entry_control,
                borrow,
                BORROW_TIMEOUT_S,
            )
        except BriarrillError:
            ALLOWANCE_CALLS.labels('failed').inc()
            self._suspected_until[name] = time.monotonic() + SUSPECT_DURATION_S
            return None
        ALLOWANCE_CALLS.labels('answered').inc()
        return reply if isinstance(reply, Allowance) else None

    def _apply_membership(self) -> None:
        """Apply the current instance list unless it was applied before."""
        current_instances = self.control.membership.instances
        if current_instances is self._applied_instances:
            return
        self._applied_instances = current_instances
        live = self.control.membership.live_instances(Role.ENTRY)
        self._hosts = {instance.name: instance.host for instance in live}
        self._order.update(tuple(sorted(self._hosts)))
        self._suspected_until.clear()
        self.ledger.remove_idle()
