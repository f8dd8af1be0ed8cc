"""briarrill.relay.upstream_owners: who counts the requests at an upstream.

The owner of an upstream starts and preempts the batch items there. The lender
of its group chooses upstreams for online requests.
"""

import attrs

from ..coordination.batch_shares import upstream_owner
from ..coordination.even_load.upstream_groups import (
    UpstreamGroup,
    deal_groups,
    lender_of,
)
from ..coordination.load_exchange import LoadExchange
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable

__all__ = ('UpstreamOwners',)

# mean age of reports above which owners are told of each request at once
MAX_REPORT_AGE_S = 0.06


@attrs.define
class UpstreamOwners:
    """Finds the owners and lenders of upstreams, and tells them of requests.

    Regular reports tell them unless these take too long.
    """

    upstreams: UpstreamTable
    load: LoadExchange

    def groups(self, service: str) -> tuple[UpstreamGroup, ...]:
        """Return the groups of a service, none if nobody may lend."""
        processes = tuple(sorted(self.load.peer_load.item_hosts))
        if not processes:
            return ()
        upstream_ids = tuple(sorted(self._accepting_ids(service)))
        return deal_groups(service, upstream_ids, processes)

    def tell_owner(self, upstream: RegisteredUpstream) -> None:
        """Report to an upstream's owner if regular reports take too long."""
        if self.load.mean_report_age_s < MAX_REPORT_AGE_S:
            return
        host = self.owner_host(upstream.upstream_id, upstream.service)
        if host is not None:
            self.load.report_to(host)

    def tell_lender(self, upstream: RegisteredUpstream) -> None:
        """Tell an upstream's lender that a request there has ended."""
        if self.load.mean_report_age_s < MAX_REPORT_AGE_S:
            return
        host = lender_of(
            upstream.upstream_id,
            self.groups(upstream.service),
            self.load.peer_load.item_hosts,
        )
        if host is not None:
            self.load.messages.places.tell_end(host, upstream.upstream_id)

    def owner_host(self, upstream_id: str, service: str) -> str | None:
        """Return the host of the process that owns an upstream, if any."""
        upstream_ids = self._accepting_ids(service)
        hosts = self.load.peer_load.item_hosts
        if upstream_id not in upstream_ids:
            return None
        return hosts.get(
            upstream_owner(upstream_id, list(hosts), upstream_ids)
        )

    def _accepting_ids(self, service: str) -> list[str]:
        return [
            upstream.upstream_id
            for upstream in self.upstreams.accepting_upstreams(service)
        ]
