"""briarrill.coordination.competition.start_queue: order of waiting requests.

Higher ranks go first. Within a rank the order is that of start-time fair
queueing: each request has a start tag, at least the tag of the last one that
left and the finish tag of its customer's previous request, which is that
one's start tag plus its cost by the customer's weight.

Load pattern: one customer's requests arrive by the dozen, and each of the
others' arrives alone; prompts differ by a factor of 20.
"""

import attrs

from .recent_work import Claimant

__all__ = ('StartQueue', 'Ticket')


@attrs.frozen(eq=False)
class Ticket:
    """A request in the queue.

    :param cost: its work.
    :param weight: of its customer.
    :param request_key: the same for each attempt of its caller, 0 for none.
    """

    claimant: Claimant
    cost: float
    weight: float = 1.0
    request_key: int = 0


@attrs.define
class _RankQueue:
    """The waiting requests of one rank.

    :param start: the start tag of the last one that left.
    :param finish: finish tag of each customer's last request.
    """

    start: float = 0.0
    finish: dict[str, float] = attrs.field(factory=dict)
    tags: dict[Ticket, float] = attrs.field(factory=dict)

    def push(self, ticket: Ticket) -> None:
        """Add a request behind those of its customer."""
        name = ticket.claimant[1]
        tag = max(self.start, self.finish.get(name, 0))
        self.tags[ticket] = tag
        self.finish[name] = tag + ticket.cost / ticket.weight

    def pop(self) -> Ticket:
        """Remove the request with the lowest start tag."""
        ticket = min(self.tags, key=self.tags.__getitem__)
        self.start = self.tags.pop(ticket)
        self.finish = {
            name: tag for name, tag in self.finish.items() if tag > self.start
        }
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove a request; those of its customer behind it move up."""
        name = ticket.claimant[1]
        left = self.tags.pop(ticket)
        shift = ticket.cost / ticket.weight
        for other, tag in self.tags.items():
            if other.claimant[1] == name and tag > left:
                self.tags[other] = tag - shift
        self.finish[name] -= shift


class StartQueue:
    """Requests that wait for a slot of a service."""

    def __init__(self) -> None:
        """Start empty."""
        self._ranks: dict[int, _RankQueue] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue.tags) for queue in self._ranks.values())

    def __contains__(self, ticket: Ticket) -> bool:
        """Tell whether a request is waiting."""
        queue = self._ranks.get(ticket.claimant[0])
        return queue is not None and ticket in queue.tags

    def counts(self) -> dict[int, int]:
        """Return the number of waiting requests by rank."""
        return {rank: len(one.tags) for rank, one in self._ranks.items()}

    def push(self, ticket: Ticket) -> None:
        """Add a request."""
        self._ranks.setdefault(ticket.claimant[0], _RankQueue()).push(ticket)

    def pop(self) -> Ticket:
        """Remove and return the request that is next.

        :raises ValueError: the queue is empty.
        """
        rank = min(rank for rank, one in self._ranks.items() if one.tags)
        return self._ranks[rank].pop()

    def remove(self, ticket: Ticket) -> None:
        """Remove a request whose caller waits no longer.

        :raises KeyError: it is not in the queue.
        """
        self._ranks[ticket.claimant[0]].remove(ticket)
