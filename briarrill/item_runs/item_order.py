"""briarrill.item_runs.item_order: orders items for start and preemption.

A process starts the items of the jobs that the rendezvous hash assigns to it
at once, and those of other jobs only after a delay.
"""

import collections
import math
import time
from collections.abc import (
    Callable,
    Collection,
    Iterator,
    Mapping,
)

import attrs

from ..coordination.batch_choice import JobWork, choose_timely_jobs
from ..coordination.batch_order import Rank, Urgency, urgency_key
from ..coordination.job_table import JobTable, TrackedJob
from ..coordination.routes import Route, RouteTable, Services
from ..coordination.service_times import ServiceTimes
from ..state.rendezvous import rank_nodes
from .item import ItemProgress, RunningItem
from .wait_reasons import WaitReason

__all__ = ('ItemOrder', 'StartableItem', 'is_newer')

# delay before a process starts items of a job that is assigned to another one
TAKEOVER_DELAY_S = 0.4

# time from the end of a run until callers can read the result, less the usual
# lateness of a caller's read
RESULT_READ_DELAY_S = 0.5

# largest difference of two instances' clocks; items expire later by it than
# their route says
MAX_CLOCK_SKEW_S = 5.0

# interval of the choice of the jobs that are to finish in time
CHOICE_INTERVAL_S = 0.25

# lower bound of the estimate of the slot time that an item still needs
MIN_REMAINING_SLOT_TIME_S = 0.2

# IDs of a job and an item
_Key = tuple[str, str]


# returns the progress of an item, or nothing if it may not start
_ProgressOf = Callable[[TrackedJob, str], ItemProgress | None]


@attrs.frozen
class StartableItem:
    """An item that may be started, with its job and route."""

    progress: ItemProgress
    tracked: TrackedJob
    route: Route


@attrs.define
class ItemOrder:
    """Orders items by urgency.

    :param process: name of this process.
    :param ran_s_by_item: returns the slot time of open items so far, by the
        IDs of job and item.
    """

    process: str
    jobs: JobTable
    _ran_s_by_item: Callable[[], Mapping[_Key, float]]
    _first_seen_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _assigned_processes: dict[str, str] = attrs.field(factory=dict, init=False)
    _processes: frozenset[str] = attrs.field(default=frozenset(), init=False)
    _slot_times: ServiceTimes = attrs.field(factory=ServiceTimes, init=False)
    _timely_jobs: dict[Services, Collection[str]] = attrs.field(
        factory=dict, init=False
    )
    _chosen_at: float = attrs.field(default=-math.inf, init=False)

    def record_slot_time(self, ran_s: float) -> None:
        """Record the slot time of a completed item for estimates."""
        self._slot_times.add(ran_s)

    def choose_timely_jobs(
        self, routes: RouteTable, places_of: Callable[[Route], float]
    ) -> None:
        """Choose again, at intervals, which jobs are to finish in time.

        :param places_of: returns the mean number of slots for a route.
        """
        if time.monotonic() - self._chosen_at < CHOICE_INTERVAL_S:
            return
        self._chosen_at = time.monotonic()
        places = {
            route.services: places_of(route) for route in routes.batch_routes
        }
        self._timely_jobs = {
            services: choose_timely_jobs(work, places[services])
            for services, work in self._work_by_services(routes).items()
        }

    def startable_items(
        self,
        routes: RouteTable,
        processes: Collection[str],
        progress_of: _ProgressOf,
    ) -> list[StartableItem]:
        """Return the items that may run now, the most urgent first.

        :param processes: the live batch processes.
        :param progress_of: returns the progress of an item, or nothing if
            it may not start.
        """
        startable = [
            item
            for tracked in self._startable_jobs(processes)
            if not is_newer(tracked, routes)
            for item in _startable_in_job(tracked, routes, progress_of)
        ]
        return sorted(startable, key=self._urgency_of_candidate)

    def why_item_waits(
        self, tracked: TrackedJob, route: Route | None, routes: RouteTable
    ) -> WaitReason | None:
        """Return why an item of an open job may not start here, if so.

        A job that was not looked at, as no slot was free, may start.

        :param route: of the item, none if it has ended.
        """
        if is_newer(tracked, routes):
            return WaitReason.AWAITS_ROUTES
        if route is None:
            return WaitReason.NO_ROUTE
        is_known = tracked.job_id in self._assigned_processes
        if is_known and not self._may_start_job(tracked.job_id):
            return WaitReason.OTHER_PROCESS
        return None

    def why_over(
        self, tracked: TrackedJob, routes: RouteTable
    ) -> dict[str, str]:
        """Return the items of a job that are given up, each with the reason.

        These are the ones that have no route any more, and those that are
        older than their route allows. Routes older than the job do not tell.
        """
        job = tracked.job
        if job is None or is_newer(tracked, routes):
            return {}
        age_s = time.time() - job.submitted_at
        item_routes = tracked.item_routes(routes)
        reasons = {
            item_id: _why_over(item_routes.of(item_id), age_s)
            for item_id in tracked.items
            if item_id not in tracked.finished_item_ids
        }
        return {
            item_id: reason for item_id, reason in reasons.items() if reason
        }

    def urgency_of_running(self, running: RunningItem) -> Urgency:
        """Return the sort key of a running item."""
        tracked = self.jobs.find(running.progress.job_id)
        if tracked is None:
            return Rank.LATE, math.inf
        return self.urgency(running.progress, tracked, running.route)

    def urgency(
        self, progress: ItemProgress, tracked: TrackedJob, route: Route
    ) -> Urgency:
        """Return the sort key of an item, the most urgent lowest."""
        remaining_s = self._slot_times.mean_s - progress.ran_s
        return urgency_key(
            _due_in_s(tracked, route),
            max(MIN_REMAINING_SLOT_TIME_S, remaining_s),
            is_job_timely=(
                tracked.job_id in self._timely_jobs.get(route.services, ())
            ),
        )

    def _work_by_services(
        self, routes: RouteTable
    ) -> dict[Services, list[JobWork]]:
        """Return the remaining work of open jobs by where it may run."""
        ran_s = self._ran_s_by_route(routes)
        by_services: dict[Services, list[JobWork]] = {}
        for tracked in self.jobs.tracked_jobs:
            if not tracked.is_open or is_newer(tracked, routes):
                continue
            for route, count in _count_open_items(tracked, routes).items():
                ran_so_far_s = ran_s.get((tracked.job_id, route), 0)
                by_services.setdefault(route.services, []).append(
                    self._work_of(tracked, route, count, ran_so_far_s)
                )
        return by_services

    def _ran_s_by_route(
        self, routes: RouteTable
    ) -> dict[tuple[str, Route | None], float]:
        """Return the slot time of open items so far, by job and route."""
        total_s: dict[tuple[str, Route | None], float] = {}
        for (job_id, item_id), ran_s in self._ran_s_by_item().items():
            tracked = self.jobs.find(job_id)
            if tracked is not None:
                key = (job_id, tracked.item_routes(routes).of(item_id))
                total_s[key] = total_s.get(key, 0) + ran_s
        return total_s

    def _urgency_of_candidate(self, candidate: StartableItem) -> Urgency:
        return self.urgency(
            candidate.progress, candidate.tracked, candidate.route
        )

    def _work_of(
        self,
        tracked: TrackedJob,
        route: Route,
        open_items: int,
        ran_s: float,
    ) -> JobWork:
        """Return the remaining work of a job's open items on a route.

        :param ran_s: slot time of these items so far.
        """
        slot_time_s = self._slot_times.mean_s
        remaining_s = open_items * slot_time_s - ran_s
        return JobWork(
            job_id=tracked.job_id,
            due_in_s=_due_in_s(tracked, route),
            remaining_s=max(MIN_REMAINING_SLOT_TIME_S, remaining_s),
            longest_item_s=max(0, min(slot_time_s, remaining_s)),
        )

    def _startable_jobs(self, processes: Collection[str]) -> list[TrackedJob]:
        """Return the open jobs of which this process may start items."""
        open_jobs = [
            tracked for tracked in self.jobs.tracked_jobs if tracked.is_open
        ]
        self._first_seen_at = {
            tracked.job_id: self._first_seen_at.get(
                tracked.job_id, time.monotonic()
            )
            for tracked in open_jobs
        }
        if self._processes != frozenset(processes):
            self._processes = frozenset(processes)
            self._assigned_processes = {}
        self._assigned_processes = {
            tracked.job_id: self._assigned_processes.get(tracked.job_id)
            or rank_nodes(tracked.job_id, processes)[0]
            for tracked in open_jobs
        }
        return [
            tracked
            for tracked in open_jobs
            if self._may_start_job(tracked.job_id)
        ]

    def _may_start_job(self, job_id: str) -> bool:
        """Whether a job is assigned here or its takeover delay has passed."""
        if self._assigned_processes[job_id] == self.process:
            return True
        return (
            time.monotonic() - self._first_seen_at[job_id] > TAKEOVER_DELAY_S
        )


def is_newer(tracked: TrackedJob, routes: RouteTable) -> bool:
    """Whether a job was accepted under newer routes than these.

    Its own route may be missing or another one here, so that nothing can be
    decided about the job.
    """
    return tracked.job is not None and (
        tracked.job.config_version > routes.version
    )


def _startable_in_job(
    tracked: TrackedJob, routes: RouteTable, progress_of: _ProgressOf
) -> Iterator[StartableItem]:
    """Yield the items of a job that have a route and may start."""
    item_routes = tracked.item_routes(routes)
    for item_id in tracked.items:
        route = item_routes.of(item_id)
        if route is None:
            continue
        progress = progress_of(tracked, item_id)
        if progress is not None:
            yield StartableItem(progress, tracked, route)


def _count_open_items(
    tracked: TrackedJob, routes: RouteTable
) -> Mapping[Route, int]:
    """Return the number of a job's open items by their route."""
    item_routes = tracked.item_routes(routes)
    if item_routes.own_routes:
        return collections.Counter(
            route
            for item_id in tracked.items.keys() - tracked.finished_item_ids
            if (route := item_routes.of(item_id)) is not None
        )
    if item_routes.job_route is None:
        return {}
    open_items = len(tracked.items) - len(tracked.finished_item_ids)
    return {item_routes.job_route: open_items}


def _why_over(route: Route | None, age_s: float) -> str:
    """Return why an item is given up, empty if it is not.

    :param age_s: time since the submission of its job.
    """
    if route is None:
        return 'no route'
    return 'expired' if age_s > route.item_ttl_s + MAX_CLOCK_SKEW_S else ''


def _due_in_s(tracked: TrackedJob, route: Route) -> float:
    """Return the time within which the runs of a job's items must end."""
    submitted_at = tracked.job.submitted_at if tracked.job else 0
    return (
        submitted_at
        + route.completion_objective_s
        - time.time()
        - RESULT_READ_DELAY_S
    )
