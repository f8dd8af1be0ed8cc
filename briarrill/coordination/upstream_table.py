"""briarrill.coordination.upstream_table: the upstreams that may be used.

Upstreams register in the key-value service under leases. Registrations that
lapsed while the service was away are left in use until the service has been
back for some time.
"""

from collections.abc import Callable

import attrs
from eliot import log_message

__all__ = ('RegisteredUpstream', 'UpstreamTable')

# time after the service's return in which a live upstream registers again:
# a heartbeat interval of the largest deployments, and a margin
RETURN_GRACE_S = 2.5


@attrs.frozen
class RegisteredUpstream:
    """An upstream as it registered itself.

    :param upstream_id: names it, also in requests that only it may run.
    :param incarnation: names one life of the upstream.
    :param slots: requests that it runs at the same time.
    :param is_draining: it takes no new requests.
    """

    upstream_id: str
    service: str
    address: tuple[str, int]
    failure_domain: str
    slots: int
    is_draining: bool = False
    incarnation: str = ''


class UpstreamTable:
    """Upstreams by identifier.

    :param is_service_settled: whether the key-value service has answered
        for long enough that a missing registration means a lost upstream.
    """

    def __init__(self, is_service_settled: Callable[[], bool]) -> None:
        """Start empty."""
        self._is_service_settled = is_service_settled
        self._upstreams: dict[str, RegisteredUpstream] = {}
        self._missing: set[str] = set()

    @property
    def all(self) -> tuple[RegisteredUpstream, ...]:
        """Return all registered upstreams, the draining ones too."""
        self._drop_missing()
        return tuple(self._upstreams.values())

    def find(self, upstream_id: str) -> RegisteredUpstream | None:
        """Return an upstream, if it is registered."""
        self._drop_missing()
        return self._upstreams.get(upstream_id)

    def of_service(self, service: str) -> list[RegisteredUpstream]:
        """Return the upstreams of a service that take requests."""
        return [
            upstream
            for upstream in self.all
            if upstream.service == service and not upstream.is_draining
        ]

    def put(self, upstream: RegisteredUpstream) -> None:
        """Take a registration."""
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

    def remove(self, upstream_id: str) -> None:
        """Take the end of a registration."""
        if upstream_id in self._upstreams:
            self._missing.add(upstream_id)
            self._drop_missing()

    def _drop_missing(self) -> None:
        """Forget what is missing, unless the service was just away."""
        if not self._missing or not self._is_service_settled():
            return
        for upstream_id in self._missing:
            self._upstreams.pop(upstream_id, None)
            log_message('upstream:gone', upstream=upstream_id)
        self._missing.clear()
