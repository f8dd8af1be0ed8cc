"""bench.routing: routing policies on a seeded trace.

Usage:
  bench.routing [--seed=N] [--requests=N]

A model of upstreams (slots, a queue, a prefix cache, load reports that lag)
runs the real policies, retry budgets and ejection on one trace.  Each line
gives the time to the first token at p50 and p99, the share of requests whose
prefix was cached, and the share that failed.

Options:
  --seed=N      Seed of the trace [default: 7].
  --requests=N  Requests of a trace [default: 20000].
"""

import collections
import functools
import heapq
import itertools
import random
import statistics
from collections.abc import Callable, Sequence
from typing import Any

import attrs
import docopt

from briarrill.coordination.ejection import Ejector
from briarrill.coordination.retries import RetryBudgets
from briarrill.coordination.routing import (
    ROUTING_POLICIES,
    Candidate,
    RoutingPolicy,
    TwoChoicesPolicy,
)

UPSTREAMS = 12
ENTRIES = 3
SLOTS_PER_UPSTREAM = 8
CACHED_PREFIXES_PER_UPSTREAM = 40
PREFIXES = 400
PREFIX_ZIPF_EXPONENT = 0.9

HIT_PREFILL_S = 0.03
MISS_PREFILL_S = 0.4
MEAN_DECODE_S = 1.0
UTILIZATION = 0.75

REPORT_INTERVAL_S = 0.25
CONNECT_REFUSAL_S = 0.002
MAX_ATTEMPTS = 3
FAILURE_DOMAINS = 3
CROSS_DOMAIN_ONE_WAY_S = 0.0015
CROSS_DOMAIN_LOAD_PENALTY = 0.05


@attrs.define
class Upstream:
    """Simulated engine behind its sidecar.

    :param slowness: factor of its prefill and decode times.
    :param is_dead: whether it refuses connections.
    :param running: requests in its slots.
    :param cache: cached prefixes, least recently used first.
    """

    name: str
    domain: int
    slowness: float = 1.0
    is_dead: bool = False
    running: int = 0
    queue: collections.deque[Any] = attrs.field(factory=collections.deque)
    cache: collections.OrderedDict[int, None] = attrs.field(
        factory=collections.OrderedDict
    )

    def cache_prefix(self, prefix: int) -> bool:
        """Cache the prefix; return whether it was cached already."""
        hit = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHED_PREFIXES_PER_UPSTREAM:
            self.cache.popitem(last=False)
        return hit


@attrs.define
class Link:
    """State of an upstream at one entry, as in briarrill.entry.links.

    :param is_same_domain: whether both are in one failure domain.
    :param in_flight: requests of this entry at the upstream.
    :param reported_running: running requests by the last load report.
    :param reported_queued: queued requests by the last load report.
    """

    upstream: Upstream
    is_same_domain: bool
    in_flight: int = 0
    reported_running: int = 0
    reported_queued: int = 0

    @property
    def name(self) -> str:
        """Return the upstream's name."""
        return self.upstream.name

    @property
    def load(self) -> float:
        """Return the load by the formula of briarrill.entry.links."""
        running = max(self.in_flight, self.reported_running)
        return (running + self.reported_queued) / SLOTS_PER_UPSTREAM


@attrs.define(eq=False)
class Request:
    """One request of the trace and its outcome, in simulated seconds.

    :param entry: number of the entry that it arrives at.
    :param tried_upstreams: names of the upstreams that it was sent to.
    :param sent_at: time of the last attempt.
    """

    arrived_at: float
    prefix: int
    decode_s: float
    entry: int
    tried_upstreams: set[str] = attrs.field(factory=set)
    sent_at: float = 0
    first_token_s: float = 0
    was_cached: bool = False
    has_failed: bool = False


_Event = tuple[float, int, Callable[[], None]]


class SameDomainTwoChoices(TwoChoicesPolicy):
    """Two choices with a load penalty for other failure domains."""

    def choose(
        self, candidates: Sequence[Candidate], prefix_key: str
    ) -> Candidate:
        """Return the less loaded of two random candidates."""
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=_load_with_penalty)


def _load_with_penalty(link: Candidate) -> float:
    assert isinstance(link, Link)
    return link.load + CROSS_DOMAIN_LOAD_PENALTY * (not link.is_same_domain)


POLICIES = {**ROUTING_POLICIES, 'two-choices-near': SameDomainTwoChoices}


def _make_links(entry: int, upstreams: list[Upstream]) -> list[Link]:
    """Return an entry's links; its failure domain follows its number."""
    return [
        Link(upstream, upstream.domain == entry % FAILURE_DOMAINS)
        for upstream in upstreams
    ]


class FleetSimulation:
    """Discrete-event simulation of entries and upstreams.

    :param policy: the routing policy under test.
    :param rng: random numbers of the ejectors.
    :param ejects: whether entries eject failing and slow upstreams.
    """

    def __init__(
        self,
        policy: RoutingPolicy,
        upstreams: list[Upstream],
        rng: random.Random,
        *,
        ejects: bool,
    ) -> None:
        """Prepare the simulation at time zero."""
        self.now = 0.0
        self._policy = policy
        self._upstreams = upstreams
        self._ejects = ejects
        self._links = [
            _make_links(entry, upstreams) for entry in range(ENTRIES)
        ]
        self._ejectors = [Ejector(rng, self.clock) for _ in range(ENTRIES)]
        self._budgets = [RetryBudgets() for _ in range(ENTRIES)]
        self._events: list[_Event] = []
        self._event_order = itertools.count()

    def clock(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    def run(self, trace: list[Request]) -> None:
        """Simulate the trace until the last request has ended."""
        for req in trace:
            self._schedule(
                req.arrived_at, functools.partial(self._receive, req)
            )
        last = trace[-1].arrived_at
        for step in range(int(last / REPORT_INTERVAL_S)):
            self._schedule(step * REPORT_INTERVAL_S, self._update_load_reports)
        while self._events:
            self.now, _, callback = heapq.heappop(self._events)
            callback()

    def _schedule(self, time_s: float, callback: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (time_s, next(self._event_order), callback)
        )

    def _update_load_reports(self) -> None:
        for links in self._links:
            for link in links:
                link.reported_running = link.upstream.running
                link.reported_queued = len(link.upstream.queue)

    def _receive(self, req: Request) -> None:
        self._budgets[req.entry].record_request('c')
        self._send(req)

    def _send(self, req: Request) -> None:
        links = self._links[req.entry]
        untried = [
            link for link in links if link.name not in req.tried_upstreams
        ]
        if self._ejects:
            untried = self._ejectors[req.entry].eligible(untried)
        link = self._policy.choose(untried, f'prefix-{req.prefix}')
        assert isinstance(link, Link)
        req.tried_upstreams.add(link.name)
        req.sent_at = self.now
        link.in_flight += 1
        if link.upstream.is_dead:
            self._schedule(
                self.now + CONNECT_REFUSAL_S,
                functools.partial(self._retry_or_fail, req, link),
            )
            return
        link.upstream.queue.append((req, link))
        self._start_next_queued(link.upstream)

    def _start_next_queued(self, upstream: Upstream) -> None:
        if not upstream.queue or upstream.running >= SLOTS_PER_UPSTREAM:
            return
        req, link = upstream.queue.popleft()
        upstream.running += 1
        req.was_cached = upstream.cache_prefix(req.prefix)
        prefill_s = HIT_PREFILL_S if req.was_cached else MISS_PREFILL_S
        first_at = self.now + prefill_s * upstream.slowness
        self._schedule(
            first_at, functools.partial(self._record_first_token, req, link)
        )
        end_at = first_at + req.decode_s * upstream.slowness
        self._schedule(end_at, functools.partial(self._finish, link))

    def _record_first_token(self, req: Request, link: Link) -> None:
        req.first_token_s = self.now - req.arrived_at
        if not link.is_same_domain:
            req.first_token_s += 2 * CROSS_DOMAIN_ONE_WAY_S
        ejector = self._ejectors[req.entry]
        ejector.record_first_chunk(link.name, self.now - req.sent_at)

    def _finish(self, link: Link) -> None:
        link.in_flight -= 1
        link.upstream.running -= 1
        self._start_next_queued(link.upstream)

    def _retry_or_fail(self, req: Request, link: Link) -> None:
        link.in_flight -= 1
        self._ejectors[req.entry].record_failure(link.name)
        has_budget = self._budgets[req.entry].try_spend_retry('c')
        if len(req.tried_upstreams) >= MAX_ATTEMPTS or not has_budget:
            req.has_failed = True
            return
        self._send(req)


def make_trace(seed: int, count: int) -> list[Request]:
    """Return bursty arrivals with prefixes of Zipf-like popularity."""
    rng = random.Random(seed)
    weights = [
        1 / (rank + 1) ** PREFIX_ZIPF_EXPONENT for rank in range(PREFIXES)
    ]
    prefixes = rng.choices(range(PREFIXES), weights, k=count)
    rate = (
        UPSTREAMS
        * SLOTS_PER_UPSTREAM
        * UTILIZATION
        / (MEAN_DECODE_S + MISS_PREFILL_S / 2)
    )
    now = 0.0
    trace = []
    for prefix in prefixes:
        # one 15 s window in three is a burst
        burst = 1.3 if int(now / 15) % 3 == 0 else 0.85
        now += rng.expovariate(rate * burst)
        decode_s = rng.expovariate(1 / MEAN_DECODE_S)
        trace.append(Request(now, prefix, decode_s, rng.randrange(ENTRIES)))
    return trace


def measure_policy(
    name: str, seed: int, count: int, *, fault: str = '', ejects: bool = True
) -> str:
    """Simulate one policy on the trace and return its figures as text.

    :param fault: ``slow`` or ``dead`` for the first upstream, default none.
    """
    rng = random.Random(seed)
    upstreams = [
        Upstream(f'u{number}', number % FAILURE_DOMAINS)
        for number in range(UPSTREAMS)
    ]
    upstreams[0].slowness = 10.0 if fault == 'slow' else 1.0
    upstreams[0].is_dead = fault == 'dead'
    trace = make_trace(seed, count)
    policy = POLICIES[name](rng)
    FleetSimulation(policy, upstreams, rng, ejects=ejects).run(trace)
    done = [req for req in trace if not req.has_failed]
    times = sorted(req.first_token_s for req in done)
    hits = sum(req.was_cached for req in done) / len(done)
    return (
        f'p50 {statistics.median(times):7.3f} s  '
        f'p99 {times[int(len(times) * 0.99)]:7.3f} s  '
        f'hits {hits:.3f}  failed {1 - len(done) / len(trace):.4f}'
    )


def main() -> None:
    """Print the figures of each policy and fault."""
    options = docopt.docopt(__doc__)
    seed, count = int(options['--seed']), int(options['--requests'])
    print(f'routing: seed {seed}, {count} requests, baseline random')
    for name in POLICIES:
        print(f'{name:16} {measure_policy(name, seed, count)}')
    faults = itertools.product(('slow', 'dead'), ROUTING_POLICIES)
    for fault, name in faults:
        for ejects in (False, True):
            line = measure_policy(
                name, seed, count, fault=fault, ejects=ejects
            )
            state = 'ejecting' if ejects else 'as it is'
            print(f'one {fault} {name:16} {state} {line}')


if __name__ == '__main__':
    main()
