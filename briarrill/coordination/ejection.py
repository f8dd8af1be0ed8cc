"""briarrill.coordination.ejection: eject upstreams that fail or are slow.

Each process judges by its own requests only, so a link that is cut for one
process does not eject the upstream for the others.
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

# consecutive failures after which an upstream is ejected
FAILURES_TO_EJECT = 3

# consecutive error responses after which an upstream is ejected; more than of
# failures, since they may be those of one caller's requests: if a fifth of all
# requests is bad, one row in 400,000 is as long at a sound upstream
ERRORS_TO_EJECT = 8

# an upstream is slow if its mean time to first chunk is more than this many
# times the median of the other upstreams
SLOW_RATIO = 4.0

# samples needed before an upstream can count as slow, at first and after an
# ejection
MIN_SAMPLES = 10
MIN_SAMPLES_RETURNING = 2

# an upstream with a lower mean time to first chunk never counts as slow
MIN_SLOW_FIRST_CHUNK_S = 0.5

# weight of the newest sample in the moving average
SAMPLE_WEIGHT = 0.2

# first and longest duration of an ejection; it doubles with each ejection
# until the upstream gets its full share of requests again
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0

# time in which a returning upstream's share of requests rises from 0 to 1
RAMP_UP_S = 10.0

# share of a pool that is never ejected
MIN_ELIGIBLE_SHARE = 0.5

# most upstreams that are tracked; the least recently used one is evicted
MAX_TRACKED_UPSTREAMS = 1024

_AnyCandidate = TypeVar('_AnyCandidate', bound=Candidate)


@attrs.define
class _Health:
    """Failures, latency and ejections of one upstream.

    :param failures: consecutive failed requests.
    :param errors: consecutive responses with an error.
    :param samples: first chunks since the last ejection.
    :param first_chunk_s: moving average of the time to first chunk.
    :param ejected_until: clock at the end of the last ejection.
    :param ejections: ejections since the upstream last had its full share.
    """

    failures: int = 0
    errors: int = 0
    samples: int = 0
    first_chunk_s: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0

    def add_sample(self, first_chunk_s: float) -> None:
        """Add a time to first chunk to the moving average."""
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.samples)
        self.first_chunk_s += weight * (first_chunk_s - self.first_chunk_s)

    def share(self, now: float) -> float:
        """Return the share of its requests that the upstream may get.

        It is 0 or less while ejected and 1 or more after a full return.
        """
        if not self.ejections:
            return 1.0
        return (now - self.ejected_until) / RAMP_UP_S


class Ejector:
    """Ejects failing and slow upstreams of one model or service.

    :param rng: decides which requests a returning upstream gets.
    :param clock: monotonic clock.
    :param is_comparable: tells whether the others' times to first chunk may
        be compared with that of an upstream; by default with all.
    """

    def __init__(
        self,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        is_comparable: Callable[[str], bool] = bool,
    ) -> None:
        """Start without tracked upstreams."""
        self._is_comparable = is_comparable
        self._rng = rng
        self._clock = clock
        self._health: dict[str, _Health] = {}

    def eligible(
        self, candidates: Sequence[_AnyCandidate]
    ) -> list[_AnyCandidate]:
        """Return the candidates that may get the next request.

        At least half of the pool is returned. If too few are eligible, those
        whose ejections end first are chosen.
        """
        now = self._clock()
        shares = {
            candidate.name: self._share(candidate.name, now)
            for candidate in candidates
        }
        selected = [
            candidate
            for candidate in candidates
            if shares[candidate.name] > self._rng.random()
        ]
        min_count = len(candidates) - int(
            len(candidates) * (1 - MIN_ELIGIBLE_SHARE)
        )
        if len(selected) >= min_count:
            return selected
        return sorted(
            candidates,
            key=lambda candidate: shares[candidate.name],
            reverse=True,
        )[:min_count]

    def record_failure(self, name: str) -> bool:
        """Count a failed request; eject the upstream after too many in a row.

        A single failure ejects an upstream that has not fully returned.

        :return: whether the upstream is ejected from now on.
        """
        health = self._track(name)
        health.failures += 1
        is_returning = health.share(self._clock()) < 1
        if health.failures >= FAILURES_TO_EJECT or is_returning:
            return self._eject(name, health, 'failures')
        return False

    def record_error(self, name: str) -> None:
        """Count a whole response that is an error of the upstream.

        Any request may cause one, so one alone ejects no upstream that has
        not fully returned.
        """
        health = self._track(name)
        health.errors += 1
        if health.errors >= ERRORS_TO_EJECT:
            self._eject(name, health, 'errors')

    def record_success(self, name: str) -> None:
        """Record that the whole response to a request was received."""
        health = self._track(name)
        health.failures = 0
        health.errors = 0
        if health.ejections and health.share(self._clock()) >= 1:
            health.ejections = 0
            log_message('upstream:returned', upstream=name)

    def record_first_chunk(self, name: str, first_chunk_s: float) -> None:
        """Record the time to first chunk; eject the upstream if it is slow.

        It is no success yet: what follows a sound head may be broken.
        """
        health = self._track(name)
        health.add_sample(first_chunk_s)
        if self._is_slow(name, health):
            self._eject(name, health, 'slow')

    def _is_slow(self, name: str, health: _Health) -> bool:
        """Compare the mean time to first chunk with the other upstreams'.

        False without enough samples of this and at least one other upstream.
        """
        is_returning = bool(health.ejections)
        min_samples = MIN_SAMPLES_RETURNING if is_returning else MIN_SAMPLES
        if health.samples < min_samples:
            return False
        other_means_s = [
            other.first_chunk_s
            for other_name, other in self._health.items()
            if other_name != name
            and other.samples >= MIN_SAMPLES
            and self._is_comparable(other_name)
        ]
        if not other_means_s or health.first_chunk_s < MIN_SLOW_FIRST_CHUNK_S:
            return False
        return health.first_chunk_s > SLOW_RATIO * statistics.median(
            other_means_s
        )

    def _eject(self, name: str, health: _Health, reason: str) -> bool:
        """Eject an upstream and reset its counts, unless ejected already.

        :return: whether it was not ejected already.
        """
        now = self._clock()
        if health.ejected_until > now:
            return False
        duration_s = FIRST_EJECTION_S * 2**health.ejections
        health.ejected_until = now + min(duration_s, MAX_EJECTION_S)
        health.ejections += 1
        health.failures = 0
        health.errors = 0
        health.samples = 0
        EJECTED.labels(reason).inc()
        log_message('upstream:ejected', upstream=name, reason=reason)
        return True

    def _share(self, name: str, now: float) -> float:
        health = self._health.get(name)
        return 1.0 if health is None else health.share(now)

    def _track(self, name: str) -> _Health:
        """Return an upstream's health as the most recently used one.

        The least recently used upstreams above the limit are evicted.
        """
        health = self._health.pop(name, None) or _Health()
        self._health[name] = health
        while len(self._health) > MAX_TRACKED_UPSTREAMS:
            self._health.pop(next(iter(self._health)))
        return health
