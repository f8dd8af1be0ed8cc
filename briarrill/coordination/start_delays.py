"""briarrill.coordination.start_delays: how long upstreams take to begin.

Answers upstreams that are slow though their slots look free: slow machines,
and those that still work for callers that lost power. What one process has
waited for lately, or waits for now, is told to all.

Most delays are backlogs, which drain as time passes. An upstream at which
nothing began sooner for some seconds is slow itself and stays known as that.
"""

import collections
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

# time for which samples are kept; without new ones a slow upstream is tried
# again after it
MEMORY_S = 5.0

# least time that the samples of a slow upstream cover; longer than the
# backlog of full slots
SLOW_SPAN_S = 2.0

# samples of one upstream that are kept at most
MAX_SAMPLES = 64


@attrs.define
class _Upstream:
    """What is known of one upstream.

    :param backlog_s: the moving average when the last sample came.
    :param samples: time and delay of the recent ones, the oldest first.
    :param waiting_since: begin of each wait that goes on, the oldest first.
    """

    backlog_s: float = 0.0
    samples: collections.deque[tuple[float, float]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    waiting_since: dict[int, float] = attrs.field(factory=dict)

    def delay_at(self, now: float) -> float:
        """Return the delay that the next request would meet."""
        oldest = next(iter(self.waiting_since.values()), now)
        return max(self._backlog_at(now), self._floor_at(now), now - oldest)

    def add(self, delay_s: float, now: float) -> None:
        """Take a delay into the moving average."""
        known_s = self._backlog_at(now) if self.samples else delay_s
        self.backlog_s = known_s + SAMPLE_WEIGHT * (delay_s - known_s)
        self.samples.append((now, delay_s))

    def _backlog_at(self, now: float) -> float:
        """Return what is left of the backlog that was met last."""
        if not self.samples:
            return 0.0
        return max(0.0, self.backlog_s - (now - self.samples[-1][0]))

    def _floor_at(self, now: float) -> float:
        """Return the least delay of an upstream that is slow itself."""
        if self.samples and now - self.samples[-1][0] > MEMORY_S:
            self.samples.clear()
        if not self.samples:
            return 0.0
        newest_at = self.samples[-1][0]
        while newest_at - self.samples[0][0] > MEMORY_S:
            self.samples.popleft()
        if newest_at - self.samples[0][0] < SLOW_SPAN_S:
            return 0.0
        return min(delay_s for _, delay_s in self.samples)


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
            elif not upstream.waiting_since and not upstream.samples:
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
