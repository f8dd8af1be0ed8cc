"""briarrill.coordination.routes: which service a caller's request is for."""

import enum
import random
from collections.abc import Iterable

import attrs

from ..errors import NotFoundError

__all__ = ('Route', 'RouteKind', 'RouteTable', 'Target')

_MIN_WEIGHT_SUM = 1e-9


class RouteKind(enum.StrEnum):
    """What a route's requests are, and so whether they may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'
    BATCH = 'batch'


@attrs.frozen
class Target:
    """A service that gets a part of a route's requests."""

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """How requests of one host and path prefix are served.

    :param timeout_s: longest time that a request may take.
    :param objective_s: time in which an answer, or a stream's first event,
        is on time.
    :param max_attempts: upstreams that may run one request.
    :param resumable: whether a stream may go on at another upstream.
    :param longest_pause_s: time between events of a stream that is on time.
    :param due_s: time after which all results of a job are due.
    :param keep_s: time after which an item of a job may be given up.
    :param max_waiting_tokens: tokens of unfinished items, 0 for no bound.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int = 1
    priority: int = 0
    resumable: bool = False
    longest_pause_s: float = 0.25
    due_s: float = 0
    keep_s: float = 0
    max_waiting_tokens: int = 0

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once from its start."""
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, rng: random.Random) -> str:
        """Return a service, each as often as its weight says."""
        weights = [target.weight for target in self.targets]
        if sum(weights) < _MIN_WEIGHT_SUM:
            return self.targets[0].service
        return rng.choices(self.targets, weights)[0].service


@attrs.frozen
class RouteTable:
    """The routes of one version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    _by_host: dict[str, list[Route]] = attrs.field(init=False, eq=False)

    def __attrs_post_init__(self) -> None:
        """Index the routes; the longest prefix of a host stands first."""
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=_prefix_length, reverse=True):
            by_host.setdefault(route.host, []).append(route)
        object.__setattr__(self, '_by_host', by_host)

    def find(self, host: str, path: str) -> Route:
        """Return the host's route with the longest prefix of the path.

        :raises NotFoundError: no route matches.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        raise NotFoundError(f'no route for {host}{path}')

    def of_host(self, host: str, kind: RouteKind) -> list[Route]:
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

    def of_name(self, name: str) -> Route | None:
        """Return the route with a name, if it is still there."""
        return _first(route for route in self.routes if route.name == name)


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def _first(routes: Iterable[Route]) -> Route | None:
    return next(iter(routes), None)
