"""briarrill.coordination.batch_shares: what batch work may hold, and where.

Answers online traffic that comes in peaks of seconds: batch items take the
slots that the valleys leave, but for some that are kept free for the first
requests of a peak, and give them up as online requests come.
"""

from collections.abc import Collection, Mapping, Sequence

from ..state.rendezvous import rank

__all__ = ('has_right', 'is_owner', 'slots_to_take', 'slots_to_yield')

# slots of an upstream that batch work leaves free; a running item leaves
# within a load report's time, a tenth of what a first event may take
RESERVED_SLOTS = 1


def slots_to_take(slots: int, online: int, batch: int) -> int:
    """Return how many more items may start at an upstream."""
    return max(0, slots - RESERVED_SLOTS - online - batch)


def slots_to_yield(
    slots: int, online: int, batch: Mapping[str, int], process: str
) -> int:
    """Return how many of its items a process takes away from an upstream.

    Several processes have items at an upstream while it changes its owner.
    Each finds which of them are too many, the first by name yielding first.

    :param batch: items at the upstream by process, this one's too.
    """
    excess = max(0, online + sum(batch.values()) - slots)
    for name in sorted(batch):
        yielded = min(batch[name], excess)
        if name == process:
            return yielded
        excess -= yielded
    return 0


def is_owner(
    process: str,
    upstream_id: str,
    processes: Sequence[str],
    upstreams: Sequence[str],
) -> bool:
    """Tell whether a process is the one that starts items at an upstream.

    Each upstream has one owner among the live processes, so that two never
    take the same free slot.

    :param processes: the live batch processes, this one too.
    :param upstreams: all upstreams of the service.
    """
    position = sorted(upstreams).index(upstream_id)
    return sorted(processes)[position % len(processes)] == process


def has_right(
    process: str,
    rivals: Collection[str],
    processes: Collection[str],
    job_id: str,
    item_id: str,
) -> bool:
    """Tell whether an item is this process's, of those that run it.

    The job's own process goes first; each of the rivals finds the same.

    :param rivals: the others that run it or are about to.
    :param processes: the live batch processes, this one too.
    """
    home = rank(job_id, processes)[0]
    if home == process:
        return True
    if home in rivals:
        return False
    return rank(item_id, [process, *rivals])[0] == process
