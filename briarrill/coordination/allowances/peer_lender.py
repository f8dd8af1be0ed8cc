"""briarrill.coordination.allowances.peer_lender: borrow customers' requests.

The holder of a customer is one of the processes whose load reports come.
"""

import abc
import math
from collections.abc import Callable, Iterable, Mapping

import attrs
import trio

from ...metrics import ALLOWANCE_CALLS
from ...protocol.load_reports import LoadReport
from ...protocol.messages import Allowance, Borrow
from .customer_ledger import RateTerms
from .exchange import AllowanceExchange
from .lender import HolderLender, Lender

__all__ = ('CustomerLender', 'PeerLender', 'possible_holders')

# time for which a silent holder is skipped; if it stays silent, it counts as
# gone not much later
SUSPECT_S = 0.5

# time for which the processes that can hold are not read anew: short against
# the interval of load reports
REFRESH_S = 0.05

# interval at which the share is noted and idle buckets are removed
CHECK_INTERVAL_S = 0.5


class CustomerLender(Lender[RateTerms]):
    """Lends requests of customers; the borrowers return what they don't use.

    In a :class:`Borrow`, ``in_flight`` is the number of requests that wait.
    """

    @abc.abstractmethod
    def give_back(self, name: str, count: int) -> None:
        """Return lent requests of a customer that were not used."""


@attrs.define
class PeerLender(HolderLender[RateTerms], CustomerLender):
    """Borrows from the process that holds a customer's limit.

    Batch processes come first, which are fewer and read messages sooner.

    :param exchange: asks other holders, and has the ledger of this one.
    :param reports: returns the newest reports of the live peers, by name.
    :param own_report: returns this process's report.
    :param fleet_size: returns the number of processes, this one included.
    """

    exchange: AllowanceExchange
    reports: Callable[[], Mapping[str, LoadReport]]
    own_report: Callable[[], LoadReport]
    fleet_size: Callable[[], int]
    suspect_s: float = SUSPECT_S
    _refreshed_at: float = attrs.field(default=-math.inf, init=False)

    async def run(self) -> None:
        """Note the share and remove idle buckets until cancelled."""
        while True:
            self.check()
            await trio.sleep(CHECK_INTERVAL_S)

    def check(self) -> None:
        """Note who can hold and the share; remove idle buckets."""
        self._refresh()
        self.exchange.record_share()
        self.exchange.ledger.remove_idle()

    def receive_report(self, report: LoadReport) -> None:
        """Note that a peer was heard."""
        self.exchange.ledger.tenure.record_heard()

    def give_back(self, name: str, count: int) -> None:
        """Return lent requests to the present holder."""
        holder = self._holders(name, 1)[0]
        ALLOWANCE_CALLS.labels('returned').inc()
        if holder == self._own_name:
            self.exchange.ledger.give_back(name, count)
            return
        report = self.reports().get(holder)
        if report is not None:
            self.exchange.give_back(report.host, name, count)

    @property
    def _own_name(self) -> str:
        return self.exchange.ledger.tenure.own_name

    def _holders(self, name: str, count: int) -> list[str]:
        self._refresh()
        return self.exchange.ledger.tenure.order(name, count)

    async def _ask(
        self, holder: str, borrow: Borrow, terms: RateTerms
    ) -> Allowance | None:
        report = self.reports().get(holder)
        if report is None:
            return None
        return await self.exchange.ask(
            report.host,
            borrow.contract,
            terms,
            wanted=int(borrow.requests),
            waiting=borrow.in_flight,
        )

    def _lend(self, borrow: Borrow, terms: RateTerms) -> Allowance:
        return self._lend_share(borrow, terms, self.exchange.record_share())

    def _lend_alone(self, borrow: Borrow, terms: RateTerms) -> Allowance:
        """Lend an equal part of what a process may lend for the holder."""
        return self._lend_share(borrow, terms, 1 / self.fleet_size())

    def _lend_share(
        self, borrow: Borrow, terms: RateTerms, share: float
    ) -> Allowance:
        return self.exchange.ledger.lend(
            borrow.contract,
            terms,
            share,
            wanted=int(borrow.requests),
            waiting=borrow.in_flight,
        )

    def _refresh(self) -> None:
        """Read which processes can hold, unless that was done just now."""
        now = self.clock()
        if now - self._refreshed_at < REFRESH_S:
            return
        self._refreshed_at = now
        self.exchange.ledger.tenure.update(
            possible_holders(self.own_report(), self.reports().values())
        )


def possible_holders(
    own: LoadReport, reports: Iterable[LoadReport]
) -> tuple[str, ...]:
    """Return the names of the processes that can hold limits, sorted.

    Draining ones cannot unless there is no other.

    :param own: report of this process.
    :param reports: newest reports of the live peers.
    """
    everyone = [own, *reports]
    staying = [report for report in everyone if not report.is_leaving]
    preferred = [report for report in staying if report.runs_batch]
    chosen = preferred or staying or everyone
    return tuple(sorted(report.process for report in chosen))
