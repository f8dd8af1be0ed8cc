"""briarrill.item_runs.wait_check: tells of items that wait beside free slots.

At intervals all open items that run nowhere are counted by why this process
does not start them. If no item of a job has run for some time, though its
upstreams are mostly idle, a line with the counts is logged.
"""

import collections
import time
from collections.abc import Callable, Collection, Iterable, Mapping

import attrs
import trio
from eliot import log_message

from ..coordination.routes import Route, RouteTable
from ..coordination.upstream_table import RegisteredUpstream
from ..metrics import WAITING_ITEMS
from .item_waits import ItemWaits, JobWaits
from .wait_reasons import WaitReason

__all__ = ('WaitCheck',)

CHECK_INTERVAL_S = 1.0

# largest share of the time that checks of thousands of items may take
MAX_TIME_SHARE = 0.05

# time without a start, an end or an event of any item of a job after which
# its items count as stalled
MAX_QUIET_S = 5.0

# share of slots in use from which on items wait for slots
MAX_IDLE_LOAD = 0.5

# shortest time between two lines
LINE_INTERVAL_S = 5.0

# bounds of what a line names
MAX_EXAMPLES = 3
MAX_LIMITS = 5
MAX_PARTS = 5
MAX_ID_CHARS = 64

# items whose prompts are searched for quarantined parts
MAX_SEARCHED_ITEMS = 100

_PART_REASONS = frozenset(
    (
        WaitReason.PART_QUARANTINED,
        WaitReason.PART_AWAITS_DECISION,
        WaitReason.REFUSED_PART,
    )
)


# events and failures of items by ID
_Seen = dict[str, tuple[int, int]]

# ID of a job, and what selects a route of its items
_WaitsKey = tuple[str, str]


@attrs.define
class _Activity:
    """What is known of the runs of a job's items on a route.

    :param seen: changes with each end and each event of an item.
    :param listed: hashes of the items that peers listed at the last check.
    :param active_at: monotonic time at which an item last ran.
    """

    seen: tuple[int, ...]
    listed: frozenset[int]
    active_at: float


@attrs.define
class WaitCheck:
    """Counts waiting items and logs those that are stalled.

    :param routes: returns the routes in force.
    """

    waits: ItemWaits
    routes: Callable[[], RouteTable | None]
    clock: Callable[[], float] = time.monotonic
    _activities: dict[_WaitsKey, _Activity] = attrs.field(
        factory=dict, init=False
    )
    _stalled_since: float | None = attrs.field(default=None, init=False)
    _logged_at: float = attrs.field(default=0, init=False)
    _shown: set[str] = attrs.field(factory=set, init=False)

    async def run(self) -> None:
        """Check at intervals until cancelled."""
        took_s = 0.0
        while True:
            await trio.sleep(max(CHECK_INTERVAL_S, took_s / MAX_TIME_SHARE))
            began_at = time.monotonic()
            self.check()
            took_s = time.monotonic() - began_at

    def check(self) -> None:
        """Count waiting items, and log stalled ones if a line is due."""
        now = self.clock()
        jobs = self.waits.find(self.routes())
        _set_gauge(jobs, self._shown)
        self._record_activities(jobs, now)
        stalled = [
            waits
            for waits in jobs
            if waits.reasons
            and now - self._activities[waits.key].active_at >= MAX_QUIET_S
        ]
        idle = set(filter(self._is_idle, {waits.route for waits in stalled}))
        self._log([waits for waits in stalled if waits.route in idle], now)

    def _record_activities(self, jobs: Iterable[JobWaits], now: float) -> None:
        """Record which items have had a run since the last check."""
        seen = self._seen_by_job()
        working = self._hashes_at_working_peers()
        running: dict[str, list[str]] = {}
        for (job_id, item_id), item in self.waits.local_items.running.items():
            if not (item.is_claimed or item.progress.refusals):
                running.setdefault(job_id, []).append(item_id)
        activities: dict[_WaitsKey, _Activity] = {}
        for waits in jobs:
            newest = _Activity(
                _sum_seen(waits, seen), waits.listed & working, now
            )
            known = self._activities.get(waits.key)
            # a run that is refused is listed for less than a check
            if known is not None and not (
                known.seen != newest.seen
                or known.listed & newest.listed
                or any(
                    item_id in waits.item_ids
                    for item_id in running.get(waits.tracked.job_id, ())
                )
            ):
                newest.active_at = known.active_at
            activities[waits.key] = newest
        self._activities = activities

    def _seen_by_job(self) -> dict[str, _Seen]:
        """Return events and failures of the own items by job."""
        by_job: dict[str, _Seen] = {}
        for progress in self.waits.local_items.open_items:
            if progress.has_progress:
                job_id, item_id = progress.key
                counts = (progress.last_event_id or 0, progress.failures)
                by_job.setdefault(job_id, {})[item_id] = counts
        return by_job

    def _hashes_at_working_peers(self) -> set[int]:
        """Return the items that peers with items at upstreams list."""
        working: set[int] = set()
        load = self.waits.slots.load
        for report in load.live_reports.values():
            if report.batch:
                working.update(set(report.items).difference(report.claims))
        return working

    def _is_idle(self, route: Route | None) -> bool:
        """Whether less than half of the slots of a route are in use."""
        upstreams = self._upstreams(route)
        slots = sum(upstream.slots for upstream in upstreams)
        return self._count_used(upstreams) < MAX_IDLE_LOAD * slots

    def _upstreams(self, route: Route | None) -> list[RegisteredUpstream]:
        """Return the accepting upstreams of a route, or of all routes."""
        table = self.waits.slots.upstreams
        services = {one.service for one in table.registered_upstreams}
        if route is not None:
            services = {target.service for target in route.targets}
        return [
            upstream
            for service in sorted(services)
            for upstream in table.accepting_upstreams(service)
        ]

    def _count_used(self, upstreams: Iterable[RegisteredUpstream]) -> int:
        """Return the requests and items at some upstreams."""
        load = self.waits.slots.load
        return sum(
            load.online(upstream.upstream_id)
            + load.batch(upstream.upstream_id)
            for upstream in upstreams
        )

    def _log(self, stalled: Collection[JobWaits], now: float) -> None:
        """Log that items are stalled, or that none are any more."""
        if not stalled:
            if self._stalled_since is not None:
                log_message(
                    'items:waiting-ended',
                    lasted_s=round(now - self._stalled_since, 1),
                )
            self._stalled_since = None
            return
        is_new = self._stalled_since is None
        if is_new:
            self._stalled_since = now
        if is_new or now - self._logged_at >= LINE_INTERVAL_S:
            self._logged_at = now
            self._log_line(stalled, now)

    def _log_line(self, stalled: Collection[JobWaits], now: float) -> None:
        since = min(self._activities[waits.key].active_at for waits in stalled)
        upstreams = {
            upstream.upstream_id: upstream
            for waits in stalled
            for upstream in self._upstreams(waits.route)
        }
        owned = {
            upstream.upstream_id
            for waits in stalled
            if waits.route is not None
            for upstream in self.waits.slots.owned_upstreams(waits.route)
        }
        limits = self._limits(upstreams.values())
        log_message(
            'items:waiting',
            reasons=_count_reasons(stalled),
            jobs=len({waits.tracked.job_id for waits in stalled}),
            oldest_s=round(now - since, 1),
            at_peers=sum(len(waits.listed) for waits in stalled),
            running=len(self.waits.local_items.running),
            own=self._usage([upstreams[name] for name in owned]),
            others=self._usage(
                [upstreams[name] for name in upstreams.keys() - owned]
            ),
            limited=len(limits),
            limits=dict(sorted(limits.items())[:MAX_LIMITS]),
            parts=self._accused_parts(stalled),
            examples=_examples(stalled),
        )

    def _usage(
        self, upstreams: Collection[RegisteredUpstream]
    ) -> dict[str, int]:
        """Return slots and free slots of some upstreams."""
        slots = sum(upstream.slots for upstream in upstreams)
        return {
            'upstreams': len(upstreams),
            'slots': slots,
            'free': slots - self._count_used(upstreams),
        }

    def _limits(
        self, upstreams: Iterable[RegisteredUpstream]
    ) -> dict[str, float]:
        """Return the limits in force, per second, by upstream."""
        load = self.waits.slots.load
        limits = load.limits.limits
        rates = {
            upstream.upstream_id: limits.rate_per_s(upstream.incarnation)
            for upstream in upstreams
        }
        return {name: rate for name, rate in rates.items() if rate is not None}

    def _accused_parts(self, stalled: Iterable[JobWaits]) -> list[int]:
        """Return the hashes of some parts that hold items."""
        held = [
            waits.tracked.items[item_id]
            for waits in stalled
            for item_id, reason in waits.reasons.items()
            if reason in _PART_REASONS
        ]
        parts: set[int] = set()
        for stored in held[:MAX_SEARCHED_ITEMS]:
            parts.update(self.waits.runner.accused_parts(stored))
        return sorted(parts)[:MAX_PARTS]


def _sum_seen(waits: JobWaits, seen: Mapping[str, _Seen]) -> tuple[int, ...]:
    """Return the numbers of results, events and failures of some items."""
    finished = waits.tracked.finished_item_ids
    of_job = seen.get(waits.tracked.job_id, {})
    counts = [of_job[item_id] for item_id in of_job.keys() & waits.item_ids]
    return (
        len(finished.intersection(waits.item_ids)),
        sum(events for events, _ in counts),
        sum(failures for _, failures in counts),
    )


def _count_reasons(jobs: Iterable[JobWaits]) -> dict[str, int]:
    """Return the number of items by reason, the most frequent first."""
    counts = collections.Counter(
        reason.value for waits in jobs for reason in waits.reasons.values()
    )
    return dict(counts.most_common())


def _set_gauge(jobs: Iterable[JobWaits], shown: set[str]) -> None:
    """Set the gauge of waiting items.

    :param shown: reasons that the gauge has shown; new ones are added.
    """
    counts = _count_reasons(jobs)
    shown.update(counts)
    for reason in shown:
        WAITING_ITEMS.labels(reason).set(counts.get(reason, 0))


def _examples(jobs: Iterable[JobWaits]) -> list[dict[str, str]]:
    """Return some items, with different reasons if there are several."""
    examples = {
        (waits.tracked.job_id, item_id): reason.value
        for waits in jobs
        for item_id, reason in waits.reasons.items()
    }
    first_keys = dict(
        (reason, key) for key, reason in reversed(examples.items())
    )
    chosen = dict.fromkeys((*first_keys.values(), *examples))
    return [
        {
            'job': key[0][:MAX_ID_CHARS],
            'item': key[1][:MAX_ID_CHARS],
            'reason': examples[key],
        }
        for key in list(chosen)[:MAX_EXAMPLES]
    ]
