"""briarrill.coordination.routes: map host and path to a service."""

import enum
import random
from collections.abc import Iterable, Mapping

import attrs

from ..errors import NotFoundError
from .capacity.work import UpstreamCapacity
from .customers.customer import CustomerDirectory

__all__ = ('Route', 'RouteKind', 'RouteTable', 'Services', 'Target')

#: Names of the services that may receive the requests of a route.
Services = frozenset[str]

_MIN_WEIGHT_SUM = 1e-9


class RouteKind(enum.StrEnum):
    """Kind of a route's requests; it decides whether they may be retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'
    BATCH = 'batch'


@attrs.frozen
class Target:
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float = 1.0


@attrs.frozen(cache_hash=True)
class Route:
    """Rules for requests of one host and path prefix.

    :param timeout_s: longest time that a request may take.
    :param latency_objective_s: latency target of a response, or of a
        stream's first event.
    :param max_attempts: most upstreams that may run one request.
    :param resumable: whether a broken stream may resume at another upstream.
    :param max_event_gap_s: longest time between two events of a stream that
        meets the latency target.
    :param completion_objective_s: time from submission until all results of
        a job are due.
    :param item_ttl_s: time from submission after which an item of a job may be
        abandoned.
    :param max_unfinished_tokens: most tokens of unfinished items, of each
        customer if there are customers, 0 for no limit.
    :param allows_anonymous: whether requests need no API key.
    :ivar services: that may receive the requests.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_s: float
    latency_objective_s: float
    max_attempts: int = 1
    priority: int = 0
    resumable: bool = False
    max_event_gap_s: float = 0.25
    completion_objective_s: float = 0
    item_ttl_s: float = 0
    max_unfinished_tokens: int = 0
    allows_anonymous: bool = False
    services: Services = attrs.field(
        default=attrs.Factory(
            lambda route: frozenset(
                target.service for target in route.targets
            ),
            takes_self=True,
        ),
        init=False,
        eq=False,
        repr=False,
    )

    @property
    def selector(self) -> str:
        """Return what selects the route: its host and prefix.

        It stands for the route across versions of the configuration, which
        may exchange the names of routes.
        """
        return f'{self.host}{self.prefix}'

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be retried after it started to run."""
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, rng: random.Random) -> str:
        """Return a random service, with the targets' weights.

        The first target is chosen if all weights are 0.
        """
        weights = [target.weight for target in self.targets]
        if sum(weights) < _MIN_WEIGHT_SUM:
            return self.targets[0].service
        return rng.choices(self.targets, weights)[0].service


@attrs.frozen
class RouteTable:
    """The routes of one version of the configuration.

    :param customers: that may send requests, default none, so that no key is
        asked for.
    :param capacities: of the upstreams by service, where it is configured.
    """

    version: int
    routes: tuple[Route, ...]
    customers: CustomerDirectory = attrs.field(
        factory=CustomerDirectory, eq=False
    )
    capacities: Mapping[str, UpstreamCapacity] = attrs.field(factory=dict)
    _by_host: dict[str, list[Route]] = attrs.field(init=False, eq=False)

    def __attrs_post_init__(self) -> None:
        """Index the routes by host, longest prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=_prefix_length, reverse=True):
            by_host.setdefault(route.host, []).append(route)
        object.__setattr__(self, '_by_host', by_host)

    def find(self, host: str, path: str) -> Route:
        """Return the host's route with the longest prefix that matches.

        :raises NotFoundError: no route matches.
        """
        route = self.match(host, path)
        if route is None:
            raise NotFoundError(f'no route for {host}{path}')
        return route

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that matches."""
        return _first(
            route
            for route in self._by_host.get(host, ())
            if path.startswith(route.prefix)
        )

    def is_split(self, host: str, prefix: str) -> bool:
        """Whether a host has routes with longer prefixes that begin so."""
        return any(
            route.prefix != prefix and route.prefix.startswith(prefix)
            for route in self._by_host.get(host, ())
        )

    def routes_of_host(self, host: str, kind: RouteKind) -> list[Route]:
        """Return the host's routes of a kind."""
        return [
            route
            for route in self._by_host.get(host, ())
            if route.kind is kind
        ]

    @property
    def batch_routes(self) -> list[Route]:
        """Return the routes of batch jobs."""
        return [
            route for route in self.routes if route.kind is RouteKind.BATCH
        ]

    def find_by_selector(self, selector: str) -> Route | None:
        """Return the route with this host and prefix, if there is one."""
        return _first(
            route for route in self.routes if route.selector == selector
        )

    def find_by_name(self, name: str) -> Route | None:
        """Return the route with a name, or none if it was removed."""
        return _first(route for route in self.routes if route.name == name)


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def _first(routes: Iterable[Route]) -> Route | None:
    return next(iter(routes), None)
