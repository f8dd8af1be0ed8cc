"""briarrill.coordination.retries: retry budgets against retry storms."""

import attrs

__all__ = ('RetryBudgets',)

# average number of retries per request
RETRIES_PER_REQUEST = 0.1

# most retries at once, enough for the in-flight calls of a lost upstream
MAX_RETRY_BURST = 100.0


@attrs.define
class RetryBudgets:
    """One token bucket of retries per contract.

    :param ratio: retries per request, default 0.1.
    :param burst: most retries at once, default 100.
    """

    ratio: float = RETRIES_PER_REQUEST
    burst: float = MAX_RETRY_BURST
    _tokens: dict[str, float] = attrs.field(factory=dict, init=False)

    def record_request(self, contract: str) -> None:
        """Count a first attempt, which adds ``ratio`` to the budget."""
        tokens = self._tokens.get(contract, self.burst)
        self._tokens[contract] = min(self.burst, tokens + self.ratio)

    def try_spend_retry(self, contract: str) -> bool:
        """Spend one retry; return false if the budget is used up."""
        tokens = self._tokens.get(contract, self.burst)
        if tokens < 1:
            return False
        self._tokens[contract] = tokens - 1
        return True
