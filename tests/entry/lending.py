"""A holder of allowances that is reached without a network."""

import trio

from briarrill.coordination.allowances import AllowanceLedger
from briarrill.entry.lender import Lender


class LedgerLender(Lender):
    """One holder, reached without a network."""

    def __init__(self):
        self.ledger = AllowanceLedger()
        self.calls = []
        self.gate = trio.Event()
        self.gate.set()

    async def run(self):
        """Follow no fleet."""

    async def borrow(self, borrow, contract):
        await trio.lowlevel.checkpoint()
        self.calls.append(borrow)
        await self.gate.wait()
        return self.ledger.lend(borrow, contract, 0)
