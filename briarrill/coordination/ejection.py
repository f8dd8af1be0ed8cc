"""briarrill.coordination.ejection: leave out upstreams that fail or lag.

Each entry judges by its own requests only, so a link that is cut for one
entry ejects the upstream for nobody else.
"""

import random
import statistics
import time
from collections.abc import Callable, Sequence
from typing import TypeVar

import attrs
from eliot import log_message

from ..metrics import EJECTED
from .routing import Candidate

__all__ = ('Ejector',)

# failures in a row after which an upstream is left out
FAILURES_TO_EJECT = 3

# an upstream is slow when its first chunks take this many times the median
SLOW_RATIO = 4.0

# first chunks that are seen before an upstream can be called slow, and of
# one that was left out before
MIN_SAMPLES = 10
MIN_SAMPLES_RETURNING = 2

# first chunks faster than this on average are never called slow
SLOW_FLOOR_S = 0.5

# weight of the newest sample in the moving average
SAMPLE_WEIGHT = 0.2

# first and longest time out; it doubles while the upstream fails again
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0

# time over which a returning upstream gets its full part again
RETURN_S = 10.0

# part of a pool that is never left out
MIN_POOL_SHARE = 0.5

# upstreams that are remembered at most; the oldest goes first
MAX_UPSTREAMS = 1024

_AnyCandidate = TypeVar('_AnyCandidate', bound=Candidate)


@attrs.define
class _Health:
    """What was seen of one upstream.

    :param ejections: times that it was left out without a full return.
    """

    failures: int = 0
    samples: int = 0
    first_chunk_s: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0

    def add_sample(self, first_chunk_s: float) -> None:
        """Take the time to a first chunk into the moving average."""
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.samples)
        self.first_chunk_s += weight * (first_chunk_s - self.first_chunk_s)

    def share(self, now: float) -> float:
        """Return the part of its requests that the upstream may get."""
        if not self.ejections:
            return 1.0
        return (now - self.ejected_until) / RETURN_S


class Ejector:
    """Judges the upstreams of one model or service.

    :param rng: decides which requests a returning upstream gets.
    :param clock: monotonic clock.
    """

    def __init__(
        self,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start with nothing known."""
        self._rng = rng
        self._clock = clock
        self._health: dict[str, _Health] = {}

    def admitted(
        self, candidates: Sequence[_AnyCandidate]
    ) -> list[_AnyCandidate]:
        """Return the candidates that may get the next request.

        At least half of them are returned, those first whose time out ends
        first.
        """
        now = self._clock()
        shares = {one.name: self._share(one.name, now) for one in candidates}
        kept = [
            one for one in candidates if shares[one.name] > self._rng.random()
        ]
        least = len(candidates) - int(len(candidates) * (1 - MIN_POOL_SHARE))
        if len(kept) >= least:
            return kept
        return sorted(
            candidates, key=lambda one: shares[one.name], reverse=True
        )[:least]

    def record_failure(self, name: str) -> None:
        """Count a request that failed at an upstream."""
        health = self._of(name)
        health.failures += 1
        is_returning = health.share(self._clock()) < 1
        if health.failures >= FAILURES_TO_EJECT or is_returning:
            self._eject(name, health, 'failures')

    def record_first_chunk(self, name: str, first_chunk_s: float) -> None:
        """Count an answer that has begun."""
        health = self._of(name)
        health.failures = 0
        health.add_sample(first_chunk_s)
        if health.ejections and health.share(self._clock()) >= 1:
            health.ejections = 0
            log_message('upstream:returned', upstream=name)
        if self._is_slow(name, health):
            self._eject(name, health, 'slow')

    def _is_slow(self, name: str, health: _Health) -> bool:
        is_returning = bool(health.ejections)
        needed = MIN_SAMPLES_RETURNING if is_returning else MIN_SAMPLES
        if health.samples < needed:
            return False
        others = [
            other.first_chunk_s
            for other_name, other in self._health.items()
            if other_name != name and other.samples >= MIN_SAMPLES
        ]
        if not others or health.first_chunk_s < SLOW_FLOOR_S:
            return False
        return health.first_chunk_s > SLOW_RATIO * statistics.median(others)

    def _eject(self, name: str, health: _Health, reason: str) -> None:
        now = self._clock()
        if health.ejected_until > now:
            return
        duration_s = EJECTION_S * 2**health.ejections
        health.ejected_until = now + min(duration_s, MAX_EJECTION_S)
        health.ejections += 1
        health.failures = 0
        health.samples = 0
        EJECTED.labels(reason).inc()
        log_message('upstream:ejected', upstream=name, reason=reason)

    def _share(self, name: str, now: float) -> float:
        health = self._health.get(name)
        return 1.0 if health is None else health.share(now)

    def _of(self, name: str) -> _Health:
        health = self._health.pop(name, None) or _Health()
        self._health[name] = health
        while len(self._health) > MAX_UPSTREAMS:
            self._health.pop(next(iter(self._health)))
        return health
