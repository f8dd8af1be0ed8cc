"""briarrill.coordination.routing: load-balancing policies."""

import abc
import random
from collections.abc import Sequence
from typing import Protocol

from ..state.rendezvous import rank_nodes

__all__ = (
    'ROUTING_POLICIES',
    'AffinityPolicy',
    'BoundedAffinityPolicy',
    'Candidate',
    'RandomPolicy',
    'RoutingPolicy',
    'TwoChoicesPolicy',
)

# ratio to the mean load up to which a prefix's preferred upstream is chosen
AFFINITY_LOAD_BOUND = 1.25


class Candidate(Protocol):
    """An upstream with its name and load."""

    @property
    def name(self) -> str:
        """Return the upstream's name."""

    @property
    def load(self) -> float:
        """Return its load, 1.0 when all slots are in use."""


class RoutingPolicy(abc.ABC):
    """Chooses one of the upstreams that can serve a request.

    :param rng: random number generator of the choice.
    """

    name = ''

    def __init__(self, rng: random.Random) -> None:
        """Store the random number generator."""
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
    """Chooses at random, regardless of load."""

    name = 'random'

    def choose(
        self, candidates: Sequence[Candidate], prefix_key: str
    ) -> Candidate:
        """Return a random candidate."""
        return self._rng.choice(candidates)


class TwoChoicesPolicy(RoutingPolicy):
    """Chooses the less loaded of two random candidates."""

    name = 'two-choices'

    def choose(
        self, candidates: Sequence[Candidate], prefix_key: str
    ) -> Candidate:
        """Return the less loaded of two random candidates."""
        if len(candidates) == 1:
            return candidates[0]
        pair = self._rng.sample(candidates, 2)
        return min(pair, key=lambda candidate: candidate.load)


class AffinityPolicy(TwoChoicesPolicy):
    """Chooses the upstream that likely has the prompt prefix cached.

    Falls back to two random choices when that upstream is overloaded.
    """

    name = 'affinity'

    def choose(
        self, candidates: Sequence[Candidate], prefix_key: str
    ) -> Candidate:
        """Return the prefix's upstream, or the less loaded of two."""
        by_name = {candidate.name: candidate for candidate in candidates}
        mean = sum(candidate.load for candidate in candidates) / len(by_name)
        preferred = by_name[rank_nodes(prefix_key, by_name)[0]]
        if preferred.load <= max(mean, 1 / len(by_name)) * AFFINITY_LOAD_BOUND:
            return preferred
        return super().choose(candidates, prefix_key)


class BoundedAffinityPolicy(RoutingPolicy):
    """Chooses the first upstream in rank order whose load is in bounds.

    Each prefix has a rank order of its own. All its requests that overflow
    the first upstream go to the same second one and share its cache.
    """

    name = 'bounded-affinity'

    def choose(
        self, candidates: Sequence[Candidate], prefix_key: str
    ) -> Candidate:
        """Return the first upstream under the bound, or the least loaded."""
        by_name = {candidate.name: candidate for candidate in candidates}
        mean = sum(candidate.load for candidate in candidates) / len(by_name)
        bound = max(mean, 1 / len(by_name)) * AFFINITY_LOAD_BOUND
        for name in rank_nodes(prefix_key, by_name):
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
