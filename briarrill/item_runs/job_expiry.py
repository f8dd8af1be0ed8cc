"""briarrill.item_runs.job_expiry: gives up items that are over.

An item is over once its route has ended or its job is older than the route
allows. Other items of the job are not affected.
A process may learn of newer routes after it has given items up, so their
results are taken back then, unless they are written.
"""

import math
import time
from collections.abc import Mapping

import attrs
from eliot import log_message

from ..coordination.job_table import JobTable, TrackedJob
from ..coordination.routes import RouteTable
from ..state.stored_jobs import ItemState
from .item import ItemProgress
from .item_order import ItemOrder, is_newer
from .local_items import LocalItems
from .result_commits import Committer

__all__ = ('JobExpiry',)

# time between two checks by the same routes
CHECK_INTERVAL_S = 1.0


@attrs.define
class JobExpiry:
    """Queues an errored result for each open item that is over."""

    jobs: JobTable
    order: ItemOrder
    committer: Committer
    local_items: LocalItems
    _checked_at: float = attrs.field(default=-math.inf, init=False)
    _version: int = attrs.field(default=0, init=False)
    _awaiting_jobs: set[str] = attrs.field(factory=set, init=False)

    def check_if_due(self, routes: RouteTable) -> None:
        """Check all jobs at intervals, and by new routes at once."""
        now = time.monotonic()
        if (
            routes.version == self._version
            and now - self._checked_at < CHECK_INTERVAL_S
        ):
            return
        self._version = routes.version
        self._checked_at = now
        self._check(routes)

    def _check(self, routes: RouteTable) -> None:
        open_jobs = [
            tracked for tracked in self.jobs.tracked_jobs if tracked.is_open
        ]
        for tracked in open_jobs:
            reasons = self.order.why_over(tracked, routes)
            self._give_up(tracked, reasons)
            self._take_back(tracked, reasons)
        self._log_awaiting_jobs(open_jobs, routes)

    def _give_up(
        self, tracked: TrackedJob, reasons: Mapping[str, str]
    ) -> None:
        """Queue an errored result for some items of a job.

        :param reasons: why each of them is given up, by ID.
        """
        for item_id, reason in reasons.items():
            if self.committer.has_pending(tracked.job_id, item_id):
                continue
            key = (tracked.job_id, item_id)
            stored = tracked.items[item_id]
            progress = self.local_items.suspended.pop(
                key, None
            ) or ItemProgress(tracked.job_id, stored)
            log_message(
                'item:given-up',
                job=tracked.job_id,
                request_id=item_id,
                reason=reason,
                failures=progress.failures,
                refusals=progress.refusals,
                refusal=progress.refusal and progress.refusal.value,
                tokens=stored.tokens,
            )
            self.committer.add(
                progress, ItemState.ERRORED, is_withdrawable=True
            )

    def _take_back(
        self, tracked: TrackedJob, reasons: Mapping[str, str]
    ) -> None:
        """Suspend the given-up items whose results are unwritten.

        :param reasons: the items that are still given up.
        """
        for progress in self.committer.withdraw(tracked.job_id, reasons):
            log_message(
                'item:taken-back',
                job=progress.job_id,
                request_id=progress.stored.item_id,
            )
            if progress.key not in self.local_items.running:
                self.local_items.suspended[progress.key] = progress

    def _log_awaiting_jobs(
        self, open_jobs: list[TrackedJob], routes: RouteTable
    ) -> None:
        """Log each job that begins to wait for newer routes."""
        job_ids = {
            tracked.job_id
            for tracked in open_jobs
            if is_newer(tracked, routes)
        }
        for job_id in job_ids - self._awaiting_jobs:
            log_message(
                'job:awaits-configuration', job=job_id, version=routes.version
            )
        self._awaiting_jobs = job_ids
