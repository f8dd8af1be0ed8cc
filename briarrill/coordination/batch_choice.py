"""briarrill.coordination.batch_choice: choose the jobs that can be in time.

Load pattern: jobs arrive faster than the slots that online requests leave
free can run them. If all of them ran in order of their due times, each would
finish just after its own. So as many whole jobs as possible are chosen that
can all finish in time, by the rule of Moore and Hodgson: in order of due
times, and whenever one would be late, the job with the most remaining work is
left out. Items of the others run in slots that are free otherwise.
"""

import heapq
import math
import operator
from collections.abc import Iterable

import attrs

from .batch_order import PREEMPTION_FACTOR

__all__ = ('JobWork', 'PlaceEstimate', 'choose_timely_jobs')

# time constant of the mean number of places; it covers a cycle of online
# peaks
PLACES_TIME_CONSTANT_S = 6.0

# share of the places that chosen jobs may fill: slot times are not exact, and
# a plan without a margin makes all of its jobs a little late
PLANNED_SHARE = 0.8


@attrs.frozen
class JobWork:
    """The remaining work of a job.

    :param due_in_s: time until the job is due.
    :param remaining_s: slot time that all its open items still need.
    :param longest_item_s: slot time that one of its items needs at most.
    """

    job_id: str
    due_in_s: float
    remaining_s: float
    longest_item_s: float


def choose_timely_jobs(jobs: Iterable[JobWork], places: float) -> set[str]:
    """Return the jobs that can all finish in time.

    :param places: slots that batch items hold on average while work waits.
    """
    chosen: list[tuple[float, str]] = []
    total_s = 0.0
    for job in sorted(jobs, key=operator.attrgetter('due_in_s')):
        if job.longest_item_s * PREEMPTION_FACTOR > job.due_in_s:
            continue
        heapq.heappush(chosen, (-job.remaining_s, job.job_id))
        total_s += job.remaining_s
        while chosen and total_s > PLANNED_SHARE * places * job.due_in_s:
            negative_remaining_s, _ = heapq.heappop(chosen)
            total_s += negative_remaining_s
    return {job_id for _, job_id in chosen}


@attrs.define
class PlaceEstimate:
    """Mean number of slots that batch items hold.

    :ivar mean: mean over the last cycles, 0 before the first sample.
    """

    mean: float = attrs.field(default=0.0, init=False)
    _updated_at: float = attrs.field(default=-math.inf, init=False)

    def add(self, places: float, now: float) -> None:
        """Add the current number of places at a monotonic time."""
        elapsed_s = now - self._updated_at
        self._updated_at = now
        share = 1 - math.exp(-elapsed_s / PLACES_TIME_CONSTANT_S)
        self.mean += (places - self.mean) * share
