"""briarrill.item_runs.slots: finds free slots of upstreams for batch items."""

import collections
import time
from collections.abc import Callable

import attrs

from ..coordination.batch_choice import PlaceEstimate
from ..coordination.batch_shares import (
    count_startable_items,
    own_upstreams,
)
from ..coordination.load_exchange import LoadExchange
from ..coordination.routes import Route
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable
from ..protocol.stream_origins import StreamOrigin
from ..state.keys import ROOT_PREFIX

__all__ = ('FreeSlots',)

# time from the connection to the key-value service, which lists the peers,
# until items start; an urgent report and the replies take a few round trips
# and the pause between two reports
PEER_REPORT_WAIT_S = 0.1

# the same wait while a listed peer has not reported; processes that lost
# power together restart within about this time of each other
SILENT_PEER_WAIT_S = 0.5


@attrs.define
class FreeSlots:
    """Finds free slots at the upstreams that this process owns.

    :param process: name of this process.
    :param is_connected: whether this process reaches the key-value service.
    :ivar own_items: number of own items by upstream, including those about
        to start.
    """

    process: str
    upstreams: UpstreamTable
    load: LoadExchange
    is_connected: Callable[[], bool]
    own_items: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )
    _connected_at: float | None = attrs.field(default=None, init=False)
    _places: dict[str, PlaceEstimate] = attrs.field(factory=dict, init=False)

    @property
    def is_isolated(self) -> bool:
        """Whether peers can commit results and this process cannot."""
        return not self.is_connected() and any(
            report.runs_batch and ROOT_PREFIX in report.connected
            for report in self.load.live_reports.values()
        )

    def may_start_items(self) -> bool:
        """Whether peers had time to report their items.

        While the key-value service is unreachable there is no wait.
        """
        if not self.is_connected():
            self._connected_at = None
            return True
        now = time.monotonic()
        if self._connected_at is None:
            self._connected_at = now
        since_s = now - self._connected_at
        if self.load.has_silent_members:
            return since_s >= SILENT_PEER_WAIT_S
        return since_s >= PEER_REPORT_WAIT_S

    def processes(self) -> list[str]:
        """Return the names of the processes that start items.

        Processes that cannot commit results are excluded unless none can.
        """
        can_commit = {
            name: ROOT_PREFIX in report.connected
            for name, report in self.load.live_reports.items()
            if report.runs_batch and not report.is_leaving
        }
        can_commit[self.process] = self.is_connected()
        connected = [name for name, is_able in can_commit.items() if is_able]
        return connected or list(can_commit)

    def record_load(self, service: str) -> None:
        """Record the current load of a service for the estimates."""
        now = time.monotonic()
        upstreams = self.upstreams.accepting_upstreams(service)
        names = [upstream.upstream_id for upstream in upstreams]
        places = self._places.setdefault(service, PlaceEstimate())
        places.add(sum(map(self.load.batch, names)), now)

    def places(self, route: Route) -> float:
        """Return the mean number of slots that a route's items held.

        Once work waits, these are all that online requests leave free.
        """
        return sum(
            self._places[target.service].mean
            for target in route.targets
            if target.service in self._places
        )

    def has_free_slot(self, route: Route) -> bool:
        """Whether any upstream has a free slot for a route's items."""
        return any(self._free_slots(route).values())

    def choose_upstream(
        self,
        route: Route,
        avoided_upstream: str,
        origin: StreamOrigin | None = None,
        *,
        waits_for_others: bool = False,
    ) -> RegisteredUpstream | None:
        """Return the upstream with the most free slots, if any are free.

        :param avoided_upstream: chosen only if no other has a free slot.
        :param origin: output with which the upstream must go on, if any.
        :param waits_for_others: choose the avoided one only if there is no
            other, whether it has free slots or not.
        """
        free = self._free_slots(route, origin)
        others = {
            name: count
            for name, count in free.items()
            if name != avoided_upstream
        }
        if any(others.values()) or (others and waits_for_others):
            free = others
        name = max(free, key=lambda upstream_id: free[upstream_id], default='')
        if not name or not free[name]:
            return None
        return self.upstreams.find(name)

    def may_go_on(self, route: Route, origin: StreamOrigin) -> bool:
        """Tell whether output of an origin may go on at an owned upstream.

        It may as well if this process owns none.
        """
        owned = self._owned_upstreams(route)
        return origin.version is not None and (
            not owned
            or any(self.upstreams.may_go_on(one, origin) for one in owned)
        )

    def _owned_upstreams(self, route: Route) -> list[RegisteredUpstream]:
        """Return the upstreams that this process owns for a route's items."""
        processes = tuple(self.processes())
        owned: list[RegisteredUpstream] = []
        for target in route.targets:
            accepting = self.upstreams.accepting_upstreams(target.service)
            names = own_upstreams(
                self.process,
                processes,
                tuple(upstream.upstream_id for upstream in accepting),
            )
            owned.extend(one for one in accepting if one.upstream_id in names)
        return owned

    def _free_slots(
        self, route: Route, origin: StreamOrigin | None = None
    ) -> dict[str, int]:
        """Return free slots of the owned upstreams of a route, by ID.

        Suspect upstreams and those at their request limit are excluded.

        :param origin: output with which they must go on, if any.
        """
        return {
            upstream.upstream_id: self._free_slots_at(upstream)
            for upstream in self._owned_upstreams(route)
            if self._takes_items(upstream)
            and (origin is None or self.upstreams.may_go_on(upstream, origin))
        }

    def _takes_items(self, upstream: RegisteredUpstream) -> bool:
        blocked_s = self.load.limits.limits.blocked_s(upstream.incarnation)
        return not blocked_s and not self.load.is_suspect(upstream.upstream_id)

    def _free_slots_at(self, upstream: RegisteredUpstream) -> int:
        """Return how many more items may start at an upstream."""
        name = upstream.upstream_id
        peer_items = self.load.batch(name) - self.load.in_flight.batch[name]
        return count_startable_items(
            upstream.slots,
            self.load.online(name),
            self.own_items[name] + peer_items,
        )
