"""briarrill.coordination.competition.competition: who is sent, waits, yields.

Load pattern: peaks of twice the mean, in which a few customers send several
times their usual amount and all slots are taken. Upstreams serve requests in
order of arrival, so whatever is sent beyond their slots delays all customers.

- While slots are free for online requests, every request is sent.
- A customer within its fair share of the recent work is sent at once. It
  queues behind few others, since the rest is held back.
- A customer over its share waits a quarter of its latency objective for a
  slot, in the order of :mod:`.start_queue`. Then it is refused, with the time
  at which a slot is expected. It is refused at once if the requests ahead of
  it take all the slots that become free until then.
- A request that returns at that time, and waits, is sent once its wait is
  over.
"""

import enum
import math
import random
from collections.abc import Callable, Iterable, Sequence

import attrs

from ...protocol.demand_news import ServiceDemand
from ..placement import UpstreamCandidate, expected_wait_s
from .demand import FleetDemand, make_demand
from .recent_work import Claimant, RecentWork
from .return_times import Returning, ReturnTimes
from .start_queue import StartQueue, Ticket

__all__ = ('HOLD_OBJECTIVES', 'Competition', 'Room', 'Ruling')

#: Longest wait in a process; multiple of the latency objective, so that most
#: of it is left for the upstream and a refusal still lets the caller return.
HOLD_OBJECTIVES = 0.25

# part of the slots that are free while room is not short; reports of other
# processes lack about as many requests
AMPLE_SHARE = 0.1

# part of the slots that is left to customers within their share, which come
# before the next reports of the other processes and take them without a wait
RESERVED_SHARE = 0.04

# time for which demand is reported after slots were last short
SHORT_NEWS_S = 2.0


class Ruling(enum.Enum):
    """What happens to a request now."""

    SEND = enum.auto()
    WAIT = enum.auto()
    REFUSE = enum.auto()


@attrs.frozen
class Room:
    """The upstreams of a service, with the requests of all processes.

    :param slots: requests that they run at the same time.
    :param online: online requests at the upstreams.
    :param free: slots without an online request; batch items yield theirs.
    :param wait_s: expected wait where a request starts soonest.
    :param service_time_s: how long a request holds its slot, 0 if unknown.
    """

    slots: int
    online: int
    free: int
    wait_s: float = 0.0
    service_time_s: float = 0.0

    @classmethod
    def at(
        cls, candidates: Sequence[UpstreamCandidate], service_time_s: float
    ) -> 'Room':
        """Sum up upstreams; one at its request limit has no free slot."""
        return cls(
            slots=sum(one.slots for one in candidates),
            online=sum(one.online for one in candidates),
            free=sum(
                max(0, one.slots - one.online)
                for one in candidates
                if not one.blocked_s
            ),
            wait_s=min(
                (expected_wait_s(one, service_time_s) for one in candidates),
                default=0.0,
            ),
            service_time_s=service_time_s,
        )

    @property
    def is_ample(self) -> bool:
        """Whether slots are free for all requests that come."""
        return self.free > AMPLE_SHARE * self.slots

    @property
    def taken(self) -> float:
        """Return online requests for each slot."""
        return self.online / max(1, self.slots)


@attrs.define
class Competition:
    """Decides on the requests for one service at one process.

    :param weight_of: returns a customer's weight by its name.
    :param reports: returns the newest demands of the peers.
    """

    weight_of: Callable[[str], float]
    reports: Callable[[], Iterable[ServiceDemand]]
    rng: random.Random
    queue: StartQueue = attrs.field(factory=StartQueue, init=False)
    recent: RecentWork = attrs.field(factory=RecentWork, init=False)
    returns: ReturnTimes = attrs.field(factory=ReturnTimes, init=False)
    fleet: FleetDemand = attrs.field(init=False)
    _short_at: float = attrs.field(default=-math.inf, init=False)

    def __attrs_post_init__(self) -> None:
        """Create what sums up the demand at all processes."""
        self.fleet = FleetDemand(self.weight_of)

    def arrive(
        self, ticket: Ticket, room: Room, hold_s: float, now: float
    ) -> Ruling:
        """Decide on a request that arrives.

        :param hold_s: how long it may wait.
        """
        if room.is_ample or not self._is_over(ticket, room, now):
            self._record(ticket, now)
            return Ruling.SEND
        if self._wait_s(room) > hold_s:
            return Ruling.REFUSE
        self.queue.push(ticket)
        return Ruling.WAIT

    def release(self, room: Room, now: float) -> list[Ticket]:
        """Remove and return the waiting requests for which there is a slot.

        Of the free slots, this process takes the part that it has of the
        requests that wait at all processes.
        """
        waiting = len(self.queue)
        if not waiting:
            return []
        self._update(room, now)
        free = max(0, room.free - RESERVED_SHARE * room.slots)
        part = free * waiting / (waiting + self.fleet.waiting)
        count = math.floor(part + self.rng.random())
        released = [self.queue.pop() for _ in range(min(waiting, count))]
        for ticket in released:
            self._record(ticket, now)
        return released

    def expire(
        self, ticket: Ticket, room: Room, time_left_s: float, now: float
    ) -> Ruling:
        """Decide on a request whose wait is over."""
        self.queue.remove(ticket)
        is_sent = not self._is_over(ticket, room, now) or (
            self.returns.redeem(ticket.request_key, now)
            and room.wait_s + room.service_time_s < time_left_s
        )
        if not is_sent:
            return Ruling.REFUSE
        self._record(ticket, now)
        return Ruling.SEND

    def leave(self, ticket: Ticket) -> None:
        """Forget a request that waits no longer, if it is still queued."""
        if ticket in self.queue:
            self.queue.remove(ticket)

    def book_return(
        self, ticket: Ticket, room: Room, time_left_s: float, now: float
    ) -> float:
        """Return the seconds after which a refused request may return."""
        return self.returns.book(
            Returning(
                ticket,
                time_left_s,
                room.wait_s,
                self.amount(ticket.claimant, now),
                self.share(ticket),
                self.fleet.processes,
            ),
            now,
        )

    def news(self, now: float) -> ServiceDemand | None:
        """Return what peers are told, none unless slots were short."""
        if now > self._short_at + SHORT_NEWS_S:
            return None
        return make_demand(self.recent, len(self.queue), now)

    def amount(self, claimant: Claimant, now: float) -> float:
        """Return the recent work of a customer at all processes."""
        own = self.recent.amount(claimant, now)
        return own + self.fleet.peers.get(claimant, 0)

    def share(self, ticket: Ticket) -> float:
        """Return the recent work that a request's customer may have."""
        level = self.fleet.level(ticket.claimant[0])
        # a share that is less than one request allows for one
        return max(level * ticket.weight, ticket.cost if level else 0)

    def _is_over(self, ticket: Ticket, room: Room, now: float) -> bool:
        """Tell whether a customer has more than its fair share."""
        self._update(room, now)
        return self.amount(ticket.claimant, now) > self.share(ticket)

    def _update(self, room: Room, now: float) -> None:
        """Note that slots are short, and renew the levels."""
        self._short_at = now
        self.fleet.update(self.recent, self.reports, room.taken, now)

    def _record(self, ticket: Ticket, now: float) -> None:
        self.recent.add(ticket.claimant, ticket.cost, now)

    def _wait_s(self, room: Room) -> float:
        """Return how long a further request would wait here."""
        ahead = len(self.queue) + self.fleet.waiting
        return ahead * self._pace_s(room)

    def _pace_s(self, room: Room) -> float:
        """Return the time between two slots that become free."""
        return room.service_time_s / max(1, room.slots)
