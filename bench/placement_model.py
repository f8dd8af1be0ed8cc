"""bench.placement_model: replays online peaks with reports that are old.

Entries place requests on upstreams. Each knows its own requests and, of the
others, what their last reports said. An upstream runs as many requests as it
has slots and queues the others in order of arrival.
"""

import collections
import heapq
import random
from collections.abc import Callable

import attrs

from briarrill.coordination.placement import (
    UpstreamCandidate,
    choose_candidate,
    estimate_unreported,
)

__all__ = ('PLACEMENTS', 'Fleet', 'replay_peaks')

PEAK_EVERY_S = 5.2
PEAK_LENGTH_S = 2.2

Choice = Callable[
    [list[UpstreamCandidate], random.Random, float], UpstreamCandidate
]


@attrs.frozen
class Fleet:
    """A fleet and its load.

    :param report_interval_s: time between two reports of an entry.
    :param rates: requests a second between and in peaks.
    """

    entries: int
    upstreams: int
    slots: int
    report_interval_s: float
    rates: tuple[float, float]
    service_s: float = 0.7
    length_s: float = 31.2


@attrs.define
class _State:
    """Requests by entry and upstream, as they are and as last reported."""

    actual: list[collections.Counter[int]]
    reported: list[collections.Counter[int]]
    total_reported: collections.Counter[int]
    queues: list[int]

    def report(self, entry: int) -> None:
        """Let an entry's requests be known to the others."""
        self.total_reported.subtract(self.reported[entry])
        self.reported[entry] = collections.Counter(self.actual[entry])
        self.total_reported.update(self.reported[entry])

    def known(self, entry: int, upstream: int) -> int:
        """Return the requests at an upstream that an entry knows of."""
        return (
            self.total_reported[upstream]
            - self.reported[entry][upstream]
            + self.actual[entry][upstream]
        )


def replay_peaks(fleet: Fleet, choose: Choice, seed: int) -> list[float]:
    """Place requests for some peaks.

    :return: the time that each request waited for a slot, in seconds.
    """
    rng = random.Random(seed)
    state = _State(
        [collections.Counter() for _ in range(fleet.entries)],
        [collections.Counter() for _ in range(fleet.entries)],
        collections.Counter(),
        [],
    )
    # time, kind (0 end, 1 report, 2 arrival), entry, upstream
    events: list[tuple[float, int, int, int]] = [
        (rng.uniform(0, fleet.report_interval_s), 1, entry, 0)
        for entry in range(fleet.entries)
    ]
    heapq.heapify(events)
    heapq.heappush(events, (0.0, 2, 0, 0))
    slots_free_at = [
        [0.0 for _ in range(fleet.slots)] for _ in range(fleet.upstreams)
    ]
    waits: list[float] = []
    while events:
        now, kind, entry, upstream = heapq.heappop(events)
        if now > fleet.length_s:
            break
        if kind == 0:
            state.actual[entry][upstream] -= 1
        elif kind == 1:
            state.report(entry)
            due = now + fleet.report_interval_s * rng.uniform(0.8, 1)
            heapq.heappush(events, (due, 1, entry, 0))
        else:
            in_peak = now % PEAK_EVERY_S < PEAK_LENGTH_S
            due = now + rng.expovariate(fleet.rates[in_peak])
            heapq.heappush(events, (due, 2, 0, 0))
            entry = rng.randrange(fleet.entries)
            candidates = _candidates(fleet, state, entry)
            unreported = estimate_unreported(
                sum(state.total_reported.values()),
                fleet.report_interval_s / 2,
                fleet.service_s,
            )
            chosen = int(choose(candidates, rng, unreported).name)
            free_at = slots_free_at[chosen]
            began_at = max(now, heapq.heappop(free_at))
            ends_at = began_at + fleet.service_s * rng.uniform(0.5, 1.5)
            heapq.heappush(free_at, ends_at)
            state.actual[entry][chosen] += 1
            heapq.heappush(events, (ends_at, 0, entry, chosen))
            waits.append(began_at - now)
    return waits


def _candidates(
    fleet: Fleet, state: _State, entry: int
) -> list[UpstreamCandidate]:
    return [
        UpstreamCandidate(
            str(upstream), fleet.slots, state.known(entry, upstream), 0
        )
        for upstream in range(fleet.upstreams)
    ]


def _random(
    candidates: list[UpstreamCandidate], rng: random.Random, unreported: float
) -> UpstreamCandidate:
    """Baseline: any upstream."""
    return rng.choice(candidates)


def _shortest(
    candidates: list[UpstreamCandidate], rng: random.Random, unreported: float
) -> UpstreamCandidate:
    """Baseline: the fewest known requests."""
    return min(
        rng.sample(candidates, len(candidates)), key=lambda one: one.load
    )


def _placement(
    candidates: list[UpstreamCandidate], rng: random.Random, unreported: float
) -> UpstreamCandidate:
    """The placement of the relay."""
    return choose_candidate(candidates, rng, 0.09, 0.7, unreported)


def _lowest_load(
    candidates: list[UpstreamCandidate], rng: random.Random, unreported: float
) -> UpstreamCandidate:
    """The version before: the lowest reported load of all."""
    return choose_candidate(candidates, rng, 0.09, 0.7)


#: Name to the way in which entries choose an upstream.
PLACEMENTS: dict[str, Choice] = {
    'random': _random,
    'shortest queue': _shortest,
    'lowest load': _lowest_load,
    'placement': _placement,
}
