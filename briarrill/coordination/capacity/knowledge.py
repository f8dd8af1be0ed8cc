"""briarrill.coordination.capacity.knowledge: what is known of upstreams.

Speeds are learnt wherever responses come. Memory and shared parts count only
for services whose capacity is configured.
"""

import contextlib
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

import attrs

from ...protocol.load_reports import LoadReport, short_hash
from ..placement import UpstreamCandidate
from ..upstream_table import RegisteredUpstream
from .memory import MemoryUse, is_ample, needed_tokens
from .shared_parts import PartPlaces
from .speed import SpeedTable
from .work import UpstreamCapacity, Work

__all__ = ('ResponseMeter', 'UpstreamKnowledge', 'UpstreamLoad')

# time for which an upstream gets no request after its owner said that it has
# no memory left; reports of most fleets tell more by then
FULL_VALIDITY_S = 0.05

# fields of a candidate by name
_Changes = dict[str, Any]

_NO_CAPACITY = UpstreamCapacity()

# ends of events, by which they are counted
_EVENT_ENDS = (b'\n\n', b'\r\n\r\n')


@attrs.frozen
class UpstreamLoad:
    """Requests and tokens of all processes at an upstream."""

    online: int = 0
    batch: int = 0
    online_tokens: int = 0
    batch_tokens: int = 0


@attrs.define
class ResponseMeter:
    """Times of a response, by which an upstream's speed is told.

    :param clock: monotonic clock.
    """

    clock: Callable[[], float]
    began_at: float
    _first_at: float | None = attrs.field(default=None, init=False)
    _last_at: float = attrs.field(default=0, init=False)
    _events: int = attrs.field(default=0, init=False)

    @property
    def start_s(self) -> float:
        """Return the time to the first bytes, 0 without any."""
        return 0 if self._first_at is None else self._first_at - self.began_at

    @property
    def event_s(self) -> float:
        """Return the mean time between two events, 0 if there were none."""
        if self._first_at is None or not self._events:
            return 0
        return (self._last_at - self._first_at) / self._events

    def record_head(self) -> None:
        """Record that the head of the response arrived."""
        self._first_at = self.clock()

    def add_bytes(self, part: bytes) -> None:
        """Add the next bytes of a stream.

        The events that arrive first take the time to the first bytes.
        """
        now = self.clock()
        if self._last_at:
            self._events += sum(map(part.count, _EVENT_ENDS))
        else:
            self._first_at = now
        self._last_at = now


@attrs.frozen
class _Known:
    """What is known for one request.

    :param speeds: that differ from 1, by hash of an incarnation.
    :param usual_start_s: time to its first bytes at the usual speed.
    :param saved_tokens: that need not be read, by the same hash.
    :param tokens_to_hold: of the request.
    """

    speeds: Mapping[int, float]
    usual_start_s: float
    saved_tokens: Mapping[int, float]
    tokens_to_hold: int

    def changes(self, name: int) -> _Changes:
        """Return the fields of a candidate that are not the neutral ones."""
        changes: _Changes = {}
        speed = self.speeds.get(name)
        if speed is not None:
            changes['speed'] = speed
            changes['extra_start_s'] = self.usual_start_s * (1 / speed - 1)
        saved = self.saved_tokens.get(name)
        if saved is not None:
            changes['saved_share'] = saved / self.tokens_to_hold
        return changes


class UpstreamKnowledge:
    """Speeds, memory and parts of prompts of the upstreams.

    :param load_of: returns the load of an upstream, by its ID.
    :param clock: monotonic clock.
    :ivar capacities: returns the configured ones by service, default none.
    """

    def __init__(
        self,
        load_of: Callable[[str], UpstreamLoad],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without knowledge."""
        self.speeds = SpeedTable(clock)
        self.parts = PartPlaces(clock)
        self.capacities: Callable[[], Mapping[str, UpstreamCapacity]] = dict
        self._load_of = load_of
        self._clock = clock
        self._largest = 0
        self._full_until: dict[str, float] = {}

    def capacity_of(self, service: str) -> UpstreamCapacity:
        """Return the capacity of each of a service's upstreams."""
        return self.capacities().get(service, _NO_CAPACITY)

    def counted_tokens(self, service: str, tokens: int) -> int:
        """Return the tokens of a request that are counted.

        They are none if the memory of the service's upstreams is not known,
        and the whole memory at most.
        """
        counted = min(tokens, self.capacity_of(service).tokens)
        self._largest = max(counted, self._largest)
        return counted

    def needed_tokens(self, service: str, tokens: int) -> int:
        """Return the tokens that have to be free for a request.

        They are none if the memory of the service's upstreams is not known.
        """
        counted = self.counted_tokens(service, tokens)
        capacity = self.capacity_of(service).tokens
        return min(counted, needed_tokens(capacity, tokens))

    def tokens_to_count(
        self, upstream: RegisteredUpstream, tokens: int
    ) -> int:
        """Return the tokens that a request counts for at an upstream.

        One that may exceed the whole memory counts for what is free, or for
        what it needs if batch items have to yield.
        """
        counted = self.counted_tokens(upstream.service, tokens)
        free = min(counted, self.memory_use(upstream).free)
        return max(int(free), self.needed_tokens(upstream.service, tokens))

    def tokens_at(self, upstream_id: str) -> tuple[int, int]:
        """Return the tokens that online requests and batch items may hold."""
        load = self._load_of(upstream_id)
        return load.online_tokens, load.batch_tokens

    def has_ample_memory(self, service: str, tokens: int = 0) -> bool:
        """Tell whether requests seen so far fill slots before memory.

        :param tokens: of one more request that counts as seen.
        """
        largest = max(self._largest, tokens)
        return is_ample(self.capacity_of(service), largest)

    def memory_use(self, upstream: RegisteredUpstream) -> MemoryUse:
        """Return the use of an upstream's memory by all processes."""
        load = self._load_of(upstream.upstream_id)
        return MemoryUse(
            self.capacity_of(upstream.service).tokens,
            load.online_tokens,
            load.batch_tokens,
        )

    def record_full(self, upstream: RegisteredUpstream) -> None:
        """Record that an upstream's owner had no memory left there."""
        self._full_until[upstream.upstream_id] = (
            self._clock() + FULL_VALIDITY_S
        )

    def speed_of(self, upstream: RegisteredUpstream) -> float:
        """Return an upstream's speed relative to its service."""
        return self.speeds.speed(_incarnation(upstream), upstream.service)

    def describe(
        self,
        candidates: Sequence[UpstreamCandidate],
        upstreams: Mapping[str, RegisteredUpstream],
        route: str,
        work: Work,
    ) -> list[UpstreamCandidate]:
        """Return candidates with what is known of them for a request.

        :param upstreams: by ID, at least those of the candidates.
        :param route: what selects the request's route.
        """
        service = next((one.service for one in upstreams.values()), '')
        has_memory = bool(self.capacity_of(service).tokens)
        may_be_short = not self.has_ample_memory(service)
        known = _Known(
            self.speeds.unusual_speeds(service),
            self.speeds.usual_s(service, _start_kind(route, work)),
            self.parts.saved_by_upstream(work) if has_memory else {},
            max(1, work.tokens_to_hold),
        )
        described = []
        for one in candidates:
            upstream = upstreams[one.name]
            changes = known.changes(short_hash(_incarnation(upstream)))
            if may_be_short:
                changes |= self._memory_changes(upstream)
            described.append(attrs.evolve(one, **changes) if changes else one)
        return described

    @contextlib.contextmanager
    def measure(
        self, upstream: RegisteredUpstream, route: str, work: Work
    ) -> Iterator[ResponseMeter]:
        """Measure a response, which is complete if no error is raised.

        :param work: that the upstream gets now.
        """
        load = self._load_of(upstream.upstream_id)
        is_queued = load.online + load.batch > upstream.slots
        with self.measure_events(upstream, route, work) as meter:
            yield meter
        if not is_queued:
            self.speeds.record(
                _incarnation(upstream),
                upstream.service,
                _start_kind(route, work),
                meter.start_s,
            )

    @contextlib.contextmanager
    def measure_events(
        self, upstream: RegisteredUpstream, route: str, work: Work
    ) -> Iterator[ResponseMeter]:
        """Measure only the events of a response.

        The parameters are those of :meth:`measure`.
        """
        if self.capacity_of(upstream.service).tokens:
            self.parts.record(_incarnation(upstream), work)
        load = self._load_of(upstream.upstream_id)
        in_flight = min(load.online + load.batch, upstream.slots)
        meter = ResponseMeter(self._clock, self._clock())
        yield meter
        self.speeds.record(
            _incarnation(upstream),
            upstream.service,
            ('event', route, in_flight),
            meter.event_s,
        )

    def complete_report(self, report: LoadReport) -> LoadReport:
        """Add what peers are told of speeds and parts."""
        speeds = self.speeds.news()
        part_places = self.parts.news()
        if not (speeds or part_places):
            return report
        return attrs.evolve(report, speeds=speeds, part_places=part_places)

    def receive_report(self, report: LoadReport) -> None:
        """Take over what a peer tells."""
        for name, tokens in report.tokens.items():
            count = report.online.get(name, 0) + report.batch.get(name, 0)
            self._largest = max(tokens // max(1, count), self._largest)
        self.speeds.receive(report.process, report.speeds)
        self.parts.receive(report.part_places)

    def _is_full(self, upstream_id: str) -> bool:
        """Tell whether the owner of an upstream just had no memory left."""
        until = self._full_until.get(upstream_id)
        if until is not None and until <= self._clock():
            self._full_until.pop(upstream_id)
            return False
        return until is not None

    def _memory_changes(self, upstream: RegisteredUpstream) -> _Changes:
        """Return what a candidate's memory has left."""
        if self._is_full(upstream.upstream_id):
            return {'tokens_free': 0}
        use = self.memory_use(upstream)
        return {'tokens_free': use.free, 'tokens_yielding': use.batch}


def _start_kind(route: str, work: Work) -> tuple[str, str, int]:
    """Return the kind of times to first bytes: by prompts of like length."""
    return 'start', route, work.tokens_to_read.bit_length()


def _incarnation(upstream: RegisteredUpstream) -> str:
    return upstream.incarnation or upstream.upstream_id
