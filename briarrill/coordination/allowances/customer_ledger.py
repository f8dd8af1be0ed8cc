"""briarrill.coordination.allowances.customer_ledger: lend rates of customers.

The holder of a customer keeps one bucket, filled at the customer's rate, and
lends single requests from it. So all processes together admit no more than
the rate and the burst. A process lends only the share of the fleet that it
hears, as the others may have a holder of their own.

Load pattern: a customer sends many times its usual to all entries at once
while its holder is lost, frozen or cut off. For some time two processes may
both lend: the one that others have missed already, and the one that has not
noticed it. A process that has just become the holder, or is asked instead of
it, lends little until that time has passed.
"""

import math

import attrs

from ...protocol.messages import Allowance
from .tenure import Tenure

__all__ = ('ALLOWANCE_S', 'CustomerLedger', 'RateTerms', 'ShareHistory')

#: Time after which the unused part of an allowance expires. What was lent
#: before a window and is used in it comes on top of the rate; a cap allows a
#: tenth more over 5 s, half of which this takes.
ALLOWANCE_S = 0.25

# time until all peers know that this process lends: a heartbeat interval of
# load reports, and the pause after which they are read
SETTLING_S = 0.5

# part of the rate that is lent before that time has passed, and by a process
# that is asked instead of the holder
UNSETTLED_SHARE = 0.25

# requests that a new holder may lend at once: its predecessor may have lent
# all there was, and a cap allows 20 beside the rate, for two changes in 5 s
START_REQUESTS = 10

# the same for all processes together that hear nobody yet, as after a start
MAX_START_REQUESTS = 20

# shortest burst in seconds of the rate, for customers with none: callers'
# requests do not come at even intervals
MIN_BURST_S = 0.2

# longest Retry-After; most callers have given up after that
MAX_RETRY_AFTER_S = 5.0

# time within which several rises of the share are one: peers that are heard
# again send their next reports within a heartbeat interval
RISE_S = 1.0

# time without calls after which what a process that is not the holder lent is
# forgotten
STAND_IN_RETENTION_S = 10.0


@attrs.frozen
class RateTerms:
    """The limit of a customer's requests.

    :param requests_per_second: rate over all processes.
    :param burst: requests beside the rate that may follow each other at once.
    :param version: of the configuration that has the limit.
    """

    requests_per_second: float
    burst: float
    version: int = 0


@attrs.define
class _Account:
    """The bucket of one customer.

    :param level: requests that may be lent now.
    :param rate_per_s: at which it was filled last.
    :param capacity: most that it holds.
    :param filled_at: clock at which ``level`` was right.
    :param held_since: since when this process was the holder, by the last
        call, none if it was not.
    :param called_at: clock at the last call.
    :param promised_at: clock at which the last one refused may return.
    """

    terms: RateTerms
    level: float
    filled_at: float
    held_since: float | None
    rate_per_s: float = 0
    capacity: float = math.inf
    called_at: float = 0
    promised_at: float = 0

    def fill(self, now: float) -> None:
        """Add what the rate brought since the last time."""
        earned = max(0, now - self.filled_at) * self.rate_per_s
        self.level = min(self.capacity, self.level + earned)
        self.filled_at = now

    def retry_after_s(self, refused: int, now: float) -> float:
        """Return when the first of some refused requests finds a place.

        Each has a place of its own in the order of refusals, so that callers
        do not return at the same moment.
        """
        first_at = now + max(0, 1 - self.level) / self.rate_per_s
        place_at = max(first_at, self.promised_at)
        last_at = place_at + refused / self.rate_per_s
        self.promised_at = min(last_at, now + MAX_RETRY_AFTER_S)
        return min(place_at - now, MAX_RETRY_AFTER_S)


@attrs.define
class ShareHistory:
    """The share of the limits that this process lent lately.

    When processes hear each other again, others have lent the rest until now.

    :param share: at the last call.
    :param rose_at: clock at which it last rose.
    :param share_before: lowest one before it rose.
    """

    share: float = 1.0
    rose_at: float = -math.inf
    share_before: float = 1.0

    def record(self, share: float, now: float) -> None:
        """Record the present share."""
        if share > self.share:
            if now - self.rose_at < RISE_S:
                self.share_before = min(self.share_before, self.share)
            else:
                self.share_before = self.share
            self.rose_at = now
        self.share = share

    def saved_up(
        self, terms: RateTerms, held_since: float, now: float
    ) -> float:
        """Return what a customer that rested has saved up at this holder."""
        settled_s = now - held_since - SETTLING_S
        risen_s = now - self.rose_at
        saved = terms.requests_per_second * self.share * settled_s
        if risen_s >= settled_s:
            return saved
        rested = terms.burst * self.share_before
        return min(
            saved, rested + terms.requests_per_second * self.share * risen_s
        )


@attrs.define
class CustomerLedger:
    """Lends requests from the limits of customers.

    :param tenure: tells for which customers this process is the holder.
    """

    tenure: Tenure
    shares: ShareHistory = attrs.field(factory=ShareHistory, init=False)
    _accounts: dict[str, _Account] = attrs.field(factory=dict, init=False)

    def __len__(self) -> int:
        """Return the number of customers with recent calls."""
        return len(self._accounts)

    def lend(
        self,
        name: str,
        terms: RateTerms,
        share: float,
        *,
        wanted: int,
        waiting: int,
    ) -> Allowance:
        """Lend a process requests of a customer.

        :param terms: by the configuration of the process that asks; the
            newer of two versions applies.
        :param share: share of the limit that this process may lend.
        :param wanted: requests that it asks for.
        :param waiting: those of them that have arrived already.
        """
        now = self.tenure.clock()
        account = self._prepare(name, terms, share, now)
        lent = min(wanted, int(account.level))
        account.level -= lent
        retry_after_s = 0.0
        if lent < waiting:
            retry_after_s = account.retry_after_s(waiting - lent, now)
        return Allowance(
            requests=lent,
            tokens=0,
            in_flight=0,
            duration_s=ALLOWANCE_S,
            retry_after_s=retry_after_s,
        )

    def give_back(self, name: str, count: int) -> None:
        """Take back lent requests that were not used."""
        account = self._accounts.get(name)
        if account is not None:
            # a bucket that was removed is full
            account.level = min(account.capacity, account.level + count)

    def remove_idle(self) -> None:
        """Remove the buckets that a new one would equal."""
        now = self.tenure.clock()
        for name, account in list(self._accounts.items()):
            if self._is_idle(name, account, now):
                self._accounts.pop(name)

    def _prepare(
        self, name: str, terms: RateTerms, share: float, now: float
    ) -> _Account:
        """Return the filled bucket of a customer, opened on first use."""
        since = self.tenure.held_since(name)
        is_settled = _is_settled(since, now)
        account = self._accounts.get(name)
        if account is None:
            account = _Account(terms, _start_requests(share), now, since)
            if since is not None and is_settled:
                account.level += self.shares.saved_up(terms, since, now)
            self._accounts[name] = account
        account.fill(now)
        if since is not None and since != account.held_since:
            account.level = min(account.level, _start_requests(share))
        if terms.version >= account.terms.version:
            account.terms = terms
        account.held_since = since
        account.called_at = now
        _set_rate(account, share, is_settled=is_settled)
        account.fill(now)
        return account

    def _is_idle(self, name: str, account: _Account, now: float) -> bool:
        if self.tenure.held_since(name) is None:
            return now - account.called_at > STAND_IN_RETENTION_S
        account.fill(now)
        return account.level >= account.capacity


def _start_requests(share: float) -> float:
    """Return what a new holder lends at once by its share of the limits."""
    return min(START_REQUESTS, MAX_START_REQUESTS * share)


def _is_settled(since: float | None, now: float) -> bool:
    return since is not None and now - since >= SETTLING_S


def _set_rate(account: _Account, share: float, *, is_settled: bool) -> None:
    """Set the rate at which a bucket is filled, and what it holds."""
    rate_per_s = account.terms.requests_per_second * share
    if is_settled:
        account.rate_per_s = rate_per_s
        burst = account.terms.burst * share
        account.capacity = max(1, burst, MIN_BURST_S * rate_per_s)
    else:
        account.rate_per_s = rate_per_s * UNSETTLED_SHARE
        account.capacity = max(1, _start_requests(share))
