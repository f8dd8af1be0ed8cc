"""briarrill.coordination.competition.fair_level: share room among customers.

Load pattern: a few customers send several times their usual amount and fill
all upstreams. Room goes to higher ranks first. Within the first rank whose
work does not fit, customers that need less than their share get all they
need, and the others get equal shares of the rest, by weight.
"""

import math
from collections.abc import Iterable, Mapping

import attrs

from .recent_work import Claimant

__all__ = ('Claim', 'fair_levels')


@attrs.frozen
class Claim:
    """Work of a customer that competes.

    :param weight: its share relative to those of others.
    """

    tokens: float
    weight: float = 1.0

    @property
    def level(self) -> float:
        """Return the work per unit of weight."""
        return self.tokens / self.weight


def fair_levels(
    claims: Mapping[Claimant, Claim],
    others: Mapping[int, float],
    capacity: float,
) -> dict[int, float]:
    """Return the work per unit of weight that each rank may have.

    It is infinite for ranks whose work fits.

    :param others: work by rank that is not limited.
    :param capacity: work of all customers for which there is room.
    """
    levels: dict[int, float] = {}
    left = capacity
    for rank in sorted({*others, *(rank for rank, _ in claims)}):
        own = [claim for key, claim in claims.items() if key[0] == rank]
        left -= others.get(rank, 0)
        demand = sum(claim.tokens for claim in own)
        levels[rank] = (
            math.inf if demand <= left else _equal_level(own, max(0, left))
        )
        left -= demand
    return levels


def _equal_level(claims: Iterable[Claim], capacity: float) -> float:
    """Return the level at which claims that are cut to it fill a capacity."""
    ordered = sorted(claims, key=lambda claim: claim.level)
    weight = sum(claim.weight for claim in ordered)
    left = capacity
    for claim in ordered:
        if claim.level * weight >= left:
            return left / weight
        left -= claim.tokens
        weight -= claim.weight
    return math.inf
