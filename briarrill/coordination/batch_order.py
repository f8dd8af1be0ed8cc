"""briarrill.coordination.batch_order: scheduling order of batch items.

Items of jobs that can finish in time run before those of jobs that cannot,
and are preempted last.
"""

import enum

__all__ = ('PREEMPTION_FACTOR', 'Rank', 'Urgency', 'urgency_key')

# ratio of an item's run time to its slot time: online requests preempt it
PREEMPTION_FACTOR = 1.4


class Rank(enum.IntEnum):
    """Rank of an item; lower ones run first."""

    JOB_IN_TIME = 0
    ITEM_IN_TIME = 1
    LATE = 2


#: Sort key: rank, then earliest due first, or among late items the shortest
#: remaining time first.
Urgency = tuple[Rank, float]


def urgency_key(
    due_in_s: float, remaining_s: float, *, is_job_timely: bool = False
) -> Urgency:
    """Return the sort key of an item.

    :param due_in_s: time until the item is due, negative when overdue.
    :param remaining_s: slot time that the item still needs.
    :param is_job_timely: whether its job was chosen to finish in time.
    """
    if remaining_s * PREEMPTION_FACTOR > due_in_s:
        return Rank.LATE, remaining_s
    if is_job_timely:
        return Rank.JOB_IN_TIME, due_in_s
    return Rank.ITEM_IN_TIME, due_in_s
