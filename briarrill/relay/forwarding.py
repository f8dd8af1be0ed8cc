"""briarrill.relay.forwarding: forwards requests, with retries and resumption.

An attempt that certainly did not run is retried at another upstream. An
attempt that may have run is retried only if its route allows that. A
resumable stream continues after the last event that the caller received.
"""

import contextlib
import random
import time

import attrs
import trio
from eliot import log_message

from ..coordination.call_channels import CallChannels
from ..coordination.event_wait import EventWait
from ..coordination.load_exchange import LoadExchange
from ..coordination.placement import (
    UpstreamCandidate,
    placeable_candidates,
)
from ..coordination.prompt_crashes import check_quarantine, may_run_at
from ..coordination.relay_protocol import Call, RelayProtocol
from ..coordination.response_ends import check_stream_end, is_event_stream
from ..coordination.retries import RetryBudgets
from ..coordination.routes import RouteKind
from ..coordination.service_times import ServiceTimes
from ..coordination.upstream_ends import PromptRun, UpstreamEnds
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable
from ..errors import (
    BriarrillError,
    DeadlineExceededError,
    NoUpstreamError,
    OverloadedError,
    PeerUnreachableError,
    QuarantinedError,
    UpstreamBusyError,
    UpstreamFailedError,
    UpstreamLeftError,
    UpstreamLostError,
    UpstreamRefusedError,
)
from ..metrics import RESUMED, RETRIED
from ..protocol.event_stream import EventSplitter, EventTracker
from ..result_codes import Ran
from ..transport.http_channel import HttpChannel
from ..transport.http_messages import ResponseHead
from .attempts import (
    MIN_RETRY_AFTER_S,
    Attempt,
    CallProgress,
    check_deadline_reachable,
    log_caller_left,
    log_if_response_late,
    time_limit,
)
from .permits import MAX_REFUSALS, acquire_permit, weigh_start
from .placer import Placer
from .response import Response
from .stream_places import StreamPlaces
from .streams import read_stream_part, send_new_events
from .upstream_health import UpstreamHealth

__all__ = ('Forwarder',)

# a live upstream accepts a connection within one or two round trips
CONNECT_TIMEOUT_S = 0.25

# responses up to this size are buffered until they are complete, so that the
# request can be retried if the connection breaks
MAX_BUFFERED_RESPONSE_BYTES = 262_144

# no retry if less time is left; multiple of the route's latency objective
MIN_RETRY_TIME_OBJECTIVES = 0.2

# expected start times that differ by less count as equal; multiple of the
# route's latency objective
START_TOLERANCE_OBJECTIVES = 0.3

HTTP_OK = 200
HTTP_SERVER_ERROR = 500


class Forwarder:
    """Chooses upstreams for requests and relays their responses.

    :param ends: observes the requests to find prompts that end upstreams.
    :param failure_domain: this process's; its upstreams are preferred.
    """

    def __init__(
        self,
        protocol: RelayProtocol,
        upstreams: UpstreamTable,
        load: LoadExchange,
        ends: UpstreamEnds,
        failure_domain: str,
        rng: random.Random,
    ) -> None:
        """Start without connections."""
        self._protocol = protocol
        self._upstreams = upstreams
        self._load = load
        self._ends = ends
        self._failure_domain = failure_domain
        self._channels = CallChannels(protocol, CONNECT_TIMEOUT_S)
        self._health = UpstreamHealth(upstreams, load, rng)
        self._service_times: dict[str, ServiceTimes] = {}
        self._budgets = RetryBudgets()
        self._placer = Placer(upstreams, load, rng)
        self._streams = StreamPlaces(protocol, upstreams, load.origins)

    async def forward(
        self, call: Call, response: Response, cut_off: trio.CancelScope
    ) -> None:
        """Forward a call and relay the upstream's response to the caller.

        :param cut_off: scope that limits it beside the call's deadline.
        :raises BriarrillError: no further attempt is allowed; a part of
            the response may have been sent.
        """
        progress = CallProgress()
        began_at = time.monotonic()
        self._budgets.record_request(call.route.name)
        try:
            with cut_off:
                response.origin = await self._streams.origin_of(call)
                call = self._streams.call_at(call, response.origin)
                await self._attempt_until_done(call, response, progress)
        except trio.Cancelled:
            log_caller_left(call, response, progress, began_at)
            raise
        except QuarantinedError as exc:
            raise progress.quarantine_error(exc) from exc
        if cut_off.cancelled_caught:
            if progress.ran is not Ran.NO:
                response.drop_stored_refusal()
            raise progress.cut_off_error()
        log_if_response_late(call, response, progress, began_at)

    async def _attempt_until_done(
        self, call: Call, response: Response, progress: CallProgress
    ) -> None:
        """Attempt the call until a response is relayed or retries end."""
        is_done = False
        while not is_done:
            # one that left is no longer among the candidates, nor is one
            # that is at its limit for the time being
            with contextlib.suppress(UpstreamLeftError, UpstreamBusyError):
                is_done = await self._attempt_once(call, response, progress)

    async def _attempt_once(
        self, call: Call, response: Response, progress: CallProgress
    ) -> bool:
        """Attempt the call once; return whether a response was relayed.

        :raises UpstreamLeftError: the upstream left before the send.
        :raises BriarrillError: no further attempt is allowed.
        """
        check_quarantine(
            self._ends.quarantine, call.prompt_parts, call.request_key
        )
        upstream = await self._choose_upstream(call, response, progress)
        try:
            await self._run_attempt(call, upstream, response, progress)
        except (UpstreamLeftError, QuarantinedError):
            raise
        except BriarrillError as exc:
            self._handle_failure(call, upstream, response, progress, exc)
            return False
        return True

    async def _choose_upstream(
        self, call: Call, response: Response, progress: CallProgress
    ) -> RegisteredUpstream:
        """Choose the upstream of the next attempt.

        :raises UpstreamLeftError: the chosen one left meanwhile.
        :raises BriarrillError: no upstream accepts requests, or the
            deadline cannot be met.
        """
        try:
            candidates = self._untried_candidates(call, response, progress)
        except NoUpstreamError as exc:
            raise progress.caller_error(exc) from exc
        pool = placeable_candidates(
            candidates, skips_limited=progress.refused_permits >= MAX_REFUSALS
        )
        service_time_s = self._service_times_of(call.service).mean_s
        candidate = await self._placer.choose(
            pool or [min(candidates, key=lambda one: one.blocked_s)],
            call.service,
            tolerance_s=START_TOLERANCE_OBJECTIVES
            * call.route.latency_objective_s,
            service_time_s=service_time_s,
        )
        permit_wait_s = 0.0
        # a stream that goes on must not pause for a repetition
        if not progress.attempts and call.last_event_id is None:
            candidate, permit_wait_s = weigh_start(
                candidate, candidates, call, progress, service_time_s
            )
        progress.candidate = candidate
        if not progress.attempts:
            check_deadline_reachable(
                call, candidate, self._service_times_of(call.service)
            )
        # peers preempt a batch item when they receive the report
        if candidate.free_slots <= 0:
            self._load.schedule_urgent_report()
        upstream = self._upstreams.find(candidate.name)
        if upstream is None or not self._upstreams.still_accepts(upstream):
            raise UpstreamLeftError(
                f'upstream {candidate.name!r} left while it was chosen'
            )
        await acquire_permit(
            self._load.limits,
            call,
            upstream,
            progress,
            may_wait=not pool,
            permit_wait_s=permit_wait_s,
        )
        return upstream

    def _untried_candidates(
        self, call: Call, response: Response, progress: CallProgress
    ) -> list[UpstreamCandidate]:
        """Return the untried upstreams that are eligible.

        :raises NoUpstreamError: there is none.
        """
        untried = {
            upstream.upstream_id: upstream
            for upstream in self._streams.eligible(call, response)
            if upstream.upstream_id not in progress.failed_upstreams
            and may_run_at(
                self._ends.quarantine,
                call.prompt_parts,
                call.request_key,
                upstream.incarnation,
            )
        }
        if not untried:
            raise NoUpstreamError(
                f'no other upstream of {call.service} accepts requests',
                retry_after_s=MIN_RETRY_AFTER_S,
            )
        candidates = self._health.ejector_of(call.service).eligible(
            [self._make_candidate(one) for one in untried.values()]
        )
        usable = [
            untried[one.name] for one in candidates if not one.is_suspect
        ]
        held = {one.upstream_id for one in usable}.difference(
            one.upstream_id
            for one in self._streams.without_held(call, response, usable)
        )
        return [one for one in candidates if one.name not in held]

    def _make_candidate(
        self, upstream: RegisteredUpstream
    ) -> UpstreamCandidate:
        """Return an upstream with its load as known to this process."""
        limits = self._load.limits.limits
        return UpstreamCandidate(
            name=upstream.upstream_id,
            slots=upstream.slots,
            online=self._load.online(upstream.upstream_id),
            batch=self._load.batch(upstream.upstream_id),
            is_local=upstream.failure_domain == self._failure_domain,
            is_suspect=self._load.is_suspect(upstream.upstream_id),
            delay_s=self._load.delay_s(upstream.upstream_id),
            blocked_s=limits.blocked_s(upstream.incarnation),
            is_limited=limits.rate_per_s(upstream.incarnation) is not None,
        )

    async def _run_attempt(
        self,
        call: Call,
        upstream: RegisteredUpstream,
        response: Response,
        progress: CallProgress,
    ) -> None:
        """Send the request to one upstream and relay the response.

        :raises UpstreamLeftError: it left meanwhile; nothing was sent.
        :raises BriarrillError: the response is not complete; ``ran`` says
            whether the upstream ran the request.
        """
        with self._placer.placed(upstream):
            channel = await self._connect(upstream, call.request_id)
            try:
                origin = await self._streams.check(
                    call, response, upstream, channel
                )
                self._check_before_send(call, upstream)
            except BaseException:
                channel.close()
                raise
            progress.attempts += 1
            progress.has_head = False
            attempt = Attempt(
                call,
                response,
                self._is_last(call, upstream, response, progress),
                origin,
                may_be_refused=not progress.unrefused_runs,
                on_head=progress.record_head,
            )
            try:
                with self._ends.track(
                    upstream, call.prompt_parts, call.request_key
                ) as run:
                    await self._exchange(attempt, upstream, channel, run)
            except trio.Cancelled:
                progress.mark_cancelled_run()
                channel.close()
                raise
            except BaseException:
                channel.close()
                raise
            self._channels.release(upstream, channel)

    def _is_last(
        self,
        call: Call,
        upstream: RegisteredUpstream,
        response: Response,
        progress: CallProgress,
    ) -> bool:
        """Tell whether no attempt elsewhere may follow one at an upstream."""
        if progress.possible_runs + 1 >= call.route.max_attempts:
            return True
        tried = {*progress.failed_upstreams, upstream.upstream_id}
        with contextlib.suppress(NoUpstreamError):
            return all(
                other.upstream_id in tried
                for other in self._streams.eligible(call, response)
            )
        return True

    def _check_before_send(
        self, call: Call, upstream: RegisteredUpstream
    ) -> None:
        """Check again what may have changed since the upstream was chosen.

        :raises UpstreamLeftError: it left, or has another suspected request.
        :raises QuarantinedError: the request is held back.
        """
        check_quarantine(
            self._ends.quarantine, call.prompt_parts, call.request_key
        )
        if not (
            self._upstreams.still_accepts(upstream)
            and may_run_at(
                self._ends.quarantine,
                call.prompt_parts,
                call.request_key,
                upstream.incarnation,
            )
        ):
            raise UpstreamLeftError(
                f'upstream {upstream.upstream_id!r} left before the send'
            )

    async def _connect(
        self, upstream: RegisteredUpstream, request_id: str
    ) -> HttpChannel:
        """Acquire a pooled connection or open a new one.

        :raises PeerUnreachableError: the upstream accepted no connection; it
            is marked as suspect.
        """
        try:
            return await self._channels.acquire(upstream, request_id)
        except PeerUnreachableError:
            self._channels.close_idle(upstream)
            self._load.silence.mark_silent(upstream.upstream_id)
            self._ends.record_unreachable(upstream)
            raise

    async def _exchange(
        self,
        attempt: Attempt,
        upstream: RegisteredUpstream,
        channel: HttpChannel,
        run: PromptRun,
    ) -> None:
        """Send the request on a connection and relay the response.

        :raises OverloadedError: the upstream did not run the request.
        :raises UpstreamLostError: the connection broke or stalled.
        :raises UpstreamFailedError: the upstream responded with an error, or
            with a refusal after an attempt that may have run.
        :raises DeadlineExceededError: the deadline passed.
        """
        began_at = time.monotonic()
        call = attrs.evolve(
            attempt.call, last_event_id=attempt.response.last_event_id
        )
        time_left_s = call.deadline_s - began_at
        head = self._protocol.upstream_request(call, upstream, time_left_s)
        async with channel.exchange(head, call.body):
            with self._load.delays.measure_start(
                upstream.upstream_id
            ) as record_first_bytes:
                response_head = await self._read_head(
                    attempt, upstream, channel
                )
                self._ends.record_response(upstream, channel.opened_at)
                self._load.limits.record_response(
                    self._protocol, upstream.incarnation, response_head
                )
                if self._protocol.reports_leaving(response_head):
                    self._upstreams.mark_leaving(upstream.incarnation)
                _check_refusal(self._protocol, attempt, response_head)
                record_first_bytes()
            self._health.ejector_of(call.service).record_first_chunk(
                upstream.upstream_id, time.monotonic() - began_at
            )
            if call.route.kind is RouteKind.STREAMING:
                with self._load.silence.track_stream(upstream.upstream_id):
                    await self._relay_stream(
                        attempt, upstream, channel, response_head, run
                    )
            else:
                await self._relay_buffered(attempt, channel, response_head)
            run.record_end(
                response_head.status, is_marked=response_head.is_end_marked
            )
        self._service_times_of(call.service).add(time.monotonic() - began_at)
        self._health.record_success(upstream)

    async def _read_head(
        self,
        attempt: Attempt,
        upstream: RegisteredUpstream,
        channel: HttpChannel,
    ) -> ResponseHead:
        """Read the response head; suspect an upstream that sends none.

        :raises UpstreamLostError: no head came within the timeout.
        """
        call = attempt.call
        try:
            with time_limit(attempt.response_timeout_s, call):
                head = await self._channels.read_head(call, upstream, channel)
        except UpstreamLostError:
            self._load.silence.mark_silent(upstream.upstream_id)
            raise
        attempt.on_head()
        self._load.silence.record_reply(upstream.upstream_id)
        return head

    async def _relay_buffered(
        self,
        attempt: Attempt,
        channel: HttpChannel,
        response_head: ResponseHead,
        max_buffered_bytes: int = MAX_BUFFERED_RESPONSE_BYTES,
    ) -> None:
        """Relay a response that is no stream, buffered up to a limit.

        :raises UpstreamFailedError: the status is 500 or higher; the
            response is stored for the caller, unless it is over the limit.
        """
        response = attempt.response
        buffered = bytearray()
        part_wait = EventWait(attempt.response_timeout_s)
        while (
            part := await read_stream_part(attempt, channel, part_wait)
        ) is not None:
            buffered += part
            if response_head.status < HTTP_SERVER_ERROR:
                part_wait.restart(attempt.response_timeout_s)
            if response.has_begun or len(buffered) > max_buffered_bytes:
                _check_long_error(attempt, response_head)
                await response.send_head_once(response_head)
                await response.send(bytes(buffered))
                buffered.clear()
        await _end_buffered(response, response_head, bytes(buffered))

    async def _relay_other_content(
        self,
        attempt: Attempt,
        channel: HttpChannel,
        response_head: ResponseHead,
    ) -> None:
        """Relay a response on a streaming route that has no events.

        :raises UpstreamFailedError: it is an error, or the response to a
            resumption.
        """
        if attempt.response.has_begun:
            # its body must not follow the events that were sent
            raise UpstreamFailedError(
                f'answered {response_head.status} without events'
                ' to a resumption',
                ran=Ran.YES,
            )
        # other content than events may be a stream too
        is_success = response_head.status == HTTP_OK
        await self._relay_buffered(
            attempt,
            channel,
            response_head,
            0 if is_success else MAX_BUFFERED_RESPONSE_BYTES,
        )

    async def _relay_stream(
        self,
        attempt: Attempt,
        upstream: RegisteredUpstream,
        channel: HttpChannel,
        response_head: ResponseHead,
        run: PromptRun,
    ) -> None:
        """Relay the events of a stream as they arrive.

        :raises UpstreamLostError: the stream ended inside an event.
        :raises UpstreamFailedError: a resumption got a response that is no
            stream.
        """
        if not is_event_stream(response_head):
            await self._relay_other_content(attempt, channel, response_head)
            return
        response = attempt.response
        # the length of a stream that resumes elsewhere is unknown
        caller_head = response_head.without_length()
        splitter = EventSplitter()
        tracker = EventTracker()
        event_wait = EventWait(attempt.event_timeout_s)
        while (
            part := await read_stream_part(attempt, channel, event_wait)
        ) is not None:
            self._load.silence.record_bytes(upstream.upstream_id)
            run.record_bytes()
            tracker.add_bytes(part)
            if attempt.call.route.resumable:
                events = splitter.add_bytes(part)
                if events:
                    self._streams.begin(attempt.call, response, attempt.origin)
                if await send_new_events(events, caller_head, response):
                    event_wait.restart(attempt.event_timeout_s)
            else:
                await response.send_head_once(caller_head)
                await response.send(part)
        check_stream_end(
            attempt.call.request_id,
            upstream.upstream_id,
            response_head,
            tracker,
        )
        await response.send_head_once(caller_head)
        await response.finish(b'')

    def _handle_failure(
        self,
        call: Call,
        upstream: RegisteredUpstream,
        response: Response,
        progress: CallProgress,
        exc: BriarrillError,
    ) -> None:
        """Record a failed attempt; return if a retry may follow.

        :raises BriarrillError: the error for the caller.
        """
        may_have_run = exc.ran is not Ran.NO
        progress.possible_runs += may_have_run
        if may_have_run and not isinstance(exc, UpstreamRefusedError):
            progress.unrefused_runs += 1
            response.drop_stored_refusal()
        if may_have_run:
            progress.ran = exc.ran
        progress.failed_upstreams.add(upstream.upstream_id)
        self._health.record_failure(upstream, exc, has_head=progress.has_head)
        log_message(
            'request:attempt-failed',
            request_id=call.request_id,
            upstream=upstream.upstream_id,
            version=upstream.version,
            resumes=call.resumed_id,
            attempt=progress.attempts,
            reason=exc.message,
            ran=exc.ran.value,
            event=response.last_event_id,
            prompt_parts=call.prompt_parts,
            request_key=call.request_key,
        )
        time_left_s = call.deadline_s - time.monotonic()
        if time_left_s <= 0:
            raise progress.caller_error(
                DeadlineExceededError(
                    'deadline passed after a failed attempt'
                ),
            )
        if not self._may_retry(call, response, progress, time_left_s):
            raise progress.caller_error(exc)
        RETRIED.inc()
        if response.has_begun:
            RESUMED.inc()

    def _may_retry(
        self,
        call: Call,
        response: Response,
        progress: CallProgress,
        time_left_s: float,
    ) -> bool:
        """Check all retry limits; if allowed, use up retry budget."""
        if (
            progress.is_exhausted
            or progress.possible_runs >= call.route.max_attempts
        ):
            return False
        if (
            time_left_s
            < MIN_RETRY_TIME_OBJECTIVES * call.route.latency_objective_s
        ):
            return False
        if progress.possible_runs and not _is_retryable(call, response):
            return False
        return self._budgets.try_spend_retry(call.route.name)

    def _service_times_of(self, service: str) -> ServiceTimes:
        """Return the service times of a service, created on first use."""
        return self._service_times.setdefault(service, ServiceTimes())


def _is_retryable(call: Call, response: Response) -> bool:
    """Whether the call may run again, or its stream be resumed."""
    if call.route.resumable:
        return not response.has_content or response.last_event_id is not None
    return call.route.is_idempotent and not response.has_begun


def _check_refusal(
    protocol: RelayProtocol, attempt: Attempt, response_head: ResponseHead
) -> None:
    """Check that a response may be relayed, whatever its status says.

    :raises OverloadedError: the upstream did not run the request.
    :raises UpstreamRefusedError: its status would tell the caller so, though
        an earlier attempt may have run.
    """
    if protocol.reports_not_executed(response_head):
        raise OverloadedError(
            f'upstream rejected the request with status {response_head.status}'
        )
    if (
        protocol.promises_not_executed(response_head)
        and not attempt.may_be_refused
    ):
        raise UpstreamRefusedError(
            f'answered {response_head.status} to a further attempt',
            ran=Ran.UNKNOWN,
        )


def _check_long_error(attempt: Attempt, response_head: ResponseHead) -> None:
    """Check that a response that is not buffered any longer may be relayed.

    :raises UpstreamFailedError: it is an error, which may have no end, and
        another attempt may follow.
    """
    if response_head.status >= HTTP_SERVER_ERROR and attempt.may_be_left:
        raise UpstreamFailedError(
            f'answered {response_head.status} at too great a length'
        )


async def _end_buffered(
    response: Response, response_head: ResponseHead, rest: bytes
) -> None:
    """Send what is left of a response that is no stream.

    :raises UpstreamFailedError: the status is 500 or higher; the response is
        stored for the caller.
    """
    if response.has_begun:
        await response.finish(rest)
    elif response_head.status < HTTP_SERVER_ERROR:
        await response.send_complete(response_head, rest)
    else:
        response.store_failure(response_head, rest)
        message = f'answered {response_head.status}'
        if response.has_stored_refusal:
            raise UpstreamRefusedError(message)
        raise UpstreamFailedError(message)
