"""briarrill.item_runs.item_waits: decides what keeps items from starting.

The scheduler asks the same functions before it starts an item.
"""

import collections
import functools
import time
from collections.abc import Collection, Iterable, Iterator, Mapping

import attrs

from ..coordination.item_routes import ItemRoutes
from ..coordination.job_table import JobTable, TrackedJob
from ..coordination.routes import Route, RouteTable
from ..coordination.upstream_table import RegisteredUpstream
from ..protocol.load_reports import short_hash
from ..state.stored_jobs import StoredItem
from .handover import Handover
from .item import ItemProgress
from .item_order import ItemOrder
from .item_runner import ItemRunner
from .local_items import LocalItems
from .slots import FreeSlots
from .wait_reasons import WaitReason

__all__ = ('ItemWaits', 'JobWaits', 'why_delayed')

# time after which output that no upstream of its version goes on with is
# given up, if one of another version has a free slot
VERSION_WAIT_S = 2.0

_Key = tuple[str, str]
_Search = tuple[object, ...]


@attrs.frozen
class JobWaits:
    """The items of an open job on one route that run nowhere.

    :param route: in force for the items, none if it is not known.
    :param item_ids: the job's items on the route, whether they wait or not.
    :param reasons: why each item does not start at this process.
    :param listed: hashes of the items that peers list as theirs.
    """

    tracked: TrackedJob
    route: Route | None
    item_ids: Collection[str]
    reasons: dict[str, WaitReason]
    listed: frozenset[int]

    @property
    def key(self) -> tuple[str, str]:
        """Return the job's ID and what selects the route."""
        selector = '' if self.route is None else self.route.selector
        return self.tracked.job_id, selector


@attrs.define
class ItemWaits:
    """Tells what keeps the items of a process from starting."""

    jobs: JobTable
    slots: FreeSlots
    handover: Handover
    runner: ItemRunner
    local_items: LocalItems
    order: ItemOrder

    def why_none_start(self) -> WaitReason | None:
        """Return why this process starts no item at all, if so."""
        if self.local_items.is_isolated:
            return WaitReason.ISOLATED
        if self.local_items.is_draining:
            return WaitReason.DRAINING
        if not self.slots.may_start_items():
            return WaitReason.AWAITS_REPORTS
        return None

    def is_held(self, key: _Key, stored: StoredItem) -> bool:
        """Whether an item was handed over, or its prompt is held back."""
        return self.handover.was_handed_over(
            key
        ) or self.runner.is_quarantined(stored)

    def find_upstream(
        self, progress: ItemProgress, route: Route
    ) -> RegisteredUpstream | None:
        """Return an upstream with a free slot for an item, if there is one.

        Output that no upstream goes on with is given up after a time. One of
        its version that has room by then comes first, unless it is refused.
        """
        may_restart = progress.has_waited(VERSION_WAIT_S)
        search = functools.partial(
            self.slots.choose_upstream,
            route,
            progress.avoided_upstream,
            waits_for_others=progress.is_avoiding,
            tokens=progress.stored.tokens,
        )
        upstream = None
        if progress.has_output and not (may_restart and progress.is_avoiding):
            upstream = search(progress.origin)
        if upstream is None and (may_restart or not progress.has_output):
            upstream = search()
        return upstream

    def find(self, routes: RouteTable | None) -> list[JobWaits]:
        """Return what the items of all open jobs wait for."""
        none_start = (
            WaitReason.NO_CONFIGURATION
            if routes is None
            else self.why_none_start()
        )
        known: dict[_Search, WaitReason] = {}
        with self.slots.searching():
            return [
                self._find_on_route(
                    tracked, route, item_ids, routes, none_start, known
                )
                for tracked in self.jobs.tracked_jobs
                if tracked.is_open
                for route, item_ids in _items_by_route(tracked, routes).items()
            ]

    def _find_on_route(
        self,
        tracked: TrackedJob,
        route: Route | None,
        item_ids: Collection[str],
        routes: RouteTable | None,
        none_start: WaitReason | None,
        known: dict[_Search, WaitReason],
    ) -> JobWaits:
        """Return what the items of a job on a route wait for.

        :param none_start: why no item of any job starts, if so.
        :param known: results of searches that items share.
        """
        if routes is not None:
            none_start = none_start or self.order.why_item_waits(
                tracked, route, routes
            )
        listed: set[int] = set()
        reasons: dict[str, WaitReason] = {}
        for key in self._keys_not_running(tracked, item_ids):
            reason = self.local_items.committer.why_unwritten(key, tracked)
            if reason is None and self._is_listed_by_peer(key):
                listed.add(short_hash(key[1]))
                continue
            reasons[key[1]] = (
                reason
                or none_start
                or self._why_item_waits(key, tracked, route, known)
            )
        return JobWaits(tracked, route, item_ids, reasons, frozenset(listed))

    def _keys_not_running(
        self, tracked: TrackedJob, item_ids: Iterable[str]
    ) -> Iterator[_Key]:
        """Yield those of a job's items that are open and do not run here."""
        for item_id in item_ids:
            key = (tracked.job_id, item_id)
            if (
                item_id not in tracked.finished_item_ids
                and key not in self.local_items.running
            ):
                yield key

    def _is_listed_by_peer(self, key: _Key) -> bool:
        hashes = self.slots.load.peer_load.item_hashes
        return short_hash(key[1]) in hashes

    def _why_held(self, key: _Key, stored: StoredItem) -> WaitReason | None:
        """Return why an item is held here, none if it is not."""
        if not self.is_held(key, stored):
            return None
        if self.handover.was_handed_over(key):
            return WaitReason.HANDED_OVER
        return self.runner.why_held(stored)

    def _why_item_waits(
        self,
        key: _Key,
        tracked: TrackedJob,
        route: Route | None,
        known: dict[_Search, WaitReason],
    ) -> WaitReason:
        """Return why an item of a job that may start does not."""
        if route is None:
            return WaitReason.NO_ROUTE
        stored = tracked.items[key[1]]
        held = self._why_held(key, stored)
        if held is not None:
            return held
        progress = self.handover.suspended.get(key)
        progress = progress or ItemProgress(key[0], stored)
        delayed = why_delayed(progress, time.monotonic())
        if delayed is not None:
            return delayed
        search = self._search_for(progress, route)
        if search not in known:
            known[search] = self._why_no_upstream(progress, route)
        return known[search]

    def _search_for(self, progress: ItemProgress, route: Route) -> _Search:
        """Return what the search for an upstream depends on."""
        if not self.slots.has_free_slot(route):
            return (route.services,)
        tokens = progress.stored.tokens
        may_be_short = self.slots.memory.may_be_short(route, tokens)
        return (
            route.services,
            progress.origin if progress.has_output else None,
            progress.avoided_upstream if progress.is_avoiding else '',
            progress.has_waited(VERSION_WAIT_S),
            tokens if may_be_short else 0,
        )

    def _why_no_upstream(
        self, progress: ItemProgress, route: Route
    ) -> WaitReason:
        """Return why no upstream gets an item, as far as slots tell.

        An upstream with a limit counts as at its limit, since an item needs a
        permit besides a slot.
        """
        if not self.slots.has_free_slot(route):
            return self._why_no_slot(route)
        upstream = self.find_upstream(progress, route)
        if upstream is not None:
            limits = self.slots.load.limits.limits
            is_limited = limits.rate_per_s(upstream.incarnation) is not None
            return WaitReason.AT_LIMIT if is_limited else WaitReason.STARTABLE
        if progress.is_avoiding:
            return WaitReason.AVOIDS_UPSTREAM
        if not progress.has_output and self.slots.memory.may_be_short(
            route, progress.stored.tokens
        ):
            return WaitReason.FULL
        return WaitReason.AWAITS_VERSION

    def _why_no_slot(self, route: Route) -> WaitReason:
        """Return what most of the own upstreams of a route lack."""
        owned = self.slots.owned_upstreams(route)
        if owned:
            reasons = collections.Counter(
                self.slots.why_passed_over(upstream) or WaitReason.FULL
                for upstream in owned
            )
            return max(reasons, key=lambda reason: reasons[reason])
        services = {target.service for target in route.targets}
        if not _are_any_of(
            services, self.slots.upstreams.registered_upstreams
        ):
            return WaitReason.NO_UPSTREAM
        if any(map(self.slots.upstreams.accepting_upstreams, services)):
            return WaitReason.NONE_OWNED
        return WaitReason.NONE_ACCEPTING


def _items_by_route(
    tracked: TrackedJob, routes: RouteTable | None
) -> Mapping[Route | None, Collection[str]]:
    """Return the IDs of a job's items by their route."""
    item_routes = (
        ItemRoutes() if routes is None else tracked.item_routes(routes)
    )
    if not item_routes.own_routes:
        return {item_routes.job_route: tracked.items.keys()}
    by_route: dict[Route | None, set[str]] = {}
    for item_id in tracked.items:
        by_route.setdefault(item_routes.of(item_id), set()).add(item_id)
    return by_route


def why_delayed(progress: ItemProgress, now: float) -> WaitReason | None:
    """Return why the next run of an item is later, none if it is not.

    :param now: time by the monotonic clock.
    """
    if progress.next_run_at <= now:
        return None
    if progress.refusal is not None:
        return WaitReason.after_refusal(progress.refusal)
    return WaitReason.DELAYED


def _are_any_of(
    services: set[str], upstreams: Iterable[RegisteredUpstream]
) -> bool:
    return any(upstream.service in services for upstream in upstreams)
