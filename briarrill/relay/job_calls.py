"""briarrill.relay.job_calls: handles callers' requests about stored jobs.

One conditional write creates a job, so a repeated submission at any entry
finds the job and does not create another one.
"""

import contextlib
import time
from collections.abc import Awaitable, Callable, Iterator

import attrs
import trio
from eliot import log_message

from ..coordination.hedged_writes import HedgedWrites
from ..coordination.item_routes import count_tokens_by_route
from ..coordination.job_table import (
    MAX_ABSENCE_AGE_S,
    UNREAD_RETRY_AFTER_S,
    JobTable,
    TrackedJob,
)
from ..coordination.relay_protocol import Intent, IntentKind, JobProtocol
from ..coordination.routes import Route, RouteTable
from ..errors import (
    BadRequestError,
    BatchItemsLimitError,
    NotFoundError,
    NotReadyError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    TooLargeError,
    WriteRefusedError,
    WriteUnknownError,
)
from ..state.keys import job_end_key
from ..state.stored_jobs import (
    StoredJob,
    StoredResult,
    check_job_id,
    job_creation_changes,
)
from ..transport.http_callers import CallerConnection
from ..transport.http_messages import Headers
from ..transport.key_value import KeyChange

__all__ = ('JobRequestHandler',)

MAX_JOB_ITEMS = 200

# output bytes in one response; the caller reads further results with its next
# request
MAX_RESPONSE_OUTPUT_BYTES = 900_000

# delay before the only retry of a write that the service rejected
WRITE_RETRY_DELAY_S = 0.1

# Retry-After when a route's unfinished tokens are at their limit; a few items
# finish in this time
ROUTE_FULL_RETRY_AFTER_S = 1.0

# Retry-After while the key-value service is unavailable
OUTAGE_RETRY_AFTER_S = 0.7

# time for which results that were read from the service count as all that
# there are, and interval at which a waiting reader checks that they do; half
# of the time within which a result that one entry returned is readable at all
RESULTS_VALIDITY_S = 0.5

_HTTP_OK = 200
_HTTP_ACCEPTED = 202

_JSON: Headers = ((b'content-type', b'application/json'),)

_Handler = Callable[[Intent, bytes, CallerConnection], Awaitable[None]]


@attrs.define
class JobRequestHandler:
    """Serves job requests from the job table and the key-value service.

    :param max_value_bytes: largest value that the service accepts.
    :param is_behind: whether the job table may lack what others know.
    :param has_latest_results: finds out whether the job table has all results
        but those of the last ``MAX_ABSENCE_AGE_S``.
    :param count_tokens: returns the unfinished tokens of a route in these
        routes, and of a customer if one is named; none if they are not known.
    """

    writes: HedgedWrites
    jobs: JobTable
    protocol: JobProtocol
    max_value_bytes: int
    is_behind: Callable[[], bool]
    has_latest_results: Callable[[], Awaitable[bool]]
    count_tokens: Callable[
        [Route, RouteTable, str | None], Awaitable[int | None]
    ]
    _jobs_being_stored: list[TrackedJob] = attrs.field(
        factory=list, init=False
    )

    async def serve(
        self, intent: Intent, body: bytes, conn: CallerConnection
    ) -> None:
        """Serve one job request.

        :raises BriarrillError: the request is rejected or failed, and the
            caller has no response yet.
        """
        handlers: dict[IntentKind, _Handler] = {
            IntentKind.SUBMIT_JOB: self._submit,
            IntentKind.READ_RESULTS: self._read_results,
            IntentKind.READ_ITEM: self._read_item,
            IntentKind.END_JOB: self._end_job,
        }
        check_job_id(intent.job_id)
        await handlers[intent.kind](intent, body, conn)

    async def _submit(
        self, intent: Intent, body: bytes, conn: CallerConnection
    ) -> None:
        """Store a submitted job; a repeated submission is accepted too.

        :raises NotFoundError: another customer has a job of this name.
        """
        tracked = self.jobs.find(intent.job_id)
        if tracked is None:
            await self._store_if_new(intent, body)
        else:
            _check_customer(tracked, intent)
        await conn.send_response(_HTTP_ACCEPTED, _JSON, b'{}')

    async def _store_if_new(self, intent: Intent, body: bytes) -> None:
        """Store a job unless it is stored already.

        :raises BadRequestError: the body is no job, or its number of items
            is out of range.
        :raises TooLargeError: the key-value service cannot hold the job.
        :raises BatchItemsLimitError: the route's token limit is reached.
        :raises NotReadyError: it is not known whether the limit is reached.
        :raises NotFoundError: another customer has a job of this name.
        """
        submitted_items = self.protocol.read_items(
            body, keeps_credentials=not intent.asks_for_keys
        )
        if not 0 < len(submitted_items) <= MAX_JOB_ITEMS:
            raise BadRequestError(
                f'job has {len(submitted_items)} items,'
                f' not 1 to {MAX_JOB_ITEMS}'
            )
        route = intent.require_route()
        job = StoredJob(
            job_id=intent.job_id,
            route=route.name,
            host=route.host,
            submitted_at=time.time(),
            items=submitted_items,
            config_version=intent.config_version,
            customer=intent.customer.name,
            prefix=route.prefix,
        )
        changes = self._creation_changes(job)
        try:
            await self._check_token_limits(job, intent)
        except (BatchItemsLimitError, NotReadyError):
            # another entry may have stored the job
            tracked = await self.jobs.read(job.job_id)
            if tracked is None:
                raise
            _check_customer(tracked, intent)
            return
        with self._reserve_tokens(job):
            is_new = await self._store_job(job, changes)
        if intent.asks_for_keys and not is_new:
            await self._check_stored(intent)

    async def _check_stored(self, intent: Intent) -> None:
        """Check whose job is stored under the name of a submitted one.

        :raises NotFoundError: another customer's.
        :raises OutcomeUnknownError: it cannot be read.
        """
        try:
            tracked = await self.jobs.read(intent.job_id)
        except PlatformUnavailableError as exc:
            raise OutcomeUnknownError(exc.message) from exc
        if tracked is not None:
            _check_customer(tracked, intent)

    @contextlib.contextmanager
    def _reserve_tokens(self, job: StoredJob) -> Iterator[None]:
        """Count a job's tokens as unfinished while it is being stored."""
        tracked = TrackedJob(job.job_id)
        tracked.add_job(job)
        self._jobs_being_stored.append(tracked)
        try:
            yield
        finally:
            self._jobs_being_stored.remove(tracked)

    def _reserved(
        self, route: Route, routes: RouteTable, customer: str | None
    ) -> int:
        """Return the tokens of a route in the jobs that are being stored."""
        return sum(
            tracked.unfinished_tokens_on(route, routes)
            for tracked in self._jobs_being_stored
            if tracked.is_of(customer)
        )

    def _creation_changes(self, job: StoredJob) -> list[KeyChange]:
        """Return the changes that create a job in one transaction.

        :raises TooLargeError: they do not fit into one.
        """
        changes = job_creation_changes(job, self.max_value_bytes)
        try:
            self.writes.service.limits.check(changes)
        except WriteRefusedError as exc:
            raise TooLargeError(
                f'job {job.job_id!r} cannot be stored: {exc.message}'
            ) from exc
        return changes

    async def _store_job(
        self, job: StoredJob, changes: list[KeyChange]
    ) -> bool:
        """Write a new job and add it to the table, unless it exists.

        :return: whether it did not exist.
        """
        began_at = time.monotonic()
        revision = await self._write_changes(changes)
        log_message(
            'job:accepted',
            job=job.job_id,
            items=len(job.items),
            took_s=round(time.monotonic() - began_at, 3),
            is_new=revision is not None,
        )
        if revision is not None:
            self.jobs.add(job)
        return revision is not None

    async def _check_token_limits(
        self, job: StoredJob, intent: Intent
    ) -> None:
        """Check a job's tokens against the limits of its items' routes.

        :raises BatchItemsLimitError: the unfinished tokens of a route would
            exceed its limit; ``retry_after_s`` is set.
        :raises NotReadyError: the unfinished tokens are not known yet.
        """
        tokens_by_route = count_tokens_by_route(job, intent.routes)
        limited = [
            route for route in tokens_by_route if route.max_unfinished_tokens
        ]
        # nothing may be reserved between the first check and the last one
        counts = [await self._count_tokens(route, intent) for route in limited]
        for route, unfinished_tokens in zip(limited, counts, strict=True):
            self._check_token_limit(
                route, intent, unfinished_tokens, tokens_by_route[route]
            )

    async def _count_tokens(self, route: Route, intent: Intent) -> int:
        """Return the unfinished tokens that count for a route's limit.

        :raises NotReadyError: they are not known yet.
        """
        unfinished_tokens = await self.count_tokens(
            route, intent.routes, _limited_customer(intent)
        )
        if unfinished_tokens is None:
            raise NotReadyError(
                'the unfinished tokens are not known yet',
                retry_after_s=OUTAGE_RETRY_AFTER_S,
            )
        return unfinished_tokens

    def _check_token_limit(
        self, route: Route, intent: Intent, unfinished_tokens: int, tokens: int
    ) -> None:
        """Check a job's tokens on a route against its limit.

        :raises BatchItemsLimitError: they do not fit.
        """
        unfinished_tokens += self._reserved(
            route, intent.routes, _limited_customer(intent)
        )
        limit = route.max_unfinished_tokens
        if unfinished_tokens + tokens > limit:
            raise BatchItemsLimitError(
                f'route {route.name!r}: {unfinished_tokens} of {limit} tokens'
                ' unfinished,'
                f' a job of {tokens} does not fit',
                retry_after_s=ROUTE_FULL_RETRY_AFTER_S,
            )

    async def _write_changes(self, changes: list[KeyChange]) -> int | None:
        """Write changes to the service, with one retry after a rejection.

        :raises OutcomeUnknownError: the write may have been applied, or
            may still be.
        :raises PlatformUnavailableError: nothing was written.
        """
        try:
            return await self._write_with_retry(changes)
        except WriteUnknownError as exc:
            raise OutcomeUnknownError(exc.message) from exc
        except PlatformUnavailableError as exc:
            exc.retry_after_s = OUTAGE_RETRY_AFTER_S
            raise

    async def _write_with_retry(self, changes: list[KeyChange]) -> int | None:
        """Write changes; after a rejection, retry once."""
        try:
            return await self.writes.write(changes)
        except WriteRefusedError:
            raise
        except PlatformUnavailableError:
            await trio.sleep(WRITE_RETRY_DELAY_S)
            return await self.writes.write(changes)

    async def _find_job(self, intent: Intent) -> TrackedJob:
        """Return a job from the table, else from the service.

        :raises NotFoundError: the job does not exist, or is another
            customer's.
        :raises PlatformUnavailableError: the service did not respond.
        """
        job_id = intent.job_id
        tracked = self.jobs.find(job_id) or await self.jobs.read(job_id)
        if tracked is None:
            raise NotFoundError(_no_job(job_id))
        _check_customer(tracked, intent)
        return tracked

    async def _read_results(
        self, intent: Intent, body: bytes, conn: CallerConnection
    ) -> None:
        """Send the results from a position on.

        If there are none yet, wait for the requested time.
        """
        give_up_at = trio.current_time() + intent.wait_s
        tracked = await self._find_job(intent)
        await self._wait_for_results(tracked, intent.position, give_up_at)
        await self._check_absence(tracked, intent.position)
        await conn.before_long_response()
        page = _leading_results(tracked.results[intent.position :])
        response = self.protocol.results_body(
            len(tracked.items), intent.position, page
        )
        await conn.send_response(_HTTP_OK, _JSON, response)

    async def _wait_for_results(
        self, tracked: TrackedJob, position: int, give_up_at: float
    ) -> None:
        """Wait until there is a result at a position, or none can come.

        :param give_up_at: time on trio's clock at which the wait ends.
        :raises PlatformUnavailableError: whether there is one is not known.
        """
        if position > len(tracked.results):
            # another entry has returned more results to this caller
            await self.jobs.read_results(tracked)
        while position >= len(tracked.results):
            if self._may_lack_results(tracked, position) and not _was_read(
                tracked, RESULTS_VALIDITY_S
            ):
                await self.jobs.read_results(tracked)
            left_s = give_up_at - trio.current_time()
            if left_s <= 0 or not tracked.is_open:
                return
            if position >= len(tracked.results):
                with trio.move_on_after(min(left_s, RESULTS_VALIDITY_S)):
                    await tracked.changed.wait()

    async def _check_absence(self, tracked: TrackedJob, position: int) -> None:
        """Find out whether there is no result at a position.

        What the table follows does not show it, and the last read may have
        been slow, or have begun for another reader. A result that cannot be
        read is one too.

        :raises PlatformUnavailableError: it is not known.
        """
        if position < len(tracked.results) or tracked.is_finished:
            return
        is_known = _was_read(tracked, MAX_ABSENCE_AGE_S)
        if not is_known and not self._may_lack_results(tracked, position):
            is_known = await self.has_latest_results()
            if not is_known:
                await self.jobs.read_results(tracked)
                is_known = _was_read(tracked, MAX_ABSENCE_AGE_S)
        if position < len(tracked.results):
            return
        is_replaced = self.jobs.find(tracked.job_id) is not tracked
        if tracked.is_blocked or is_replaced or not is_known:
            raise PlatformUnavailableError(
                f'job {tracked.job_id!r} may have further results',
                retry_after_s=UNREAD_RETRY_AFTER_S,
            )

    def _may_lack_results(self, tracked: TrackedJob, position: int) -> bool:
        """Whether others are known to have what the table lacks of a job.

        :param position: up to which the caller has results.
        """
        if tracked.is_finished:
            return False
        if tracked.is_blocked or position > len(tracked.results):
            return True
        return self.is_behind()

    async def _read_item(
        self, intent: Intent, body: bytes, conn: CallerConnection
    ) -> None:
        """Send the body of an item whose job has not ended."""
        tracked = await self._find_job(intent)
        stored = tracked.items.get(intent.item_id)
        if stored is None or tracked.is_ended:
            raise NotFoundError(
                f'job {intent.job_id!r} has no open item {intent.item_id!r}'
            )
        await conn.before_long_response()
        await conn.send_response(_HTTP_OK, (), stored.body)

    async def _end_job(
        self, intent: Intent, body: bytes, conn: CallerConnection
    ) -> None:
        """Mark a job as ended, so that its items do not run."""
        tracked = await self._find_job(intent)
        if not tracked.is_ended:
            await self._write_changes(
                [KeyChange(job_end_key(intent.job_id), b'1')]
            )
            tracked.mark_ended()
            log_message('job:ended', job=intent.job_id)
        await conn.send_response(_HTTP_OK, _JSON, b'{}')


def _limited_customer(intent: Intent) -> str | None:
    """Return whose tokens a route limits, none for those of all callers."""
    return intent.customer.name if intent.asks_for_keys else None


def _check_customer(tracked: TrackedJob, intent: Intent) -> None:
    """Check that a job may be known to the customer of a request.

    A job without a customer may be known to all who know its name, and so may
    each job while there are no customers.

    :raises NotFoundError: it is another customer's.
    """
    if not intent.asks_for_keys or tracked.job is None:
        return
    if tracked.job.customer not in {'', intent.customer.name}:
        log_message(
            'job:of-another-customer',
            job=intent.job_id,
            customer=intent.customer.name,
        )
        raise NotFoundError(_no_job(intent.job_id))


def _no_job(job_id: str) -> str:
    return f'job {job_id!r} does not exist'


def _was_read(tracked: TrackedJob, within_s: float) -> bool:
    """Whether a read of a job's results began within a time."""
    return trio.current_time() - tracked.read_at < within_s


def _leading_results(results: list[StoredResult]) -> list[StoredResult]:
    """Return the leading results within the byte limit, at least one."""
    output_bytes = 0
    for count, result in enumerate(results):
        output_bytes += len(result.output)
        if count and output_bytes > MAX_RESPONSE_OUTPUT_BYTES:
            return results[:count]
    return results
