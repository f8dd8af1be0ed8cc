"""briarrill.coordination.start_delays: how long upstreams take to begin.

Answers upstreams that are slow though their slots look free: slow machines,
and those that still work for callers that lost power. What one process has
waited for lately, or waits for now, is told to all.
"""

import contextlib
import time
from collections.abc import Callable, Iterator

import attrs

__all__ = ('StartDelays',)

# delays below this belong to normal service and are not told; twice the
# usual time to a first event
MIN_DELAY_S = 0.1

# weight of the newest delay in the moving average: two or three tell
SAMPLE_WEIGHT = 0.5

# time after which a delay is forgotten, so that a request tries again
FRESH_S = 1.0


@attrs.define
class _Upstream:
    """What is known of one upstream.

    :param waiting_since: begin of each wait that goes on, the oldest first.
    """

    delay_s: float = 0.0
    seen_at: float = 0.0
    waiting_since: dict[int, float] = attrs.field(factory=dict)

    def delay_at(self, now: float) -> float:
        """Return the recent delay, or the longest wait that goes on."""
        is_fresh = now - self.seen_at < FRESH_S
        recent_s = self.delay_s if is_fresh else 0.0
        oldest = next(iter(self.waiting_since.values()), now)
        return max(recent_s, now - oldest)

    def add(self, delay_s: float, now: float) -> None:
        """Take a delay into the moving average."""
        known_s = self.delay_s if now - self.seen_at < FRESH_S else delay_s
        self.delay_s = known_s + SAMPLE_WEIGHT * (delay_s - known_s)
        self.seen_at = now


class StartDelays:
    """Times from a request to its first bytes, by upstream.

    :param clock: monotonic clock.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start with nothing known."""
        self._clock = clock
        self._upstreams: dict[str, _Upstream] = {}
        self._number = 0

    @property
    def known(self) -> dict[str, float]:
        """Return the delays that are worth telling, in seconds."""
        now = self._clock()
        found: dict[str, float] = {}
        for name, upstream in list(self._upstreams.items()):
            delay_s = upstream.delay_at(now)
            if delay_s >= MIN_DELAY_S:
                found[name] = round(delay_s, 3)
            elif not upstream.waiting_since and not upstream.delay_at(now):
                self._upstreams.pop(name)
        return found

    def of(self, upstream_id: str) -> float:
        """Return the delay of an upstream in seconds, 0 if it is not told."""
        upstream = self._upstreams.get(upstream_id)
        delay_s = 0.0 if upstream is None else upstream.delay_at(self._clock())
        return delay_s if delay_s >= MIN_DELAY_S else 0.0

    @contextlib.contextmanager
    def waiting(self, upstream_id: str) -> Iterator[Callable[[], None]]:
        """Measure a wait; yields what to call at the first bytes.

        A wait that ends without them counts if it was longer than what is
        known.
        """
        began_at = self._clock()
        self._number += 1
        number = self._number
        upstream = self._upstreams.setdefault(upstream_id, _Upstream())
        upstream.waiting_since[number] = began_at

        def heard() -> None:
            if upstream.waiting_since.pop(number, None) is not None:
                now = self._clock()
                upstream.add(now - began_at, now)

        try:
            yield heard
        finally:
            now = self._clock()
            if upstream.waiting_since.pop(number, None) is not None:
                waited_s = now - began_at
                if waited_s > max(upstream.delay_at(now), MIN_DELAY_S):
                    upstream.add(waited_s, now)
