"""briarrill.coordination.upstream_table: table of registered upstreams.

Upstreams register in the key-value service under leases. A registration that
expired during an outage of the service remains in use until the service has
been reachable for some time, so that live upstreams can register again. If the
service fails again and again, a longer time in pieces counts as well. A peer
that followed the service all along knows which registrations were removed for
good; its word ends the wait.
"""

import math
import time
from collections.abc import Awaitable, Callable, Collection, Iterable

import attrs
from eliot import log_message

from ..protocol.stream_origins import StreamOrigin
from .upstream_versions import UpstreamVersions
from .version_records import ServedVersion, VersionRecords

__all__ = ('RegisteredUpstream', 'UpstreamTable')

# time within which a live upstream registers again after an outage of the
# service: its heartbeat interval of 1.2 s twice. With the longest pause of a
# mirror before it reconnects it is shorter than the contact time of 3 s, after
# which nothing may be sent to an upstream that had left
RETURN_GRACE_S = 2.4

# time in pieces, between outages of the service, after which an upstream that
# did not register again is given up too: it may need a piece of its own for
# each of its two heartbeats
MAX_GRACE_S = 2 * RETURN_GRACE_S

# time for which the announced departure of an upstream that is not registered
# is remembered; it may register again after an outage
DEPARTURE_RETENTION_S = 60.0

# time for which peers are told of a removed registration; longer than most
# times for which a peer is cut off, and the most that one report lists
REMOVAL_REPORT_S = 15.0
MAX_REPORTED_REMOVALS = 32

# validity of a peer's word that a registration was removed; peers repeat it in
# each report, and withdraw it when the upstream registers again
PEER_WORD_VALIDITY_S = 1.0


#: Reads versions that served, from the key-value service; none if it fails.
FindMissed = Callable[[], Awaitable[Collection[ServedVersion] | None]]


@attrs.frozen
class RegisteredUpstream:
    """The registration of an upstream.

    :param upstream_id: unique name, also in requests that only it may run.
    :param address: host and port.
    :param slots: requests that it runs at the same time.
    :param is_draining: it accepts no new requests.
    :param incarnation: identifier that changes at each restart.
    :param version: of its software, empty if it names none.
    """

    upstream_id: str
    service: str
    address: tuple[str, int]
    failure_domain: str
    slots: int
    is_draining: bool = False
    incarnation: str = ''
    version: str = ''


async def _miss_none() -> Collection[ServedVersion]:
    return ()


class UpstreamTable:
    """Registered upstreams by identifier.

    :param is_service_stable: tells whether the key-value service has been
        followed for long enough that a missing registration means a lost
        upstream.
    :param records: versions that are recorded, default none.
    :param followed_s: returns for how long the service has been followed in
        total, default no time.
    :param find_missed: reads the versions that served and that this process
        may lack, default none; returns None if they cannot be read.
    :ivar versions: versions whose upstreams left lately.
    """

    def __init__(
        self,
        is_service_stable: Callable[[], bool],
        records: VersionRecords | None = None,
        followed_s: Callable[[], float] = float,
        find_missed: FindMissed = _miss_none,
    ) -> None:
        """Start without upstreams."""
        self.find_missed = find_missed
        self.records = records or VersionRecords(is_service_stable)
        self._is_service_stable = is_service_stable
        self._followed_s = followed_s
        self._upstreams: dict[str, RegisteredUpstream] = {}
        self._missing: dict[str, float] = {}
        self._leaving_since: dict[str, float] = {}
        self.versions = UpstreamVersions()
        self._removed_at: dict[str, float] = {}
        self._removed_by_peers_at: dict[str, float] = {}

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
            if upstream.service == service and self._is_accepting(upstream)
        ]

    def still_accepts(self, upstream: RegisteredUpstream) -> bool:
        """Tell whether an upstream that was chosen earlier may get a request.

        It may not if it announced its departure, restarted or is gone.
        """
        current = self.find(upstream.upstream_id)
        return (
            current is not None
            and current.incarnation == upstream.incarnation
            and self._is_accepting(current)
        )

    @property
    def knows_recent_versions(self) -> bool:
        """Whether all versions that served lately are known."""
        return self._is_service_stable() and self.records.is_read()

    def mark_replaced(self, incarnation: str) -> None:
        """Record that another process answers in place of an incarnation.

        Its version is unknown until it registers.
        """
        if not self.versions.is_replaced(incarnation):
            self.versions.mark_replaced(incarnation)
            log_message('upstream:replaced', incarnation=incarnation)

    def may_go_on(
        self, upstream: RegisteredUpstream, origin: StreamOrigin
    ) -> bool:
        """Tell whether an upstream may go on with what an origin began."""
        if self.versions.is_replaced(upstream.incarnation):
            return False
        return origin == StreamOrigin(upstream.version, upstream.service)

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

    @property
    def removed_incarnations(self) -> tuple[str, ...]:
        """Return the incarnations whose registration was removed of late.

        Those that a peer told of are not among them, so that its word does
        not come back to it.
        """
        oldest = time.monotonic() - REMOVAL_REPORT_S
        recent = [name for name, at in self._removed_at.items() if at > oldest]
        return tuple(recent[-MAX_REPORTED_REMOVALS:])

    def record_peer_removals(self, incarnations: Iterable[str]) -> None:
        """Record removals of registrations that a peer followed."""
        now = time.monotonic()
        oldest = now - PEER_WORD_VALIDITY_S
        self._removed_by_peers_at = {
            name: at
            for name, at in self._removed_by_peers_at.items()
            if at > oldest
        }
        self._removed_by_peers_at.update(dict.fromkeys(incarnations, now))

    def mark_leaving(self, incarnation: str) -> None:
        """Record that an incarnation of an upstream announced its departure.

        Its registration may say so later, or not before the key-value service
        is reachable again. A departure that was announced is final.
        """
        if incarnation in self._leaving_since:
            return
        self._forget_old_departures()
        self._leaving_since[incarnation] = time.monotonic()
        log_message('upstream:leaving', incarnation=incarnation)

    def register(self, upstream: RegisteredUpstream) -> None:
        """Add or replace a registration."""
        previous = self._upstreams.get(upstream.upstream_id)
        if previous is not None:
            self.versions.record_departure(previous.service, previous.version)
        self.records.record_registration(
            ServedVersion(upstream.service, upstream.version)
        )
        self._upstreams[upstream.upstream_id] = upstream
        self._missing.pop(upstream.upstream_id, None)
        self._removed_at.pop(upstream.incarnation, None)
        if upstream.is_draining and upstream.incarnation:
            # a heartbeat sent earlier may arrive later and say otherwise
            self.mark_leaving(upstream.incarnation)
        if previous != upstream:
            log_message(
                'upstream:registered',
                upstream=upstream.upstream_id,
                draining=upstream.is_draining,
                version=upstream.version,
                known=previous is not None,
            )

    def unregister(self, upstream_id: str) -> None:
        """Remove an upstream whose registration ended.

        During an outage of the service it is only marked as missing.
        """
        if upstream_id not in self._upstreams:
            return
        self._missing.setdefault(upstream_id, self._followed_s())
        self._remove_missing()
        if upstream_id in self._missing:
            log_message('upstream:missing', upstream=upstream_id)

    def _is_accepting(self, upstream: RegisteredUpstream) -> bool:
        """Whether neither state nor own word tells of a departure."""
        return (
            not upstream.is_draining
            and upstream.incarnation not in self._leaving_since
        )

    def _remove_missing(self) -> None:
        """Remove missing upstreams unless an outage may be the cause."""
        if not self._missing:
            return
        is_stable = self._is_service_stable()
        latest = self._followed_s() - MAX_GRACE_S
        for upstream_id, missing_since in list(self._missing.items()):
            incarnation = self._upstreams[upstream_id].incarnation
            is_lost = is_stable or missing_since <= latest
            if is_lost:
                self._record_removal(incarnation)
            elif not self._is_removed_by_peers(incarnation):
                continue
            self._missing.pop(upstream_id)
            upstream = self._upstreams.pop(upstream_id)
            self.versions.record_departure(upstream.service, upstream.version)
            log_message(
                'upstream:gone', upstream=upstream_id, by_peer=not is_lost
            )

    def _record_removal(self, incarnation: str) -> None:
        """Remember a removal for the peers, and forget old ones."""
        now = time.monotonic()
        oldest = now - REMOVAL_REPORT_S
        self._removed_at = {
            name: at for name, at in self._removed_at.items() if at > oldest
        }
        self._removed_at[incarnation] = now

    def _is_removed_by_peers(self, incarnation: str) -> bool:
        """Whether a peer has just told of a removal that it followed."""
        told_at = self._removed_by_peers_at.get(incarnation, -math.inf)
        return time.monotonic() - told_at <= PEER_WORD_VALIDITY_S

    def _forget_old_departures(self) -> None:
        """Remove old announcements of upstreams that are not registered."""
        registered = {one.incarnation for one in self._upstreams.values()}
        oldest = time.monotonic() - DEPARTURE_RETENTION_S
        for incarnation, since in list(self._leaving_since.items()):
            if since < oldest and incarnation not in registered:
                self._leaving_since.pop(incarnation)
