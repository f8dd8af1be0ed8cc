"""briarrill.relay.placer: place requests by reports, lenders and probes."""

import contextlib
import random
from collections.abc import Iterator, Sequence

import attrs

from ..coordination.even_load.load_interpretation import (
    KnownLoad,
    choose_interpreted,
)
from ..coordination.even_load.upstream_groups import UpstreamGroup
from ..coordination.load_exchange import LoadExchange
from ..coordination.placement import (
    UpstreamCandidate,
    best_candidate,
    estimate_unreported,
    sample_candidates,
    suitable_candidates,
)
from ..coordination.upstream_table import RegisteredUpstream
from .upstream_owners import UpstreamOwners

__all__ = ('Placer',)

# requests that reports may lack before other processes are asked for places
MAX_UNREPORTED = 4.0


@attrs.define
class Placer:
    """Chooses upstreams, and tells the processes that count requests there.

    While load reports lack many requests, the process that lends the places
    of a group of upstreams chooses. If it does not reply, the owners of a few
    upstreams are probed for their loads.
    """

    load: LoadExchange
    owners: UpstreamOwners
    rng: random.Random

    async def choose(
        self,
        candidates: Sequence[UpstreamCandidate],
        service: str,
        *,
        tolerance_s: float,
        service_time_s: float,
    ) -> UpstreamCandidate:
        """Return the upstream for one more request."""
        unreported = self._unreported(service_time_s)
        if unreported > MAX_UNREPORTED:
            suitable = suitable_candidates(
                candidates, tolerance_s, service_time_s
            )
            lent = await self._borrow(suitable, service, unreported)
            if lent is not None:
                return lent
        sample = sample_candidates(
            candidates, self.rng, tolerance_s, service_time_s, unreported
        )
        if unreported > MAX_UNREPORTED and len(sample) > 1:
            sample = await self._probe(sample, service)
        return best_candidate(sample)

    @contextlib.contextmanager
    def placed(
        self, upstream: RegisteredUpstream, tokens_to_hold: int = 0
    ) -> Iterator[None]:
        """Count a request at an upstream; tell its owner when that changes.

        :param tokens_to_hold: the most that the request may hold.
        """
        tokens = self.load.knowledge.tokens_to_count(upstream, tokens_to_hold)
        try:
            with self.load.in_flight.counted(
                upstream.upstream_id, is_batch=False, tokens=tokens
            ):
                self.owners.tell_owner(upstream)
                yield
        finally:
            self.owners.tell_owner(upstream)
            self.owners.tell_lender(upstream)

    def _unreported(self, service_time_s: float) -> float:
        """Estimate the requests that the peers' reports lack."""
        return estimate_unreported(
            sum(self.load.peer_load.online.values()),
            self.load.mean_report_age_s,
            service_time_s,
        )

    async def _borrow(
        self,
        candidates: Sequence[UpstreamCandidate],
        service: str,
        unreported: float,
    ) -> UpstreamCandidate | None:
        """Return the choice of the lender of a group of upstreams.

        The group is chosen by the loads that the reports tell, out of two if
        a part of the request lies in one of them.

        :return: None if it does not reply, or if nobody may lend.
        """
        lent = [
            (group.lender, members)
            for group in self.owners.groups(service)
            if (members := _members(group, candidates))
        ]
        if not lent:
            return None
        loads = [_known_load(members) for _, members in lent]
        chosen = choose_interpreted(loads, 1 + unreported, self.rng)
        if not _holds_parts(lent[chosen][1]):
            other = choose_interpreted(loads, 1 + unreported, self.rng)
            chosen = other if _holds_parts(lent[other][1]) else chosen
        lender, members = lent[chosen]
        host = self.load.peer_load.item_hosts.get(lender)
        if host is None:
            return None
        return await self.load.messages.places.ask(host, members)

    async def _probe(
        self, sample: Sequence[UpstreamCandidate], service: str
    ) -> list[UpstreamCandidate]:
        """Return the candidates with the loads that their owners reply."""
        hosts = {
            one.name: host
            for one in sample
            if (host := self.owners.owner_host(one.name, service)) is not None
        }
        replies = await self.load.messages.prober.probe(hosts)
        return [
            attrs.evolve(one, online=reply.online, batch=reply.batch)
            if (reply := replies.get(one.name))
            else one
            for one in sample
        ]


def _members(
    group: UpstreamGroup, candidates: Sequence[UpstreamCandidate]
) -> list[UpstreamCandidate]:
    return [one for one in candidates if one.name in group.upstream_ids]


def _known_load(members: Sequence[UpstreamCandidate]) -> KnownLoad:
    """Return the load of several upstreams together."""
    return KnownLoad(
        sum(one.online + one.batch for one in members),
        sum(max(1, one.slots) * one.speed for one in members),
    )


def _holds_parts(members: Sequence[UpstreamCandidate]) -> bool:
    return any(one.saved_share for one in members)
