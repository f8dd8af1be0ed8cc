"""briarrill.platform.configuration: reads the operator's configuration.

Versions only increase: an older version that arrives late is ignored.
"""

from collections.abc import Callable

import attrs
import trio
from eliot import log_message

from ..coordination.mirror import MirrorListener
from ..coordination.routes import Route, RouteKind, RouteTable, Target
from ..decoding import json_decoder
from ..errors import MalformedMessageError
from ..metrics import CONFIG_VERSION
from ..transport.http_callers import CallerLimits
from .customers import (
    ServiceFields,
    TenantFields,
    read_capacities,
    read_customers,
)
from .numbers import Count, Number

__all__ = (
    'CONFIGURATION_KEY',
    'OPERATOR_PREFIX',
    'RoutingConfigurationHolder',
)

#: Prefix of the keys that the operator writes.
OPERATOR_PREFIX = 'op/'
CONFIGURATION_KEY = 'op/config'

_MS_PER_S = 1000


@attrs.frozen
class _Split:
    service: str
    weight: Number = 0


@attrs.frozen
class _Route:
    """A route in the operator's JSON.

    :param gap_aim_ms: longest pause between two events of a stream.
    :param completion_target_ms: time from a job's first submission until its
        items should be completed.
    :param keep_s: time from a job's first submission until its items expire.
    :param max_queued_tokens: limit of the tokens of waiting items, 0 for
        none, for each customer if there are customers.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: Number
    target_latency_ms: Number = 0
    priority: int = 0
    service: str = ''
    traffic_split: tuple[_Split, ...] = ()
    max_attempts: Count = 1
    resumable: bool = False
    gap_aim_ms: Number = 250
    completion_target_ms: Number = 0
    keep_s: Number = 0
    max_queued_tokens: Count = 0
    allow_anonymous: bool = False


@attrs.frozen
class _Limits:
    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 4_194_304
    header_timeout_ms: Number = 3000
    idle_timeout_ms: Number = 15_000


@attrs.frozen
class _Configuration:
    version: Count
    routes: tuple[_Route, ...]
    limits: _Limits = _Limits()
    tenants: tuple[TenantFields, ...] = ()
    services: tuple[ServiceFields, ...] = ()


_DECODER = json_decoder(_Configuration)


class RoutingConfigurationHolder(MirrorListener):
    """Keeps the newest routes and limits that this process has received.

    :param on_change: called after each change.
    :ivar changed: set at the next change, then replaced by a new event.
    """

    def __init__(self, on_change: Callable[[], None]) -> None:
        """Start without a configuration."""
        self.routes: RouteTable | None = None
        self.caller_limits = CallerLimits()
        self.changed = trio.Event()
        self._on_change = on_change

    @property
    def version(self) -> int:
        """Return the version in force, 0 without a configuration."""
        return 0 if self.routes is None else self.routes.version

    def apply_key(self, key: str, body: bytes | None) -> None:
        """Apply a changed configuration key; deletions are ignored."""
        if key == CONFIGURATION_KEY and body is not None:
            self.apply(body)

    def apply(self, body: bytes) -> None:
        """Put a configuration into force if it is valid and newer.

        An invalid one is logged.
        """
        try:
            decoded = _DECODER.decode(body)
            routes = RouteTable(
                decoded.version,
                tuple(map(_route, decoded.routes)),
                customers=read_customers(decoded.tenants),
                capacities=read_capacities(decoded.services),
            )
        except (MalformedMessageError, ValueError) as exc:
            log_message('configuration:unreadable', reason=str(exc))
            return
        if decoded.version <= self.version:
            return
        ended_keys = _count_ended_keys(self.routes, routes)
        self.routes = routes
        self.caller_limits = CallerLimits(
            max_header_bytes=decoded.limits.max_header_bytes,
            max_body_bytes=decoded.limits.max_body_bytes,
            header_timeout_s=decoded.limits.header_timeout_ms / _MS_PER_S,
            idle_timeout_s=decoded.limits.idle_timeout_ms / _MS_PER_S,
        )
        self.changed.set()
        self.changed = trio.Event()
        CONFIG_VERSION.set(decoded.version)
        log_message(
            'configuration:in-force',
            version=decoded.version,
            customers=len(routes.customers.by_name),
            ended_keys=ended_keys,
        )
        self._on_change()


def _count_ended_keys(before: RouteTable | None, routes: RouteTable) -> int:
    """Return how many API keys are no longer valid."""
    if before is None:
        return 0
    return len(before.customers.key_hashes - routes.customers.key_hashes)


def _route(wire: _Route) -> Route:
    targets = [
        Target(split.service, split.weight) for split in wire.traffic_split
    ]
    return Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.prefix,
        kind=RouteKind(wire.kind),
        targets=tuple(targets) or (Target(wire.service),),
        timeout_s=wire.timeout_ms / _MS_PER_S,
        latency_objective_s=wire.target_latency_ms / _MS_PER_S,
        max_attempts=wire.max_attempts,
        priority=wire.priority,
        resumable=wire.resumable,
        max_event_gap_s=wire.gap_aim_ms / _MS_PER_S,
        completion_objective_s=wire.completion_target_ms / _MS_PER_S,
        item_ttl_s=wire.keep_s,
        max_unfinished_tokens=wire.max_queued_tokens,
        allows_anonymous=wire.allow_anonymous,
    )
