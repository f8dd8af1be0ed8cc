"""briarrill.item_runs.scheduler: starts items in free slots, and yields."""

import math
import time
from collections.abc import Callable

import trio
from eliot import log_message

from ..coordination.batch_shares import slots_to_yield
from ..coordination.job_table import JobTable, KnownJob
from ..coordination.routes import Route, RouteTable
from ..coordination.upstream_table import RegisteredUpstream
from ..metrics import PREEMPTED
from ..protocol.load_reports import short_mark
from ..state.stored_jobs import ItemState
from .choice import ItemChoice, NextItem
from .commits import Committer
from .handover import Handover
from .in_hand import ItemsInHand
from .item import ItemProgress, RunEnd, RunningItem
from .run import ItemRunner
from .slots import FreeSlots

__all__ = ('Scheduler',)

# longest time between two looks at the slots
TICK_S = 0.05

# shortest time between two looks; each report of a peer asks for one, and a
# look takes a millisecond or more when hundreds of items wait
MIN_PAUSE_S = 0.02

# time between two looks for items whose time or route is over
GIVE_UP_CHECK_S = 1.0

# pause before an item runs again after a refusal or a failure
REFUSED_PAUSE_S = 0.1
FAILED_PAUSE_S = 0.3


class Scheduler:
    """Runs the items of stored jobs where online requests leave slots.

    :param slots: what may be taken of the upstreams.
    :param handover: exchanges items with the other processes.
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
        self.is_closed = False
        self._process = slots.process
        self._jobs = jobs
        self._slots = slots
        self._upstreams = slots.upstreams
        self._handover = handover
        self._load = handover.load
        self._runner = runner
        self._committer = committer
        self._choice = ItemChoice(slots.process, jobs)
        self.in_hand = ItemsInHand(committer, handover.held)
        self._held = handover.held
        self._running = self.in_hand.running
        self._wake = trio.Event()
        self._given_up_at = -math.inf

    def wake(self) -> None:
        """Look at the slots soon."""
        self._wake.set()

    def preempt_all(self) -> None:
        """Give up all running items; other processes run them again."""
        for running in list(self._running.values()):
            running.preempt()

    async def run(self, routes: Callable[[], RouteTable | None]) -> None:
        """Start and yield until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                with trio.move_on_after(TICK_S):
                    await self._wake.wait()
                self._wake = trio.Event()
                table = routes()
                if table is not None:
                    self._look(table, nursery)
                await trio.sleep(MIN_PAUSE_S)

    def _look(self, routes: RouteTable, nursery: trio.Nursery) -> None:
        """Stop, yield and start items as it stands now."""
        self._stop_done()
        self._stop_lost()
        if self._slots.is_isolated:
            self._release()
            return
        self._yield_slots(routes)
        if time.monotonic() - self._given_up_at >= GIVE_UP_CHECK_S:
            self._given_up_at = time.monotonic()
            self._give_up(routes)
        if not self.is_closed and self._slots.is_settled():
            self._start_items(routes, nursery)

    def _release(self) -> None:
        """Let the processes that can commit go on with all items."""
        self.preempt_all()
        for progress in self._committer.give_back():
            self._held[progress.key] = progress

    def _stop_done(self) -> None:
        """Stop items that have a result, or whose job has ended."""
        for key, running in self._running.items():
            if self._is_done(key):
                running.scope.cancel()
        for held in filter(self._is_done, list(self._held)):
            self._held.pop(held)

    def _stop_lost(self) -> None:
        """Stop items that another process runs too, with a better right."""
        processes = self._slots.processes()
        for key, running in self._running.items():
            if running.is_claimed or running.is_preempted:
                continue
            if self._handover.is_lost(key, processes):
                running.preempt()

    def _is_done(self, key: tuple[str, str]) -> bool:
        """Tell whether an item has a result, or its job has ended."""
        known = self._jobs.find(key[0])
        return known is None or known.is_ended or key[1] in known.finished

    def _yield_slots(self, routes: RouteTable) -> None:
        """Let online requests have their slots, the least urgent first."""
        for upstream in self._upstreams.all:
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
                **self._load.fleet.batch_at(name),
            }
            count = slots_to_yield(
                upstream.slots, self._load.online(name), batch, self._process
            )
            own.sort(key=self._choice.urgency_of_running, reverse=True)
            for running in own[:count]:
                running.preempt()
                PREEMPTED.inc()

    def _give_up(self, routes: RouteTable) -> None:
        """Give up items whose time or route is over."""
        for known in self._jobs.known:
            if known.is_open and self._choice.is_over(known, routes):
                self._give_up_items(known)

    def _give_up_items(self, known: KnownJob) -> None:
        for item_id, stored in known.items.items():
            if item_id in known.finished:
                continue
            if not self._committer.has_pending(known.job_id, item_id):
                progress = ItemProgress(known.job_id, stored)
                self._finish(progress, ItemState.ERRORED, 'over')

    def _start_items(self, routes: RouteTable, nursery: trio.Nursery) -> None:
        if not any(map(self._slots.has_any, routes.batch_routes)):
            return
        waiting = self._choice.waiting(
            routes, self._slots.processes(), self._untaken()
        )
        for chosen in waiting:
            if chosen.progress.not_before <= time.monotonic():
                self._start(chosen, nursery)

    def _start(self, chosen: NextItem, nursery: trio.Nursery) -> None:
        """Start an item if there is a slot for it."""
        progress = chosen.progress
        upstream = self._slots.choose(chosen.route, progress.avoided)
        if upstream is None:
            return
        running = RunningItem(progress, chosen.route, upstream.upstream_id)
        self._held.pop(progress.key, None)
        self._running[progress.key] = running
        self._slots.taken[upstream.upstream_id] += 1
        nursery.start_soon(self._run_item, running, chosen, upstream)
        self._load.report_now()

    def _untaken(self) -> Callable[[KnownJob, str], ItemProgress | None]:
        """Return what finds the progress of items that nobody has."""
        taken = {*self._load.fleet.item_marks, *self.in_hand.marks}

        def progress_of(known: KnownJob, item_id: str) -> ItemProgress | None:
            if item_id in known.finished or short_mark(item_id) in taken:
                return None
            key = (known.job_id, item_id)
            if self._handover.was_given(key):
                return None
            progress = self._held.get(key)
            return progress or ItemProgress(key[0], known.items[item_id])

        return progress_of

    async def _run_item(
        self,
        running: RunningItem,
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
                if await self._handover.take(progress):
                    running.is_claimed = False
                    end = RunEnd.PREEMPTED
                    end = await self._runner.run(
                        progress, running.route, host, upstream
                    )
        finally:
            self._running.pop(progress.key, None)
            self._slots.taken[upstream.upstream_id] -= 1
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
        pause_s = _PAUSES.get(end)
        if pause_s is not None:
            progress.not_before = time.monotonic() + pause_s
            progress.avoided = upstream_id
        self._held[progress.key] = progress

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
        self._held.pop(progress.key, None)
        self._committer.add(progress, state)


_PAUSES = {
    RunEnd.REFUSED: REFUSED_PAUSE_S,
    RunEnd.CUT: 0.0,
    RunEnd.FAILED: FAILED_PAUSE_S,
}
