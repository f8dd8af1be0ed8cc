"""briarrill.coordination.capacity.memory: tokens that upstreams hold.

Load pattern: prompts of 300 and of 6,000 tokens, and memory for two large
ones. With free slots alone an upstream gets a third large one; it preempts
its newest request, which is read again from the start, or ends.

Each process reports the tokens of its requests beside their number. A request
goes where it fits beside all others. Batch items yield: if it fits nowhere
else, it is counted where it fits without them, and their process preempts
them.

Reports are a little old. If memory may be short before slots are, the process
that owns the upstream is asked. The request is counted and reported to the
owner before that, so the owner knows of each request that it agreed to.
"""

import math
from collections.abc import Sequence

import attrs

from ..placement import UpstreamCandidate
from .work import UpstreamCapacity

__all__ = (
    'MemoryUse',
    'candidates_with_memory',
    'count_items_to_yield',
    'is_ample',
    'needed_tokens',
    'tokens_of_item',
)

# requests of the largest size seen for which memory has to suffice if reports
# are to be relied on, by slot: as many again may queue
AMPLE_REQUESTS_PER_SLOT = 2

# share of the memory that has to be free for a request that may exceed all of
# it; with less the upstream would soon preempt it and read its prompt again
MIN_FREE_SHARE = 0.5


@attrs.frozen
class MemoryUse:
    """Tokens of an upstream's memory in use by all processes.

    :param capacity: 0 if unknown or without limit.
    :param online: held by online requests.
    :param batch: held by batch items.
    """

    capacity: int
    online: int = 0
    batch: int = 0

    @property
    def free(self) -> float:
        """Return what is free, negative when more is promised than there is.

        It is infinite without a limit.
        """
        if not self.capacity:
            return math.inf
        return self.capacity - self.online - self.batch

    @property
    def excess(self) -> int:
        """Return the tokens by which requests exceed the memory."""
        return int(max(0, -self.free))


def is_ample(capacity: UpstreamCapacity, largest: int) -> bool:
    """Tell whether an upstream's slots are in use before its memory is.

    :param largest: most tokens that a request was seen to hold.
    """
    most = AMPLE_REQUESTS_PER_SLOT * capacity.slots * largest
    return not capacity.tokens or most <= capacity.tokens


def needed_tokens(capacity: int, tokens: int) -> int:
    """Return the tokens that have to be free for a request or an item.

    It may name more tokens than the whole memory and need few of them, as a
    model may stop long before its limit. The upstream decides then, and
    refuses one that is too large; it is sent where enough is free.

    :param capacity: of an upstream's memory; 0 if unknown or without limit.
    :param tokens: the most that the request may hold.
    """
    if 0 < capacity < tokens:
        return int(capacity * MIN_FREE_SHARE)
    return tokens


def candidates_with_memory(
    candidates: Sequence[UpstreamCandidate], tokens: int
) -> list[UpstreamCandidate]:
    """Return the upstreams in whose memory a request fits.

    Those where batch items must yield are returned if there are no others.
    """
    fitting = [one for one in candidates if one.tokens_free >= tokens]
    return fitting or [
        one
        for one in candidates
        if one.tokens_free + one.tokens_yielding >= tokens
    ]


def tokens_of_item(use: MemoryUse, slots: int, tokens: int) -> int | None:
    """Return the tokens that a batch item counts for at an upstream.

    It leaves the memory of one slot free for the first online request of a
    peak, unless it is alone there.

    An item that may exceed the whole memory counts for what is free.

    :param slots: requests that the upstream runs at the same time.
    :param tokens: the most that the item may hold.
    :return: None if it has to wait for memory.
    """
    is_idle = not (use.online or use.batch)
    reserve = 0 if is_idle else use.capacity // max(1, slots)
    left = use.free - reserve
    if needed_tokens(use.capacity, tokens) > left:
        return None
    return int(min(tokens, left))


def count_items_to_yield(excess: int, tokens: Sequence[int]) -> int:
    """Return how many items must be preempted to free some memory.

    :param excess: tokens to free.
    :param tokens: of the items, in the order in which they are preempted.
    """
    count = 0
    for item_tokens in tokens:
        if excess <= 0:
            break
        excess -= item_tokens
        count += 1
    return count
