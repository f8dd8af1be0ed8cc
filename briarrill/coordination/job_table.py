"""briarrill.coordination.job_table: local table of the stored jobs."""

import contextlib
import math
import time
import weakref
from collections.abc import Iterator

import attrs
import trio
from eliot import log_message

from ..decoding import find_whole_number
from ..errors import InternalError, PlatformUnavailableError
from ..state.keys import (
    JOB_BODIES_PREFIX,
    JOB_ENDS_PREFIX,
    JOB_RESULTS_PREFIX,
    job_body_prefix,
    job_end_key,
    job_results_prefix,
    numbered_key,
)
from ..state.stored_jobs import (
    StoredItem,
    StoredJob,
    StoredResult,
    decode_job_parts,
    decode_result,
)
from ..transport.key_value import KeyValueService
from .item_routes import ItemRoutes, find_item_routes
from .mirror import MirrorListener
from .routes import Route, RouteTable
from .shared_reads import SharedReads

__all__ = (
    'MAX_ABSENCE_AGE_S',
    'UNREAD_RETRY_AFTER_S',
    'JobTable',
    'TrackedJob',
)

# time for all reads of one job; callers wait that much longer than they allow
READ_TIMEOUT_S = 1.5

# greatest age of a read, from its beginning, on which a job or a result counts
# as missing. What one process returned must be readable at all within 1 s; the
# rest is for the way of the answer
MAX_ABSENCE_AGE_S = 0.7

# Retry-After when a job could not be read
UNREAD_RETRY_AFTER_S = 0.7


@attrs.define(eq=False)
class TrackedJob:
    """A stored job and the results that were received so far.

    :param job: the job record, none until all its parts were received.
    :param is_ended: the end of the job was requested.
    :param results: results in stored order, without gaps.
    :param finished_item_ids: identifiers of the items that have a result.
    :param unfinished_tokens: tokens of the items that have no result.
    :param read_at: time at which the last read of all results from the
        service began, on trio's clock.
    :param stored_at: monotonic time at which this process stored the job.
    :param changed: set, and replaced, at each change.
    """

    job_id: str
    job: StoredJob | None = None
    is_ended: bool = False
    results: list[StoredResult] = attrs.field(factory=list)
    finished_item_ids: set[str] = attrs.field(factory=set)
    unfinished_tokens: int = 0
    read_at: float = -math.inf
    stored_at: float = -math.inf
    changed: trio.Event = attrs.field(factory=trio.Event)
    items: dict[str, StoredItem] = attrs.field(factory=dict)
    _record_parts: dict[str, bytes] = attrs.field(factory=dict)
    _early_results: dict[int, StoredResult] = attrs.field(factory=dict)
    _unreadable_positions: set[int] = attrs.field(factory=set)
    _routes: weakref.ref[RouteTable] | None = None
    _item_routes: ItemRoutes = attrs.field(factory=ItemRoutes)

    @property
    def is_finished(self) -> bool:
        """Whether each item has a result, so that no further one can come."""
        if self.job is None:
            return False
        return len(self.finished_item_ids) >= len(self.items)

    @property
    def is_open(self) -> bool:
        """Whether the job has items without a result and was not ended."""
        if self.job is None or self.is_ended:
            return False
        return not self.is_finished

    @property
    def is_blocked(self) -> bool:
        """Whether the next result is stored but cannot be read."""
        return len(self.results) in self._unreadable_positions

    def is_of(self, customer: str | None) -> bool:
        """Whether a customer submitted the job, if one is named.

        :param customer: empty for jobs without one, none for all jobs.
        """
        return self.job is not None and customer in {None, self.job.customer}

    def item_routes(self, routes: RouteTable) -> ItemRoutes:
        """Return the routes of the items in a version of the configuration.

        No item has one as long as the job record is incomplete.
        """
        if self.job is None:
            return ItemRoutes()
        if self._routes is None or self._routes() is not routes:
            self._routes = weakref.ref(routes)
            self._item_routes = find_item_routes(self.job, routes)
        return self._item_routes

    def unfinished_tokens_on(self, route: Route, routes: RouteTable) -> int:
        """Return the tokens of the items on a route that have no result.

        :param routes: version of the configuration that has the route.
        """
        item_routes = self.item_routes(routes)
        if not item_routes.own_routes:
            is_job_route = item_routes.job_route == route
            return self.unfinished_tokens if is_job_route else 0
        return sum(
            stored.tokens
            for item_id, stored in self.items.items()
            if item_id not in self.finished_item_ids
            and item_routes.of(item_id) == route
        )

    def add_job(self, job: StoredJob) -> None:
        """Add the job record unless it was added before."""
        if self.job is not None:
            return
        self.job = job
        self.items = {stored.item_id: stored for stored in job.items}
        self.unfinished_tokens = sum(
            stored.tokens
            for stored in job.items
            if stored.item_id not in self.finished_item_ids
        )
        self._notify()

    def add_part(self, key: str, body: bytes) -> None:
        """Store a part of the job record; add the job once all are stored."""
        if self.job is not None:
            return
        self._record_parts[key] = body
        in_order = [
            self._record_parts[name] for name in sorted(self._record_parts)
        ]
        job = decode_job_parts(in_order)
        if job is not None:
            self._record_parts.clear()
            self.add_job(job)

    def add_result(self, position: int, received: StoredResult) -> None:
        """Add the result at a position; earlier positions may arrive later."""
        if position < len(self.results):
            return
        self._unreadable_positions.discard(position)
        self._early_results[position] = received
        while len(self.results) in self._early_results:
            result = self._early_results.pop(len(self.results))
            self.results.append(result)
            self._mark_finished(result.item_id)
        self._notify()

    def mark_unreadable(self, position: int) -> None:
        """Record that the stored result at a position cannot be read."""
        self._unreadable_positions.add(position)

    def mark_ended(self) -> None:
        """Record that the end of the job was requested."""
        self.is_ended = True
        self._notify()

    def _mark_finished(self, item_id: str) -> None:
        """Mark an item as finished and subtract its tokens, once."""
        if item_id in self.finished_item_ids:
            return
        self.finished_item_ids.add(item_id)
        stored = self.items.get(item_id)
        if stored is not None:
            self.unfinished_tokens -= stored.tokens

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


class JobTable(MirrorListener):
    """Stored jobs by identifier, fed by a mirror.

    :param service: read directly where the mirror may be behind.
    """

    def __init__(self, service: KeyValueService) -> None:
        """Start without jobs."""
        self.changed = trio.Event()
        self._service = service
        self._reads = SharedReads()
        self._jobs: dict[str, TrackedJob] = {}

    @property
    def tracked_jobs(self) -> list[TrackedJob]:
        """Return the jobs whose records are complete."""
        return [tracked for tracked in self._jobs.values() if tracked.job]

    def find(self, job_id: str) -> TrackedJob | None:
        """Return a job, or none if its record is missing or incomplete."""
        tracked = self._jobs.get(job_id)
        return tracked if tracked is not None and tracked.job else None

    def is_job_of_host(self, job_id: str, host: str) -> bool:
        """Whether a job that was submitted to a host is in the table."""
        tracked = self.find(job_id)
        return (
            tracked is not None
            and tracked.job is not None
            and tracked.job.host == host
        )

    def unfinished_tokens(
        self,
        route: Route,
        routes: RouteTable,
        customer: str | None = None,
        *,
        stored_within_s: float = math.inf,
    ) -> int:
        """Return the tokens of a route's items that have no result.

        :param routes: version of the configuration that has the route.
        :param customer: count only jobs of a customer, empty for those
            without one; default all jobs.
        :param stored_within_s: count only jobs that this process has stored
            within a time; default all jobs.
        """
        min_stored_at = time.monotonic() - stored_within_s
        return sum(
            tracked.unfinished_tokens_on(route, routes)
            for tracked in self._jobs.values()
            if tracked.is_open
            and tracked.is_of(customer)
            and tracked.stored_at >= min_stored_at
        )

    def add(self, job: StoredJob) -> TrackedJob:
        """Add a job that this process has just stored."""
        tracked = self._get_or_create(job.job_id)
        tracked.stored_at = time.monotonic()
        tracked.add_job(job)
        self._notify()
        return tracked

    def apply_key(self, key: str, body: bytes | None) -> None:
        """Apply a changed key; remove the job if a part of it was deleted.

        A body that cannot be decoded is logged and skipped.
        """
        key_prefix, rest = _split_key(key)
        job_id, _, number = rest.partition('/')
        if not job_id:
            return
        if body is None:
            if key_prefix == JOB_BODIES_PREFIX:
                self._jobs.pop(job_id, None)
            return
        try:
            self._apply(key_prefix, job_id, number, body)
        except InternalError as exc:
            log_message('job:unreadable', key=key, reason=exc.message)
        self._notify()

    async def read(self, job_id: str) -> TrackedJob | None:
        """Read a job, all its results and its end from the service.

        The job enters the table only together with them. Calls for one job
        share a read.

        :return: the job, or none if it is not stored.
        :raises PlatformUnavailableError: the service did not respond, or so
            late that the job may have been stored since.
        """
        began_at = await self._reads.run(
            job_body_prefix(job_id), lambda: self._read_whole(job_id)
        )
        tracked = self.find(job_id)
        age_s = trio.current_time() - began_at
        if tracked is None and age_s > MAX_ABSENCE_AGE_S:
            raise PlatformUnavailableError(
                f'job {job_id!r} was not stored {age_s:.1f} s ago',
                retry_after_s=UNREAD_RETRY_AFTER_S,
            )
        return tracked

    async def read_results(self, tracked: TrackedJob) -> None:
        """Read the results that a known job lacks from the service.

        Calls for one job share a read.

        :raises PlatformUnavailableError: the service did not respond.
        """
        await self._reads.run(
            job_results_prefix(tracked.job_id),
            lambda: self._read_further_results(tracked),
        )

    async def _read_whole(self, job_id: str) -> None:
        """Read all keys of a job, then apply them at once.

        :raises PlatformUnavailableError: the service did not respond, or the
            record of the job cannot be read.
        """
        began_at = trio.current_time()
        with _limit_read(job_id):
            parts = await self._service.read_prefix(job_body_prefix(job_id))
            results = await self._service.read_prefix(
                job_results_prefix(job_id)
            )
            end_marker = await self._service.read(job_end_key(job_id))
        end_markers = [] if end_marker is None else [end_marker]
        for entry in (*parts, *results, *end_markers):
            self.apply_key(entry.key, entry.body)
        tracked = self.find(job_id)
        if tracked is not None:
            tracked.read_at = began_at
        elif parts:
            raise PlatformUnavailableError(
                f'job {job_id!r} is stored but cannot be read',
                retry_after_s=UNREAD_RETRY_AFTER_S,
            )

    async def _read_further_results(self, tracked: TrackedJob) -> None:
        """Read the results after the known ones."""
        prefix = job_results_prefix(tracked.job_id)
        count = len(tracked.results)
        last_known = numbered_key(prefix, count - 1) if count else ''
        began_at = trio.current_time()
        with _limit_read(tracked.job_id):
            entries = await self._service.read_prefix(prefix, after=last_known)
        for entry in entries:
            self.apply_key(entry.key, entry.body)
        tracked.read_at = began_at

    def _apply(
        self, key_prefix: str, job_id: str, number: str, body: bytes
    ) -> None:
        tracked = self._get_or_create(job_id)
        if key_prefix == JOB_BODIES_PREFIX:
            tracked.add_part(number, body)
        elif key_prefix == JOB_RESULTS_PREFIX:
            _apply_result(tracked, _position(number), body)
        elif key_prefix == JOB_ENDS_PREFIX:
            tracked.mark_ended()

    def _get_or_create(self, job_id: str) -> TrackedJob:
        tracked = self._jobs.get(job_id)
        if tracked is None:
            tracked = TrackedJob(job_id)
            self._jobs[job_id] = tracked
        return tracked

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


def _apply_result(tracked: TrackedJob, position: int, body: bytes) -> None:
    """Add a stored result to its job.

    :raises InternalError: it cannot be read; the job keeps its position.
    """
    try:
        result = decode_result(body)
    except InternalError:
        tracked.mark_unreadable(position)
        raise
    tracked.add_result(position, result)


def _position(number: str) -> int:
    """Return a result's position from its key.

    :raises InternalError: it is no number.
    """
    position = find_whole_number(number.encode())
    if position is None:
        raise InternalError(f'{number!r} is no position of a result')
    return position


@contextlib.contextmanager
def _limit_read(job_id: str) -> Iterator[None]:
    """Limit the time of the read of a job inside the block, and log it.

    :raises PlatformUnavailableError: it took longer.
    """
    began_at = time.monotonic()
    failure = None
    try:
        with trio.fail_after(READ_TIMEOUT_S):
            yield
    except trio.TooSlowError as exc:
        failure = f'not read within {READ_TIMEOUT_S} s'
        raise PlatformUnavailableError(
            f'job {job_id!r}: {failure}', retry_after_s=UNREAD_RETRY_AFTER_S
        ) from exc
    except PlatformUnavailableError as exc:
        failure = exc.message
        raise
    finally:
        log_message(
            'job:read',
            job=job_id,
            took_s=round(time.monotonic() - began_at, 3),
            failure=failure,
        )


def _split_key(key: str) -> tuple[str, str]:
    """Return a job key's prefix and rest, empty strings for other keys."""
    for key_prefix in (JOB_BODIES_PREFIX, JOB_RESULTS_PREFIX, JOB_ENDS_PREFIX):
        if key.startswith(key_prefix):
            return key_prefix, key.removeprefix(key_prefix)
    return '', ''
