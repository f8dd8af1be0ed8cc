"""briarrill.entry.lender: borrows allowances of contracts from holders."""

import attrs

from ..control import Control
from ..coordination.allowances.contract_ledger import (
    AllowanceLedger,
    HolderOrder,
)
from ..coordination.allowances.lender import HolderLender
from ..errors import BriarrillError, NotFoundError
from ..protocol.messages import Allowance, Borrow, Message
from ..state.contracts import Contract
from ..transport.instance_list import Instance, Role

__all__ = ('FleetLender',)

BORROW_TIMEOUT_S = 0.25

# time for which a holder is skipped after a failed call
SUSPECT_DURATION_S = 2.0


@attrs.define
class FleetLender(HolderLender[Contract]):
    """Borrows from the contract's holder, or from the next in its order.

    :param control: receives the borrow messages of other entries.
    :param ledger: allowances lent by this entry as a holder.
    """

    control: Control
    ledger: AllowanceLedger = attrs.field(factory=AllowanceLedger)
    suspect_s: float = SUSPECT_DURATION_S
    _order: HolderOrder = attrs.field(init=False)
    _applied_instances: tuple[Instance, ...] = attrs.field(
        default=(), init=False
    )
    _hosts: dict[str, str] = attrs.field(factory=dict, init=False)

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

    @property
    def _own_name(self) -> str:
        return self._order.own_name

    def _holders(self, name: str, count: int) -> list[str]:
        self._apply_membership()
        return self._order.holders(name, count)

    def _lend(self, borrow: Borrow, terms: Contract) -> Allowance:
        return self._lend_share(borrow, terms, 1)

    def _lend_alone(self, borrow: Borrow, terms: Contract) -> Allowance:
        """Lend an equal share of the limits."""
        share = 1 / max(1, len(self._order.entries))
        return self._lend_share(borrow, terms, share)

    def _lend_share(
        self, borrow: Borrow, contract: Contract, share: float
    ) -> Allowance:
        """Lend from this entry's own ledger.

        :param share: part of the limits that may be lent.
        """
        holder_since = self._order.holder_since(borrow.contract)
        return self.ledger.lend(borrow, contract, holder_since, share)

    async def _ask(
        self, holder: str, borrow: Borrow, terms: Contract
    ) -> Allowance | None:
        try:
            reply = await self.control.caller.call(
                self._hosts[holder],
                self.control.ports.entry_control,
                borrow,
                BORROW_TIMEOUT_S,
            )
        except BriarrillError:
            return None
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
        self._forget_suspects()
        self.ledger.remove_idle()
