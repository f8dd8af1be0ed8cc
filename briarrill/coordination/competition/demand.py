"""briarrill.coordination.competition.demand: recent work at all processes.

Each process sees only some of a customer's requests. While the slots of a
service are short, each reports its busiest customers by name and the others
as one sum, in the load reports that are sent anyway.
"""

import math
from collections.abc import Callable, Iterable, Mapping

import attrs

from ...protocol.demand_news import CustomerWork, ServiceDemand
from .fair_level import Claim, fair_levels
from .recent_work import Claimant, RecentWork

__all__ = ('FleetDemand', 'make_demand')

# customers that a process reports by name; with the usual skew of demand they
# send most of the work, and a report grows by some 400 bytes
REPORTED_CUSTOMERS = 8

# time for which computed levels hold; no longer than the pause of load reports
LEVEL_VALIDITY_S = 0.04


def make_demand(recent: RecentWork, waiting: int, now: float) -> ServiceDemand:
    """Return what a process reports of a service whose slots are short."""
    busiest = recent.busiest(REPORTED_CUSTOMERS, now)
    others: dict[int, float] = {}
    for (rank, name), tokens in recent.decay(now).items():
        if (rank, name) not in busiest:
            others[rank] = others.get(rank, 0) + tokens
    return ServiceDemand(
        tuple(
            CustomerWork(rank, name, round(tokens))
            for (rank, name), tokens in busiest.items()
        ),
        {rank: float(round(tokens)) for rank, tokens in others.items()},
        waiting,
    )


@attrs.define
class FleetDemand:
    """Recent work of customers at all processes, and their fair levels.

    :param weight_of: returns a customer's weight by its name.
    """

    weight_of: Callable[[str], float]
    peers: Mapping[Claimant, float] = attrs.field(factory=dict, init=False)
    waiting: int = attrs.field(default=0, init=False)
    processes: int = attrs.field(default=1, init=False)
    _levels: dict[int, float] = attrs.field(factory=dict, init=False)
    _valid_until: float = attrs.field(default=0.0, init=False)

    def level(self, rank: int) -> float:
        """Return the work per unit of weight that a rank may have.

        A rank without recent work is not limited.
        """
        return self._levels.get(rank, math.inf)

    def update(
        self,
        own: RecentWork,
        reports: Callable[[], Iterable[ServiceDemand]],
        taken: float,
        now: float,
    ) -> None:
        """Compute the levels again, unless they are valid.

        :param reports: returns the newest demands of the peers.
        :param taken: requests of all customers for each slot.
        """
        if now < self._valid_until:
            return
        self._valid_until = now + LEVEL_VALIDITY_S
        others = self._add_peers(reports())
        tokens = dict(self.peers)
        for claimant, amount in own.decay(now).items():
            tokens[claimant] = tokens.get(claimant, 0) + amount
        total = sum(tokens.values()) + sum(others.values())
        self._levels = fair_levels(
            {
                claimant: Claim(amount, self.weight_of(claimant[1]))
                for claimant, amount in tokens.items()
            },
            others,
            # the recent work fills the slots so far
            total / taken if taken > 1 else math.inf,
        )

    def _add_peers(self, demands: Iterable[ServiceDemand]) -> dict[int, float]:
        """Add up the peers' demands; return that of unnamed customers."""
        peers: dict[Claimant, float] = {}
        others: dict[int, float] = {}
        self.waiting = 0
        self.processes = 1
        for demand in demands:
            self.processes += 1
            self.waiting += demand.waiting
            for one in demand.busiest:
                key = one.rank, one.customer
                peers[key] = peers.get(key, 0) + one.tokens
            for rank, tokens in demand.others.items():
                others[rank] = others.get(rank, 0) + tokens
        self.peers = peers
        return others
