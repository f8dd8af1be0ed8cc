"""briarrill.item_runs.routes_in_force: looks again at the routes of items.

A route may change between the choice of an item and its run, and during the
run.
"""

from collections.abc import Callable

import attrs

from ..coordination.job_table import JobTable
from ..coordination.routes import Route, RouteTable
from ..coordination.upstream_table import RegisteredUpstream
from .item import ItemProgress

__all__ = ('RoutesInForce',)


@attrs.define
class RoutesInForce:
    """Tells the route that an item has now.

    :param read: returns the routes in force, default none.
    """

    jobs: JobTable
    read: Callable[[], RouteTable | None] = lambda: None

    def route_of(self, progress: ItemProgress, known: Route) -> Route:
        """Return the route of an item.

        :param known: returned if the item has none, or it is not known.
        """
        return self._find(progress) or known

    def lead_to(
        self, progress: ItemProgress, upstream: RegisteredUpstream
    ) -> bool:
        """Whether an item may run at an upstream, as far as is known."""
        if self.read() is None:
            return True
        route = self._find(progress)
        return route is not None and upstream.service in route.services

    def _find(self, progress: ItemProgress) -> Route | None:
        routes = self.read()
        tracked = self.jobs.find(progress.job_id)
        if routes is None or tracked is None:
            return None
        return tracked.item_routes(routes).of(progress.stored.item_id)
