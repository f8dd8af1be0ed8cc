"""briarrill.coordination.even_load.upstream_groups: who lends which places.

The upstreams of a service are dealt out to groups, and each group to one
process, the lender, which counts all requests there. The load of a group is
known better than that of a single upstream, since the errors of old reports
cancel out in it, and within the group the lender's counts are exact.
"""

import functools
import math
from collections.abc import Mapping, Sequence

import attrs

from ...state.rendezvous import rank_nodes

__all__ = ('UpstreamGroup', 'deal_groups', 'lender_of')

#: Upstreams of a group; a lender of more would decide about a larger part of
#: a service alone, one of fewer would level fewer loads.
GROUP_SIZE = 8

# results of deal_groups that are kept, some for each service
MAX_CACHED_DEALS = 32


@attrs.frozen
class UpstreamGroup:
    """Upstreams whose places one process lends.

    :param lender: name of that process.
    """

    lender: str
    upstream_ids: frozenset[str]


@functools.lru_cache(maxsize=MAX_CACHED_DEALS)
def deal_groups(
    service: str, upstream_ids: tuple[str, ...], processes: tuple[str, ...]
) -> tuple[UpstreamGroup, ...]:
    """Return the groups of a service, the same at all processes.

    :param upstream_ids: of all its upstreams that accept requests.
    :param processes: that may lend, at least one.
    """
    ordered = sorted(upstream_ids)
    count = math.ceil(len(ordered) / GROUP_SIZE)
    return tuple(
        UpstreamGroup(
            rank_nodes(f'{service}/{number}', processes)[0],
            frozenset(ordered[number::count]),
        )
        for number in range(count)
    )


def lender_of(
    upstream_id: str, groups: Sequence[UpstreamGroup], hosts: Mapping[str, str]
) -> str | None:
    """Return the host of the process that lends an upstream's places."""
    for group in groups:
        if upstream_id in group.upstream_ids:
            return hosts.get(group.lender)
    return None
