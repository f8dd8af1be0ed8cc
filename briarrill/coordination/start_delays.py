"""briarrill.coordination.start_delays: time to first bytes of upstreams.

Finds upstreams that are slow although their slots look free: slow instances,
and those that still run requests of callers that lost power. Each process
reports the delays that it measured recently, or measures now, to all others.

Most delays come from a backlog, which drains as time passes. An upstream at
which every recent request started late is slow itself; its delay does not
drain.
"""

import collections
import contextlib
import time
from collections.abc import Callable, Iterator

import attrs

__all__ = ('StartDelays',)

# shorter delays are normal and are not reported; twice the usual time to a
# first event
MIN_DELAY_S = 0.1

# weight of the newest delay in the moving average; two or three samples
# suffice to follow a change
SAMPLE_WEIGHT = 0.5

# time for which samples are kept; without new ones a slow upstream then
# counts as normal and gets requests again
SAMPLE_EXPIRY_S = 5.0

# time that the samples of an upstream must cover before it counts as slow;
# longer than the backlog of full slots takes to drain
MIN_SLOW_SPAN_S = 2.0

# most samples that are kept of one upstream
MAX_SAMPLES = 64


@attrs.define
class _UpstreamWaits:
    """Recent and pending waits at one upstream.

    :param backlog_s: moving average of the delays at the last sample.
    :param samples: clock and delay of recent samples, oldest first.
    :param waiting_since: start of each pending wait, oldest first.
    """

    backlog_s: float = 0.0
    samples: collections.deque[tuple[float, float]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    waiting_since: dict[int, float] = attrs.field(factory=dict)

    def delay_at(self, now: float) -> float:
        """Return the expected delay of the next request."""
        oldest = next(iter(self.waiting_since.values()), now)
        return max(
            self._backlog_at(now), self._slow_delay_at(now), now - oldest
        )

    def add(self, delay_s: float, now: float) -> None:
        """Add a delay to the moving average and the samples."""
        previous_s = self._backlog_at(now) if self.samples else delay_s
        self.backlog_s = previous_s + SAMPLE_WEIGHT * (delay_s - previous_s)
        self.samples.append((now, delay_s))

    def _backlog_at(self, now: float) -> float:
        """Return the last backlog less the time since it was measured."""
        if not self.samples:
            return 0.0
        return max(0.0, self.backlog_s - (now - self.samples[-1][0]))

    def _slow_delay_at(self, now: float) -> float:
        """Return the shortest recent delay, 0 if the samples cover too little.

        Removes samples older than ``SAMPLE_EXPIRY_S``.
        """
        if self.samples and now - self.samples[-1][0] > SAMPLE_EXPIRY_S:
            self.samples.clear()
        if not self.samples:
            return 0.0
        newest_at = self.samples[-1][0]
        while newest_at - self.samples[0][0] > SAMPLE_EXPIRY_S:
            self.samples.popleft()
        if newest_at - self.samples[0][0] < MIN_SLOW_SPAN_S:
            return 0.0
        return min(delay_s for _, delay_s in self.samples)


class StartDelays:
    """Measures the time from a request to its first bytes, by upstream.

    :param clock: monotonic clock.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start without samples."""
        self._clock = clock
        self._upstreams: dict[str, _UpstreamWaits] = {}
        self._last_wait_id = 0

    @property
    def recent_delays_s(self) -> dict[str, float]:
        """Return the delays above the normal ones by upstream, in seconds.

        Removes upstreams without samples and pending waits.
        """
        now = self._clock()
        reported: dict[str, float] = {}
        for name, upstream in list(self._upstreams.items()):
            delay_s = upstream.delay_at(now)
            if delay_s >= MIN_DELAY_S:
                reported[name] = round(delay_s, 3)
            elif not upstream.waiting_since and not upstream.samples:
                self._upstreams.pop(name)
        return reported

    def recent_delay_s(self, upstream_id: str) -> float:
        """Return the delay of an upstream in seconds, 0 if it is normal."""
        upstream = self._upstreams.get(upstream_id)
        delay_s = 0.0 if upstream is None else upstream.delay_at(self._clock())
        return delay_s if delay_s >= MIN_DELAY_S else 0.0

    @contextlib.contextmanager
    def measure_start(self, upstream_id: str) -> Iterator[Callable[[], None]]:
        """Measure a wait; yield a function to call at the first bytes.

        A wait that ends without first bytes is added as a sample only if it
        was longer than the known delay.
        """
        started_at = self._clock()
        self._last_wait_id += 1
        wait_id = self._last_wait_id
        upstream = self._upstreams.setdefault(upstream_id, _UpstreamWaits())
        upstream.waiting_since[wait_id] = started_at

        def record_first_bytes() -> None:
            if upstream.waiting_since.pop(wait_id, None) is not None:
                now = self._clock()
                upstream.add(now - started_at, now)

        try:
            yield record_first_bytes
        finally:
            now = self._clock()
            if upstream.waiting_since.pop(wait_id, None) is not None:
                waited_s = now - started_at
                if waited_s > max(upstream.delay_at(now), MIN_DELAY_S):
                    upstream.add(waited_s, now)
