"""briarrill.relay.forwarding: forwards requests, with retries and resumption.

An attempt that certainly did not run is retried at another upstream. An
attempt that may have run is retried only if its route allows that. A
resumable stream continues after the last event that the caller received.
"""

import contextlib
import random
import time

import trio
from eliot import log_message

from ..coordination.call_channels import CallChannels
from ..coordination.load_exchange import LoadExchange
from ..coordination.prompt_crashes import check_quarantine
from ..coordination.relay_protocol import Call, RelayProtocol
from ..coordination.retries import RetryBudgets
from ..coordination.service_times import ServiceTimeTable
from ..coordination.upstream_ends import UpstreamEnds
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable
from ..errors import (
    BriarrillError,
    DeadlineExceededError,
    PeerUnreachableError,
    QuarantinedError,
    UpstreamBusyError,
    UpstreamLeftError,
    UpstreamRefusedError,
)
from ..metrics import RESUMED, RETRIED
from ..result_codes import Ran
from ..transport.http_channel import HttpChannel
from .attempts import (
    Attempt,
    CallProgress,
    log_caller_left,
    log_if_response_late,
)
from .exchange import Exchanger
from .memory_check import MemoryCheck
from .placer import Placer
from .response import Response
from .start_order import StartOrder
from .stream_places import StreamPlaces
from .upstream_choice import UpstreamChooser
from .upstream_health import UpstreamHealth
from .upstream_owners import UpstreamOwners

__all__ = ('Forwarder',)

# a live upstream accepts a connection within one or two round trips
CONNECT_TIMEOUT_S = 0.25

# no retry if less time is left; multiple of the route's latency objective
MIN_RETRY_TIME_OBJECTIVES = 0.2


class Forwarder:
    """Chooses upstreams for requests and relays their responses.

    :param ends: observes the requests to find prompts that end upstreams.
    :param failure_domain: this process's; its upstreams are preferred.
    :ivar start_order: orders the requests of customers while slots are short.
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
        self._channels = CallChannels(protocol, CONNECT_TIMEOUT_S)
        self._health = UpstreamHealth(upstreams, load, rng)
        self._service_times = ServiceTimeTable()
        self._budgets = RetryBudgets()
        owners = UpstreamOwners(upstreams, load)
        self._placer = Placer(load, owners, rng)
        self._memory = MemoryCheck(load, owners)
        self._streams = StreamPlaces(
            protocol, upstreams, load.messages.origins
        )
        self._chooser = UpstreamChooser(
            upstreams,
            load,
            ends,
            failure_domain,
            self._health,
            self._placer,
            self._streams,
            self._service_times,
        )
        self.start_order = StartOrder(
            self._chooser.candidates_of, load, self._service_times, rng
        )
        self._exchanger = Exchanger(
            protocol,
            upstreams,
            load,
            ends,
            self._channels,
            self._health,
            self._streams,
            self._service_times,
        )

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
        self._budgets.record_request(call.route.selector)
        try:
            with cut_off:
                response.origin = await self._streams.origin_of(call)
                call = self._streams.call_at(call, response.origin)
                if self.start_order.applies_to(call):
                    await self.start_order.admit(call)
                await self._attempt_until_done(call, response, progress)
        except trio.Cancelled:
            log_caller_left(call, response, progress, began_at)
            raise
        except QuarantinedError as exc:
            raise progress.quarantine_error(exc) from exc
        finally:
            self.start_order.release()
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
        upstream = await self._chooser.choose(call, response, progress)
        try:
            await self._run_attempt(call, upstream, response, progress)
        except (UpstreamLeftError, QuarantinedError):
            raise
        except BriarrillError as exc:
            self._handle_failure(call, upstream, response, progress, exc)
            return False
        return True

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
        with self._placer.placed(upstream, call.work.tokens_to_hold):
            await self._memory.confirm(upstream)
            channel = await self._connect(upstream, call.request_id)
            try:
                origin = await self._streams.check(
                    call, response, upstream, channel
                )
                self._chooser.check_before_send(call, upstream)
            except BaseException:
                channel.close()
                raise
            progress.attempts += 1
            progress.has_head = False
            attempt = Attempt(
                call,
                response,
                self._chooser.is_last(call, upstream, response, progress),
                origin,
                may_be_refused=not progress.unrefused_runs,
                on_head=progress.record_head,
            )
            try:
                with self._ends.track(
                    upstream, call.prompt_parts, call.request_key
                ) as run:
                    await self._exchanger.run(attempt, upstream, channel, run)
            except trio.Cancelled:
                progress.mark_cancelled_run()
                channel.close()
                raise
            except BaseException:
                channel.close()
                raise
            self._channels.release(upstream, channel)

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
        return self._budgets.try_spend_retry(call.route.selector)


def _is_retryable(call: Call, response: Response) -> bool:
    """Whether the call may run again, or its stream be resumed."""
    if call.route.resumable:
        return not response.has_content or response.last_event_id is not None
    return call.route.is_idempotent and not response.has_begun
