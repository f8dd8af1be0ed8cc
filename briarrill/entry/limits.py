"""briarrill.entry.limits: applies contracts' limits at one entry.

Requests are admitted against an allowance borrowed from the contract's
holder. The entry borrows more only when a request needs it.
"""

import contextlib
import math
import time
from collections.abc import Iterator

import attrs
import trio

from ..coordination.allowances.lender import Lender
from ..errors import (
    InFlightLimitError,
    LimitError,
    RequestRateError,
    TokenRateError,
)
from ..protocol.messages import Allowance, Borrow
from ..state.contracts import Contract

__all__ = ('AdmittedRequest', 'ContractLimits')

IN_FLIGHT_RETRY_AFTER_S = 1.0

# the demand expected within this time is borrowed in advance
BORROW_AHEAD_S = 0.5

# time for which a rejection is reused without a call to the holder
REJECTION_CACHE_S = 0.1

# interval of reports of requests that have ended
USAGE_REPORT_INTERVAL_S = 0.5

# interval of reports of requests that stay in flight: a holder counts them
# only for IN_FLIGHT_DURATION_S after the last report
IN_USE_RENEWAL_INTERVAL_S = 8.0


@attrs.define
class _ContractUsage:
    """The allowance of this entry for one contract, and its usage.

    :param requests: number of requests that may still be admitted.
    :param tokens: tokens left; negative if responses used more than the
        allowance.
    :param in_flight_limit: allowed number of requests in flight.
    :param expires_at: end of the allowance, by the monotonic clock.
    :param in_use: number of requests in flight.
    :param waiting_requests: requests that wait for their admission.
    :param admitted_since_borrow: requests admitted since the last call to
        the holder.
    :param tokens_since_borrow: tokens generated since that call.
    :param borrowed_at: time of that call, by the monotonic clock.
    :param has_unreported_end: whether a request has ended since that call.
    :param cached_rejection: error for requests until ``rejected_until``.
    """

    contract: Contract
    requests: float = 0.0
    tokens: float = 0.0
    in_flight_limit: int = 0
    expires_at: float = 0.0
    in_use: int = 0
    waiting_requests: int = 0
    admitted_since_borrow: int = 0
    tokens_since_borrow: float = 0.0
    borrowed_at: float = attrs.field(factory=time.monotonic)
    has_unreported_end: bool = False
    cached_rejection: LimitError | None = None
    rejected_until: float = 0.0
    lock: trio.Lock = attrs.field(factory=trio.Lock)

    @property
    def is_idle(self) -> bool:
        """Whether the record can be removed: expired, unused, no debt."""
        is_used = (
            self.in_use or self.waiting_requests or self.has_unreported_end
        )
        has_expired = self.expires_at <= time.monotonic()
        return has_expired and not is_used and self.tokens >= 0

    def discard_expired(self) -> None:
        """Discard an expired allowance; a debt of tokens is kept."""
        if self.expires_at <= time.monotonic():
            self.requests = 0.0
            self.tokens = min(self.tokens, 0.0)

    def can_admit(self) -> bool:
        """Whether the allowance admits one more request."""
        self.discard_expired()
        has_credit = self.requests >= 1 and self.tokens > 0
        return has_credit and self.in_use < self.in_flight_limit

    def expected_demand(self, count: float) -> float:
        """Return the demand expected within ``BORROW_AHEAD_S``.

        :param count: requests or tokens used since the last call to the
            holder.
        """
        elapsed_s = max(time.monotonic() - self.borrowed_at, BORROW_AHEAD_S)
        return count / elapsed_s * BORROW_AHEAD_S


@attrs.define
class AdmittedRequest:
    """A request in flight that counts against its contract's limits."""

    _usage: _ContractUsage

    def charge(self, tokens: float) -> None:
        """Charge generated tokens to the contract's allowance."""
        self._usage.tokens -= tokens
        self._usage.tokens_since_borrow += tokens


@attrs.define
class ContractLimits:
    """Applies the contracts' limits to the requests of this entry.

    :param process: name of this entry.
    :param lender: lends allowances of the contracts.
    """

    process: str
    lender: Lender[Contract]
    _usage_by_contract: dict[str, _ContractUsage] = attrs.field(
        factory=dict, init=False
    )

    async def admit(
        self, name: str, contract: Contract
    ) -> contextlib.AbstractContextManager[AdmittedRequest]:
        """Admit a request of the contract with this name.

        :return: a context manager; the request is counted as in flight
            while it is entered.
        :raises LimitError: a limit of the contract is reached.
        """
        usage = self._usage_by_contract.setdefault(
            name, _ContractUsage(contract)
        )
        usage.contract = contract
        usage.waiting_requests += 1
        try:
            async with usage.lock:
                await self._admit_or_reject(name, usage)
        finally:
            usage.waiting_requests -= 1
        return _count_in_flight(usage)

    async def run(self) -> None:
        """Report request usage to the holders until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.lender.run)
            await self._report_usage()

    async def _report_usage(self) -> None:
        """Report changed usage to the holders at intervals."""
        while True:
            await trio.sleep(USAGE_REPORT_INTERVAL_S)
            self._remove_idle()
            for name, usage in list(self._usage_by_contract.items()):
                if _is_report_due(usage):
                    async with usage.lock:
                        await self._borrow(name, usage)

    def _remove_idle(self) -> None:
        """Remove the usage records of idle contracts."""
        idle = [
            name
            for name, usage in self._usage_by_contract.items()
            if usage.is_idle
        ]
        for name in idle:
            self._usage_by_contract.pop(name)

    async def _admit_or_reject(self, name: str, usage: _ContractUsage) -> None:
        """Consume the allowance for one request; borrow if it is used up.

        :raises LimitError: the allowance is used up and the holder lent too
            little for this request.
        """
        if not usage.can_admit():
            if (
                usage.cached_rejection
                and usage.rejected_until > time.monotonic()
            ):
                raise usage.cached_rejection
            await self._borrow(name, usage)
        if not usage.can_admit():
            raise usage.cached_rejection or _in_flight_error()
        usage.requests -= 1
        usage.admitted_since_borrow += 1

    async def _borrow(self, name: str, usage: _ContractUsage) -> None:
        """Borrow for the waiting requests and the expected demand."""
        usage.discard_expired()
        covered_requests = usage.waiting_requests
        wanted_requests = usage.waiting_requests + int(
            usage.expected_demand(usage.admitted_since_borrow)
        )
        wanted_tokens = max(
            1, usage.expected_demand(usage.tokens_since_borrow)
        )
        borrow = Borrow(
            process=self.process,
            contract=name,
            requests=max(0, math.ceil(wanted_requests - usage.requests)),
            tokens=max(0, wanted_tokens - usage.tokens),
            in_flight=usage.in_use + usage.waiting_requests,
            in_use=usage.in_use,
        )
        usage.has_unreported_end = False
        usage.admitted_since_borrow = 0
        usage.tokens_since_borrow = 0
        usage.borrowed_at = time.monotonic()
        allowance = await self.lender.borrow(borrow, usage.contract)
        usage.discard_expired()
        usage.requests += allowance.requests
        usage.tokens += allowance.tokens
        usage.in_flight_limit = allowance.in_flight
        usage.expires_at = usage.borrowed_at + allowance.duration_s
        # the call did not include requests that arrived during it, so its
        # reply must not reject them
        usage.cached_rejection = (
            _rejection(usage, allowance) if covered_requests else None
        )
        usage.rejected_until = time.monotonic() + REJECTION_CACHE_S


def _rejection(
    usage: _ContractUsage, allowance: Allowance
) -> LimitError | None:
    """Return the error for waiting requests, or ``None`` to admit them."""
    if usage.requests < 1:
        return RequestRateError(
            'requests_per_second of the contract is reached: '
            f'{usage.contract.requests_per_second}',
            retry_after_s=max(0, allowance.retry_after_s),
        )
    if usage.tokens <= 0:
        debt_s = -usage.tokens / usage.contract.tokens_per_second
        return TokenRateError(
            'tokens_per_second of the contract is reached: '
            f'{usage.contract.tokens_per_second}',
            retry_after_s=allowance.token_retry_after_s + debt_s,
        )
    return (
        _in_flight_error() if usage.in_flight_limit <= usage.in_use else None
    )


def _in_flight_error() -> InFlightLimitError:
    return InFlightLimitError(
        'requests_in_flight of the contract is reached',
        retry_after_s=IN_FLIGHT_RETRY_AFTER_S,
    )


def _is_report_due(usage: _ContractUsage) -> bool:
    """Return whether to report ended or long-running requests."""
    age_s = time.monotonic() - usage.borrowed_at
    if usage.has_unreported_end and usage.in_flight_limit > usage.in_use:
        return True
    return usage.in_use > 0 and age_s > IN_USE_RENEWAL_INTERVAL_S


@contextlib.contextmanager
def _count_in_flight(usage: _ContractUsage) -> Iterator[AdmittedRequest]:
    """Count a request as in flight while the context is entered."""
    usage.in_use += 1
    try:
        yield AdmittedRequest(usage)
    finally:
        usage.in_use -= 1
        usage.has_unreported_end = True
