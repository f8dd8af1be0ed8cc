"""briarrill.item_runs.choice: which item runs next, and which yields first.

A process prefers the jobs that the rendezvous hash gives it and takes over
others' items after they have waited for some time.
"""

import contextlib
import math
import time
from collections.abc import Callable, Collection

import attrs

from ..coordination.batch_order import Urgency, urgency_of
from ..coordination.job_table import JobTable, KnownJob
from ..coordination.routes import Route, RouteKind, RouteTable
from ..coordination.service_times import ServiceTimes
from ..errors import NotFoundError
from ..state.rendezvous import rank
from ..state.stored_jobs import StoredJob
from .item import ItemProgress, RunningItem

__all__ = ('ItemChoice', 'NextItem')

# time after which an item that its own process does not start is taken over
TAKE_OVER_S = 0.4

# time from the end of a run until entries show the result, less what a
# caller's read comes later than it could
COMMIT_S = 0.5

# clocks of two instances may differ by this much, so an item is given up
# only later than its route allows
CLOCK_MARGIN_S = 5.0

# least slot time that an item takes, however far it is
MIN_REMAINING_S = 0.2


@attrs.frozen
class NextItem:
    """An item that may run now."""

    progress: ItemProgress
    known: KnownJob
    route: Route


@attrs.define
class ItemChoice:
    """Orders items.

    :param process: name of this process.
    """

    process: str
    jobs: JobTable
    _seen_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _homes: dict[str, str] = attrs.field(factory=dict, init=False)
    _processes: frozenset[str] = attrs.field(default=frozenset(), init=False)
    _times: ServiceTimes = attrs.field(factory=ServiceTimes, init=False)

    def add_time(self, ran_s: float) -> None:
        """Take the slot time of an item that was completed."""
        self._times.add(ran_s)

    def waiting(
        self,
        routes: RouteTable,
        processes: Collection[str],
        progress_of: Callable[[KnownJob, str], ItemProgress | None],
    ) -> list[NextItem]:
        """Return the items that may run now, the most urgent first.

        :param processes: the live batch processes.
        :param progress_of: the progress of an item, or nothing when some
            process runs it or it has a result.
        """
        found: list[NextItem] = []
        for known in self._own_jobs(processes):
            route = self.route_of(known.job, routes) if known.job else None
            if route is None:
                continue
            for item_id in known.items:
                progress = progress_of(known, item_id)
                if progress is not None:
                    found.append(NextItem(progress, known, route))
        return sorted(found, key=self._urgency_of_next)

    def route_of(self, job: StoredJob, routes: RouteTable) -> Route | None:
        """Return the route that a job's items have now, if there is one."""
        found = routes.of_name(job.route)
        if found is not None or not job.items:
            return found
        # a route may have been split or renamed since
        with contextlib.suppress(NotFoundError):
            found = routes.find(job.host, job.items[0].path)
        is_batch = found is not None and found.kind is RouteKind.BATCH
        return found if is_batch else None

    def is_over(self, known: KnownJob, routes: RouteTable) -> bool:
        """Tell whether the time or the route of a job's items is over."""
        job = known.job
        route = None if job is None else self.route_of(job, routes)
        if job is None or route is None:
            return True
        age_s = time.time() - job.submitted_at
        return age_s > route.keep_s + CLOCK_MARGIN_S

    def urgency_of_running(self, running: RunningItem) -> Urgency:
        """Return the sort key of an item that has a slot."""
        known = self.jobs.find(running.progress.job_id)
        if known is None:
            return True, math.inf
        return self.urgency(running.progress, known, running.route)

    def urgency(
        self, progress: ItemProgress, known: KnownJob, route: Route
    ) -> Urgency:
        """Return the sort key of an item."""
        submitted_at = known.job.submitted_at if known.job else 0
        due_in_s = submitted_at + route.due_s - time.time() - COMMIT_S
        left_s = self._times.mean_s - progress.ran_s
        return urgency_of(due_in_s, max(MIN_REMAINING_S, left_s))

    def _urgency_of_next(self, one: NextItem) -> Urgency:
        return self.urgency(one.progress, one.known, one.route)

    def _own_jobs(self, processes: Collection[str]) -> list[KnownJob]:
        found = [known for known in self.jobs.known if known.is_open]
        self._seen_at = {
            known.job_id: self._seen_at.get(known.job_id, time.monotonic())
            for known in found
        }
        if self._processes != frozenset(processes):
            self._processes = frozenset(processes)
            self._homes = {}
        self._homes = {
            known.job_id: self._homes.get(known.job_id)
            or rank(known.job_id, processes)[0]
            for known in found
        }
        return [known for known in found if self._may_take(known.job_id)]

    def _may_take(self, job_id: str) -> bool:
        if self._homes[job_id] == self.process:
            return True
        return time.monotonic() - self._seen_at[job_id] > TAKE_OVER_S
