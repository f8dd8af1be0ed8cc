"""briarrill.entry.lender: where an entry borrows parts of limits."""

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

# holders that are asked in turn before the entry lends to itself
MAX_HOLDERS = 2

ASK_TIMEOUT_S = 0.25

# a holder that did not answer is passed over for this time
SUSPECT_S = 2.0


class Lender(abc.ABC):
    """Lends parts of a contract's limits."""

    @abc.abstractmethod
    async def borrow(self, borrow: Borrow, contract: Contract) -> Allowance:
        """Return what may be used; never fails."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Follow the fleet until cancelled."""


@attrs.define
class FleetLender(Lender):
    """Asks the holder of the contract, or the next in order.

    :param control: answers the other entries' requests.
    """

    control: Control
    ledger: AllowanceLedger = attrs.field(factory=AllowanceLedger)
    _order: HolderOrder = attrs.field(init=False)
    _listed: tuple[Instance, ...] = attrs.field(default=(), init=False)
    _hosts: dict[str, str] = attrs.field(factory=dict, init=False)
    _suspects: dict[str, float] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Serve the other entries."""
        self._order = HolderOrder(self.control.instance.name)
        self.control.extra_handlers[Borrow] = self.answer
        self._refresh()

    async def run(self) -> None:
        """Take each new instance list when it comes.

        When this entry became the holder decides what it may lend.
        """
        while True:
            self._refresh()
            await self.control.membership.wait_changed()

    async def borrow(self, borrow: Borrow, contract: Contract) -> Allowance:
        """Borrow from the first holder that answers."""
        self._refresh()
        for name in self._order.holders(borrow.contract, MAX_HOLDERS):
            if name == self._order.own_name:
                return self._lend(borrow, contract)
            allowance = await self._ask(name, borrow)
            if allowance is not None:
                return allowance
        ALLOWANCE_CALLS.labels('alone').inc()
        share = 1 / max(1, len(self._order.entries))
        return self._lend(borrow, contract, share)

    async def answer(self, borrow: Borrow) -> Message:
        """Lend to another entry.

        :raises NotFoundError: the contract is not known here yet.
        """
        self._refresh()
        contracts = self.control.holder.current.contracts
        contract = contracts.get(borrow.contract)
        if contract is None:
            raise NotFoundError(f'contract {borrow.contract!r}')
        return self._lend(borrow, contract)

    def _lend(
        self, borrow: Borrow, contract: Contract, share: float = 1.0
    ) -> Allowance:
        held_since = self._order.held_since(borrow.contract)
        return self.ledger.lend(borrow, contract, held_since, share)

    async def _ask(self, name: str, borrow: Borrow) -> Allowance | None:
        if self._suspects.get(name, 0) > time.monotonic():
            return None
        try:
            reply = await self.control.caller.call(
                self._hosts[name],
                self.control.ports.entry_control,
                borrow,
                ASK_TIMEOUT_S,
            )
        except BriarrillError:
            ALLOWANCE_CALLS.labels('failed').inc()
            self._suspects[name] = time.monotonic() + SUSPECT_S
            return None
        ALLOWANCE_CALLS.labels('answered').inc()
        return reply if isinstance(reply, Allowance) else None

    def _refresh(self) -> None:
        listed = self.control.membership.instances
        if listed is self._listed:
            return
        self._listed = listed
        live = self.control.membership.live(Role.ENTRY)
        self._hosts = {instance.name: instance.host for instance in live}
        self._order.update(tuple(sorted(self._hosts)))
        self._suspects.clear()
        self.ledger.forget_idle()
