"""briarrill.relay.customer_limits: admits requests under customers' rates.

Each request of a customer with a rate uses up one that was borrowed from the
customer's holder. A request that ends without having run does not count.
"""

import contextlib
import time
from collections.abc import AsyncIterator, Callable

import attrs
import trio
from eliot import log_message

from ..coordination.allowances.borrowed import BorrowedRequests
from ..coordination.allowances.customer_ledger import RateTerms
from ..coordination.allowances.peer_lender import CustomerLender
from ..coordination.customers.customer import Customer
from ..coordination.relay_protocol import Intent
from ..errors import BriarrillError, RequestRateError
from ..metrics import REFUSED_BY_RATE
from ..protocol.messages import Borrow
from ..result_codes import Ran

__all__ = ('CustomerLimits', 'admitted')

# interval at which unused requests are returned, well below the time after
# which they expire
RETURN_INTERVAL_S = 0.1

# interval of log lines about one customer over its limit
LOG_INTERVAL_S = 1.0


@attrs.define
class _Usage:
    """The requests of one customer at this process.

    :param refused: those refused since the last log line.
    :param logged_at: clock at that line.
    """

    borrowed: BorrowedRequests
    refused: int = 0
    logged_at: float = 0
    lock: trio.Lock = attrs.field(factory=trio.Lock)


@attrs.define
class CustomerLimits:
    """Admits requests of customers; those without a limit cost nothing.

    :param lender: lends requests of the customers.
    :param clock: monotonic clock.
    """

    lender: CustomerLender
    clock: Callable[[], float] = time.monotonic
    _usage: dict[str, _Usage] = attrs.field(factory=dict, init=False)
    _is_used: trio.Event = attrs.field(factory=trio.Event, init=False)

    def __len__(self) -> int:
        """Return the number of customers with recent requests."""
        return len(self._usage)

    async def admit(self, customer: Customer, version: int) -> None:
        """Admit one request of a customer, maybe after a question.

        :param version: of the configuration that has the customer.
        :raises RequestRateError: the customer's limit is reached.
        """
        terms = RateTerms(
            customer.requests_per_second, customer.burst, version
        )
        usage = self._usage.get(customer.name)
        if usage is None:
            usage = _Usage(BorrowedRequests(terms))
            self._usage[customer.name] = usage
            self._is_used.set()
        borrowed = usage.borrowed
        borrowed.update_terms(terms)
        borrowed.waiting += 1
        try:
            async with usage.lock:
                await self._admit_or_refuse(customer.name, usage)
        finally:
            borrowed.waiting -= 1

    def take_back(self, name: str) -> None:
        """Return the place of an admitted request that has not run."""
        usage = self._usage.get(name)
        if usage is None:
            self.lender.give_back(name, 1)
        else:
            usage.borrowed.take_back(self.clock())

    async def run(self) -> None:
        """Return unused requests to their holders until cancelled."""
        while True:
            await self._is_used.wait()
            await trio.sleep(RETURN_INTERVAL_S)
            self.return_unused()
            if not self._usage:
                self._is_used = trio.Event()

    def return_unused(self) -> None:
        """Return unused requests, and forget customers that rest."""
        now = self.clock()
        for name, usage in list(self._usage.items()):
            self._check_usage(name, usage, now)

    async def _admit_or_refuse(self, name: str, usage: _Usage) -> None:
        """Use up one borrowed request; borrow if there is none.

        :raises RequestRateError: the holder lent too little.
        """
        borrowed = usage.borrowed
        now = self.clock()
        if borrowed.try_admit(now):
            return
        refusal_s = borrowed.refusal_s(now)
        if refusal_s is None:
            await self._borrow(name, borrowed, now)
            now = self.clock()
            if borrowed.try_admit(now):
                return
            refusal_s = borrowed.next_retry_s(now)
        usage.refused += 1
        REFUSED_BY_RATE.labels(name).inc()
        raise RequestRateError(
            f'the rate limit of customer {name!r} is reached:'
            f' {borrowed.terms.requests_per_second} requests a second',
            retry_after_s=refusal_s,
        )

    async def _borrow(
        self, name: str, borrowed: BorrowedRequests, now: float
    ) -> None:
        """Ask the holder for what waits and for the expected demand."""
        wanted = borrowed.wanted(now)
        borrow = Borrow(
            process='',
            contract=name,
            requests=wanted,
            tokens=0,
            in_flight=borrowed.covered,
            in_use=0,
        )
        allowance = await self.lender.borrow(borrow, borrowed.terms)
        borrowed.receive(allowance, self.clock())

    def _check_usage(self, name: str, usage: _Usage, now: float) -> None:
        """Return what a customer does not use, and forget one that rests."""
        unused = usage.borrowed.take_unused(now, RETURN_INTERVAL_S)
        if unused:
            self.lender.give_back(name, unused)
        if usage.refused and now - usage.logged_at >= LOG_INTERVAL_S:
            log_message(
                'customer:over-limit',
                customer=name,
                refused=usage.refused,
                requests_per_second=usage.borrowed.terms.requests_per_second,
            )
            usage.refused = 0
            usage.logged_at = now
        if usage.borrowed.is_idle(now) and not usage.refused:
            self._usage.pop(name)


@contextlib.asynccontextmanager
async def admitted(
    limits: CustomerLimits | None, intent: Intent
) -> AsyncIterator[None]:
    """Admit a request under the limit of its customer, if it has any.

    :raises RequestRateError: the limit is reached.
    """
    customer = intent.customer
    if limits is None or not customer.is_limited:
        yield
        return
    await limits.admit(customer, intent.config_version)
    try:
        yield
    except BriarrillError as exc:
        if exc.ran is Ran.NO:
            limits.take_back(customer.name)
        raise
