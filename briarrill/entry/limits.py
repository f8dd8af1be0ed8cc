"""briarrill.entry.limits: the limits of contracts at one entry.

Requests and tokens are admitted from what the contract's holder has lent;
the entry asks for more only when it has a request that needs it.
"""

import contextlib
import math
import time
from collections.abc import Iterator

import attrs
import trio

from ..errors import (
    InFlightLimitError,
    LimitError,
    RequestRateError,
    TokenRateError,
)
from ..protocol.messages import Allowance, Borrow
from ..state.contracts import Contract
from .lender import Lender

__all__ = ('HeldRequest', 'Limits')

IN_FLIGHT_RETRY_AFTER_S = 1.0

# demand is borrowed this long ahead
AHEAD_S = 0.5

# time for which a refusal is repeated without asking the holder
REFUSAL_S = 0.1

# time between reports of requests in flight that have ended
REPORT_INTERVAL_S = 0.5

# time between reports of requests that stay in flight
RENEW_INTERVAL_S = 8.0


@attrs.define
class _Usage:
    """What is lent to this entry for one contract, and its use.

    :param tokens: tokens left, below zero after a long answer.
    :param admitted: requests admitted since the last call to the holder.
    :param generated: tokens generated since then.
    """

    contract: Contract
    requests: float = 0.0
    tokens: float = 0.0
    in_flight: int = 0
    lapses_at: float = 0.0
    in_use: int = 0
    waiting: int = 0
    admitted: int = 0
    generated: float = 0.0
    asked_at: float = attrs.field(factory=time.monotonic)
    has_ended: bool = False
    refusal: LimitError | None = None
    refused_until: float = 0.0
    lock: trio.Lock = attrs.field(factory=trio.Lock)

    @property
    def is_idle(self) -> bool:
        """Whether nothing of it needs to be kept."""
        is_used = self.in_use or self.waiting or self.has_ended
        has_lapsed = self.lapses_at <= time.monotonic()
        return has_lapsed and not is_used and self.tokens >= 0

    def drop_lapsed(self) -> None:
        """Forget what has lapsed; overdrawn tokens stay."""
        if self.lapses_at <= time.monotonic():
            self.requests = 0.0
            self.tokens = min(self.tokens, 0.0)

    def can_admit(self) -> bool:
        """Whether one more request is within what is lent."""
        self.drop_lapsed()
        has_credit = self.requests >= 1 and self.tokens > 0
        return has_credit and self.in_use < self.in_flight

    def ahead(self, count: float) -> float:
        """Return the demand of the near future.

        :param count: use since the last call to the holder.
        """
        elapsed = max(time.monotonic() - self.asked_at, AHEAD_S)
        return count / elapsed * AHEAD_S


@attrs.define
class HeldRequest:
    """A request that counts against its contract until it has ended."""

    _usage: _Usage

    def charge(self, tokens: float) -> None:
        """Count generated tokens."""
        self._usage.tokens -= tokens
        self._usage.generated += tokens


@attrs.define
class Limits:
    """Applies the contracts' limits to this entry's requests.

    :param process: name of this entry.
    :param lender: lends parts of the limits.
    """

    process: str
    lender: Lender
    _usage: dict[str, _Usage] = attrs.field(factory=dict, init=False)

    async def request(
        self, name: str, contract: Contract
    ) -> contextlib.AbstractContextManager[HeldRequest]:
        """Admit a request; enter what is returned while it is in flight.

        :raises LimitError: a limit is reached.
        """
        usage = self._usage.setdefault(name, _Usage(contract))
        usage.contract = contract
        usage.waiting += 1
        try:
            async with usage.lock:
                await self._admit(name, usage)
        finally:
            usage.waiting -= 1
        return _held(usage)

    async def run(self) -> None:
        """Report ended and long requests to the holders until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.lender.run)
            await self._report_use()

    async def _report_use(self) -> None:
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            self._forget_idle()
            for name, usage in list(self._usage.items()):
                if _is_report_due(usage):
                    async with usage.lock:
                        await self._borrow(name, usage)

    def _forget_idle(self) -> None:
        idle = [name for name, usage in self._usage.items() if usage.is_idle]
        for name in idle:
            self._usage.pop(name)

    async def _admit(self, name: str, usage: _Usage) -> None:
        if not usage.can_admit():
            if usage.refusal and usage.refused_until > time.monotonic():
                raise usage.refusal
            await self._borrow(name, usage)
        if not usage.can_admit():
            raise usage.refusal or _in_flight_error()
        usage.requests -= 1
        usage.admitted += 1

    async def _borrow(self, name: str, usage: _Usage) -> None:
        """Ask for what waits and what is to be expected."""
        usage.drop_lapsed()
        asked_for = usage.waiting
        wanted_requests = usage.waiting + int(usage.ahead(usage.admitted))
        wanted_tokens = max(1, usage.ahead(usage.generated))
        borrow = Borrow(
            process=self.process,
            contract=name,
            requests=max(0, math.ceil(wanted_requests - usage.requests)),
            tokens=max(0, wanted_tokens - usage.tokens),
            in_flight=usage.in_use + usage.waiting,
            in_use=usage.in_use,
        )
        usage.has_ended = False
        usage.admitted = 0
        usage.generated = 0
        usage.asked_at = time.monotonic()
        allowance = await self.lender.borrow(borrow, usage.contract)
        usage.drop_lapsed()
        usage.requests += allowance.requests
        usage.tokens += allowance.tokens
        usage.in_flight = allowance.in_flight
        usage.lapses_at = usage.asked_at + allowance.duration_s
        # a request that came since then was not asked for
        usage.refusal = _refusal(usage, allowance) if asked_for else None
        usage.refused_until = time.monotonic() + REFUSAL_S


def _refusal(usage: _Usage, allowance: Allowance) -> LimitError | None:
    """Return why requests that wait are refused."""
    if usage.requests < 1:
        return RequestRateError(
            'requests_per_second of the contract is reached',
            retry_after_s=max(0, allowance.retry_after_s),
        )
    if usage.tokens <= 0:
        debt_s = -usage.tokens / usage.contract.tokens_per_second
        return TokenRateError(
            'tokens_per_second of the contract is reached',
            retry_after_s=allowance.token_retry_after_s + debt_s,
        )
    return _in_flight_error() if usage.in_flight <= usage.in_use else None


def _in_flight_error() -> InFlightLimitError:
    return InFlightLimitError(
        'requests_in_flight of the contract is reached',
        retry_after_s=IN_FLIGHT_RETRY_AFTER_S,
    )


def _is_report_due(usage: _Usage) -> bool:
    age_s = time.monotonic() - usage.asked_at
    if usage.has_ended and usage.in_flight > usage.in_use:
        return True
    return usage.in_use > 0 and age_s > RENEW_INTERVAL_S


@contextlib.contextmanager
def _held(usage: _Usage) -> Iterator[HeldRequest]:
    usage.in_use += 1
    try:
        yield HeldRequest(usage)
    finally:
        usage.in_use -= 1
        usage.has_ended = True
