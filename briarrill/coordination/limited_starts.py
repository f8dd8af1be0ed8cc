"""briarrill.coordination.limited_starts: weigh waits while limits hold.

While some upstreams have a request limit, requests above the limits queue at
the upstreams without one. At a peak all those in a queue start late. So a
request that is expected to wait too long there waits for a place under a
limit, if one is expected soon. Otherwise it is rejected at once, provided
that its caller can repeat it in time.

Load pattern: peaks shorter than a request's deadline, with less load between
them. A rejected request is repeated after the peak and starts at once.
"""

from collections.abc import Sequence

import attrs

from .placement import UpstreamCandidate, expected_wait_s

__all__ = ('StartPlan', 'plan_start')

# longest wait for a slot or for a place under a limit; multiple of the
# route's latency objective, which has to hold for the first bytes too
LONGEST_WAIT_OBJECTIVES = 0.4

# time after which a rejected request finds other requests in the slots, beside
# the wait; multiple of the service time
RETRY_SERVICE_TIMES = 1.5

# part of the time to its deadline for which a caller waits before it repeats
# a request
RETRY_TIME_SHARE = 1 / 3


@attrs.frozen
class StartPlan:
    """What to do with a request.

    :param candidate: upstream to send it to.
    :param permit_wait_s: how long it may wait there for a place.
    :param retry_after_s: time after which it should be repeated, none if it
        is not rejected.
    """

    candidate: UpstreamCandidate
    permit_wait_s: float = 0
    retry_after_s: float | None = None


def plan_start(
    chosen: UpstreamCandidate,
    candidates: Sequence[UpstreamCandidate],
    *,
    service_time_s: float,
    latency_objective_s: float,
    time_left_s: float,
    skips_limited: bool,
) -> StartPlan:
    """Weigh the wait at the chosen upstream against one for a place.

    :param chosen: where the request would start soonest without a wait for a
        place.
    :param candidates: all upstreams that may serve it.
    :param service_time_s: how long a request holds its slot.
    :param time_left_s: time until the request's deadline.
    :param skips_limited: the request waits for no place under a limit.
    """
    plan = StartPlan(chosen)
    limited = [one for one in candidates if one.is_limited]
    longest_wait_s = LONGEST_WAIT_OBJECTIVES * latency_objective_s
    wait_s = expected_wait_s(chosen, service_time_s)
    if not limited or chosen.is_limited or wait_s <= longest_wait_s:
        return plan
    soonest = min(
        (one for one in limited if not (skips_limited or one.is_suspect)),
        key=lambda one: one.blocked_s,
        default=None,
    )
    if soonest and soonest.blocked_s <= min(wait_s, longest_wait_s):
        return StartPlan(soonest, permit_wait_s=longest_wait_s)
    retry_after_s = wait_s + RETRY_SERVICE_TIMES * service_time_s
    if retry_after_s > RETRY_TIME_SHARE * time_left_s:
        return plan
    return StartPlan(chosen, retry_after_s=retry_after_s)
