"""briarrill.item_runs.unused_upstreams: use upstreams that no owner uses.

Batch processes share the upstreams by what each of them knows. Where their
views differ, or where an owner cannot start items, an upstream stays unused
though items wait. Any process may adopt such an upstream for as long as no
other process runs items there.
"""

import time
from collections.abc import Collection, Mapping

import attrs

from ..coordination.routes import Services

__all__ = ('UnusedUpstreams', 'UpstreamUse', 'UseSample')

# time between two looks at the upstreams of others, which may be hundreds
SAMPLE_INTERVAL_S = 0.25

# time for which items wait and an upstream is unused before it is adopted; an
# owner in touch starts a waiting item after 0.4 s at most, the delay before it
# takes over jobs that are assigned to others
ADOPTION_DELAY_S = 2.0


@attrs.frozen
class UpstreamUse:
    """The use of an upstream that another process owns.

    :param has_room: whether an item may start there.
    :param peer_items: items that other processes run there.
    """

    has_room: bool
    peer_items: int

    @property
    def is_unused(self) -> bool:
        """Whether an item may start there and no other process runs one."""
        return self.has_room and not self.peer_items


@attrs.define
class _ServicesUse:
    """What is known of services for which items wait.

    :param waiting_since: monotonic time from which on items waited.
    :param unused_since: the same for upstreams with room and without items.
    :param adopted: upstreams that this process uses instead of their owners.
    """

    waiting_since: float
    unused_since: dict[str, float] = attrs.field(factory=dict)
    adopted: frozenset[str] = frozenset()


@attrs.define
class UnusedUpstreams:
    """Adopts upstreams that nobody uses while items wait here.

    What is known of the services of a route outlives its configuration.
    """

    _known: dict[Services, _ServicesUse] = attrs.field(
        factory=dict, init=False
    )
    _sampled_at: float | None = attrs.field(default=None, init=False)

    def adopted(self, services: Services) -> Collection[str]:
        """Return the adopted upstreams of the services of a route."""
        known = self._known.get(services)
        return known.adopted if known else ()

    def is_sample_due(self) -> bool:
        """Tell whether the use of all upstreams is to be looked at."""
        now = time.monotonic()
        sampled_at = self._sampled_at
        if sampled_at is not None and now - sampled_at < SAMPLE_INTERVAL_S:
            return False
        self._sampled_at = now
        return True

    def begin_sample(
        self, uses: Mapping[Services, Mapping[str, UpstreamUse]]
    ) -> 'UseSample':
        """Return the services with upstreams that are unused or adopted.

        :param uses: use of the upstreams that others own, by the services of
            each route in force; for services without an unused one, nothing
            is recorded as waiting.
        """
        for removed in self._known.keys() - uses.keys():
            self.record_no_wait(removed)
        sampled: dict[Services, Mapping[str, UpstreamUse]] = {}
        for services, by_upstream in uses.items():
            if self.adopted(services) or any(
                use.is_unused for use in by_upstream.values()
            ):
                sampled[services] = by_upstream
            else:
                self.record_no_wait(services)
        return UseSample(self, sampled)

    def record_no_wait(self, services: Services) -> None:
        """Record that no item waits here for some services."""
        self._known.pop(services, None)

    def record_wait(
        self, services: Services, uses: Mapping[str, UpstreamUse]
    ) -> None:
        """Record that items wait for services, and who uses the upstreams.

        :param uses: use of the upstreams that others own, by identifier.
        """
        now = time.monotonic()
        known = self._known.setdefault(services, _ServicesUse(now))
        known.unused_since = {
            name: known.unused_since.get(name, now)
            for name, use in uses.items()
            if use.is_unused
        }
        kept = {
            name
            for name in known.adopted & uses.keys()
            if not uses[name].peer_items
        }
        latest = now - ADOPTION_DELAY_S
        if known.waiting_since <= latest:
            kept.update(
                name
                for name, since in known.unused_since.items()
                if since <= latest
            )
        known.adopted = frozenset(kept)


@attrs.frozen
class UseSample:
    """A look at the upstreams of others, until it is known what waits.

    :param uses: use of the upstreams of the services that matter.
    """

    _unused: UnusedUpstreams
    uses: Mapping[Services, Mapping[str, UpstreamUse]]

    def record(self, waiting: Collection[Services]) -> None:
        """Record for which services items wait here."""
        for services, uses in self.uses.items():
            if services in waiting:
                self._unused.record_wait(services, uses)
            else:
                self._unused.record_no_wait(services)
