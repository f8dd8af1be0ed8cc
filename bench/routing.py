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
SLOTS = 8
CACHED_PREFIXES = 40
PREFIXES = 400
PREFIX_SKEW = 0.9

HIT_S = 0.03
MISS_S = 0.4
DECODE_S = 1.0
UTILIZATION = 0.75

REPORT_INTERVAL_S = 0.25
REFUSED_S = 0.002
MAX_ATTEMPTS = 3
DOMAINS = 3
CROSS_DOMAIN_S = 0.0015
FAR_PENALTY = 0.05


@attrs.define
class Upstream:
    """A model engine behind its sidecar."""

    name: str
    domain: int
    slowness: float = 1.0
    is_dead: bool = False
    running: int = 0
    queue: collections.deque[Any] = attrs.field(factory=collections.deque)
    cache: collections.OrderedDict[int, None] = attrs.field(
        factory=collections.OrderedDict
    )

    def has_cached(self, prefix: int) -> bool:
        """Cache the prefix; return whether it was cached before."""
        hit = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return hit


@attrs.define
class Link:
    """What one entry knows of an upstream, as briarrill.entry.links."""

    upstream: Upstream
    is_near: bool
    in_flight: int = 0
    reported_running: int = 0
    reported_queued: int = 0

    @property
    def name(self) -> str:
        """Return the upstream's name."""
        return self.upstream.name

    @property
    def load(self) -> float:
        """Return the load by the same formula as a link's."""
        running = max(self.in_flight, self.reported_running)
        return (running + self.reported_queued) / SLOTS


@attrs.define(eq=False)
class Request:
    """One request of the trace and its outcome."""

    arrived: float
    prefix: int
    decode_s: float
    entry: int
    tried: set[str] = attrs.field(factory=set)
    sent: float = 0
    first_token_s: float = 0
    was_cached: bool = False
    has_failed: bool = False


_Event = tuple[float, int, Callable[[], None]]


class NearTwoChoices(TwoChoicesPolicy):
    """Two choices that count an upstream of another domain as busier."""

    def choose(
        self, candidates: Sequence[Candidate], prefix_key: str
    ) -> Candidate:
        """Return the less loaded of two after the penalty."""
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=_load_with_penalty)


def _load_with_penalty(link: Candidate) -> float:
    assert isinstance(link, Link)
    return link.load + FAR_PENALTY * (not link.is_near)


POLICIES = {**ROUTING_POLICIES, 'two-choices-near': NearTwoChoices}


def _links_of(entry: int, upstreams: list[Upstream]) -> list[Link]:
    """Return the links of an entry, which is in the domain of its number."""
    return [Link(one, one.domain == entry % DOMAINS) for one in upstreams]


class Model:
    """Runs a trace.

    :param policy: one of the real policies.
    :param ejects: whether entries leave out upstreams that fail or lag.
    """

    def __init__(
        self,
        policy: RoutingPolicy,
        upstreams: list[Upstream],
        rng: random.Random,
        *,
        ejects: bool,
    ) -> None:
        """Start at time zero."""
        self.now = 0.0
        self._policy = policy
        self._upstreams = upstreams
        self._ejects = ejects
        self._links = [_links_of(entry, upstreams) for entry in range(ENTRIES)]
        self._ejectors = [Ejector(rng, self.clock) for _ in range(ENTRIES)]
        self._budgets = [RetryBudgets() for _ in range(ENTRIES)]
        self._events: list[_Event] = []
        self._order = itertools.count()

    def clock(self) -> float:
        """Return the time of the model."""
        return self.now

    def run(self, trace: list[Request]) -> None:
        """Run until the last request has ended."""
        for req in trace:
            self._at(req.arrived, functools.partial(self._arrive, req))
        last = trace[-1].arrived
        for step in range(int(last / REPORT_INTERVAL_S)):
            self._at(step * REPORT_INTERVAL_S, self._report)
        while self._events:
            self.now, _, act = heapq.heappop(self._events)
            act()

    def _at(self, time_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._order), act))

    def _report(self) -> None:
        for links in self._links:
            for link in links:
                link.reported_running = link.upstream.running
                link.reported_queued = len(link.upstream.queue)

    def _arrive(self, req: Request) -> None:
        self._budgets[req.entry].record_request('c')
        self._send(req)

    def _send(self, req: Request) -> None:
        links = self._links[req.entry]
        untried = [link for link in links if link.name not in req.tried]
        if self._ejects:
            untried = self._ejectors[req.entry].eligible(untried)
        link = self._policy.choose(untried, f'prefix-{req.prefix}')
        assert isinstance(link, Link)
        req.tried.add(link.name)
        req.sent = self.now
        link.in_flight += 1
        if link.upstream.is_dead:
            self._at(
                self.now + REFUSED_S, functools.partial(self._fail, req, link)
            )
            return
        link.upstream.queue.append((req, link))
        self._start_next(link.upstream)

    def _start_next(self, upstream: Upstream) -> None:
        if not upstream.queue or upstream.running >= SLOTS:
            return
        req, link = upstream.queue.popleft()
        upstream.running += 1
        req.was_cached = upstream.has_cached(req.prefix)
        prefill_s = HIT_S if req.was_cached else MISS_S
        first_at = self.now + prefill_s * upstream.slowness
        self._at(first_at, functools.partial(self._begin, req, link))
        end_at = first_at + req.decode_s * upstream.slowness
        self._at(end_at, functools.partial(self._end, link))

    def _begin(self, req: Request, link: Link) -> None:
        req.first_token_s = self.now - req.arrived
        if not link.is_near:
            req.first_token_s += 2 * CROSS_DOMAIN_S
        ejector = self._ejectors[req.entry]
        ejector.record_first_chunk(link.name, self.now - req.sent)

    def _end(self, link: Link) -> None:
        link.in_flight -= 1
        link.upstream.running -= 1
        self._start_next(link.upstream)

    def _fail(self, req: Request, link: Link) -> None:
        link.in_flight -= 1
        self._ejectors[req.entry].record_failure(link.name)
        has_budget = self._budgets[req.entry].try_spend_retry('c')
        if len(req.tried) >= MAX_ATTEMPTS or not has_budget:
            req.has_failed = True
            return
        self._send(req)


def make_trace(seed: int, count: int) -> list[Request]:
    """Return bursty arrivals over prefixes of uneven popularity."""
    rng = random.Random(seed)
    weights = [1 / (rank + 1) ** PREFIX_SKEW for rank in range(PREFIXES)]
    prefixes = rng.choices(range(PREFIXES), weights, k=count)
    rate = UPSTREAMS * SLOTS * UTILIZATION / (DECODE_S + MISS_S / 2)
    now = 0.0
    trace = []
    for prefix in prefixes:
        # every third quarter of a minute is a burst
        burst = 1.3 if int(now / 15) % 3 == 0 else 0.85
        now += rng.expovariate(rate * burst)
        decode_s = rng.expovariate(1 / DECODE_S)
        trace.append(Request(now, prefix, decode_s, rng.randrange(ENTRIES)))
    return trace


def measure(
    name: str, seed: int, count: int, *, fault: str = '', ejects: bool = True
) -> str:
    """Run one policy on the trace and return its line."""
    rng = random.Random(seed)
    upstreams = [
        Upstream(f'u{number}', number % DOMAINS) for number in range(UPSTREAMS)
    ]
    upstreams[0].slowness = 10.0 if fault == 'slow' else 1.0
    upstreams[0].is_dead = fault == 'dead'
    trace = make_trace(seed, count)
    policy = POLICIES[name](rng)
    Model(policy, upstreams, rng, ejects=ejects).run(trace)
    done = [req for req in trace if not req.has_failed]
    times = sorted(req.first_token_s for req in done)
    hits = sum(req.was_cached for req in done) / len(done)
    return (
        f'p50 {statistics.median(times):7.3f} s  '
        f'p99 {times[int(len(times) * 0.99)]:7.3f} s  '
        f'hits {hits:.3f}  failed {1 - len(done) / len(trace):.4f}'
    )


def main() -> None:
    """Print a line for each policy and fault."""
    options = docopt.docopt(__doc__)
    seed, count = int(options['--seed']), int(options['--requests'])
    print(f'routing: seed {seed}, {count} requests, baseline random')
    for name in POLICIES:
        print(f'{name:16} {measure(name, seed, count)}')
    faulty = itertools.product(('slow', 'dead'), ROUTING_POLICIES)
    for fault, name in faulty:
        for ejects in (False, True):
            line = measure(name, seed, count, fault=fault, ejects=ejects)
            state = 'ejecting' if ejects else 'as it is'
            print(f'one {fault} {name:16} {state} {line}')


if __name__ == '__main__':
    main()
