"""briarrill.item_runs.scheduler: starts and preempts batch items."""

import time
from collections.abc import Callable

import trio
from eliot import log_message

from ..coordination.batch_shares import count_items_to_preempt
from ..coordination.capacity.memory import count_items_to_yield
from ..coordination.customers.customer import Customer
from ..coordination.job_table import JobTable, TrackedJob
from ..coordination.routes import Route, RouteTable
from ..coordination.upstream_table import RegisteredUpstream
from ..metrics import PREEMPTED
from ..protocol.load_reports import LoadReport, short_hash
from ..state.stored_jobs import ItemState
from ..transport.task_errors import log_unexpected_errors
from .handover import Handover
from .item import ItemProgress, RunEnd, RunningItem
from .item_order import ItemOrder, StartableItem
from .item_runner import ItemRunner
from .item_waits import ItemWaits, why_delayed
from .job_expiry import JobExpiry
from .local_items import LocalItems
from .result_commits import Committer
from .routes_in_force import RoutesInForce
from .slots import FreeSlots
from .wait_reasons import Refusal

__all__ = ('Scheduler',)

# longest time between two scheduling passes
MAX_PASS_INTERVAL_S = 0.1

# shortest time between two scheduling passes; each report of a peer requests
# one, and a pass over hundreds of waiting items takes a millisecond or more;
# after a longer pass it is as long as that one, so that half of the time is
# left to the runs of items
MIN_PASS_INTERVAL_S = 0.02

# delay before the next run of an item after a rejection or a failure
REJECTED_RETRY_DELAY_S = 0.1
FAILED_RETRY_DELAY_S = 0.3

# the delay after a rejection doubles this many times at most: a process whose
# upstreams reject an item leaves it to its peers in between
MAX_DELAY_DOUBLINGS = 3

# the same for an item that may exceed the memory of an upstream; one that is
# too large for all of them is sent again until it expires
MAX_MEMORY_DELAY_DOUBLINGS = 7

# the same after a status that is no failed attempt of the item, so that only
# the expiry of its job ends the retries
UNEXPECTED_RETRY_DELAY_S = 1.0

# time for which an item waits for a slot of an upstream other than the one
# that rejected, cut or failed its last run
AVOIDANCE_S = 1.0


def _is_always_allowed() -> bool:
    return True


class Scheduler:
    """Runs the items of stored jobs in slots free of online requests.

    :param slots: finds free slots at the upstreams.
    :param handover: exchanges items with the other batch processes.
    """

    def __init__(
        self,
        jobs: JobTable,
        slots: FreeSlots,
        handover: Handover,
        runner: ItemRunner,
        committer: Committer,
    ) -> None:
        """Start without items."""
        self._process = slots.process
        self._jobs = jobs
        self._slots = slots
        self._upstreams = slots.upstreams
        self._handover = handover
        self._load = handover.load
        self._runner = runner
        self._routes = RoutesInForce(jobs)
        runner.is_routed = self._routes.lead_to
        self._committer = committer
        self.local_items = LocalItems(committer, handover.suspended)
        self._item_order = ItemOrder(
            slots.process, jobs, self.local_items.ran_s_by_item
        )
        self._suspended = handover.suspended
        self._running = self.local_items.running
        self._wake = trio.Event()
        self._expiry = JobExpiry(
            jobs, self._item_order, committer, self.local_items
        )
        self.waits = ItemWaits(
            jobs, slots, handover, runner, self.local_items, self._item_order
        )

    def wake(self) -> None:
        """Request a scheduling pass."""
        self._wake.set()

    def wake_on_report(self, report: LoadReport) -> None:
        """Request a pass if a peer's online requests may need slots."""
        if not self._slots.own_items.keys().isdisjoint(report.online):
            self.wake()

    def begin_drain(self) -> None:
        """Start no more items, and leave the upstreams to other processes."""
        self.local_items.is_draining = True
        self._load.schedule_urgent_report()

    def preempt_all(self) -> None:
        """Preempt all running items, so that other processes run them."""
        for running in list(self._running.values()):
            running.preempt()

    async def run(
        self,
        routes: Callable[[], RouteTable | None],
        may_expire_jobs: Callable[[], bool] = _is_always_allowed,
    ) -> None:
        """Make scheduling passes until cancelled.

        :param may_expire_jobs: whether the routes are the newest, as far as
            this process can tell.
        """
        self._routes.read = routes
        async with trio.open_nursery() as nursery:
            while True:
                with trio.move_on_after(MAX_PASS_INTERVAL_S):
                    await self._wake.wait()
                self._wake = trio.Event()
                table = routes()
                began_at = trio.current_time()
                if table is not None:
                    self._make_pass(table, nursery, may_expire_jobs())
                took_s = trio.current_time() - began_at
                await trio.sleep(max(MIN_PASS_INTERVAL_S, took_s))

    def _make_pass(
        self,
        routes: RouteTable,
        nursery: trio.Nursery,
        may_expire_jobs: bool,
    ) -> None:
        """Make one pass: stop, preempt, expire and start items."""
        self._cancel_finished()
        self._preempt_duplicates()
        self.local_items.is_isolated = self._slots.is_isolated
        if self.local_items.is_isolated:
            self._release_all()
            return
        self.local_items.queue_whole_outputs()
        self._update_estimates(routes)
        self._preempt_for_online()
        if may_expire_jobs:
            self._expiry.check_if_due(routes)
        if self.waits.why_none_start() is None:
            with self._slots.searching():
                self._start_items(routes, nursery)

    def _release_all(self) -> None:
        """Suspend all items, so that connected peers fetch them."""
        self.preempt_all()
        for progress in self._committer.release_completed():
            self._suspended[progress.key] = progress

    def _cancel_finished(self) -> None:
        """Cancel runs and remove suspended items that are finished."""
        for key, running in self._running.items():
            if self._is_finished(key):
                running.scope.cancel()
        for key in filter(self._is_finished, list(self._suspended)):
            self._suspended.pop(key)

    def _preempt_duplicates(self) -> None:
        """Preempt items that a preferred process runs too."""
        processes = self._slots.processes()
        for key, running in self._running.items():
            if running.is_claimed or running.is_preempted:
                continue
            if self._handover.runs_at_preferred_peer(key, processes):
                running.preempt()

    def _is_finished(self, key: tuple[str, str]) -> bool:
        """Whether an item has a result, or its job has ended or is unknown."""
        tracked = self._jobs.find(key[0])
        return (
            tracked is None
            or tracked.is_ended
            or key[1] in tracked.finished_item_ids
        )

    def _update_estimates(self, routes: RouteTable) -> None:
        """Record the load and choose the jobs that are to finish in time."""
        services = {
            target.service
            for route in routes.batch_routes
            for target in route.targets
        }
        for service in services:
            self._slots.record_load(service)
        self._item_order.choose_timely_jobs(routes, self._slots.places)

    def _preempt_for_online(self) -> None:
        """Preempt the least urgent items where online requests need slots."""
        for upstream in self._upstreams.registered_upstreams:
            name = upstream.upstream_id
            own = [
                running
                for running in self._running.values()
                if running.upstream_id == name and not running.is_preempted
            ]
            if not own:
                continue
            batch = {
                self._process: len(own),
                **self._load.peer_load.batch_at(name),
            }
            count = count_items_to_preempt(
                upstream.slots, self._load.online(name), batch, self._process
            )
            own.sort(key=self._item_order.urgency_of_running, reverse=True)
            yielding = count_items_to_yield(
                self._slots.memory.use_of(upstream).excess,
                [running.tokens for running in own],
            )
            for running in own[: max(count, yielding)]:
                running.preempt()
                PREEMPTED.inc()

    def _start_items(self, routes: RouteTable, nursery: trio.Nursery) -> None:
        """Start waiting items in order of urgency while slots are free."""
        routes_with_slots = set(
            filter(self._slots.has_free_slot, routes.batch_routes)
        )
        sample = self._slots.begin_sample(routes.batch_routes)
        if not (routes_with_slots or sample.uses):
            return
        startable = self._item_order.startable_items(
            routes, self._slots.processes(), self._startable_progress()
        )
        now = time.monotonic()
        for candidate in startable:
            if not routes_with_slots:
                break
            if (
                candidate.route in routes_with_slots
                and why_delayed(candidate.progress, now) is None
                and not self._try_start_item(
                    candidate, routes.version, nursery
                )
            ):
                routes_with_slots.discard(candidate.route)
        if sample.uses:
            sample.record(
                {
                    candidate.route.services
                    for candidate in startable
                    if candidate.progress.key not in self._running
                }
            )

    def _try_start_item(
        self, candidate: StartableItem, version: int, nursery: trio.Nursery
    ) -> bool:
        """Start an item; return whether others may have a free slot.

        :param version: of the configuration that has its route.
        """
        progress = candidate.progress
        route = candidate.route
        memory = self._slots.memory
        if progress.has_output and not self._slots.may_go_on(
            route, progress.origin
        ):
            progress.restart()
        upstream = self._choose_upstream(progress, route)
        if upstream is None:
            # other items may run at upstreams of other versions, at the one
            # that this item avoids for now, or in less memory
            return (
                progress.has_output
                or progress.is_avoiding
                or memory.may_be_short(route, progress.stored.tokens)
            )
        tokens = memory.tokens_to_count(upstream, progress.stored.tokens)
        running = RunningItem(
            progress,
            candidate.route,
            upstream.upstream_id,
            tokens=self._load.knowledge.counted_tokens(
                upstream.service, tokens or 0
            ),
            may_exceed_memory=memory.may_exceed(
                upstream, progress.stored.tokens
            ),
            config_version=version,
        )
        self._suspended.pop(progress.key, None)
        self._running[progress.key] = running
        self._slots.count_start(upstream.upstream_id)
        self._slots.memory.count_start(upstream.upstream_id, running.tokens)
        nursery.start_soon(self._run_item, running, candidate, upstream)
        self._load.schedule_urgent_report()
        return True

    def _choose_upstream(
        self, progress: ItemProgress, route: Route
    ) -> RegisteredUpstream | None:
        """Return an upstream for an item, after what its output needs."""
        upstream = self.waits.find_upstream(progress, route)
        if upstream is None:
            progress.begin_wait()
        elif progress.has_output and not self._upstreams.may_go_on(
            upstream, progress.origin
        ):
            progress.restart()
        return upstream

    def _startable_progress(
        self,
    ) -> Callable[[TrackedJob, str], ItemProgress | None]:
        """Return a lookup of the progress of items that may start.

        It returns nothing for items that are finished, run at any process,
        were handed over to a peer, or have a quarantined prompt.
        """
        active_hashes = {
            *self._load.peer_load.item_hashes,
            *self.local_items.active_hashes,
        }

        def progress_of(
            tracked: TrackedJob, item_id: str
        ) -> ItemProgress | None:
            if (
                item_id in tracked.finished_item_ids
                or short_hash(item_id) in active_hashes
            ):
                return None
            key = (tracked.job_id, item_id)
            if self.waits.is_held(key, tracked.items[item_id]):
                return None
            progress = self._suspended.get(key)
            return progress or ItemProgress(key[0], tracked.items[item_id])

        return progress_of

    async def _run_item(
        self,
        running: RunningItem,
        candidate: StartableItem,
        upstream: RegisteredUpstream,
    ) -> None:
        """Acquire an item, run it at an upstream and handle the end."""
        progress = running.progress
        job = candidate.tracked.job
        host, customer = (job.host, job.customer) if job else ('', '')
        end = RunEnd.PREEMPTED
        first_event_id = progress.last_event_id
        began_at = time.monotonic()
        try:
            with (
                self._load.in_flight.counted(
                    upstream.upstream_id, is_batch=True, tokens=running.tokens
                ),
                log_unexpected_errors('item:task-failed'),
                running.scope,
            ):
                end = RunEnd.REFUSED
                progress.refusal = Refusal.LEASE
                if await self._handover.acquire(progress):
                    running.is_claimed = False
                    end = RunEnd.UNEXPECTED
                    end = await self._runner.run(
                        progress,
                        running.route,
                        host,
                        upstream,
                        Customer(customer),
                    )
        finally:
            self._running.pop(progress.key, None)
            _stop_counting(self._slots, running)
        if running.scope.cancelled_caught:
            end = RunEnd.PREEMPTED
        if not running.is_claimed:
            running.record_end(end, first_event_id)
        progress.ran_s += time.monotonic() - began_at
        self._handle_run_end(running, end)
        self.wake()

    def _handle_run_end(self, running: RunningItem, end: RunEnd) -> None:
        """Commit the item's result, or schedule its next run."""
        progress = running.progress
        self._slots.health.record_end(running.upstream_id, end)
        log_message(
            'item:run-ended',
            job=progress.job_id,
            request_id=progress.stored.item_id,
            upstream=running.upstream_id,
            route=running.route.name,
            config_version=running.config_version,
            end=end.name,
            refusal=progress.keep_refusal(end),
            tokens=progress.stored.tokens,
            event=progress.last_event_id,
            ran_s=round(progress.ran_s, 3),
        )
        if end is RunEnd.COMPLETED:
            progress.is_complete = True
            self._item_order.record_slot_time(progress.ran_s)
            self._queue_result(progress, ItemState.COMPLETED, 'whole')
        elif end is RunEnd.IMPOSSIBLE:
            self._queue_result(progress, ItemState.ERRORED, 'impossible')
        elif end is RunEnd.FAILED:
            progress.failures += 1
            route = self._routes.route_of(progress, running.route)
            if progress.failures >= route.max_attempts:
                self._queue_result(progress, ItemState.ERRORED, 'attempts')
        if self._committer.has_pending(*progress.key):
            return
        delay_s = _retry_delay_s(running, end)
        if delay_s is not None:
            progress.await_next_run(running.upstream_id, delay_s, AVOIDANCE_S)
        self._suspended[progress.key] = progress

    def _queue_result(
        self, progress: ItemProgress, state: ItemState, reason: str
    ) -> None:
        """Queue the result of a finished item for its commit."""
        if state is ItemState.ERRORED:
            log_message(
                'item:given-up',
                job=progress.job_id,
                request_id=progress.stored.item_id,
                reason=reason,
                failures=progress.failures,
            )
        self._suspended.pop(progress.key, None)
        self._committer.add(progress, state)


def _stop_counting(slots: FreeSlots, running: RunningItem) -> None:
    """Count an item that has ended no longer."""
    slots.memory.count_end(running.upstream_id, running.tokens)
    slots.own_items[running.upstream_id] -= 1


# delay of an item's next run by the end of its last one; other ends have none
_RETRY_DELAYS_S = {
    RunEnd.REFUSED: REJECTED_RETRY_DELAY_S,
    RunEnd.CUT: 0.0,
    RunEnd.FAILED: FAILED_RETRY_DELAY_S,
    RunEnd.UNEXPECTED: UNEXPECTED_RETRY_DELAY_S,
}


def _retry_delay_s(running: RunningItem, end: RunEnd) -> float | None:
    """Return the delay of an item's next run, none if it may run at once."""
    refusals = running.progress.refusals
    if refusals and running.is_unserved:
        doublings = min(refusals - 1, MAX_MEMORY_DELAY_DOUBLINGS)
        return float(REJECTED_RETRY_DELAY_S * 2**doublings)
    delay_s = _RETRY_DELAYS_S.get(end)
    if delay_s is None or end is not RunEnd.REFUSED or not refusals:
        return delay_s
    return float(delay_s * 2 ** min(refusals - 1, MAX_DELAY_DOUBLINGS))
