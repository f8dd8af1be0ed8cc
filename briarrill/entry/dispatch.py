"""briarrill.entry.dispatch: sends a request to upstreams, with retries."""

import contextlib
import random
import time
from collections.abc import Iterator

import attrs
import trio

from ..coordination.ejection import Ejector
from ..coordination.retries import RetryBudgets
from ..coordination.routing import RoutingPolicy
from ..errors import (
    BriarrillError,
    CallerError,
    CapacityError,
    DeadlineExceededError,
    DuplicateError,
    InternalError,
    NoUpstreamError,
    OutcomeUnknownError,
    UpstreamFailedError,
    UpstreamLostError,
)
from ..metrics import RETRIED
from ..protocol.codec import error_from
from ..protocol.messages import Finish
from ..result_codes import Ran, ResultCode
from .calls import OnlineCall, OnlineRequest
from .links import UpstreamLink
from .upstreams import UpstreamSet

__all__ = ('Dispatcher', 'OpenAnswer')

MAX_ATTEMPTS = 3

NO_UPSTREAM_RETRY_AFTER_S = 1.0


@attrs.define
class OpenAnswer:
    """An answer whose first chunk has arrived, or that ended without one."""

    call: OnlineCall
    first: bytes | None
    deadline_s: float

    @property
    def finish(self) -> Finish:
        """Return the end of the answer, once there are no more chunks."""
        if self.call.finish is None:
            raise InternalError('the answer has not ended')
        return self.call.finish

    @property
    def tokens(self) -> int:
        """Return the generated tokens; of a cut answer, its chunks."""
        if self.call.finish is None:
            return self.call.received
        return self.call.finish.tokens

    async def next_chunk(self) -> bytes | None:
        """Return the next chunk, or nothing at the end.

        :raises BriarrillError: the answer ended early.
        """
        if self.call.finish is not None:
            return None
        if self.first is not None:
            chunk, self.first = self.first, None
            return chunk
        return await _next_chunk(self.call, self.deadline_s)

    def close(self) -> None:
        """Stop the request at the upstream unless it has ended."""
        self.call.cancel()


class Dispatcher:
    """Chooses upstreams and retries what did not run.

    :param upstreams: links to choose from.
    :param policy: makes the choice.
    :param budgets: bound retries for each contract.
    :param rng: lets upstreams return slowly after they have failed.
    """

    def __init__(
        self,
        upstreams: UpstreamSet,
        policy: RoutingPolicy,
        budgets: RetryBudgets,
        rng: random.Random,
    ) -> None:
        """Keep the parts."""
        self._ejectors: dict[str, Ejector] = {}
        self._upstreams = upstreams
        self._policy = policy
        self._budgets = budgets
        self._rng = rng

    async def open(self, req: OnlineRequest) -> OpenAnswer:
        """Return an answer that has begun.

        :raises BriarrillError: the final refusal or failure.
        """
        self._budgets.record_request(req.contract)
        attempts = _Attempts()
        while True:
            try:
                return await self._attempt(req, attempts)
            except BriarrillError as exc:
                attempts.record(exc)
                self._check_retry(req, exc, attempts)
            RETRIED.inc()

    async def _attempt(
        self, req: OnlineRequest, attempts: '_Attempts'
    ) -> OpenAnswer:
        link = self._choose(req, attempts.tried)
        attempts.tried.add(link.name)
        call = link.submit(req, attempts.count)
        try:
            with self._judged(req.target, link.name):
                first = await _next_chunk(call, req.deadline_s)
        except BaseException:
            call.cancel()
            raise
        return OpenAnswer(call, first, req.deadline_s)

    @contextlib.contextmanager
    def _judged(self, target: str, upstream: str) -> Iterator[None]:
        """Count the first chunk or failure of the upstream, no refusal."""
        ejector = self._ejector(target)
        began = time.monotonic()
        try:
            yield
        except (UpstreamLostError, UpstreamFailedError):
            ejector.record_failure(upstream)
            raise
        except DeadlineExceededError:
            # slow is judged against the others: all are under overload
            ejector.record_first_chunk(upstream, time.monotonic() - began)
            raise
        ejector.record_first_chunk(upstream, time.monotonic() - began)

    def _ejector(self, target: str) -> Ejector:
        return self._ejectors.setdefault(target, Ejector(self._rng))

    def _choose(self, req: OnlineRequest, tried: set[str]) -> UpstreamLink:
        serving = self._upstreams.serving(req.target)
        untried = [link for link in serving if link.name not in tried]
        candidates = self._ejector(req.target).admitted(untried or serving)
        if not candidates:
            raise NoUpstreamError(
                f'no upstream serves {req.target} now',
                retry_after_s=NO_UPSTREAM_RETRY_AFTER_S,
            )
        chosen = self._policy.choose(candidates, req.prefix_key)
        return next(link for link in candidates if link is chosen)

    def _check_retry(
        self, req: OnlineRequest, exc: BriarrillError, attempts: '_Attempts'
    ) -> None:
        """Raise the final error unless another attempt is allowed."""
        if isinstance(exc, DuplicateError):
            raise exc
        if attempts.ran is Ran.UNKNOWN and not req.idempotent:
            raise OutcomeUnknownError(exc.message) from exc
        is_last = attempts.count >= MAX_ATTEMPTS
        if is_last or not _is_retryable(req, exc):
            raise exc
        if not self._budgets.take_retry(req.contract):
            raise exc


@attrs.define
class _Attempts:
    """What is known after the attempts so far."""

    tried: set[str] = attrs.field(factory=set)
    count: int = 0
    ran: Ran = Ran.NO

    def record(self, exc: BriarrillError) -> None:
        """Count a failed attempt and let its error speak for all of them.

        A refusal that says ``no`` says so of the last attempt only.
        """
        self.count += 1
        if _CERTAINTY.index(exc.ran) > _CERTAINTY.index(self.ran):
            self.ran = exc.ran
        exc.ran = self.ran


# the later one holds for a request when its attempts differ
_CERTAINTY = (Ran.NO, Ran.UNKNOWN, Ran.YES)

_FINAL_CODES = frozenset(
    (ResultCode.DEADLINE_EXCEEDED, ResultCode.NO_UPSTREAM)
)


def _is_retryable(req: OnlineRequest, exc: BriarrillError) -> bool:
    if exc.code in _FINAL_CODES or time.monotonic() >= req.deadline_s:
        return False
    if isinstance(exc, CallerError):
        return False
    if exc.ran is Ran.NO:
        return True
    # a refusal that follows a lost attempt speaks for both of them
    return req.idempotent and isinstance(
        exc, UpstreamLostError | UpstreamFailedError | CapacityError
    )


async def _next_chunk(call: OnlineCall, deadline_s: float) -> bytes | None:
    try:
        with trio.fail_after(max(0, deadline_s - time.monotonic())):
            chunk = await call.next_chunk()
    except trio.TooSlowError as exc:
        raise DeadlineExceededError(
            'the deadline passed', ran=call.ran
        ) from exc
    if call.finish is not None and call.finish.code is not ResultCode.OK:
        raise error_from(call.finish)
    return chunk
