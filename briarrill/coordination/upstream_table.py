"""briarrill.coordination.upstream_table: table of registered upstreams.

Upstreams register in the key-value service under leases. A registration that
expired during an outage of the service remains in use until the service has
been reachable for some time, so that live upstreams can register again.
"""

import time
from collections.abc import Callable

import attrs
from eliot import log_message

__all__ = ('RegisteredUpstream', 'UpstreamTable')

# time within which a live upstream registers again after an outage of the
# service: a heartbeat interval of the largest deployments, and a margin
RETURN_GRACE_S = 2.5

# time for which the announced departure of an upstream that is not registered
# is remembered; it may register again after an outage
DEPARTURE_RETENTION_S = 60.0


@attrs.frozen
class RegisteredUpstream:
    """The registration of an upstream.

    :param upstream_id: unique name, also in requests that only it may run.
    :param address: host and port.
    :param slots: requests that it runs at the same time.
    :param is_draining: it accepts no new requests.
    :param incarnation: identifier that changes at each restart.
    """

    upstream_id: str
    service: str
    address: tuple[str, int]
    failure_domain: str
    slots: int
    is_draining: bool = False
    incarnation: str = ''


class UpstreamTable:
    """Registered upstreams by identifier.

    :param is_service_stable: tells whether the key-value service has been
        reachable for ``RETURN_GRACE_S``, so that a missing registration means
        a lost upstream.
    """

    def __init__(self, is_service_stable: Callable[[], bool]) -> None:
        """Start without upstreams."""
        self._is_service_stable = is_service_stable
        self._upstreams: dict[str, RegisteredUpstream] = {}
        self._missing: set[str] = set()
        self._leaving_since: dict[str, float] = {}

    @property
    def registered_upstreams(self) -> tuple[RegisteredUpstream, ...]:
        """Return all registered upstreams, including draining ones."""
        self._remove_missing()
        return tuple(self._upstreams.values())

    def find(self, upstream_id: str) -> RegisteredUpstream | None:
        """Return a registered upstream, or none."""
        self._remove_missing()
        return self._upstreams.get(upstream_id)

    def accepting_upstreams(self, service: str) -> list[RegisteredUpstream]:
        """Return the upstreams of a service that are not draining.

        Those that announced their departure are not among them.
        """
        return [
            upstream
            for upstream in self.registered_upstreams
            if upstream.service == service
            and not upstream.is_draining
            and upstream.incarnation not in self._leaving_since
        ]

    def is_leaving(self, incarnation: str) -> bool:
        """Tell whether an incarnation is draining or announced its departure.

        False for one that is not registered.
        """
        return incarnation in self._leaving_since or any(
            upstream.is_draining
            for upstream in self.registered_upstreams
            if upstream.incarnation == incarnation
        )

    @property
    def leaving_incarnations(self) -> tuple[str, ...]:
        """Return the registered incarnations that are known to leave."""
        if not self._leaving_since:
            return ()
        return tuple(
            upstream.incarnation
            for upstream in self.registered_upstreams
            if upstream.incarnation in self._leaving_since
        )

    def mark_leaving(self, incarnation: str) -> None:
        """Record that an incarnation of an upstream announced its departure.

        Its registration may say so later, or not before the key-value service
        is reachable again.
        """
        if incarnation in self._leaving_since:
            return
        self._forget_old_departures()
        self._leaving_since[incarnation] = time.monotonic()
        log_message('upstream:leaving', incarnation=incarnation)

    def register(self, upstream: RegisteredUpstream) -> None:
        """Add or replace a registration."""
        previous = self._upstreams.get(upstream.upstream_id)
        self._upstreams[upstream.upstream_id] = upstream
        self._missing.discard(upstream.upstream_id)
        if previous != upstream:
            log_message(
                'upstream:registered',
                upstream=upstream.upstream_id,
                draining=upstream.is_draining,
                known=previous is not None,
            )

    def unregister(self, upstream_id: str) -> None:
        """Remove an upstream whose registration ended.

        During an outage of the service it is only marked as missing.
        """
        if upstream_id in self._upstreams:
            self._missing.add(upstream_id)
            self._remove_missing()

    def _remove_missing(self) -> None:
        """Remove missing upstreams unless an outage may be the cause."""
        if not self._missing or not self._is_service_stable():
            return
        for upstream_id in self._missing:
            self._upstreams.pop(upstream_id, None)
            log_message('upstream:gone', upstream=upstream_id)
        self._missing.clear()

    def _forget_old_departures(self) -> None:
        """Remove old announcements of upstreams that are not registered."""
        registered = {one.incarnation for one in self._upstreams.values()}
        oldest = time.monotonic() - DEPARTURE_RETENTION_S
        for incarnation, since in list(self._leaving_since.items()):
            if since < oldest and incarnation not in registered:
                self._leaving_since.pop(incarnation)
