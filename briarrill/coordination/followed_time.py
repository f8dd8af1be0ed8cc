"""briarrill.coordination.followed_time: how long a service was followed."""

import time

import attrs

__all__ = ('FollowedTime',)


@attrs.define
class FollowedTime:
    """Sums the times during which a service is followed."""

    _before_s: float = 0
    _since: float | None = None

    @property
    def total_s(self) -> float:
        """Return the sum, with the time that goes on."""
        if self._since is None:
            return self._before_s
        return self._before_s + time.monotonic() - self._since

    def start(self) -> None:
        """Begin to count, unless it has begun."""
        if self._since is None:
            self._since = time.monotonic()

    def stop(self) -> None:
        """Count no further time until the next start."""
        self._before_s = self.total_s
        self._since = None
