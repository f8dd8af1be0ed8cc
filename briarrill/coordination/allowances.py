"""briarrill.coordination.allowances: one holder lends a contract's limits.

The holder keeps one bucket of requests and one of tokens for a contract and
lends from them, so what all borrowers admit stays within what one bucket
gives.  A successor starts with empty buckets, since its predecessor may have
lent all that had gathered.
"""

import time
from collections.abc import Callable

import attrs

from ..protocol.messages import Allowance, Borrow
from ..state.contracts import Contract
from ..state.rendezvous import rank

__all__ = ('AllowanceLedger', 'Bucket', 'HolderOrder')

# what a borrower does not use lapses after this time
ALLOWANCE_DURATION_S = 2.0

# requests in flight of a borrower that fell silent count for this time
IN_FLIGHT_DURATION_S = 20.0

# a full bucket holds what comes in this time
BURST_S = 1.0

Clock = Callable[[], float]


@attrs.define
class Bucket:
    """A token bucket.

    :param available: what may be taken now.
    :param filled_at: clock of the last fill.
    """

    available: float
    filled_at: float

    def fill(self, rate: float, now: float) -> None:
        """Add what has come since the last fill, up to a full bucket."""
        earned = max(0, now - self.filled_at) * rate
        self.available = min(max(rate * BURST_S, 1), self.available + earned)
        self.filled_at = now

    def take(self, wanted: float) -> float:
        """Take at most what is available; return what was taken."""
        taken = min(wanted, max(self.available, 0))
        self.available -= taken
        return taken


@attrs.define
class _InFlight:
    count: int
    expires_at: float


@attrs.define
class _Account:
    """What the holder knows of one contract."""

    requests: Bucket
    tokens: Bucket
    in_flight: dict[str, _InFlight] = attrs.field(factory=dict)
    asked_at: float = 0


@attrs.define
class AllowanceLedger:
    """Lends from the limits of contracts.

    :param clock: monotonic clock.
    """

    clock: Clock = time.monotonic
    _accounts: dict[str, _Account] = attrs.field(factory=dict, init=False)

    def __len__(self) -> int:
        """Return the number of contracts with traffic."""
        return len(self._accounts)

    def lend(
        self,
        borrow: Borrow,
        contract: Contract,
        held_since: float,
        share: float = 1.0,
    ) -> Allowance:
        """Return what the sender may use.

        :param held_since: clock when this process became the holder.
        :param share: part of the limits that may be lent here.
        """
        now = self.clock()
        request_rate = contract.requests_per_second * share
        token_rate = contract.tokens_per_second * share
        account = self._account(borrow.contract, held_since)
        account.asked_at = now
        account.requests.fill(request_rate, now)
        account.tokens.fill(token_rate, now)
        whole_requests = min(
            borrow.requests, int(max(account.requests.available, 0))
        )
        return Allowance(
            requests=account.requests.take(whole_requests),
            tokens=account.tokens.take(borrow.tokens),
            in_flight=_lend_in_flight(
                account.in_flight,
                borrow,
                max(1, int(contract.requests_in_flight * share)),
                now,
            ),
            duration_s=ALLOWANCE_DURATION_S,
            retry_after_s=(1 - account.requests.available) / request_rate,
            token_retry_after_s=max(0, 1 - account.tokens.available)
            / token_rate,
        )

    def forget_idle(self) -> None:
        """Drop contracts without traffic, whose buckets are full again."""
        now = self.clock()
        idle = [
            name
            for name, account in self._accounts.items()
            if now - account.asked_at > IN_FLIGHT_DURATION_S
        ]
        for name in idle:
            self._accounts.pop(name)

    def _account(self, name: str, held_since: float) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            # one request and one token, so that the first is not refused
            account = _Account(Bucket(1, held_since), Bucket(1, held_since))
            self._accounts[name] = account
        return account


def _lend_in_flight(
    lent: dict[str, _InFlight], borrow: Borrow, limit: int, now: float
) -> int:
    """Return how many requests the sender may have in flight."""
    lapsed = [name for name, row in lent.items() if row.expires_at <= now]
    for name in lapsed:
        lent.pop(name)
    lent.pop(borrow.process, None)
    free = limit - sum(row.count for row in lent.values())
    granted = max(borrow.in_use, min(borrow.in_flight, free))
    if granted > 0:
        lent[borrow.process] = _InFlight(granted, now + IN_FLIGHT_DURATION_S)
    return granted


@attrs.define
class HolderOrder:
    """The order of the entries that may hold a contract.

    :param own_name: name of this entry.
    :param clock: monotonic clock.
    """

    own_name: str
    clock: Clock = time.monotonic
    _entries: tuple[str, ...] = attrs.field(default=(), init=False)
    _former: tuple[str, ...] = attrs.field(default=(), init=False)
    _changed_at: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start as the only entry."""
        self._changed_at = self.clock()

    @property
    def entries(self) -> tuple[str, ...]:
        """Return the live entries."""
        return self._entries

    def update(self, entries: tuple[str, ...]) -> None:
        """Take the live entries of a new instance list."""
        if set(entries) == set(self._entries):
            return
        self._former, self._entries = self._entries, entries
        self._changed_at = self.clock()

    def holders(self, contract: str, count: int) -> list[str]:
        """Return the holder and its next in order."""
        return rank(contract, self._entries or (self.own_name,))[:count]

    def held_since(self, contract: str) -> float:
        """Return when this entry may have become the holder.

        It is now when another entry comes first in the list as seen here.
        """
        if self.holders(contract, 1) != [self.own_name]:
            return self.clock()
        was_first = rank(contract, self._former)[:1] == [self.own_name]
        return self._changed_at - BURST_S if was_first else self._changed_at
