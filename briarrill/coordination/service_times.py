"""briarrill.coordination.service_times: run times of recent requests."""

import collections

__all__ = ('ServiceTimeTable', 'ServiceTimes')

# number of recent requests that are averaged
MAX_SAMPLES = 64


class ServiceTimes:
    """Seconds for which recent requests held their slots.

    Without samples all estimates are 0, so no request is rejected.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )

    @property
    def mean_s(self) -> float:
        """Return the mean of the recent times."""
        if not self._samples:
            return 0
        return sum(self._samples) / len(self._samples)

    @property
    def shortest_s(self) -> float:
        """Return the shortest of the recent times."""
        return min(self._samples, default=0)

    def add(self, seconds: float) -> None:
        """Add the time of a successful request."""
        self._samples.append(seconds)


class ServiceTimeTable:
    """Service times by service."""

    def __init__(self) -> None:
        """Start without services."""
        self._by_service: dict[str, ServiceTimes] = {}

    def of(self, service: str) -> ServiceTimes:
        """Return the times of a service, created on first use."""
        return self._by_service.setdefault(service, ServiceTimes())
