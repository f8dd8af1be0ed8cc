"""briarrill.relay.permits: places under the request limits of upstreams."""

from ..coordination.limit_sharing import LimitSharing
from ..coordination.relay_protocol import Call
from ..coordination.request_limits import RequestLimits
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable
from ..errors import OverloadedError, UpstreamBusyError
from .attempts import MIN_RETRY_AFTER_S, CallProgress

__all__ = ('MAX_REFUSALS', 'acquire_permit', 'has_no_limit')

# longest wait for a place under an upstream's limit; multiple of the route's
# latency objective
PERMIT_WAIT_OBJECTIVES = 0.5

# the same for a stream that has begun, which would break off otherwise;
# multiple of its route's largest gap between events
RESUMPTION_WAIT_GAPS = 4.0

#: Refusals by owners of limits after which a request goes to an upstream that
#: has no limit.
MAX_REFUSALS = 3


async def acquire_permit(
    sharing: LimitSharing,
    call: Call,
    upstream: RegisteredUpstream,
    progress: CallProgress,
    *,
    may_wait: bool,
) -> None:
    """Get a permit for a request under its upstream's limit, if any.

    :param may_wait: whether no other upstream may take it at once.
    :raises UpstreamBusyError: there is none now, but others may take it.
    :raises BriarrillError: there is none, and no upstream may take it.
    """
    wait_s = PERMIT_WAIT_OBJECTIVES * call.route.latency_objective_s
    if progress.possible_runs and call.route.resumable:
        wait_s = max(wait_s, RESUMPTION_WAIT_GAPS * call.route.max_event_gap_s)
    grant = await sharing.acquire(
        upstream.incarnation, max_wait_s=wait_s if may_wait else 0
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
