"""briarrill.coordination.allowances.contract_ledger: share contract limits.

One process, the holder, keeps a token bucket of requests and one of tokens
for a contract and lends allowances from them to the others, so all together
admit no more than one bucket allows. A new holder starts with empty buckets
since the previous one may have lent all that was available.
"""

import time
from collections.abc import Callable

import attrs

from ...protocol.messages import Allowance, Borrow
from ...state.contracts import Contract
from ...state.rendezvous import rank_nodes

__all__ = ('AllowanceLedger', 'Bucket', 'HolderOrder')

# time after which the unused part of an allowance expires
ALLOWANCE_DURATION_S = 2.0

# time for which in-flight requests of a borrower count after its last call
IN_FLIGHT_DURATION_S = 20.0

# capacity of a bucket, as the time in which it fills
BUCKET_CAPACITY_S = 1.0

Clock = Callable[[], float]


@attrs.define
class Bucket:
    """A token bucket.

    :param available: permits that may be taken now; requests or tokens.
    :param filled_at: clock at the last refill.
    """

    available: float
    filled_at: float

    def fill(self, rate: float, now: float) -> None:
        """Refill for the time since the last refill, up to the capacity.

        :param rate: permits per second.
        """
        refill = max(0, now - self.filled_at) * rate
        self.available = min(
            max(rate * BUCKET_CAPACITY_S, 1), self.available + refill
        )
        self.filled_at = now

    def acquire(self, wanted: float) -> float:
        """Acquire permits, at most those available; return how many."""
        acquired = min(wanted, max(self.available, 0))
        self.available -= acquired
        return acquired


@attrs.define
class _BorrowerInFlight:
    """Requests in flight lent to a borrower, until they expire."""

    count: int
    expires_at: float


@attrs.define
class _Account:
    """Buckets of one contract and its in-flight requests by borrower.

    :param last_call_at: clock at the last call of a borrower.
    """

    requests: Bucket
    tokens: Bucket
    in_flight: dict[str, _BorrowerInFlight] = attrs.field(factory=dict)
    last_call_at: float = 0


@attrs.define
class AllowanceLedger:
    """Lends allowances from the limits of contracts.

    :param clock: monotonic clock.
    """

    clock: Clock = time.monotonic
    _accounts: dict[str, _Account] = attrs.field(factory=dict, init=False)

    def __len__(self) -> int:
        """Return the number of contracts with recent calls."""
        return len(self._accounts)

    def lend(
        self,
        borrow: Borrow,
        contract: Contract,
        holder_since: float,
        share: float = 1.0,
    ) -> Allowance:
        """Lend a borrower requests, tokens and requests in flight.

        :param holder_since: clock at which this process became the holder.
        :param share: share of the contract's limits that is lent here.
        """
        now = self.clock()
        request_rate = contract.requests_per_second * share
        token_rate = contract.tokens_per_second * share
        account = self._account(borrow.contract, holder_since)
        account.last_call_at = now
        account.requests.fill(request_rate, now)
        account.tokens.fill(token_rate, now)
        wanted_requests = min(
            borrow.requests, int(max(account.requests.available, 0))
        )
        return Allowance(
            requests=account.requests.acquire(wanted_requests),
            tokens=account.tokens.acquire(borrow.tokens),
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

    def remove_idle(self) -> None:
        """Remove contracts without recent calls; their buckets are full."""
        now = self.clock()
        idle = [
            name
            for name, account in self._accounts.items()
            if now - account.last_call_at > IN_FLIGHT_DURATION_S
        ]
        for name in idle:
            self._accounts.pop(name)

    def _account(self, name: str, holder_since: float) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            # one permit each, so that the first request is not rejected
            account = _Account(
                Bucket(1, holder_since), Bucket(1, holder_since)
            )
            self._accounts[name] = account
        return account


def _lend_in_flight(
    by_borrower: dict[str, _BorrowerInFlight],
    borrow: Borrow,
    limit: int,
    now: float,
) -> int:
    """Lend in-flight requests to a borrower; return how many.

    The requests that it already has in flight are always lent.

    :param limit: most in-flight requests of all borrowers.
    """
    expired = [
        name
        for name, borrower in by_borrower.items()
        if borrower.expires_at <= now
    ]
    for name in expired:
        by_borrower.pop(name)
    by_borrower.pop(borrow.process, None)
    free = limit - sum(borrower.count for borrower in by_borrower.values())
    lent = max(borrow.in_use, min(borrow.in_flight, free))
    if lent > 0:
        by_borrower[borrow.process] = _BorrowerInFlight(
            lent, now + IN_FLIGHT_DURATION_S
        )
    return lent


@attrs.define
class HolderOrder:
    """Ranks the live entries by contract; the first one is the holder.

    :param own_name: name of this entry process.
    :param clock: monotonic clock.
    """

    own_name: str
    clock: Clock = time.monotonic
    _entries: tuple[str, ...] = attrs.field(default=(), init=False)
    _previous_entries: tuple[str, ...] = attrs.field(default=(), init=False)
    _changed_at: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start without other entries."""
        self._changed_at = self.clock()

    @property
    def entries(self) -> tuple[str, ...]:
        """Return the names of the live entries."""
        return self._entries

    def update(self, entries: tuple[str, ...]) -> None:
        """Replace the live entries after a change of the instance list."""
        if set(entries) == set(self._entries):
            return
        self._previous_entries, self._entries = self._entries, entries
        self._changed_at = self.clock()

    def holders(self, contract: str, count: int) -> list[str]:
        """Return the holder and its successors, at most ``count`` names."""
        return rank_nodes(contract, self._entries or (self.own_name,))[:count]

    def holder_since(self, contract: str) -> float:
        """Return the earliest clock at which this entry may be the holder.

        It is the current time if this entry's list has another holder.
        """
        if self.holders(contract, 1) != [self.own_name]:
            return self.clock()
        was_first = rank_nodes(contract, self._previous_entries)[:1] == [
            self.own_name
        ]
        return (
            self._changed_at - BUCKET_CAPACITY_S
            if was_first
            else self._changed_at
        )
