"""briarrill.coordination.batch_shares: slots that batch items may use.

Online traffic peaks within seconds. Batch items use the slots that it leaves
free, except one per upstream that is reserved for the first request of a
peak, and are preempted when online requests arrive.
"""

import functools
from collections.abc import Collection, Mapping, Sequence

from ..state.rendezvous import rank_nodes

__all__ = (
    'count_items_to_preempt',
    'count_startable_items',
    'is_preferred_runner',
    'is_upstream_owner',
    'own_upstreams',
    'upstream_owner',
)

# slots of an upstream that batch items leave free; more are not needed, as
# the next load report preempts a running item within a tenth of the latency
# target of a first event; an upstream with a single slot leaves none free
RESERVED_SLOTS_PER_UPSTREAM = 1

# answers of own_upstreams that are kept, some for each service
MAX_CACHED_OWNERSHIPS = 32


def count_startable_items(slots: int, online: int, batch: int) -> int:
    """Return how many more batch items may start at an upstream.

    :param slots: requests that the upstream runs at the same time.
    :param online: online requests at the upstream.
    :param batch: batch items at the upstream.
    """
    usable = max(1, slots - RESERVED_SLOTS_PER_UPSTREAM)
    return max(0, usable - online - batch)


def count_items_to_preempt(
    slots: int, online: int, batch: Mapping[str, int], process: str
) -> int:
    """Return how many of its batch items a process must preempt.

    Several processes have items at an upstream while its owner changes. Each
    computes the same shares of the excess: processes preempt in order of name.

    :param slots: requests that the upstream runs at the same time.
    :param online: online requests at the upstream.
    :param batch: items at the upstream by process, including this one.
    """
    excess = max(0, online + sum(batch.values()) - slots)
    for name in sorted(batch):
        preempted = min(batch[name], excess)
        if name == process:
            return preempted
        excess -= preempted
    return 0


def is_upstream_owner(
    process: str,
    upstream_id: str,
    processes: Sequence[str],
    upstreams: Sequence[str],
) -> bool:
    """Tell whether a process owns an upstream.

    Only the owner starts batch items there, so two processes never use the
    same free slot.

    :param processes: the live batch processes, including this one.
    :param upstreams: all upstreams of the service.
    """
    return upstream_owner(upstream_id, processes, upstreams) == process


def upstream_owner(
    upstream_id: str, processes: Sequence[str], upstreams: Sequence[str]
) -> str:
    """Return the process that owns an upstream, empty if there is none.

    Upstreams are assigned round-robin to the live processes.
    """
    if not processes:
        return ''
    position = sorted(upstreams).index(upstream_id)
    return sorted(processes)[position % len(processes)]


@functools.lru_cache(maxsize=MAX_CACHED_OWNERSHIPS)
def own_upstreams(
    process: str, processes: tuple[str, ...], upstreams: tuple[str, ...]
) -> frozenset[str]:
    """Return the upstreams of a service that a process owns.

    :param processes: the live batch processes.
    :param upstreams: all upstreams of the service.
    """
    return frozenset(
        upstream_id
        for upstream_id in upstreams
        if is_upstream_owner(process, upstream_id, processes, upstreams)
    )


def is_preferred_runner(
    process: str,
    competing_processes: Collection[str],
    processes: Collection[str],
    job_id: str,
    item_id: str,
) -> bool:
    """Tell whether a process keeps an item that several processes run.

    The process that ranks first for the job keeps it if it runs the item,
    otherwise the one that ranks first for the item. All processes decide the
    same.

    :param competing_processes: the other processes that run the item or are
        about to.
    :param processes: the live batch processes, including this one.
    """
    job_process = rank_nodes(job_id, processes)[0]
    if job_process == process:
        return True
    if job_process in competing_processes:
        return False
    return rank_nodes(item_id, [process, *competing_processes])[0] == process
