"""briarrill.coordination.routing: choose an upstream for a request."""

import abc
import random
from collections.abc import Sequence
from typing import Protocol

from ..state.rendezvous import rank

__all__ = (
    'ROUTING_POLICIES',
    'AffinityPolicy',
    'BoundedAffinityPolicy',
    'Candidate',
    'RandomPolicy',
    'RoutingPolicy',
    'TwoChoicesPolicy',
)

# a preferred upstream may be this much more loaded than the mean
AFFINITY_LOAD_BOUND = 1.25


class Candidate(Protocol):
    """What routing needs to know of an upstream."""

    @property
    def name(self) -> str:
        """Return the upstream's name."""

    @property
    def load(self) -> float:
        """Return its load, 1.0 when all slots are taken."""


class RoutingPolicy(abc.ABC):
    """Chooses among upstreams that can serve a request.

    :param rng: source of randomness.
    """

    name = ''

    def __init__(self, rng: random.Random) -> None:
        """Keep the source of randomness."""
        self._rng = rng

    @abc.abstractmethod
    def choose(
        self, candidates: Sequence[Candidate], prefix_key: str
    ) -> Candidate:
        """Return one of the candidates.

        :param candidates: at least one.
        :param prefix_key: equal for requests that share a prompt prefix.
        """


class RandomPolicy(RoutingPolicy):
    """Any candidate, whatever its load."""

    name = 'random'

    def choose(
        self, candidates: Sequence[Candidate], prefix_key: str
    ) -> Candidate:
        """Return a random candidate."""
        return self._rng.choice(candidates)


class TwoChoicesPolicy(RoutingPolicy):
    """The less loaded of two random candidates."""

    name = 'two-choices'

    def choose(
        self, candidates: Sequence[Candidate], prefix_key: str
    ) -> Candidate:
        """Return the less loaded of two."""
        if len(candidates) == 1:
            return candidates[0]
        pair = self._rng.sample(candidates, 2)
        return min(pair, key=lambda candidate: candidate.load)


class AffinityPolicy(TwoChoicesPolicy):
    """The upstream that likely has the prefix cached, unless overloaded."""

    name = 'affinity'

    def choose(
        self, candidates: Sequence[Candidate], prefix_key: str
    ) -> Candidate:
        """Return the prefix's upstream or the better of two others."""
        by_name = {candidate.name: candidate for candidate in candidates}
        mean = sum(candidate.load for candidate in candidates) / len(by_name)
        preferred = by_name[rank(prefix_key, by_name)[0]]
        if preferred.load <= max(mean, 1 / len(by_name)) * AFFINITY_LOAD_BOUND:
            return preferred
        return super().choose(candidates, prefix_key)


class BoundedAffinityPolicy(RoutingPolicy):
    """The first in the prefix's order whose load is under the bound.

    A prefix that overflows its first upstream goes to the same second one.
    """

    name = 'bounded-affinity'

    def choose(
        self, candidates: Sequence[Candidate], prefix_key: str
    ) -> Candidate:
        """Return the first under the bound, or the least loaded."""
        by_name = {candidate.name: candidate for candidate in candidates}
        mean = sum(candidate.load for candidate in candidates) / len(by_name)
        bound = max(mean, 1 / len(by_name)) * AFFINITY_LOAD_BOUND
        for name in rank(prefix_key, by_name):
            if by_name[name].load <= bound:
                return by_name[name]
        return min(candidates, key=lambda candidate: candidate.load)


ROUTING_POLICIES = {
    policy.name: policy
    for policy in (
        RandomPolicy,
        TwoChoicesPolicy,
        AffinityPolicy,
        BoundedAffinityPolicy,
    )
}
