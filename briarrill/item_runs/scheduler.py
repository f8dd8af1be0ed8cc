"""briarrill.item_runs.scheduler: starts items in free slots, and yields."""

import math
import time
from collections.abc import Callable

import attrs
import trio
from eliot import log_message

from ..coordination.batch_order import Urgency
from ..coordination.batch_shares import (
    is_owner,
    slots_to_take,
    slots_to_yield,
)
from ..coordination.job_table import JobTable, KnownJob
from ..coordination.routes import Route, RouteTable
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable
from ..metrics import PREEMPTED
from ..protocol.load_reports import short_mark
from ..state.keys import ROOT
from ..state.stored_jobs import ItemState
from .choice import ItemChoice, NextItem
from .commits import Committer
from .handover import Handover
from .item import ItemProgress, RunEnd
from .run import ItemRunner

__all__ = ('Scheduler',)

# longest time between two looks at the slots
TICK_S = 0.05

# time between two looks for items whose time or route is over
GIVE_UP_CHECK_S = 1.0

# pause before an item runs again after a refusal or a failure
REFUSED_PAUSE_S = 0.1
FAILED_PAUSE_S = 0.3

# clocks of two instances may differ by this much, so an item is given up
# only later than its route allows
CLOCK_MARGIN_S = 5.0


@attrs.define(eq=False)
class _Running:
    """An item that is at an upstream."""

    progress: ItemProgress
    route: Route
    upstream_id: str
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    is_preempted: bool = False

    def preempt(self) -> None:
        self.is_preempted = True
        self.scope.cancel()


class Scheduler:
    """Runs the items of stored jobs where online requests leave slots.

    :param process: name of this process.
    :param handover: exchanges items with the other processes.
    :param is_connected: whether the key-value service answers.
    """

    def __init__(
        self,
        process: str,
        jobs: JobTable,
        upstreams: UpstreamTable,
        handover: Handover,
        runner: ItemRunner,
        committer: Committer,
        is_connected: Callable[[], bool],
    ) -> None:
        """Start without items."""
        self.is_closed = False
        self._process = process
        self._jobs = jobs
        self._upstreams = upstreams
        self._handover = handover
        self._load = handover.load
        self._runner = runner
        self._committer = committer
        self._is_connected = is_connected
        self._choice = ItemChoice(process, jobs)
        self._progress = handover.held
        self._running: dict[tuple[str, str], _Running] = {}
        self._wake = trio.Event()

    @property
    def marks_in_hand(self) -> tuple[int, ...]:
        """Return the marks of items that run here or have just ended."""
        running = [item_id for _, item_id in self._running]
        return tuple(
            map(short_mark, (*running, *self._committer.recent_items))
        )

    @property
    def marks_held(self) -> tuple[int, ...]:
        """Return the marks of items whose last run was broken off here."""
        return tuple(
            short_mark(key[1])
            for key, progress in self._progress.items()
            if progress.has_begun
        )

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs and all results are written."""
        return not self._running and self._committer.is_idle

    def wake(self) -> None:
        """Look at the slots soon."""
        self._wake.set()

    def preempt_all(self) -> None:
        """Give up all running items; other processes run them again."""
        for running in list(self._running.values()):
            running.preempt()

    async def run(self, routes: Callable[[], RouteTable | None]) -> None:
        """Start and yield until cancelled."""
        given_up_at = -math.inf
        async with trio.open_nursery() as nursery:
            while True:
                with trio.move_on_after(TICK_S):
                    await self._wake.wait()
                self._wake = trio.Event()
                table = routes()
                if table is None:
                    continue
                self._stop_ended()
                if self._is_isolated():
                    self._release()
                    continue
                self._yield_slots(table)
                if time.monotonic() - given_up_at >= GIVE_UP_CHECK_S:
                    given_up_at = time.monotonic()
                    self._give_up(table)
                if not self.is_closed:
                    self._start_items(table, nursery)

    def _is_isolated(self) -> bool:
        """Tell whether peers can commit results and this process cannot."""
        return not self._is_connected() and any(
            report.runs_batch and ROOT in report.connected
            for report in self._load.live.values()
        )

    def _release(self) -> None:
        """Let the processes that can commit go on with all items."""
        self.preempt_all()
        for progress in self._committer.give_back():
            self._progress[progress.key] = progress

    def _stop_ended(self) -> None:
        """Stop items of jobs that ended, and those finished elsewhere."""
        for (job_id, item_id), running in list(self._running.items()):
            known = self._jobs.find(job_id)
            if known is None or known.is_ended or item_id in known.finished:
                running.scope.cancel()
        for key in list(self._progress):
            known = self._jobs.find(key[0])
            if known is None or key[1] in known.finished:
                self._progress.pop(key)

    def _yield_slots(self, routes: RouteTable) -> None:
        """Let online requests have their slots, the least urgent first."""
        for upstream in self._upstreams.all:
            name = upstream.upstream_id
            own = [
                running
                for running in self._running.values()
                if running.upstream_id == name and not running.is_preempted
            ]
            count = slots_to_yield(
                upstream.slots, self._load.online(name), len(own)
            )
            if not count:
                continue
            own.sort(key=self._urgency_of_running, reverse=True)
            for running in own[:count]:
                running.preempt()
                PREEMPTED.inc()

    def _urgency_of_running(self, running: '_Running') -> Urgency:
        known = self._jobs.find(running.progress.job_id)
        if known is None:
            return True, math.inf
        return self._choice.urgency(running.progress, known, running.route)

    def _give_up(self, routes: RouteTable) -> None:
        """Give up items whose time or route is over."""
        now = time.time()
        for known in self._jobs.known:
            if known.job is None or not known.is_open:
                continue
            route = routes.of_name(known.job.route)
            kept_s = route.keep_s + CLOCK_MARGIN_S if route else 0
            if now - known.job.submitted_at <= kept_s and route:
                continue
            for stored in known.items.values():
                key = (known.job_id, stored.item_id)
                if self._is_open(key, known.finished):
                    progress = ItemProgress(known.job_id, stored)
                    self._finish(progress, ItemState.ERRORED, 'over')

    def _is_open(self, key: tuple[str, str], finished: set[str]) -> bool:
        return key[1] not in finished and not self._committer.has_pending(*key)

    def _start_items(self, routes: RouteTable, nursery: trio.Nursery) -> None:
        if not any(map(self._has_free, routes.batch_routes)):
            return
        for chosen in self._choice.waiting(
            routes, self._processes(), self._untaken()
        ):
            if chosen.progress.not_before > time.monotonic():
                continue
            upstream = self._free_upstream(chosen.route, chosen.progress)
            if upstream is None:
                if not self._has_free(chosen.route):
                    return
                continue
            running = _Running(
                chosen.progress, chosen.route, upstream.upstream_id
            )
            self._progress.pop(chosen.progress.key, None)
            self._running[chosen.progress.key] = running
            nursery.start_soon(self._run_item, running, chosen, upstream)
            self._load.report_now()

    def _untaken(self) -> Callable[[KnownJob, str], ItemProgress | None]:
        """Return what finds the progress of items that nobody has."""
        taken = set(self.marks_in_hand)
        for report in self._load.live.values():
            taken.update(report.items)

        def progress_of(known: KnownJob, item_id: str) -> ItemProgress | None:
            if item_id in known.finished or short_mark(item_id) in taken:
                return None
            key = (known.job_id, item_id)
            if self._handover.was_given(key):
                return None
            progress = self._progress.get(key)
            return progress or ItemProgress(key[0], known.items[item_id])

        return progress_of

    def _processes(self) -> list[str]:
        """Return the processes that start items, this one too.

        Those that cannot commit results are left out, unless none can.
        """
        able = {
            name: ROOT in report.connected
            for name, report in self._load.live.items()
            if report.runs_batch and not report.is_leaving
        }
        able[self._process] = self._is_connected()
        connected = [name for name, is_able in able.items() if is_able]
        return connected or list(able)

    def _has_free(self, route: Route) -> bool:
        return any(self._free_slots(route).values())

    def _free_upstream(
        self, route: Route, progress: ItemProgress
    ) -> RegisteredUpstream | None:
        """Return the own upstream with the most free slots."""
        free = self._free_slots(route)
        if len(free) > 1:
            free.pop(progress.avoided, None)
        name = max(free, key=lambda one: free[one], default='')
        if not free.get(name):
            return None
        return self._upstreams.find(name)

    def _free_slots(self, route: Route) -> dict[str, int]:
        """Return the slots that this process may take, by upstream."""
        free: dict[str, int] = {}
        processes = self._processes()
        for target in route.targets:
            found = self._upstreams.of_service(target.service)
            names = [upstream.upstream_id for upstream in found]
            for upstream in found:
                name = upstream.upstream_id
                if self._load.is_suspect(name):
                    continue
                if is_owner(self._process, name, processes, names):
                    free[name] = slots_to_take(
                        upstream.slots,
                        self._load.online(name),
                        self._batch_at(name),
                    )
        return free

    def _batch_at(self, name: str) -> int:
        """Return the items at an upstream, those about to start too."""
        own = sum(
            running.upstream_id == name for running in self._running.values()
        )
        others = self._load.batch(name) - self._load.in_flight.batch[name]
        return own + others

    async def _run_item(
        self,
        running: _Running,
        chosen: NextItem,
        upstream: RegisteredUpstream,
    ) -> None:
        progress = running.progress
        host = chosen.known.job.host if chosen.known.job else ''
        end = RunEnd.PREEMPTED
        began_at = time.monotonic()
        try:
            with (
                self._load.in_flight.counted(
                    upstream.upstream_id, is_batch=True
                ),
                running.scope,
            ):
                end = RunEnd.REFUSED
                if await self._handover.take(progress, self._process):
                    end = RunEnd.PREEMPTED
                    end = await self._runner.run(
                        progress, running.route, host, upstream
                    )
        finally:
            self._running.pop(progress.key, None)
        progress.ran_s += time.monotonic() - began_at
        self._after_run(progress, running.route, upstream.upstream_id, end)
        self.wake()

    def _after_run(
        self,
        progress: ItemProgress,
        route: Route,
        upstream_id: str,
        end: RunEnd,
    ) -> None:
        """Commit the item, or say when it may run again."""
        log_message(
            'item:run-ended',
            job=progress.job_id,
            request_id=progress.stored.item_id,
            upstream=upstream_id,
            end=end.name,
            event=progress.last_event_id,
            ran_s=round(progress.ran_s, 3),
        )
        if end is RunEnd.COMPLETED:
            progress.is_whole = True
            self._choice.add_time(progress.ran_s)
            self._finish(progress, ItemState.COMPLETED, 'whole')
        elif end is RunEnd.IMPOSSIBLE:
            self._finish(progress, ItemState.ERRORED, 'impossible')
        elif end is RunEnd.FAILED:
            progress.failures += 1
            if progress.failures >= route.max_attempts:
                self._finish(progress, ItemState.ERRORED, 'attempts')
        if self._committer.has_pending(*progress.key):
            return
        if end in _PAUSES:
            progress.not_before = time.monotonic() + _PAUSES[end]
            progress.avoided = upstream_id
        self._progress[progress.key] = progress

    def _finish(
        self, progress: ItemProgress, state: ItemState, reason: str
    ) -> None:
        if state is ItemState.ERRORED:
            log_message(
                'item:given-up',
                job=progress.job_id,
                request_id=progress.stored.item_id,
                reason=reason,
                failures=progress.failures,
            )
        self._progress.pop(progress.key, None)
        self._committer.add(progress, state)


_PAUSES = {
    RunEnd.REFUSED: REFUSED_PAUSE_S,
    RunEnd.CUT: 0.0,
    RunEnd.FAILED: FAILED_PAUSE_S,
}
