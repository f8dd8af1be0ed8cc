"""briarrill.coordination.allowances.borrowed: requests lent to a process.

Load pattern: customers send to many entries, most of them a request in some
seconds, some of them hundreds a second to a single entry. A rare request is
borrowed when it arrives. A frequent one is borrowed ahead by the demand of the
last moments, and a customer over its limit asks again only at intervals.
"""

import attrs

from ...protocol.messages import Allowance
from .customer_ledger import ALLOWANCE_S, MAX_RETRY_AFTER_S, RateTerms

__all__ = ('BorrowedRequests',)

# the demand expected within this time is borrowed ahead; most of it is used
# before it expires
BORROW_AHEAD_S = 0.2

# time for which a refusal is repeated without a question to the holder
REFUSAL_S = 0.1

# time after the last question for which the demand is remembered
RETENTION_S = 1.0


@attrs.define
class BorrowedRequests:
    """What one process has borrowed for one customer.

    :param terms: of the customer when it was borrowed.
    :param available: requests that may be admitted.
    :param expires_at: clock at which they expire.
    :param waiting: requests that wait for their admission.
    :param covered: those of them that the last question to the holder counted.
    :param asked_at: clock at the last question to the holder.
    :param admitted: requests admitted since then.
    :param refused_until: until when requests are refused without a question.
    :param retry_at: clock at which the next refused request may return.
    """

    terms: RateTerms
    available: int = 0
    expires_at: float = 0
    waiting: int = 0
    covered: int = 0
    asked_at: float = 0
    admitted: int = 0
    refused_until: float = 0
    retry_at: float = 0

    def update_terms(self, terms: RateTerms) -> None:
        """Apply newer terms; what was borrowed under others is dropped."""
        if terms.version < self.terms.version or terms == self.terms:
            return
        is_changed = attrs.evolve(terms, version=0) != attrs.evolve(
            self.terms, version=0
        )
        self.terms = terms
        if is_changed:
            self.available = 0
            self.refused_until = 0

    def try_admit(self, now: float) -> bool:
        """Use up one borrowed request, if there is one."""
        if now >= self.expires_at:
            self.available = 0
        if not self.available:
            return False
        self.available -= 1
        self.admitted += 1
        return True

    def refusal_s(self, now: float) -> float | None:
        """Return the Retry-After of a refusal without a question, if any."""
        if now >= self.refused_until:
            return None
        return self.next_retry_s(now)

    def next_retry_s(self, now: float) -> float:
        """Return when the next refused request finds a place.

        Those refused before it return first.
        """
        retry_s = max(0, self.retry_at - now)
        spacing_s = 1 / self.terms.requests_per_second
        self.retry_at = now + min(retry_s + spacing_s, MAX_RETRY_AFTER_S)
        return min(retry_s, MAX_RETRY_AFTER_S)

    def wanted(self, now: float) -> int:
        """Return how many requests to borrow, and begin to count anew."""
        elapsed_s = max(now - self.asked_at, BORROW_AHEAD_S)
        ahead = int(self.admitted / elapsed_s * BORROW_AHEAD_S)
        self.asked_at = now
        self.admitted = 0
        self.covered = self.waiting
        return self.covered + ahead

    def receive(self, allowance: Allowance, now: float) -> None:
        """Add what the holder lent in reply to the last question."""
        lent = int(allowance.requests)
        self.available += lent
        if lent:
            self.expires_at = self.asked_at + ALLOWANCE_S
        if lent < self.covered:
            self.refused_until = now + REFUSAL_S
            self.retry_at = now + allowance.retry_after_s

    def take_back(self, now: float) -> None:
        """Add a request that was admitted and has not run."""
        self.available += 1
        self.expires_at = max(self.expires_at, now + ALLOWANCE_S)

    def take_unused(self, now: float, interval_s: float) -> int:
        """Remove and return what would expire before the next call.

        What has expired is not returned, since it may not be lent again.

        :param interval_s: time until the next call.
        """
        if now >= self.expires_at:
            self.available = 0
        if now + interval_s < self.expires_at:
            return 0
        unused, self.available = self.available, 0
        return unused

    def is_idle(self, now: float) -> bool:
        """Whether nothing would be lost with this record."""
        is_used = self.waiting or self.available
        return not is_used and now - self.asked_at > RETENTION_S
