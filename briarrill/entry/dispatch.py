"""briarrill.entry.dispatch: sends a request to upstreams, with retries."""

import contextlib
import random
import time
from collections.abc import Callable, Iterator

import attrs
import trio

from ..coordination.ejection import Ejector
from ..coordination.prompt_crashes import PromptQuarantine, check_quarantine
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
from ..protocol.codec import error_from_failure
from ..protocol.messages import Finish
from ..result_codes import Ran, ResultCode
from .calls import OnlineCall, OnlineRequest
from .links import UpstreamLink
from .upstreams import UpstreamSet

__all__ = ('Dispatcher', 'StartedResponse')

# attempts for one request, the first one included
MAX_ATTEMPTS = 3

NO_UPSTREAM_RETRY_AFTER_S = 1.0


@attrs.define
class StartedResponse:
    """A response whose first chunk, or end, has arrived from an upstream.

    :param first_chunk: the chunk not read yet; ``None`` after the read or if
        the response has no chunks.
    :param deadline_s: deadline of the request, by the monotonic clock.
    :param on_whole: called at the end of a complete response.
    :param on_lost: called if the upstream ends it early.
    """

    call: OnlineCall
    first_chunk: bytes | None
    deadline_s: float
    on_whole: Callable[[], None]
    on_lost: Callable[[], None]

    @property
    def finish(self) -> Finish:
        """Return the message that ended the response.

        :raises InternalError: the response has not ended.
        """
        if self.call.finish is None:
            raise InternalError('the upstream response has not ended')
        return self.call.finish

    @property
    def tokens(self) -> int:
        """Return the number of generated tokens.

        A response that has not ended counts one token for each chunk.
        """
        if self.call.finish is None:
            return self.call.received_chunks
        return self.call.finish.tokens

    async def next_chunk(self) -> bytes | None:
        """Return the next chunk, or ``None`` at the end of the response.

        :raises BriarrillError: the response ended early.
        """
        if self.call.finish is not None:
            return None
        if self.first_chunk is not None:
            chunk, self.first_chunk = self.first_chunk, None
            return chunk
        try:
            next_chunk = await _next_chunk_before(self.call, self.deadline_s)
        except (UpstreamLostError, UpstreamFailedError):
            self.on_lost()
            raise
        if next_chunk is None:
            self.on_whole()
        return next_chunk

    def close(self) -> None:
        """Cancel the request at the upstream unless it has ended."""
        self.call.cancel()


class Dispatcher:
    """Sends each request to an upstream and retries failed attempts.

    A non-idempotent request is retried only if no attempt can have run.

    :param upstreams: links to choose from.
    :param policy: chooses one of the candidate links.
    :param budgets: limit the retries of each contract.
    :param rng: decides whether an upstream gets a request while its share of
        the traffic increases again after an ejection.
    :param quarantine: decides which prompts may be sent.
    """

    def __init__(
        self,
        upstreams: UpstreamSet,
        policy: RoutingPolicy,
        budgets: RetryBudgets,
        rng: random.Random,
        quarantine: PromptQuarantine,
    ) -> None:
        """Create a dispatcher without recorded failures."""
        self._quarantine = quarantine
        self._ejectors: dict[str, Ejector] = {}
        self._upstreams = upstreams
        self._policy = policy
        self._budgets = budgets
        self._rng = rng

    async def dispatch(self, req: OnlineRequest) -> StartedResponse:
        """Send attempts of a request until the response to one starts.

        :raises BriarrillError: the error of the last attempt; its ``ran``
            covers all attempts.
        """
        self._budgets.record_request(req.contract)
        attempts = _AttemptHistory()
        while True:
            try:
                return await self._start_attempt(req, attempts)
            except BriarrillError as exc:
                attempts.record_failure(exc)
                self._raise_unless_retryable(req, exc, attempts)
            RETRIED.inc()

    async def _start_attempt(
        self, req: OnlineRequest, attempts: '_AttemptHistory'
    ) -> StartedResponse:
        """Send one attempt and wait for its first chunk or end.

        :raises QuarantinedError: no upstream gets the request.
        """
        check_quarantine(self._quarantine, req.prompt_parts, req.request_key)
        link = self._choose_link(req, attempts.tried_upstreams)
        attempts.tried_upstreams.add(link.name)
        call = link.submit(req, attempts.failed_count)
        try:
            with self._record_health(req.target, link.name):
                first_chunk = await _next_chunk_before(call, req.deadline_s)
        except BaseException:
            call.cancel()
            raise
        response = StartedResponse(
            call,
            first_chunk,
            req.deadline_s,
            on_whole=lambda: self._record_whole(req, link.name),
            on_lost=lambda: self._record_loss(req, link.name),
        )
        if first_chunk is None:
            response.on_whole()
        return response

    @contextlib.contextmanager
    def _record_health(self, target: str, upstream: str) -> Iterator[None]:
        """Record a first chunk or failure of an upstream for its ejection.

        Requests that the upstream rejects are not recorded.
        """
        ejector = self._get_ejector(target)
        started_at = time.monotonic()
        try:
            yield
        except (UpstreamLostError, UpstreamFailedError):
            ejector.record_failure(upstream)
            raise
        except DeadlineExceededError:
            # recorded as a latency, not as a failure: the ejector compares
            # it with the other upstreams, all of them slow under overload
            ejector.record_first_chunk(upstream, time.monotonic() - started_at)
            raise
        ejector.record_first_chunk(upstream, time.monotonic() - started_at)

    def _record_whole(self, req: OnlineRequest, upstream: str) -> None:
        """Record that an upstream has answered a request as a whole."""
        self._get_ejector(req.target).record_success(upstream)
        self._quarantine.record_answer(req.prompt_parts, req.request_key)

    def _record_loss(self, req: OnlineRequest, upstream: str) -> None:
        """Record that a response ended early after its first chunk."""
        self._get_ejector(req.target).record_failure(upstream)

    def _get_ejector(self, target: str) -> Ejector:
        """Return the target's ejector, created on first use."""
        return self._ejectors.setdefault(target, Ejector(self._rng))

    def _choose_link(
        self, req: OnlineRequest, tried_upstreams: set[str]
    ) -> UpstreamLink:
        """Choose a usable link, preferring upstreams without an attempt.

        :raises NoUpstreamError: no link is usable and not ejected.
        """
        usable_links = self._upstreams.serving(req.target)
        untried_links = [
            link for link in usable_links if link.name not in tried_upstreams
        ]
        candidates = self._get_ejector(req.target).eligible(
            untried_links or usable_links
        )
        if not candidates:
            raise NoUpstreamError(
                f'no usable upstream serves {req.target}',
                retry_after_s=NO_UPSTREAM_RETRY_AFTER_S,
            )
        chosen = self._policy.choose(candidates, req.prefix_key)
        return next(link for link in candidates if link is chosen)

    def _raise_unless_retryable(
        self,
        req: OnlineRequest,
        exc: BriarrillError,
        attempts: '_AttemptHistory',
    ) -> None:
        """Raise the error of the last attempt unless a retry is allowed.

        :param exc: error of the last attempt.
        :raises BriarrillError: ``exc``, if the request is not retried.
        :raises OutcomeUnknownError: an attempt of a non-idempotent request
            may have run.
        """
        if isinstance(exc, DuplicateError):
            raise exc
        if attempts.ran is Ran.UNKNOWN and not req.idempotent:
            raise OutcomeUnknownError(exc.message) from exc
        is_last = attempts.failed_count >= MAX_ATTEMPTS
        if is_last or not _is_retryable(req, exc):
            raise exc
        if not self._budgets.try_spend_retry(req.contract):
            raise exc


@attrs.define
class _AttemptHistory:
    """The failed attempts of one request.

    :param tried_upstreams: names of the upstreams of all attempts.
    :param failed_count: number of failed attempts.
    :param ran: whether any of the failed attempts ran.
    """

    tried_upstreams: set[str] = attrs.field(factory=set)
    failed_count: int = 0
    ran: Ran = Ran.NO

    def record_failure(self, exc: BriarrillError) -> None:
        """Count a failed attempt and set ``ran`` of its error.

        A rejected attempt has not run, but an earlier one may have; the
        error that reaches the caller covers all attempts.
        """
        self.failed_count += 1
        if _RAN_PRECEDENCE.index(exc.ran) > _RAN_PRECEDENCE.index(self.ran):
            self.ran = exc.ran
        exc.ran = self.ran


# ascending: the highest ``ran`` of the attempts applies to the request
_RAN_PRECEDENCE = (Ran.NO, Ran.UNKNOWN, Ran.YES)

_NON_RETRYABLE_CODES = frozenset(
    (
        ResultCode.DEADLINE_EXCEEDED,
        ResultCode.NO_UPSTREAM,
        ResultCode.PROMPT_QUARANTINED,
        ResultCode.REQUEST_QUARANTINED,
    )
)


def _is_retryable(req: OnlineRequest, exc: BriarrillError) -> bool:
    """Return whether the error and the deadline allow another attempt."""
    if exc.code in _NON_RETRYABLE_CODES or time.monotonic() >= req.deadline_s:
        return False
    if isinstance(exc, CallerError):
        return False
    if exc.ran is Ran.NO:
        return True
    # a rejection after a lost attempt carries that attempt's ``ran``
    return req.idempotent and isinstance(
        exc, UpstreamLostError | UpstreamFailedError | CapacityError
    )


async def _next_chunk_before(
    call: OnlineCall, deadline_s: float
) -> bytes | None:
    """Return the next chunk, or ``None`` at the end of the response.

    :raises DeadlineExceededError: the deadline passed first.
    :raises BriarrillError: the response ended with an error.
    """
    try:
        with trio.fail_after(max(0, deadline_s - time.monotonic())):
            chunk = await call.next_chunk()
    except trio.TooSlowError as exc:
        raise DeadlineExceededError(
            'the deadline passed before the next chunk', ran=call.ran
        ) from exc
    if call.finish is not None and call.finish.code is not ResultCode.OK:
        raise error_from_failure(call.finish)
    return chunk
