"""briarrill.coordination.batch_order: scheduling order of batch items.

Under overload, earliest due first alone makes every item finish just after
its due time. So items that can still meet their due time run before those
that cannot, and are preempted last.
"""

__all__ = ('Urgency', 'urgency_key')

# ratio of an item's run time to its slot time: online requests preempt it
PREEMPTION_FACTOR = 1.2

#: Sort key: first the items that can meet their due time, earliest due
#: first; then the overdue ones, shortest remaining time first.
Urgency = tuple[bool, float]


def urgency_key(due_in_s: float, remaining_s: float) -> Urgency:
    """Return the sort key of an item.

    :param due_in_s: time until the item is due, negative when overdue.
    :param remaining_s: slot time that the item still needs.
    """
    if remaining_s * PREEMPTION_FACTOR > due_in_s:
        return True, remaining_s
    return False, due_in_s
