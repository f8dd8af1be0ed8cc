"""briarrill.item_runs.item_order: orders items for start and preemption.

A process starts the items of the jobs that the rendezvous hash assigns to it
at once, and those of other jobs only after a delay.
"""

import contextlib
import math
import time
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
    Mapping,
)

import attrs

from ..coordination.batch_choice import JobWork, choose_timely_jobs
from ..coordination.batch_order import Rank, Urgency, urgency_key
from ..coordination.job_table import JobTable, TrackedJob
from ..coordination.routes import Route, RouteKind, RouteTable
from ..coordination.service_times import ServiceTimes
from ..errors import NotFoundError
from ..state.rendezvous import rank_nodes
from ..state.stored_jobs import StoredJob
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


@attrs.frozen
class StartableItem:
    """An item that may be started, with its job and route.

    :param config_version: version of the configuration that has the route.
    """

    progress: ItemProgress
    tracked: TrackedJob
    route: Route
    config_version: int = 0


@attrs.define
class ItemOrder:
    """Orders items by urgency.

    :param process: name of this process.
    :param ran_s_by_job: returns the slot time of open items so far.
    """

    process: str
    jobs: JobTable
    _ran_s_by_job: Callable[[], Mapping[str, float]]
    _first_seen_at: dict[str, float] = attrs.field(factory=dict, init=False)
    _assigned_processes: dict[str, str] = attrs.field(factory=dict, init=False)
    _processes: frozenset[str] = attrs.field(default=frozenset(), init=False)
    _slot_times: ServiceTimes = attrs.field(factory=ServiceTimes, init=False)
    _timely_jobs: set[str] = attrs.field(factory=set, init=False)
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
        ran_s_by_job = self._ran_s_by_job()
        work_by_service: dict[str, list[JobWork]] = {}
        places: dict[str, float] = {}
        open_jobs = [
            tracked for tracked in self.jobs.tracked_jobs if tracked.is_open
        ]
        for tracked, route in self._with_routes(open_jobs, routes):
            service = route.targets[0].service
            places[service] = places_of(route)
            work_by_service.setdefault(service, []).append(
                self._work_of(
                    tracked, route, ran_s_by_job.get(tracked.job_id, 0)
                )
            )
        self._timely_jobs = set[str]().union(
            *(
                choose_timely_jobs(work, places[service])
                for service, work in work_by_service.items()
            )
        )

    def startable_items(
        self,
        routes: RouteTable,
        processes: Collection[str],
        progress_of: Callable[[TrackedJob, str], ItemProgress | None],
    ) -> list[StartableItem]:
        """Return the items that may run now, the most urgent first.

        :param processes: the live batch processes.
        :param progress_of: returns the progress of an item, or nothing if
            it may not start.
        """
        startable: list[StartableItem] = []
        for tracked, route in self._with_routes(
            self._startable_jobs(processes), routes
        ):
            for item_id in tracked.items:
                progress = progress_of(tracked, item_id)
                if progress is not None:
                    startable.append(
                        StartableItem(progress, tracked, route, routes.version)
                    )
        return sorted(startable, key=self._urgency_of_candidate)

    def route_of(self, job: StoredJob, routes: RouteTable) -> Route | None:
        """Return the batch route in force for a job, if there is one."""
        route = routes.find_by_name(job.route)
        if route is not None or not job.items:
            return route
        # the route may have been split or renamed since the submission
        with contextlib.suppress(NotFoundError):
            route = routes.find(job.host, job.items[0].path)
        is_batch = route is not None and route.kind is RouteKind.BATCH
        return route if is_batch else None

    def why_job_waits(
        self, tracked: TrackedJob, routes: RouteTable
    ) -> WaitReason | None:
        """Return why no item of an open job may start here, none if it may.

        A job that was not looked at, as no slot was free, may start.
        """
        route = self._route_or_reason(tracked, routes)
        if isinstance(route, WaitReason):
            return route
        is_known = tracked.job_id in self._assigned_processes
        if is_known and not self._may_start_job(tracked.job_id):
            return WaitReason.OTHER_PROCESS
        return None

    def why_over(self, tracked: TrackedJob, routes: RouteTable) -> str:
        """Return why a job's items are given up, empty if they are not.

        They are if the job has no route any more, or is older than its route
        allows. Routes older than the job do not tell.
        """
        job = tracked.job
        if job is None or is_newer(tracked, routes):
            return ''
        route = self.route_of(job, routes)
        if route is None:
            return 'no route'
        age_s = time.time() - job.submitted_at
        return 'expired' if age_s > route.item_ttl_s + MAX_CLOCK_SKEW_S else ''

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
            is_job_timely=tracked.job_id in self._timely_jobs,
        )

    def _with_routes(
        self, jobs: Iterable[TrackedJob], routes: RouteTable
    ) -> Iterator[tuple[TrackedJob, Route]]:
        """Yield the jobs that these routes can tell about, with theirs."""
        for tracked in jobs:
            route = self._route_or_reason(tracked, routes)
            if isinstance(route, Route):
                yield tracked, route

    def _route_or_reason(
        self, tracked: TrackedJob, routes: RouteTable
    ) -> Route | WaitReason:
        """Return the route of a job, or why these routes name none."""
        if tracked.job is None or is_newer(tracked, routes):
            return WaitReason.AWAITS_ROUTES
        return self.route_of(tracked.job, routes) or WaitReason.NO_ROUTE

    def _urgency_of_candidate(self, candidate: StartableItem) -> Urgency:
        return self.urgency(
            candidate.progress, candidate.tracked, candidate.route
        )

    def _work_of(
        self, tracked: TrackedJob, route: Route, ran_s: float
    ) -> JobWork:
        """Return the remaining work of a job."""
        open_items = len(tracked.items) - len(tracked.finished_item_ids)
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


def _due_in_s(tracked: TrackedJob, route: Route) -> float:
    """Return the time within which the runs of a job's items must end."""
    submitted_at = tracked.job.submitted_at if tracked.job else 0
    return (
        submitted_at
        + route.completion_objective_s
        - time.time()
        - RESULT_READ_DELAY_S
    )
