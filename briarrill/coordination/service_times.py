"""briarrill.coordination.service_times: how long recent requests ran."""

import collections

__all__ = ('ServiceTimes',)

# requests that the estimate is made from
SAMPLES = 64


class ServiceTimes:
    """Seconds that recent requests held their slots.

    Without samples all estimates are 0, so nothing is refused on them.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: collections.deque[float] = collections.deque(
            maxlen=SAMPLES
        )

    @property
    def mean_s(self) -> float:
        """Return the mean."""
        if not self._samples:
            return 0
        return sum(self._samples) / len(self._samples)

    @property
    def shortest_s(self) -> float:
        """Return the shortest of the recent times."""
        return min(self._samples, default=0)

    def add(self, seconds: float) -> None:
        """Take the time of a request that finished well."""
        self._samples.append(seconds)
