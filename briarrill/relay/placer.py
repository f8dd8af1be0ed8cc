"""briarrill.relay.placer: place requests by reports and probes."""

import contextlib
import random
from collections.abc import Iterator, Sequence

import attrs

from ..coordination.batch_shares import upstream_owner
from ..coordination.load_exchange import LoadExchange
from ..coordination.placement import (
    UpstreamCandidate,
    best_candidate,
    estimate_unreported,
    sample_candidates,
)
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable

__all__ = ('Placer',)

# requests that reports may lack before owners of upstreams are probed
MAX_UNREPORTED = 4.0

# mean age of reports above which owners are told of each request at once
MAX_REPORT_AGE_S = 0.06


@attrs.define
class Placer:
    """Chooses upstreams, and tells their owners of the requests there."""

    upstreams: UpstreamTable
    load: LoadExchange
    rng: random.Random

    async def choose(
        self,
        candidates: Sequence[UpstreamCandidate],
        service: str,
        *,
        tolerance_s: float,
        service_time_s: float,
    ) -> UpstreamCandidate:
        """Return the upstream for one more request.

        The upstreams to compare are probed if the reports lack too many
        requests.
        """
        unreported = self._unreported(service_time_s)
        sample = sample_candidates(
            candidates, self.rng, tolerance_s, service_time_s, unreported
        )
        if unreported > MAX_UNREPORTED and len(sample) > 1:
            sample = await self._probe(sample, service)
        return best_candidate(sample)

    @contextlib.contextmanager
    def placed(self, upstream: RegisteredUpstream) -> Iterator[None]:
        """Count a request at an upstream; tell its owner when that changes."""
        in_flight = self.load.in_flight
        try:
            with in_flight.counted(upstream.upstream_id, is_batch=False):
                self._tell_owner(upstream)
                yield
        finally:
            self._tell_owner(upstream)

    def _unreported(self, service_time_s: float) -> float:
        """Estimate the requests that the peers' reports lack."""
        return estimate_unreported(
            sum(self.load.peer_load.online.values()),
            self.load.mean_report_age_s,
            service_time_s,
        )

    async def _probe(
        self, sample: Sequence[UpstreamCandidate], service: str
    ) -> list[UpstreamCandidate]:
        """Return the candidates with the loads that their owners reply."""
        hosts = {
            one.name: host
            for one in sample
            if (host := self._owner_host(one.name, service)) is not None
        }
        replies = await self.load.prober.probe(hosts)
        return [
            attrs.evolve(one, online=reply.online, batch=reply.batch)
            if (reply := replies.get(one.name))
            else one
            for one in sample
        ]

    def _tell_owner(self, upstream: RegisteredUpstream) -> None:
        """Report to an upstream's owner if regular reports take too long."""
        if self.load.mean_report_age_s < MAX_REPORT_AGE_S:
            return
        host = self._owner_host(upstream.upstream_id, upstream.service)
        if host is not None:
            self.load.report_to(host)

    def _owner_host(self, upstream_id: str, service: str) -> str | None:
        """Return the host of the process that owns an upstream, if any."""
        upstream_ids = [
            upstream.upstream_id
            for upstream in self.upstreams.accepting_upstreams(service)
        ]
        hosts = self.load.peer_load.item_hosts
        if upstream_id not in upstream_ids:
            return None
        return hosts.get(
            upstream_owner(upstream_id, list(hosts), upstream_ids)
        )
