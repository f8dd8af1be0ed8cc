"""briarrill.coordination.version_records: versions that are recorded.

What a process has seen of upstreams ends with it. So that a version has
served is also recorded with a key in the key-value service, until no upstream
of it has been registered for a while.
"""

import time
from collections.abc import Callable, Collection

import attrs

__all__ = (
    'VERSION_HOLD_S',
    'VERSION_RETENTION_S',
    'RankOf',
    'ServedVersion',
    'VersionRecords',
)

# time for which a version that no upstream has any more counts as one that
# served lately; streams that it began last several seconds
VERSION_RETENTION_S = 60.0

# time after which the record of such a version is deleted: longer than any
# process counts it, so that none records it again
RECORD_RETENTION_S = 70.0

# longest time for which a version without a record begins no streams while no
# recorded one accepts any. Callers give up 2 s without a first event; service
# goes on if nothing can be recorded
VERSION_HOLD_S = 1.5

# time after the start, or an outage, until peers are heard and agree on which
# process writes; a write by several does no harm, and versions that have no
# record yet wait for it
SETTLING_S = 0.3

# time that the process before has to write, including the mirrors' interval
RANK_DELAY_S = 1.0


@attrs.frozen
class ServedVersion:
    """A software version of a service's upstreams.

    :param version: empty if the upstreams name none.
    """

    service: str
    version: str


#: Returns the position of this process among those that may write a record.
RankOf = Callable[[ServedVersion], int]


@attrs.define
class VersionRecords:
    """Which versions are recorded, and which records to write or delete.

    :param is_read: tells whether the records in the service are known.
    :param followed_since: returns the monotonic time since which the
        registrations of upstreams have been followed without an outage.
    :param is_read_by_peers: tells whether live peers know the records, which
        they then write.
    :param hold_s: time for which a version without a record begins no
        streams that others may go on with, though no recorded one accepts
        any; with the default 0 records are not waited for at all.
    :param clock: monotonic clock.
    """

    is_read: Callable[[], bool]
    followed_since: Callable[[], float] = float
    is_read_by_peers: Callable[[], bool] = attrs.field(
        default=bool, kw_only=True
    )
    hold_s: float = attrs.field(default=0, kw_only=True)
    _clock: Callable[[], float] = time.monotonic
    _seen_at: dict[ServedVersion, float] = attrs.field(
        factory=dict, init=False
    )
    _unrecorded_since: dict[ServedVersion, float] = attrs.field(
        factory=dict, init=False
    )

    def record_registration(self, served: ServedVersion) -> None:
        """Record that an upstream of a version is registered."""
        if served not in self._seen_at:
            self._unrecorded_since.setdefault(served, self._clock())

    def is_held(self, served: ServedVersion) -> bool:
        """Tell whether a version begins no streams since it has no record."""
        since = self._unrecorded_since.get(served)
        if since is None or self._clock() - since >= self.hold_s:
            return False
        return self.lacks_record(served)

    def lacks_record(self, served: ServedVersion) -> bool:
        """Tell whether a version that is in use has no record yet.

        A process that has just started among others does not know, and takes
        it for recorded, until it has read the records.
        """
        if not self.hold_s or served not in self._unrecorded_since:
            return False
        return self.is_read() or not self.is_read_by_peers()

    def has_any(self, service: str) -> bool:
        """Tell whether any version of a service is recorded."""
        return any(served.service == service for served in self._seen_at)

    def is_recorded(self, served: ServedVersion) -> bool:
        """Tell whether this process knows a record of a version."""
        return served in self._seen_at

    def add(self, served: ServedVersion) -> None:
        """Add a record that exists in the service."""
        self._seen_at.setdefault(served, self._clock())
        self._unrecorded_since.pop(served, None)

    def discard(self, served: ServedVersion) -> None:
        """Remove a record that no longer exists in the service."""
        self._seen_at.pop(served, None)

    def served_lately(self, service: str) -> set[str]:
        """Return the recorded versions that may have served lately.

        One of which this process has seen no upstream counts until it has
        followed the registrations for long enough.
        """
        return {
            served.version
            for served in self._seen_at
            if served.service == service
            and self._absent_s(served) < VERSION_RETENTION_S
        }

    def update(
        self,
        registered: Collection[ServedVersion],
        seen_lately: Collection[ServedVersion],
    ) -> None:
        """Compare the records with the versions of upstreams.

        :param registered: versions of registered upstreams.
        :param seen_lately: these, and those whose upstreams left lately.
        """
        now = self._clock()
        for served in self._seen_at.keys() & registered:
            self._seen_at[served] = now
        wanted = set(seen_lately).difference(self._seen_at)
        self._unrecorded_since = {
            served: self._unrecorded_since.get(served, now)
            for served in wanted
        }

    def due_creates(self, rank: RankOf) -> list[ServedVersion]:
        """Return the versions that this process is to record now.

        :param rank: returns the position of this process among those that
            may write the record of a version.
        """
        now = self._clock()
        settled_at = self.followed_since() + SETTLING_S
        return [
            served
            for served, since in self._unrecorded_since.items()
            if now >= settled_at and now - since >= rank(served) * RANK_DELAY_S
        ]

    def due_deletes(self, rank: RankOf) -> list[ServedVersion]:
        """Return the versions whose records this process is to delete now.

        While one version of a service cannot be recorded, the records of the
        others stay: they show that more than one has served.

        :param rank: as for :meth:`due_creates`.
        """
        incomplete = {served.service for served in self._unrecorded_since}
        due_s = {
            served: self._absent_s(served) - RECORD_RETENTION_S
            for served in self._seen_at
            if served.service not in incomplete
        }
        return [
            served
            for served, late_s in due_s.items()
            if late_s >= 0 and late_s >= rank(served) * RANK_DELAY_S
        ]

    def _absent_s(self, served: ServedVersion) -> float:
        """Return for how long no upstream of a version was registered."""
        since = max(self._seen_at[served], self.followed_since())
        return self._clock() - since
