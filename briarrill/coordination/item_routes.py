"""briarrill.coordination.item_routes: routes of the items of stored jobs.

An item belongs to the batch route that its job's host and its own path
select. An item whose path selects none, or lies outside of the prefix under
which its job was accepted, goes with the job: to the batch route that this
prefix selects. Names do not matter, as a later version of the configuration
may give the name of a route to another one.
"""

from collections.abc import Mapping
from typing import TypeGuard

import attrs

from ..state.stored_jobs import StoredJob
from .routes import Route, RouteKind, RouteTable

__all__ = ('ItemRoutes', 'count_tokens_by_route', 'find_item_routes')


@attrs.frozen
class ItemRoutes:
    """The routes of a job's items in one version of the configuration.

    :param job_route: of the items that go with the job, none if it has ended.
    :param own_routes: of the other items, by ID.
    """

    job_route: Route | None = None
    own_routes: Mapping[str, Route] = attrs.field(factory=dict)

    def of(self, item_id: str) -> Route | None:
        """Return the route of an item, none if it has ended."""
        return self.own_routes.get(item_id, self.job_route)


def find_item_routes(job: StoredJob, routes: RouteTable) -> ItemRoutes:
    """Return the routes that the items of a job have."""
    job_route = _find_job_route(job, routes)
    if job.prefix and not routes.is_split(job.host, job.prefix):
        return ItemRoutes(job_route)
    selected = {
        stored.item_id: routes.match(job.host, stored.path)
        for stored in job.items
        if stored.path.startswith(job.prefix)
    }
    return ItemRoutes(
        job_route,
        {
            item_id: route
            for item_id, route in selected.items()
            if _is_batch(route) and route != job_route
        },
    )


def count_tokens_by_route(
    job: StoredJob, routes: RouteTable
) -> dict[Route, int]:
    """Return the sum of the tokens of a job's items on each route."""
    item_routes = find_item_routes(job, routes)
    tokens: dict[Route, int] = {}
    for stored in job.items:
        route = item_routes.of(stored.item_id)
        if route is not None:
            tokens[route] = tokens.get(route, 0) + stored.tokens
    return tokens


def _find_job_route(job: StoredJob, routes: RouteTable) -> Route | None:
    """Return the batch route that a job's prefix selects."""
    if job.prefix:
        route = routes.match(job.host, job.prefix)
    else:
        # an earlier release stored the job with the name only
        route = routes.find_by_name(job.route)
        if route is not None and route.host != job.host:
            return None
    return route if _is_batch(route) else None


def _is_batch(route: Route | None) -> TypeGuard[Route]:
    return route is not None and route.kind is RouteKind.BATCH
