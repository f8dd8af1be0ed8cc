"""briarrill.coordination.capacity.speed: how fast upstreams are.

Load pattern: a quarter of a service's upstreams runs at half the usual speed.
Requests per slot tell nothing of that: at a peak, the slow ones hold as many
requests as the others, and their streams are late.

A response takes longer because its upstream is slow, because the route's
responses are long, or because other requests run beside it. So each time is
compared with those of the same kind: of the same route, with as many requests
known at the upstream. What remains is the upstream's own, and it is compared
with the median of its service.

Slow upstreams differ from faulty ones: only complete responses are samples,
and a sample counts for at most ``MAX_RATIO``, so an upstream that fails or
stalls now and then keeps its speed. Those faults are for
:mod:`..ejection` and :mod:`..silence`. A backlog delays first bytes, which
are no samples while slots are full; it is for :mod:`..start_delays`.
"""

import collections
import math
import statistics
import time
from collections.abc import Callable, Hashable, Iterator, Mapping
from typing import TypeVar

import attrs
from eliot import log_message

from ...metrics import UNEVEN_UPSTREAMS
from ...protocol.load_reports import short_hash

__all__ = ('SpeedTable',)

#: Samples that tell an upstream's speed; fewer may be one long prompt.
MIN_SAMPLES = 8

# samples that count as much as the assumption that an upstream is as fast as
# the others
PRIOR_SAMPLES = 2

# most samples by which this process's mean is weighed against peers and the
# assumption
MAX_OWN_WEIGHT = 32

# most samples by which an upstream's or a kind's mean is weighed, so that it
# follows a change within a few dozen responses
MAX_UPSTREAM_WEIGHT = 16
MAX_KIND_WEIGHT = 64

# ratio beyond which a sample tells of a stall and not of speed; the ejector
# takes upstreams out that are slower than this
MAX_RATIO = 4.0

# ratio to the median up to which an upstream counts as one of usual speed: a
# caller does not notice less, and an even fleet is placed as if unmeasured
NOISE_RATIO = 1.2

# measured upstreams of a service below which their speeds are not compared: a
# few busy or restarted ones move the median of fewer
MIN_COMPARED = 8

# time without samples after which a speed is forgotten, so that a slow
# upstream that got no requests is tried again
SAMPLE_EXPIRY_S = 30.0

# time for which a peer's word holds; it repeats each within a few reports
PEER_WORD_EXPIRY_S = 15.0

# speeds in one report, of 5 to 8 bytes each; further ones follow in the next
MAX_REPORTED = 8

# peers whose word on one upstream is kept, and upstreams that are kept
MAX_PEERS = 8
MAX_UPSTREAMS = 1024

# age up to which computed speeds are used; they change by little in between
UPDATE_INTERVAL_S = 0.2

# kinds of samples that are kept: some routes with some loads each
MAX_KINDS = 1024

_PERCENT = 100

_Key = TypeVar('_Key')
_Entry = TypeVar('_Entry')


@attrs.define
class _Mean:
    """A moving mean of logarithms.

    :param updated_at: clock at the last sample.
    """

    mean: float = 0.0
    samples: int = 0
    updated_at: float = 0.0

    def add(self, deviation: float, max_weight: int, now: float) -> None:
        """Move the mean by its share of a deviation from it."""
        self.samples += 1
        self.mean += deviation / min(self.samples, max_weight)
        self.updated_at = now


@attrs.define
class _Upstream:
    """What is known of one upstream.

    :param own: measured by this process.
    :param peers: speed relative to the service and clock, by process.
    """

    service: str = ''
    incarnation: str = ''
    own: _Mean = attrs.field(factory=_Mean)
    peers: dict[str, tuple[float, float]] = attrs.field(factory=dict)


@attrs.frozen
class _Computed:
    """Speeds that differ from 1, by hash of an incarnation."""

    computed_at: float = -math.inf
    speeds: Mapping[int, float] = attrs.field(factory=dict)


class SpeedTable:
    """Learns the speeds of upstreams from responses and peers.

    Upstreams are known by their incarnations, so that nothing of a previous
    one is left.

    :param clock: monotonic clock.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start without samples: all are equal."""
        self._clock = clock
        self._kinds: collections.OrderedDict[Hashable, _Mean] = (
            collections.OrderedDict()
        )
        self._upstreams: collections.OrderedDict[int, _Upstream] = (
            collections.OrderedDict()
        )
        self._next_reported = 0
        self._reportable: list[tuple[int, int]] = []
        self._reportable_at = -math.inf
        self._speeds: dict[str, _Computed] = {}

    def record(
        self, incarnation: str, service: str, kind: Hashable, seconds: float
    ) -> None:
        """Add the time of a complete response, or of an event of one.

        :param kind: equal for times that are alike at upstreams of one speed.
        """
        if seconds <= 0:
            return
        now = self._clock()
        upstream = self._upstream(short_hash(incarnation))
        upstream.service = service
        upstream.incarnation = incarnation
        if now - upstream.own.updated_at > SAMPLE_EXPIRY_S:
            upstream.own = _Mean()
        key = (service, kind)
        usual = _touch(self._kinds, key, _Mean, MAX_KINDS)
        logarithm = math.log(seconds)
        if not usual.samples:
            usual.mean = logarithm - upstream.own.mean
        deviation = logarithm - usual.mean - upstream.own.mean
        bound = math.log(MAX_RATIO)
        deviation = max(-bound, min(bound, deviation))
        usual.add(deviation, MAX_KIND_WEIGHT, now)
        upstream.own.add(deviation, MAX_UPSTREAM_WEIGHT, now)

    def receive(self, process: str, news: Mapping[int, int]) -> None:
        """Take over what a peer measured.

        :param news: speed in percent by the hash of an incarnation.
        """
        now = self._clock()
        for name, percent in news.items():
            peers = self._upstream(name).peers
            peers.pop(process, None)
            peers[process] = (_bounded(percent / _PERCENT), now)
            if len(peers) > MAX_PEERS:
                peers.pop(next(iter(peers)))

    def news(self) -> dict[int, int]:
        """Return speeds in percent of some upstreams that differ, by hash.

        They are measured by this process. Each call goes on where the one
        before ended.
        """
        now = self._clock()
        if now - self._reportable_at >= UPDATE_INTERVAL_S:
            self._reportable = list(self._differing())
            self._reportable_at = now
        if not self._reportable:
            return {}
        start = self._next_reported % len(self._reportable)
        self._next_reported = start + MAX_REPORTED
        rotated = self._reportable[start:] + self._reportable[:start]
        return dict(rotated[:MAX_REPORTED])

    def usual_s(self, service: str, kind: Hashable) -> float:
        """Return the time of a kind at the usual speed, 0 if not known."""
        usual = self._kinds.get((service, kind))
        if usual is None or usual.samples < MIN_SAMPLES:
            return 0.0
        return math.exp(usual.mean + self._median(service))

    def speed(self, incarnation: str, service: str) -> float:
        """Return an upstream's speed by all that is known of it.

        It is relative to the median of the service, 1.0 if not known.
        """
        unusual = self.unusual_speeds(service)
        return unusual.get(short_hash(incarnation), 1.0)

    def unusual_speeds(self, service: str) -> Mapping[int, float]:
        """Return the speeds that differ from 1, by hash of an incarnation.

        They are computed at intervals, since each placement reads them.
        """
        now = self._clock()
        computed = self._speeds.get(service, _Computed())
        if now - computed.computed_at < UPDATE_INTERVAL_S:
            return computed.speeds
        median = self._comparable_median(service)
        estimates = {
            name: self._estimate(upstream, median)
            for name, upstream in self._upstreams.items()
            if upstream.service in {service, ''}
        }
        speeds = {
            name: _bounded(speed)
            for name, speed in estimates.items()
            if not _is_usual(speed)
        }
        self._log_changes(service, computed.speeds, speeds)
        self._speeds[service] = _Computed(now, speeds)
        return speeds

    def _log_changes(
        self,
        service: str,
        before: Mapping[int, float],
        after: Mapping[int, float],
    ) -> None:
        """Log which upstreams differ now or no longer; count them."""
        for name in before.keys() ^ after.keys():
            log_message(
                'upstream:speed',
                service=service,
                incarnation=self._upstream(name).incarnation,
                speed=round(after.get(name, 1.0), 2),
            )
        slow = sum(speed < 1 for speed in after.values())
        UNEVEN_UPSTREAMS.labels(service, 'slow').set(slow)
        UNEVEN_UPSTREAMS.labels(service, 'fast').set(len(after) - slow)

    def _differing(self) -> Iterator[tuple[int, int]]:
        """Yield what this process measured of upstreams that differ."""
        services = {upstream.service for upstream in self._upstreams.values()}
        medians = {
            service: self._comparable_median(service) for service in services
        }
        for name, upstream in self._upstreams.items():
            median = medians[upstream.service]
            if median is not None and self._has_own(upstream):
                speed = math.exp(median - upstream.own.mean)
                if not _is_usual(speed):
                    yield name, round(_PERCENT * _bounded(speed))

    def _estimate(self, upstream: _Upstream, median: float | None) -> float:
        """Return a speed by what this process and peers measured.

        :param median: of the service, none if too few are measured here.
        """
        now = self._clock()
        logarithms = [
            math.log(speed)
            for speed, heard_at in upstream.peers.values()
            if now - heard_at <= PEER_WORD_EXPIRY_S
        ]
        weight = MIN_SAMPLES * len(logarithms)
        total = MIN_SAMPLES * sum(logarithms)
        if median is not None and self._is_recent(upstream.own):
            own_weight = min(upstream.own.samples, MAX_OWN_WEIGHT)
            weight += own_weight
            total += own_weight * (median - upstream.own.mean)
        if weight < MIN_SAMPLES:
            return 1.0
        return math.exp(total / (weight + PRIOR_SAMPLES))

    def _median(self, service: str) -> float:
        """Return the median of the measured upstreams of a service."""
        means = self._means(service)
        return statistics.median(means) if means else 0.0

    def _comparable_median(self, service: str) -> float | None:
        """Return the median, none if too few upstreams are measured."""
        means = self._means(service)
        return statistics.median(means) if len(means) >= MIN_COMPARED else None

    def _means(self, service: str) -> list[float]:
        return [
            upstream.own.mean
            for upstream in self._upstreams.values()
            if upstream.service == service and self._has_own(upstream)
        ]

    def _has_own(self, upstream: _Upstream) -> bool:
        return upstream.own.samples >= MIN_SAMPLES and self._is_recent(
            upstream.own
        )

    def _is_recent(self, mean: _Mean) -> bool:
        age_s = self._clock() - mean.updated_at
        return bool(mean.samples) and age_s <= SAMPLE_EXPIRY_S

    def _upstream(self, name: int) -> _Upstream:
        return _touch(self._upstreams, name, _Upstream, MAX_UPSTREAMS)


def _touch(
    table: collections.OrderedDict[_Key, _Entry],
    key: _Key,
    make: Callable[[], _Entry],
    max_entries: int,
) -> _Entry:
    """Return an entry, created on first use; evict the least recent one."""
    if key not in table:
        table[key] = make()
        if len(table) > max_entries:
            table.popitem(last=False)
    table.move_to_end(key)
    return table[key]


def _is_usual(speed: float) -> bool:
    return 1 / NOISE_RATIO < speed < NOISE_RATIO


def _bounded(speed: float) -> float:
    return max(1 / MAX_RATIO, min(MAX_RATIO, speed))
