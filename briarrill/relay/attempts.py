"""briarrill.relay.attempts: state and time limits of a forwarded call."""

import contextlib
import math
import time
from collections.abc import Callable, Iterator

import attrs
import trio
from eliot import log_message

from ..coordination.placement import UpstreamCandidate, expected_wait_s
from ..coordination.relay_protocol import Call
from ..coordination.service_times import ServiceTimes
from ..errors import (
    BriarrillError,
    DeadlineExceededError,
    DeadlineUnreachableError,
    DrainingError,
    OutcomeUnknownError,
    OverloadedError,
    QuarantinedError,
    UpstreamFailedError,
    UpstreamSilentError,
)
from ..protocol.stream_origins import StreamOrigin
from ..result_codes import Ran
from .response import Response

__all__ = (
    'MIN_RETRY_AFTER_S',
    'Attempt',
    'CallProgress',
    'check_deadline_reachable',
    'log_caller_left',
    'log_if_response_late',
    'time_limit',
)

# upstreams tried for one call, including those that rejected it
MAX_TRIED_UPSTREAMS = 4

# shortest Retry-After of a rejection; the shortest gap between two load peaks
# is longer, so most retries find free slots
MIN_RETRY_AFTER_S = 0.15

# time without bytes after which a retryable request moves to another upstream:
# multiple of the latency objective for a response, and of the largest gap
# between events for a resumable stream
RESPONSE_TIMEOUT_OBJECTIVES = 2.5
EVENT_TIMEOUT_GAPS = 4.0


@attrs.define
class CallProgress:
    """Outcome of a call's attempts so far.

    :param failed_upstreams: upstreams that rejected or failed an attempt.
    :param possible_runs: attempts that ran or may have run.
    :param unrefused_runs: those of them whose upstreams did not say that they
        ran nothing, as the status of a response without a mark says it.
    :param ran: whether any attempt ran.
    :param candidate: the last chosen upstream, with its load at that time.
    :param refused_permits: refusals by owners of limits since the last
        attempt.
    :param has_head: whether the last attempt has brought a sound head.
    :param waits_until: end of the wait for an upstream's memory.
    """

    failed_upstreams: set[str] = attrs.field(factory=set)
    possible_runs: int = 0
    unrefused_runs: int = 0
    attempts: int = 0
    ran: Ran = Ran.NO
    candidate: UpstreamCandidate | None = None
    refused_permits: int = 0
    has_head: bool = False
    waits_until: float | None = None

    @property
    def is_exhausted(self) -> bool:
        """Whether the limit of tried upstreams is reached."""
        return len(self.failed_upstreams) >= MAX_TRIED_UPSTREAMS

    def caller_error(self, exc: BriarrillError) -> BriarrillError:
        """Convert an attempt's error into the error for the caller.

        A rejection is returned only if no attempt may have run.
        """
        if self.ran is Ran.NO:
            if exc.ran is Ran.NO:
                return OverloadedError(
                    exc.message,
                    retry_after_s=exc.retry_after_s or MIN_RETRY_AFTER_S,
                )
            return exc
        if isinstance(exc, DeadlineExceededError | UpstreamFailedError):
            return exc
        return OutcomeUnknownError(exc.message, ran=self.ran)

    def begin_memory_wait(self, longest_s: float) -> float:
        """Return the end of the wait for memory, which begins once."""
        if self.waits_until is None:
            self.waits_until = time.monotonic() + longest_s
        return self.waits_until

    def record_head(self) -> None:
        """Record that the attempt has brought a sound head."""
        self.has_head = True

    def mark_cancelled_run(self) -> None:
        """Record that an attempt was cancelled after it was sent."""
        if self.ran is Ran.NO:
            self.ran = Ran.UNKNOWN

    def cut_off_error(self) -> BriarrillError:
        """Return the caller's error for a request that a stop ends."""
        message = 'the entry stops before the response is complete'
        if self.ran is Ran.NO:
            return DrainingError(message, retry_after_s=MIN_RETRY_AFTER_S)
        return OutcomeUnknownError(message, ran=self.ran)

    def quarantine_error(self, exc: QuarantinedError) -> BriarrillError:
        """Return the caller's error for a request that is held back."""
        if self.ran is Ran.NO:
            return exc
        return OutcomeUnknownError(exc.message, ran=self.ran)


@attrs.frozen
class Attempt:
    """One attempt of a call.

    :param is_last: whether no other attempt can follow if this one runs, so
        that silence is no reason to end it.
    :param origin: what begins a stream if this attempt brings its first event.
    :param may_be_refused: whether its response may tell the caller that the
        request did not run, which is not so after an attempt that may have.
    :param on_head: called when a sound head has arrived.
    """

    call: Call
    response: Response
    is_last: bool
    origin: StreamOrigin
    may_be_refused: bool
    on_head: Callable[[], None]

    @property
    def may_be_left(self) -> bool:
        """Whether the request may be sent again while this one runs."""
        route = self.call.route
        return not self.is_last and (route.is_idempotent or route.resumable)

    @property
    def response_timeout_s(self) -> float:
        """Return the longest wait for the next bytes, maybe infinite."""
        if not self.may_be_left:
            return math.inf
        objective_s = self.call.route.latency_objective_s
        return RESPONSE_TIMEOUT_OBJECTIVES * objective_s

    @property
    def event_timeout_s(self) -> float:
        """Return the longest wait for the next event, maybe infinite."""
        route = self.call.route
        if self.is_last or not route.resumable:
            return math.inf
        return EVENT_TIMEOUT_GAPS * route.max_event_gap_s


def log_caller_left(
    call: Call, response: Response, progress: CallProgress, began_at: float
) -> None:
    """Log the state of a request whose caller closed the connection."""
    log_message(
        'request:caller-left',
        request_id=call.request_id,
        after_s=round(time.monotonic() - began_at, 3),
        attempts=progress.attempts,
        upstream='' if progress.candidate is None else progress.candidate.name,
        has_begun=response.has_begun,
        event=response.last_event_id,
    )


def log_if_response_late(
    call: Call, response: Response, progress: CallProgress, began_at: float
) -> None:
    """Log a late first byte, with the load of the chosen upstream."""
    first_byte_s = (response.first_bytes_at or began_at) - began_at
    if (
        first_byte_s <= call.route.latency_objective_s
        or progress.candidate is None
    ):
        return
    log_message(
        'request:late',
        request_id=call.request_id,
        first_bytes_s=round(first_byte_s, 3),
        objective_s=call.route.latency_objective_s,
        attempts=progress.attempts,
        place=attrs.asdict(progress.candidate),
    )


@contextlib.contextmanager
def time_limit(timeout_s: float, call: Call) -> Iterator[None]:
    """Limit a wait for an upstream by a timeout and the call's deadline.

    :raises DeadlineExceededError: the deadline passed first.
    :raises UpstreamSilentError: the timeout passed first.
    """
    time_left_s = call.deadline_s - time.monotonic()
    with trio.move_on_after(max(0, min(timeout_s, time_left_s))) as scope:
        yield
    if not scope.cancelled_caught:
        return
    if time_left_s <= timeout_s:
        raise DeadlineExceededError('deadline passed during an attempt')
    raise UpstreamSilentError(
        f'no bytes from the upstream for {timeout_s:.3f} s'
    )


def check_deadline_reachable(
    call: Call, candidate: UpstreamCandidate, times: ServiceTimes
) -> None:
    """Check that the first attempt can finish before the deadline.

    :raises DeadlineUnreachableError: the expected wait is too long.
    """
    wait_s = expected_wait_s(candidate, times.mean_s)
    time_left_s = call.deadline_s - time.monotonic()
    if wait_s and wait_s + times.shortest_s > time_left_s:
        raise DeadlineUnreachableError(
            f'expected wait of {wait_s:.3f} s is too long'
            f' for a deadline in {time_left_s:.3f} s',
            retry_after_s=max(MIN_RETRY_AFTER_S, wait_s),
        )
