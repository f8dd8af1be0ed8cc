"""briarrill.coordination.competition.weights: shares by contract.

Load pattern: contracts that differ by a factor of a hundred in size. A
customer's share grows with the rate that its contract allows; one without a
limit counts as the mean of the others.
"""

from ..customers.customer import CustomerDirectory

__all__ = ('ShareWeights',)


class ShareWeights:
    """Weights of the customers of one version of the configuration."""

    def __init__(self, customers: CustomerDirectory) -> None:
        """Compute the weights."""
        self.customers = customers
        self._rates = {
            one.name: one.requests_per_second
            for one in customers.by_name.values()
            if one.is_limited
        }
        self._mean = sum(self._rates.values()) / max(1, len(self._rates))

    def of(self, name: str) -> float:
        """Return the weight of a customer."""
        return self._rates.get(name, self._mean or 1)
