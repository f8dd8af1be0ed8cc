"""briarrill.item_runs.choice: which item runs next.

Items of jobs that can still be on time go first, the earliest due first; a
job whose time is over waits until no other has items. A process prefers the
jobs that the rendezvous hash gives it and takes over others' items after
they have waited for some time.
"""

import time
from collections.abc import Collection, Iterator

import attrs

from ..coordination.job_table import JobTable, KnownJob
from ..coordination.rendezvous import rank
from ..coordination.routes import Route, RouteTable
from ..state.stored_jobs import StoredItem

__all__ = ('ItemChoice', 'NextItem')

# time after which an item that its own process does not start is taken over
TAKE_OVER_S = 0.4


@attrs.frozen
class NextItem:
    """An item that may run now."""

    known: KnownJob
    stored: StoredItem
    route: Route


@attrs.define
class ItemChoice:
    """Orders the items that wait.

    :param process: name of this process.
    """

    process: str
    jobs: JobTable
    _seen_at: dict[str, float] = attrs.field(factory=dict, init=False)

    def waiting(
        self,
        routes: RouteTable,
        processes: Collection[str],
        taken: Collection[str],
    ) -> Iterator[NextItem]:
        """Return the items that may run now, the most urgent first.

        :param processes: the live batch processes.
        :param taken: items that some process runs or has finished.
        """
        for known in self._open_jobs(routes):
            if not self._may_take(known, processes):
                continue
            route = routes.of_name(known.job.route) if known.job else None
            if route is None:
                continue
            for stored in known.items.values():
                is_done = stored.item_id in known.finished
                if not is_done and stored.item_id not in taken:
                    yield NextItem(known, stored, route)

    def _open_jobs(self, routes: RouteTable) -> list[KnownJob]:
        now = time.time()
        found = [known for known in self.jobs.known if known.is_open]
        self._seen_at = {
            known.job_id: self._seen_at.get(known.job_id, time.monotonic())
            for known in found
        }
        return sorted(found, key=lambda known: _urgency(known, routes, now))

    def _may_take(self, known: KnownJob, processes: Collection[str]) -> bool:
        if rank(known.job_id, processes)[0] == self.process:
            return True
        waited_s = time.monotonic() - self._seen_at[known.job_id]
        return waited_s > TAKE_OVER_S


def _urgency(
    known: KnownJob, routes: RouteTable, now: float
) -> tuple[bool, float]:
    """Return what jobs are sorted by: overdue ones last, then by due time."""
    if known.job is None:
        return True, now
    route = routes.of_name(known.job.route)
    due_at = known.job.submitted_at + (route.due_s if route else 0)
    return due_at < now, due_at
