"""briarrill.entry.dispatch: sends a request to upstreams, with retries."""

import time

import attrs
import trio

from ..coordination.retries import RetryBudgets
from ..coordination.routing import RoutingPolicy
from ..errors import (
    BriarrillError,
    DeadlineExceededError,
    InternalError,
    NoUpstreamError,
    OutcomeUnknownError,
    UpstreamLostError,
)
from ..metrics import RETRIED
from ..protocol.codec import error_from
from ..protocol.messages import Finish
from ..result_codes import Ran, ResultCode
from .links import OnlineCall, OnlineRequest, UpstreamLink
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
    """

    def __init__(
        self,
        upstreams: UpstreamSet,
        policy: RoutingPolicy,
        budgets: RetryBudgets,
    ) -> None:
        """Keep the parts."""
        self._upstreams = upstreams
        self._policy = policy
        self._budgets = budgets

    async def open(self, req: OnlineRequest) -> OpenAnswer:
        """Return an answer that has begun.

        :raises BriarrillError: the final refusal or failure.
        """
        self._budgets.record_request(req.contract)
        tried: set[str] = set()
        attempt = 0
        while True:
            link = self._choose(req, tried)
            tried.add(link.name)
            try:
                return await _attempt(link, req, attempt)
            except BriarrillError as exc:
                self._check_retry(req, exc, attempt)
            attempt += 1
            RETRIED.inc()

    def _choose(self, req: OnlineRequest, tried: set[str]) -> UpstreamLink:
        serving = self._upstreams.serving(req.target)
        untried = [link for link in serving if link.name not in tried]
        candidates = untried or serving
        if not candidates:
            raise NoUpstreamError(
                f'no upstream serves {req.target} now',
                ran=Ran.NO,
                retry_after_s=NO_UPSTREAM_RETRY_AFTER_S,
            )
        chosen = self._policy.choose(candidates, req.prefix_key)
        return next(link for link in candidates if link is chosen)

    def _check_retry(
        self, req: OnlineRequest, exc: BriarrillError, attempt: int
    ) -> None:
        """Raise the final error unless another attempt is allowed."""
        if exc.ran is Ran.UNKNOWN and not req.idempotent:
            raise OutcomeUnknownError(exc.message) from exc
        is_last = attempt + 1 >= MAX_ATTEMPTS
        if is_last or not _is_retryable(exc):
            raise exc
        if not self._budgets.take_retry(req.contract):
            raise exc


def _is_retryable(exc: BriarrillError) -> bool:
    if exc.code is ResultCode.DEADLINE_EXCEEDED:
        return False
    return exc.ran is Ran.NO or isinstance(exc, UpstreamLostError)


async def _attempt(
    link: UpstreamLink, req: OnlineRequest, attempt: int
) -> OpenAnswer:
    call = link.submit(req, attempt)
    try:
        first = await _next_chunk(call, req.deadline_s)
    except BaseException:
        call.cancel()
        raise
    return OpenAnswer(call, first, req.deadline_s)


async def _next_chunk(call: OnlineCall, deadline_s: float) -> bytes | None:
    try:
        with trio.fail_after(max(0, deadline_s - time.monotonic())):
            chunk = await call.next_chunk()
    except trio.TooSlowError as exc:
        raise DeadlineExceededError('the deadline passed') from exc
    if call.finish is not None and call.finish.code is not ResultCode.OK:
        raise error_from(call.finish)
    return chunk
