"""briarrill.relay.permits: places under the request limits of upstreams."""

import time
from collections.abc import Sequence

from ..coordination.limit_sharing import LimitSharing
from ..coordination.limited_starts import plan_start
from ..coordination.placement import UpstreamCandidate
from ..coordination.relay_protocol import Call
from ..coordination.request_limits import RequestLimits
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable
from ..errors import OverloadedError, UpstreamBusyError
from .attempts import MIN_RETRY_AFTER_S, CallProgress

__all__ = ('MAX_REFUSALS', 'acquire_permit', 'has_no_limit', 'weigh_start')

# longest wait for a place under an upstream's limit; multiple of the route's
# latency objective
PERMIT_WAIT_OBJECTIVES = 0.5

# the same for a stream that has begun, which would break off otherwise;
# multiple of its route's largest gap between events
RESUMPTION_WAIT_GAPS = 4.0

#: Refusals by owners of limits after which a request goes to an upstream that
#: has no limit.
MAX_REFUSALS = 3


def weigh_start(
    chosen: UpstreamCandidate,
    candidates: Sequence[UpstreamCandidate],
    call: Call,
    progress: CallProgress,
    service_time_s: float,
) -> tuple[UpstreamCandidate, float]:
    """Return where a first attempt starts, and its wait for a permit.

    :param chosen: where it starts soonest without such a wait.
    :raises OverloadedError: it would start too late, and the caller can
        repeat it in time.
    """
    plan = plan_start(
        chosen,
        candidates,
        service_time_s=service_time_s,
        latency_objective_s=call.route.latency_objective_s,
        time_left_s=call.deadline_s - time.monotonic(),
        skips_limited=progress.refused_permits >= MAX_REFUSALS,
    )
    if plan.retry_after_s is not None:
        raise OverloadedError(
            'all upstreams are at their request limits or queue requests',
            retry_after_s=max(MIN_RETRY_AFTER_S, plan.retry_after_s),
        )
    return plan.candidate, plan.permit_wait_s


async def acquire_permit(
    sharing: LimitSharing,
    call: Call,
    upstream: RegisteredUpstream,
    progress: CallProgress,
    *,
    may_wait: bool,
    permit_wait_s: float = 0,
) -> None:
    """Get a permit for a request under its upstream's limit, if any.

    :param may_wait: whether no other upstream may take it at once.
    :param permit_wait_s: how long it may wait although others may take it,
        default not at all.
    :raises UpstreamBusyError: there is none now, but others may take it.
    :raises BriarrillError: there is none, and no upstream may take it.
    """
    wait_s = PERMIT_WAIT_OBJECTIVES * call.route.latency_objective_s
    if progress.possible_runs and call.route.resumable:
        wait_s = max(wait_s, RESUMPTION_WAIT_GAPS * call.route.max_event_gap_s)
    grant = await sharing.acquire(
        upstream.incarnation, max_wait_s=wait_s if may_wait else permit_wait_s
    )
    if grant.is_granted:
        progress.refused_permits = 0
        return
    progress.refused_permits += 1
    message = f'upstream {upstream.upstream_id!r} is at its request limit'
    if not may_wait:
        raise UpstreamBusyError(message)
    raise progress.caller_error(
        OverloadedError(
            message, retry_after_s=max(MIN_RETRY_AFTER_S, grant.delay_s)
        )
    )


def has_no_limit(
    upstreams: UpstreamTable, limits: RequestLimits, upstream_id: str
) -> bool:
    """Tell whether an upstream named no limit, which would keep it idle."""
    upstream = upstreams.find(upstream_id)
    return (
        upstream is not None
        and limits.rate_per_s(upstream.incarnation) is None
    )
