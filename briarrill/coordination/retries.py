"""briarrill.coordination.retries: bounds retries against storms."""

import attrs

__all__ = ('RetryBudgets',)

# retries allowed for each request, on average
RETRY_RATIO = 0.1

# retries that may come at once: the calls that a lost upstream held
MAX_BURST = 100.0


@attrs.define
class RetryBudgets:
    """One budget of retries for each contract.

    :param ratio: retries for each request, default 0.1.
    :param burst: retries that may come at once, default 100.
    """

    ratio: float = RETRY_RATIO
    burst: float = MAX_BURST
    _tokens: dict[str, float] = attrs.field(factory=dict, init=False)

    def record_request(self, contract: str) -> None:
        """Count a first attempt, which earns a part of a retry."""
        tokens = self._tokens.get(contract, self.burst)
        self._tokens[contract] = min(self.burst, tokens + self.ratio)

    def take_retry(self, contract: str) -> bool:
        """Take one retry; return whether there was one."""
        tokens = self._tokens.get(contract, self.burst)
        if tokens < 1:
            return False
        self._tokens[contract] = tokens - 1
        return True
