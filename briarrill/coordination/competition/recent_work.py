"""briarrill.coordination.competition.recent_work: work sent of late.

Load pattern: customers whose requests differ by a factor of 20 in length. A
request counts by the tokens that it has an upstream read and write, and
counts less the longer ago it was sent.
"""

import heapq
import math
from collections.abc import Mapping

import attrs

from ..capacity.work import Work

__all__ = ('Claimant', 'RecentWork', 'request_cost')

#: Rank of requests and name of their customer.
Claimant = tuple[int, str]

# time in which sent work fades to a third; a customer is judged by the present
# peak of its load, and peaks last for some seconds
DECAY_S = 2.0

# work of a written token in tokens read: an upstream reads a prompt at once,
# but writes one token after the other
WRITE_COST = 10.0

# cost of a request of unknown work; about a short question with its answer
DEFAULT_COST = 500.0

# what is left of some tokens after this is nothing
MIN_TOKENS = 1.0

# longest time between two decays of all amounts
MAX_DECAY_PAUSE_S = 2.0


def request_cost(work: Work) -> float:
    """Return the weighted tokens that a request has an upstream handle."""
    cost = work.tokens_to_read + WRITE_COST * work.tokens_to_write
    return cost or DEFAULT_COST


@attrs.define
class RecentWork:
    """Decayed sums of the work that was sent, by customer.

    Customers without recent requests are not stored.
    """

    _tokens: dict[Claimant, float] = attrs.field(factory=dict, init=False)
    _decayed_at: float = attrs.field(default=-math.inf, init=False)

    def add(self, claimant: Claimant, cost: float, now: float) -> None:
        """Add a request that is sent."""
        if now > self._decayed_at + MAX_DECAY_PAUSE_S:
            self.decay(now)
        grown = cost * math.exp((now - self._decayed_at) / DECAY_S)
        self._tokens[claimant] = self._tokens.get(claimant, 0) + grown

    def decay(self, now: float) -> Mapping[Claimant, float]:
        """Return the amounts as of now."""
        factor = math.exp(min(0, self._decayed_at - now) / DECAY_S)
        self._decayed_at = now
        self._tokens = {
            claimant: tokens * factor
            for claimant, tokens in self._tokens.items()
            if tokens * factor > MIN_TOKENS
        }
        return self._tokens

    def amount(self, claimant: Claimant, now: float) -> float:
        """Return the recent work of a customer."""
        tokens = self._tokens.get(claimant, 0)
        return tokens * math.exp((self._decayed_at - now) / DECAY_S)

    def busiest(self, count: int, now: float) -> dict[Claimant, float]:
        """Return the customers with the most recent work."""
        amounts = self.decay(now)
        return dict(
            heapq.nlargest(count, amounts.items(), key=lambda pair: pair[1])
        )
