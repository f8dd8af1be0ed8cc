"""briarrill.relay.upstream_choice: chooses the upstream of each attempt."""

import contextlib
import time

import attrs
import trio

from ..coordination.capacity.memory import candidates_with_memory
from ..coordination.load_exchange import LoadExchange
from ..coordination.placement import (
    UpstreamCandidate,
    placeable_candidates,
)
from ..coordination.prompt_crashes import check_quarantine, may_run_at
from ..coordination.relay_protocol import Call
from ..coordination.service_times import ServiceTimeTable
from ..coordination.upstream_ends import UpstreamEnds
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable
from ..errors import NoUpstreamError, OverloadedError, UpstreamLeftError
from .attempts import (
    MIN_RETRY_AFTER_S,
    CallProgress,
    check_deadline_reachable,
)
from .permits import MAX_REFUSALS, acquire_permit, weigh_start
from .placer import Placer
from .response import Response
from .stream_places import StreamPlaces
from .upstream_health import UpstreamHealth

__all__ = ('START_TOLERANCE_OBJECTIVES', 'UpstreamChooser')

#: Expected start times that differ by less count as equal; multiple of the
#: route's latency objective.
START_TOLERANCE_OBJECTIVES = 0.3

# longest wait for memory, so that the prompt can still be read in time;
# multiple of the route's latency objective
MEMORY_WAIT_OBJECTIVES = 0.4

# interval at which reports are looked at for free memory
MEMORY_POLL_INTERVAL_S = 0.02


@attrs.define
class UpstreamChooser:
    """Chooses an eligible upstream and gets a permit for a request there.

    :param ends: knows the prompts and requests that end upstreams.
    :param failure_domain: this process's; its upstreams are preferred.
    """

    upstreams: UpstreamTable
    load: LoadExchange
    ends: UpstreamEnds
    failure_domain: str
    health: UpstreamHealth
    placer: Placer
    streams: StreamPlaces
    service_times: ServiceTimeTable

    async def choose(
        self, call: Call, response: Response, progress: CallProgress
    ) -> RegisteredUpstream:
        """Choose the upstream of the next attempt.

        :raises UpstreamLeftError: the chosen one left meanwhile.
        :raises BriarrillError: no upstream accepts requests, or the
            deadline cannot be met.
        """
        try:
            candidates = await self._candidates_with_memory(
                call, response, progress
            )
        except NoUpstreamError as exc:
            raise progress.caller_error(exc) from exc
        pool = placeable_candidates(
            candidates, skips_limited=progress.refused_permits >= MAX_REFUSALS
        )
        service_time_s = self.service_times.of(call.service).mean_s
        candidate = await self.placer.choose(
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
                call, candidate, self.service_times.of(call.service)
            )
        # peers preempt a batch item when they receive the report
        if candidate.free_slots <= 0:
            self.load.schedule_urgent_report()
        upstream = self.upstreams.find(candidate.name)
        if upstream is None or not self.upstreams.still_accepts(upstream):
            raise UpstreamLeftError(
                f'upstream {candidate.name!r} left while it was chosen'
            )
        await acquire_permit(
            self.load.limits,
            call,
            upstream,
            progress,
            may_wait=not pool,
            permit_wait_s=permit_wait_s,
        )
        return upstream

    def candidates_of(self, service: str) -> list[UpstreamCandidate]:
        """Return the upstreams of a service that may get requests."""
        known = map(
            self._make_candidate, self.upstreams.accepting_upstreams(service)
        )
        return [
            one
            for one in self.health.ejector_of(service).eligible(list(known))
            if not one.is_suspect
        ]

    def is_last(
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
                for other in self.streams.eligible(call, response)
            )
        return True

    def check_before_send(
        self, call: Call, upstream: RegisteredUpstream
    ) -> None:
        """Check again what may have changed since the upstream was chosen.

        :raises UpstreamLeftError: it left, or has another suspected request.
        :raises QuarantinedError: the request is held back.
        """
        check_quarantine(
            self.ends.quarantine, call.prompt_parts, call.request_key
        )
        if not (
            self.upstreams.still_accepts(upstream)
            and may_run_at(
                self.ends.quarantine,
                call.prompt_parts,
                call.request_key,
                upstream.incarnation,
            )
        ):
            raise UpstreamLeftError(
                f'upstream {upstream.upstream_id!r} left before the send'
            )

    async def _candidates_with_memory(
        self, call: Call, response: Response, progress: CallProgress
    ) -> list[UpstreamCandidate]:
        """Return the untried upstreams in whose memory a call fits.

        It waits for one for as long as it may be in time then.

        :raises NoUpstreamError: no upstream is untried.
        :raises OverloadedError: it fits into none for now.
        """
        knowledge = self.load.knowledge
        tokens = knowledge.needed_tokens(
            call.service, call.work.tokens_to_hold
        )
        while True:
            candidates = self._untried_candidates(call, response, progress)
            fitting = candidates_with_memory(candidates, tokens)
            if fitting:
                return fitting
            waits_until = progress.begin_memory_wait(
                MEMORY_WAIT_OBJECTIVES * call.route.latency_objective_s
            )
            if time.monotonic() >= waits_until:
                raise progress.caller_error(
                    OverloadedError(
                        f'no upstream has {tokens} tokens of memory free',
                        retry_after_s=MIN_RETRY_AFTER_S,
                    )
                )
            await trio.sleep(MEMORY_POLL_INTERVAL_S)

    def _untried_candidates(
        self, call: Call, response: Response, progress: CallProgress
    ) -> list[UpstreamCandidate]:
        """Return the untried upstreams that are eligible.

        :raises NoUpstreamError: there is none.
        """
        untried = {
            upstream.upstream_id: upstream
            for upstream in self.streams.eligible(call, response)
            if upstream.upstream_id not in progress.failed_upstreams
            and may_run_at(
                self.ends.quarantine,
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
        candidates = self.health.ejector_of(call.service).eligible(
            self.load.knowledge.describe(
                [self._make_candidate(one) for one in untried.values()],
                untried,
                call.route.selector,
                call.work,
            )
        )
        usable = [
            untried[one.name] for one in candidates if not one.is_suspect
        ]
        held = {one.upstream_id for one in usable}.difference(
            one.upstream_id
            for one in self.streams.without_held(call, response, usable)
        )
        return [one for one in candidates if one.name not in held]

    def _make_candidate(
        self, upstream: RegisteredUpstream
    ) -> UpstreamCandidate:
        """Return an upstream with its load as known to this process."""
        limits = self.load.limits.limits
        return UpstreamCandidate(
            name=upstream.upstream_id,
            slots=upstream.slots,
            online=self.load.online(upstream.upstream_id),
            batch=self.load.batch(upstream.upstream_id),
            is_local=upstream.failure_domain == self.failure_domain,
            is_suspect=self.load.is_suspect(upstream.upstream_id),
            delay_s=self.load.delay_s(upstream.upstream_id),
            blocked_s=limits.blocked_s(upstream.incarnation),
            is_limited=limits.rate_per_s(upstream.incarnation) is not None,
        )
