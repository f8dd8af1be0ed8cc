"""briarrill.relay.job_calls: callers' calls of stored batch jobs.

A job is accepted by one write that creates it, so its repeats, at whatever
entry, find it there.
"""

import time
from collections.abc import Awaitable, Callable

import attrs
import trio
from eliot import log_message

from ..coordination.hedged_writes import HedgedWrites
from ..coordination.job_table import JobTable, KnownJob
from ..coordination.routes import Route
from ..coordination.wire import Intent, IntentKind, JobWire
from ..errors import (
    BadRequestError,
    BatchItemsLimitError,
    NotFoundError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    WriteUnknownError,
)
from ..state.keys import job_end_key
from ..state.stored_jobs import (
    StoredJob,
    StoredResult,
    check_job_id,
    job_changes,
)
from ..transport.http_callers import CallerConnection
from ..transport.http_messages import Headers
from ..transport.key_value import KeyChange

__all__ = ('JobCalls',)

MAX_ITEMS = 200

# bytes of results in one answer; more are read with the next call
MAX_RESULT_BYTES = 900_000

# a write that the service refused is tried again once, after this time
WRITE_RETRY_S = 0.1

# what the caller of a job that does not fit waits: a few items finish in it
FULL_RETRY_AFTER_S = 1.0

# what a caller waits while the service is away
AWAY_RETRY_AFTER_S = 0.7

_HTTP_OK = 200
_HTTP_ACCEPTED = 202

_JSON: Headers = ((b'content-type', b'application/json'),)

_Handler = Callable[[Intent, bytes, CallerConnection], Awaitable[None]]


@attrs.define
class JobCalls:
    """Serves job calls from what is known, and from the service.

    :param max_value_bytes: size of a value in the service.
    :param is_behind: whether the known jobs lag behind what peers know.
    """

    writes: HedgedWrites
    jobs: JobTable
    wire: JobWire
    max_value_bytes: int
    is_behind: Callable[[], bool]
    _reserved: dict[str, int] = attrs.field(factory=dict, init=False)

    async def serve(
        self, intent: Intent, body: bytes, conn: CallerConnection
    ) -> None:
        """Serve one call.

        :raises BriarrillError: to be answered.
        """
        handlers: dict[IntentKind, _Handler] = {
            IntentKind.SUBMIT_JOB: self._submit,
            IntentKind.READ_RESULTS: self._read_results,
            IntentKind.READ_ITEM: self._read_item,
            IntentKind.END_JOB: self._end,
        }
        check_job_id(intent.job_id)
        await handlers[intent.kind](intent, body, conn)

    async def _submit(
        self, intent: Intent, body: bytes, conn: CallerConnection
    ) -> None:
        if self.jobs.find(intent.job_id) is None:
            await self._accept(intent, body)
        await conn.send_answer(_HTTP_ACCEPTED, _JSON, b'{}')

    async def _accept(self, intent: Intent, body: bytes) -> None:
        """Store a job unless it is there already."""
        stored = self.wire.read_items(body)
        if not 0 < len(stored) <= MAX_ITEMS:
            raise BadRequestError(f'a job has 1 to {MAX_ITEMS} items')
        job = StoredJob(
            job_id=intent.job_id,
            route=intent.route.name,
            host=intent.route.host,
            submitted_at=time.time(),
            items=stored,
        )
        tokens = sum(one.tokens for one in stored)
        try:
            self._check_fits(intent.route, tokens)
        except BatchItemsLimitError:
            # it may have been accepted elsewhere a moment ago
            if await self.jobs.read(job.job_id) is None:
                raise
            return
        reserved = self._reserved.get(job.route, 0)
        self._reserved[job.route] = reserved + tokens
        try:
            await self._store(job)
        finally:
            self._reserved[job.route] -= tokens

    async def _store(self, job: StoredJob) -> None:
        changes = job_changes(job, self.max_value_bytes)
        began_at = time.monotonic()
        revision = await self._write(changes)
        log_message(
            'job:accepted',
            job=job.job_id,
            items=len(job.items),
            took_s=round(time.monotonic() - began_at, 3),
            is_new=revision is not None,
        )
        if revision is not None:
            self.jobs.add(job)

    def _check_fits(self, route: Route, tokens: int) -> None:
        """Refuse what would go over the route's bound.

        :raises BatchItemsLimitError: tells when to come back.
        """
        limit = route.max_waiting_tokens
        waiting = self.jobs.waiting_tokens(route.name)
        waiting += self._reserved.get(route.name, 0)
        if limit and waiting + tokens > limit:
            raise BatchItemsLimitError(
                f'{waiting} of {limit} tokens wait, {tokens} more do not fit',
                retry_after_s=FULL_RETRY_AFTER_S,
            )

    async def _write(self, changes: list[KeyChange]) -> int | None:
        """Write, once more after a refusal.

        :raises OutcomeUnknownError: the write may have been made, or may
            still be.
        :raises PlatformUnavailableError: nothing was written.
        """
        try:
            return await self._write_or_retry(changes)
        except WriteUnknownError as exc:
            raise OutcomeUnknownError(exc.message) from exc
        except PlatformUnavailableError as exc:
            exc.retry_after_s = AWAY_RETRY_AFTER_S
            raise

    async def _write_or_retry(self, changes: list[KeyChange]) -> int | None:
        try:
            return await self.writes.write(changes)
        except PlatformUnavailableError:
            await trio.sleep(WRITE_RETRY_S)
            return await self.writes.write(changes)

    async def _find(self, job_id: str) -> KnownJob:
        """Return a job.

        :raises NotFoundError: there is none.
        :raises PlatformUnavailableError: that cannot be told now.
        """
        known = self.jobs.find(job_id) or await self.jobs.read(job_id)
        if known is None:
            raise NotFoundError(f'no job {job_id!r}')
        return known

    async def _read_results(
        self, intent: Intent, body: bytes, conn: CallerConnection
    ) -> None:
        known = await self._find(intent.job_id)
        missing = intent.position - len(known.results)
        if missing > 0 or (missing == 0 and self._may_lack(known)):
            # the caller has read more at another entry, or may have
            known = await self.jobs.read(intent.job_id) or known
        with trio.move_on_after(intent.wait_s):
            while known.is_open and intent.position >= len(known.results):
                await known.changed.wait()
        found = _first_bytes(known.results[intent.position :])
        answer = self.wire.results_body(
            len(known.items), intent.position, found
        )
        await conn.send_answer(_HTTP_OK, _JSON, answer)

    def _may_lack(self, known: KnownJob) -> bool:
        return known.is_open and self.is_behind()

    async def _read_item(
        self, intent: Intent, body: bytes, conn: CallerConnection
    ) -> None:
        known = await self._find(intent.job_id)
        stored = known.items.get(intent.item_id)
        if stored is None or known.is_ended:
            raise NotFoundError(f'no item {intent.item_id!r} that waits')
        await conn.send_answer(_HTTP_OK, (), stored.body)

    async def _end(
        self, intent: Intent, body: bytes, conn: CallerConnection
    ) -> None:
        known = await self._find(intent.job_id)
        if not known.is_ended:
            await self._write([KeyChange(job_end_key(intent.job_id), b'1')])
            known.end()
            log_message('job:ended', job=intent.job_id)
        await conn.send_answer(_HTTP_OK, _JSON, b'{}')


def _first_bytes(found: list[StoredResult]) -> list[StoredResult]:
    """Return the first results that go into one answer, at least one."""
    size = 0
    for count, result in enumerate(found):
        size += len(result.output)
        if count and size > MAX_RESULT_BYTES:
            return found[:count]
    return found
