"""briarrill.coordination.batch_order: which batch items go first.

Answers overload by batch work. Earliest due first alone lets every item end
just after its time once more waits than can be done; so items that can still
be on time go before those that cannot, and give up their slots last.
"""

__all__ = ('Urgency', 'urgency_of')

# an item yields to online requests while it runs, so it takes longer than it
# has slot time left
YIELD_FACTOR = 1.2

#: Sort key: items that can be on time first, the earliest due first; then
#: the others, those with the least left to do first.
Urgency = tuple[bool, float]


def urgency_of(due_in_s: float, remaining_s: float) -> Urgency:
    """Return what items are sorted by.

    :param due_in_s: time until the item is due, negative when it is over.
    :param remaining_s: time in a slot that it still takes.
    """
    if remaining_s * YIELD_FACTOR > due_in_s:
        return True, remaining_s
    return False, due_in_s
