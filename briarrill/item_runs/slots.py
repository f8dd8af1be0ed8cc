"""briarrill.item_runs.slots: finds free slots of upstreams for batch items."""

import collections
import contextlib
import random
import time
from collections.abc import Callable, Collection, Iterable, Iterator

import attrs

from ..coordination.batch_choice import PlaceEstimate
from ..coordination.batch_shares import (
    count_startable_items,
    own_upstreams,
)
from ..coordination.load_exchange import LoadExchange
from ..coordination.routes import Route, Services
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable
from ..protocol.stream_origins import StreamOrigin
from ..state.keys import ROOT_PREFIX
from ..state.rendezvous import rank_nodes
from .item_memory import ItemMemory
from .run_health import RunHealth
from .unused_upstreams import UnusedUpstreams, UpstreamUse, UseSample
from .wait_reasons import WaitReason

__all__ = ('FreeSlots',)

# time from the connection to the key-value service, which lists the peers,
# until items start; an urgent report and the replies take a few round trips
# and the pause between two reports
PEER_REPORT_WAIT_S = 0.1

# the same wait while a listed peer has not reported; processes that lost
# power together restart within about this time of each other
SILENT_PEER_WAIT_S = 0.5

# time without a free slot at an upstream that nobody suspects after which a
# suspected one gets an item, a few intervals between load reports: a suspicion
# lasts 4 s after its last evidence, and only bytes end it sooner
SUSPECT_TRIAL_DELAY_S = 1.0


@attrs.define
class _Found:
    """What searches of one scheduling pass have found.

    :param owned: the own upstreams of the services of a route.
    :param free: free slots for these services and the origin of output.
    """

    owned: dict[Services, list[RegisteredUpstream]] = attrs.field(factory=dict)
    free: dict[tuple[Services, StreamOrigin | None], dict[str, int]] = (
        attrs.field(factory=dict)
    )


@attrs.define
class FreeSlots:
    """Finds free slots at the upstreams that this process owns.

    :param process: name of this process.
    :param is_connected: whether this process reaches the key-value service.
    :ivar own_items: number of own items by upstream, including those about
        to start.
    :ivar memory: counts the tokens of the own items.
    :ivar unused: upstreams of others that nobody uses.
    """

    process: str
    upstreams: UpstreamTable
    load: LoadExchange
    is_connected: Callable[[], bool]
    own_items: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )
    memory: ItemMemory = attrs.field(
        default=attrs.Factory(
            lambda slots: ItemMemory(slots.upstreams, slots.load),
            takes_self=True,
        ),
        init=False,
    )
    health: RunHealth = attrs.field(
        factory=lambda: RunHealth(random.Random()), init=False
    )
    unused: UnusedUpstreams = attrs.field(factory=UnusedUpstreams, init=False)
    _connected_at: float | None = attrs.field(default=None, init=False)
    _places: dict[str, PlaceEstimate] = attrs.field(factory=dict, init=False)
    _had_room_at: dict[Services, float] = attrs.field(factory=dict, init=False)
    _found: _Found | None = attrs.field(default=None, init=False)

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

    def rank_for(self, part: int) -> int:
        """Return how many other processes come first for a prompt part."""
        names = {*self.processes(), self.process}
        return rank_nodes(str(part), names).index(self.process)

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

    @contextlib.contextmanager
    def searching(self) -> Iterator[None]:
        """Search only once for the same between two starts of items.

        Hundreds of waiting items may look for slots of as many upstreams, and
        nothing but starts changes anything as long as no other task runs.
        """
        self._found = _Found()
        try:
            yield
        finally:
            self._found = None

    def count_start(self, upstream_id: str) -> None:
        """Count an item that is about to start."""
        self.own_items[upstream_id] += 1
        if self._found is not None:
            self._found.free.clear()

    def begin_sample(self, routes: Iterable[Route]) -> UseSample:
        """Return the use of the upstreams of others, if a look at it is due.

        Without routes of which others may leave upstreams unused; a search
        through thousands of waiting items would tell nothing of them.
        """
        if not self.unused.is_sample_due():
            return UseSample(self.unused, {})
        by_services = {route.services: route for route in routes}
        return self.unused.begin_sample(
            {
                services: self._uses_of_others(route)
                for services, route in by_services.items()
            }
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
        tokens: int = 0,
    ) -> RegisteredUpstream | None:
        """Return the upstream with the most free slots, if any are free.

        A slow one is chosen before a fast one with as many, which online
        requests may need.

        :param avoided_upstream: chosen only if no other has a free slot.
        :param origin: output with which the upstream must go on, if any.
        :param waits_for_others: choose the avoided one only if there is no
            other, whether it has free slots or not.
        :param tokens: that its memory has to have free, default none.
        """
        free = {
            name: count
            for name, count in self._free_slots(route, origin).items()
            if self.memory.may_start(name, tokens)
        }
        others = {
            name: count
            for name, count in free.items()
            if name != avoided_upstream
        }
        if any(others.values()) or (others and waits_for_others):
            free = others
        free = self.health.without_failing(free)
        name = max(
            free,
            key=lambda upstream_id: (
                free[upstream_id] / self.memory.speed_of(upstream_id)
            ),
            default='',
        )
        if not name or not free[name]:
            return None
        return self.upstreams.find(name)

    def may_go_on(self, route: Route, origin: StreamOrigin) -> bool:
        """Tell whether output of an origin may go on at an owned upstream.

        It may as well if this process owns none.
        """
        owned = self.owned_upstreams(route)
        return origin.version is not None and (
            not owned
            or any(self.upstreams.may_go_on(one, origin) for one in owned)
        )

    def why_passed_over(
        self, upstream: RegisteredUpstream
    ) -> WaitReason | None:
        """Return why an upstream gets no items, whether it has room or not."""
        if _is_blocked(self.load, upstream):
            return WaitReason.AT_LIMIT
        if self.load.is_suspect(upstream.upstream_id):
            return WaitReason.SUSPECTED
        return None

    def owned_upstreams(self, route: Route) -> list[RegisteredUpstream]:
        """Return the upstreams that this process owns for a route's items."""
        found = _Found() if self._found is None else self._found
        if route.services not in found.owned:
            assigned = _assigned_upstreams(
                self.process, tuple(self.processes()), self.upstreams, route
            )
            names = assigned.union(self.unused.adopted(route.services))
            found.owned[route.services] = [
                upstream
                for upstream in _accepting_upstreams(self.upstreams, route)
                if upstream.upstream_id in names
            ]
        return found.owned[route.services]

    def _uses_of_others(self, route: Route) -> dict[str, UpstreamUse]:
        """Return the use of upstreams that other processes own, by ID."""
        assigned = _assigned_upstreams(
            self.process, tuple(self.processes()), self.upstreams, route
        )
        return {
            upstream.upstream_id: UpstreamUse(
                has_room=self._free_slots_at(upstream) > 0,
                peer_items=_peer_items(self.load, upstream),
            )
            for upstream in _accepting_upstreams(self.upstreams, route)
            if upstream.upstream_id not in assigned
            and self.why_passed_over(upstream) is None
        }

    def _free_slots(
        self, route: Route, origin: StreamOrigin | None = None
    ) -> dict[str, int]:
        """Return free slots of the upstreams of a route, by ID.

        :param origin: output with which they must go on, if any.
        """
        found = _Found() if self._found is None else self._found
        search = (route.services, origin)
        if search not in found.free:
            found.free[search] = self._find_free_slots(route, origin)
        return found.free[search]

    def _find_free_slots(
        self, route: Route, origin: StreamOrigin | None
    ) -> dict[str, int]:
        """Search for free slots.

        They are the owned ones without those that are suspected or at their
        request limit, and suspected ones if no other has had a free slot for
        some time.
        """
        owned = self.owned_upstreams(route)
        takes_items = {
            one.upstream_id: self._free_slots_at(one)
            for one in owned
            if self.why_passed_over(one) is None
        }
        if any(takes_items.values()):
            self._had_room_at[route.services] = time.monotonic()
        elif self._has_lacked_room(route):
            takes_items |= self._trial_slots(route, owned)
        return {
            name: count
            for name, count in takes_items.items()
            if origin is None
            or (
                (upstream := self.upstreams.find(name))
                and self.upstreams.may_go_on(upstream, origin)
            )
        }

    def _has_lacked_room(self, route: Route) -> bool:
        """Whether no upstream that is not suspected had room for some time.

        Those of the peers count as well, since they start items there.
        """
        now = time.monotonic()
        if any(
            self._free_slots_at(upstream)
            for upstream in _accepting_upstreams(self.upstreams, route)
            if self.why_passed_over(upstream) is None
        ):
            self._had_room_at[route.services] = now
        had_room_at = self._had_room_at.setdefault(route.services, now)
        return now - had_room_at > SUSPECT_TRIAL_DELAY_S

    def _trial_slots(
        self, route: Route, owned: Collection[RegisteredUpstream]
    ) -> dict[str, int]:
        """Return a slot of each suspected upstream that may get an item.

        One that this process does not suspect itself may be unreachable for
        its owner alone, so the owner does not matter.
        """
        own_suspects = self.load.silence.suspects
        return {
            upstream.upstream_id: min(1, self._free_slots_at(upstream))
            for upstream in _accepting_upstreams(self.upstreams, route)
            if self.load.is_suspect(upstream.upstream_id)
            and not _is_blocked(self.load, upstream)
            and not self.own_items[upstream.upstream_id]
            and (upstream in owned or upstream.upstream_id not in own_suspects)
        }

    def _free_slots_at(self, upstream: RegisteredUpstream) -> int:
        """Return how many more items may start at an upstream."""
        name = upstream.upstream_id
        return count_startable_items(
            upstream.slots,
            self.load.online(name),
            self.own_items[name] + _peer_items(self.load, upstream),
        )


def _assigned_upstreams(
    process: str,
    processes: tuple[str, ...],
    upstreams: UpstreamTable,
    route: Route,
) -> set[str]:
    """Return the upstreams of a route that are assigned to a process."""
    names: set[str] = set()
    for target in route.targets:
        accepting = upstreams.accepting_upstreams(target.service)
        names |= own_upstreams(
            process,
            processes,
            tuple(upstream.upstream_id for upstream in accepting),
        )
    return names


def _is_blocked(load: LoadExchange, upstream: RegisteredUpstream) -> bool:
    """Whether no item may be sent to an upstream because of its limit."""
    return bool(load.limits.limits.blocked_s(upstream.incarnation))


def _peer_items(load: LoadExchange, upstream: RegisteredUpstream) -> int:
    """Return how many items other processes run at an upstream."""
    name = upstream.upstream_id
    return load.batch(name) - load.in_flight.batch[name]


def _accepting_upstreams(
    upstreams: UpstreamTable, route: Route
) -> list[RegisteredUpstream]:
    """Return the upstreams for a route's items, whoever owns them."""
    return [
        upstream
        for target in route.targets
        for upstream in upstreams.accepting_upstreams(target.service)
    ]
