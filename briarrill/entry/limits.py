"""briarrill.entry.limits: the limits of contracts at one entry."""

import contextlib
import time
from collections.abc import Callable, Iterator

import attrs

from ..errors import InFlightLimitError, RequestRateError
from ..state.contracts import Contract

__all__ = ('Limits',)

IN_FLIGHT_RETRY_AFTER_S = 1.0


@attrs.define
class _Usage:
    tokens: float
    refilled_at: float
    in_flight: int = 0


@attrs.define
class Limits:
    """Applies this entry's share of each contract's limits.

    :param entries: returns the number of live entries.
    """

    entries: Callable[[], int]
    _usage: dict[str, _Usage] = attrs.field(factory=dict, init=False)

    @contextlib.contextmanager
    def request(self, name: str, contract: Contract) -> Iterator[None]:
        """Count a request while it is in flight.

        :raises LimitError: a limit is reached.
        """
        share = 1 / max(self.entries(), 1)
        usage = self._refilled(name, contract.requests_per_second * share)
        if usage.in_flight >= max(1, contract.requests_in_flight * share):
            raise InFlightLimitError(
                'requests_in_flight of the contract is reached',
                retry_after_s=IN_FLIGHT_RETRY_AFTER_S,
            )
        if usage.tokens < 1:
            rate = contract.requests_per_second * share
            raise RequestRateError(
                'requests_per_second of the contract is reached',
                retry_after_s=(1 - usage.tokens) / rate,
            )
        usage.tokens -= 1
        usage.in_flight += 1
        try:
            yield
        finally:
            usage.in_flight -= 1

    def _refilled(self, name: str, rate: float) -> _Usage:
        """Return the usage with a burst of at most one second's requests."""
        now = time.monotonic()
        burst = max(rate, 1.0)
        usage = self._usage.setdefault(name, _Usage(burst, now))
        earned = (now - usage.refilled_at) * rate
        usage.tokens = min(burst, usage.tokens + earned)
        usage.refilled_at = now
        return usage
