"""briarrill.coordination.competition.return_times: when callers come back.

Load pattern: many callers are refused at the same moment of a peak. If all
were told the same time, they would return as one. So a customer's requests
are told the time at which its recent work, with that of its requests that
were refused before, has faded to its share. The further a customer is over
its share, the later its requests return. A request that comes back at its
time is not refused again.
"""

import math

import attrs

from .recent_work import DECAY_S, RecentWork
from .start_queue import Ticket

__all__ = ('MIN_RETURN_S', 'ReturnTimes', 'Returning')

#: Shortest Retry-After; longer than a return over the network takes, so that
#: others have left their slots meanwhile.
MIN_RETURN_S = 0.15

# part of the time to its deadline after which a caller does not return
RETURN_TIME_SHARE = 1 / 3

# a caller may be back early by this much
EARLY_S = 0.05

# bookings that are kept, the newest ones
MAX_BOOKINGS = 4096


@attrs.frozen
class Returning:
    """A request that is refused.

    :param free_after_s: when a slot is expected to be free.
    :param amount: recent work of its customer at all processes.
    :param share: work that the customer may have.
    :param processes: that refuse requests of the service.
    """

    ticket: Ticket
    time_left_s: float
    free_after_s: float
    amount: float
    share: float
    processes: int = 1


@attrs.define
class ReturnTimes:
    """Bookings of the requests that were refused."""

    _due: dict[int, float] = attrs.field(factory=dict, init=False)
    _booked: RecentWork = attrs.field(factory=RecentWork, init=False)

    def book(self, request: Returning, now: float) -> float:
        """Return the seconds after which a refused request shall return.

        One for which there is no room while its caller still returns is told
        the latest time, and gets no booking.
        """
        ticket = request.ticket
        latest_s = max(MIN_RETURN_S, request.time_left_s * RETURN_TIME_SHARE)
        booked = self._booked.amount(ticket.claimant, now) * request.processes
        work = request.amount + booked
        return_s = max(
            MIN_RETURN_S,
            request.free_after_s,
            _fading_s(work, request.share),
        )
        if return_s > latest_s:
            return latest_s
        self._booked.add(ticket.claimant, ticket.cost, now)
        if ticket.request_key:
            self._due[ticket.request_key] = now + return_s
        while len(self._due) > MAX_BOOKINGS:
            self._due.pop(next(iter(self._due)))
        return return_s

    def redeem(self, request_key: int, now: float) -> bool:
        """Tell whether a request is back at its time; it has one booking."""
        due = self._due.get(request_key)
        if due is None or now < due - EARLY_S:
            return False
        self._due.pop(request_key)
        return True


def _fading_s(work: float, share: float) -> float:
    """Return the time in which work fades to a share of it."""
    if work <= share:
        return 0
    return DECAY_S * math.log(work / share) if share else math.inf
