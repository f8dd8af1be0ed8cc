"""briarrill.coordination.job_table: stored jobs as this process knows them."""

import attrs
import trio
from eliot import log_message

from ..errors import InternalError
from ..state.keys import (
    JOB_BODIES,
    JOB_ENDS,
    JOB_RESULTS,
    job_body_prefix,
    job_end_key,
    job_results_prefix,
)
from ..state.stored_jobs import (
    StoredItem,
    StoredJob,
    StoredResult,
    decode_result,
    join_parts,
)
from ..transport.key_value import KeyValueService
from .mirror import MirrorUser

__all__ = ('JobTable', 'KnownJob')


@attrs.define(eq=False)
class KnownJob:
    """A job with its results so far.

    :param job: the job itself, once all its parts are known.
    :param waiting_tokens: tokens of the items that have no result.
    """

    job_id: str
    job: StoredJob | None = None
    is_ended: bool = False
    results: list[StoredResult] = attrs.field(factory=list)
    finished: set[str] = attrs.field(factory=set)
    waiting_tokens: int = 0
    changed: trio.Event = attrs.field(factory=trio.Event)
    items: dict[str, StoredItem] = attrs.field(factory=dict)
    _parts: dict[str, bytes] = attrs.field(factory=dict)
    _early: dict[int, StoredResult] = attrs.field(factory=dict)

    @property
    def is_open(self) -> bool:
        """Whether items are still to be run."""
        if self.job is None or self.is_ended:
            return False
        return len(self.finished) < len(self.items)

    def take_job(self, job: StoredJob) -> None:
        """Take the job itself."""
        if self.job is not None:
            return
        self.job = job
        self.items = {stored.item_id: stored for stored in job.items}
        self.waiting_tokens = sum(
            stored.tokens
            for stored in job.items
            if stored.item_id not in self.finished
        )
        self._tell()

    def take_part(self, key: str, body: bytes) -> None:
        """Take a part of the job."""
        if self.job is not None:
            return
        self._parts[key] = body
        in_order = [self._parts[name] for name in sorted(self._parts)]
        job = join_parts(in_order)
        if job is not None:
            self._parts.clear()
            self.take_job(job)

    def take_result(self, position: int, found: StoredResult) -> None:
        """Take the result at a position; those before it may come later."""
        if position < len(self.results):
            return
        self._early[position] = found
        while len(self.results) in self._early:
            result = self._early.pop(len(self.results))
            self.results.append(result)
            self._finish(result.item_id)
        self._tell()

    def end(self) -> None:
        """Take that the job's end was asked for."""
        self.is_ended = True
        self._tell()

    def _finish(self, item_id: str) -> None:
        if item_id in self.finished:
            return
        self.finished.add(item_id)
        stored = self.items.get(item_id)
        if stored is not None:
            self.waiting_tokens -= stored.tokens

    def _tell(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


class JobTable(MirrorUser):
    """Stored jobs by identifier.

    :param service: read directly where this copy may lag.
    """

    def __init__(self, service: KeyValueService) -> None:
        """Start empty."""
        self.changed = trio.Event()
        self._service = service
        self._jobs: dict[str, KnownJob] = {}

    @property
    def known(self) -> list[KnownJob]:
        """Return the jobs that are known whole."""
        return [known for known in self._jobs.values() if known.job]

    def find(self, job_id: str) -> KnownJob | None:
        """Return a job that is known whole."""
        known = self._jobs.get(job_id)
        return known if known is not None and known.job else None

    def waiting_tokens(self, route: str) -> int:
        """Return the tokens that wait on a route."""
        return sum(
            known.waiting_tokens
            for known in self._jobs.values()
            if known.is_open and known.job and known.job.route == route
        )

    def add(self, job: StoredJob) -> KnownJob:
        """Take a job that this process has just stored."""
        known = self._of(job.job_id)
        known.take_job(job)
        self._tell()
        return known

    def take_key(self, key: str, body: bytes | None) -> None:
        """Take a stored key; a deleted one ends what is known of its job."""
        family, rest = _split(key)
        job_id, _, number = rest.partition('/')
        if not job_id:
            return
        if body is None:
            if family == JOB_BODIES:
                self._jobs.pop(job_id, None)
            return
        try:
            self._take(family, job_id, number, body)
        except InternalError as exc:
            log_message('job:unreadable', key=key, reason=exc.message)
        self._tell()

    async def read(self, job_id: str) -> KnownJob | None:
        """Read a job from the service, with all its results.

        :raises PlatformUnavailableError: the service did not answer.
        """
        for prefix in (job_body_prefix(job_id), job_results_prefix(job_id)):
            for found in await self._service.read_prefix(prefix):
                self.take_key(found.key, found.body)
        known = self.find(job_id)
        if known is not None and not known.is_ended:
            end = await self._service.read(job_end_key(job_id))
            if end is not None:
                known.end()
        return known

    def _take(
        self, family: str, job_id: str, number: str, body: bytes
    ) -> None:
        known = self._of(job_id)
        if family == JOB_BODIES:
            known.take_part(number, body)
        elif family == JOB_RESULTS:
            known.take_result(int(number), decode_result(body))
        elif family == JOB_ENDS:
            known.end()

    def _of(self, job_id: str) -> KnownJob:
        known = self._jobs.get(job_id)
        if known is None:
            known = KnownJob(job_id)
            self._jobs[job_id] = known
        return known

    def _tell(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


def _split(key: str) -> tuple[str, str]:
    for family in (JOB_BODIES, JOB_RESULTS, JOB_ENDS):
        if key.startswith(family):
            return family, key.removeprefix(family)
    return '', ''
