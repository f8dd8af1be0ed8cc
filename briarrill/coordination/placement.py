"""briarrill.coordination.placement: choose the upstream of a request.

Batch work fills the slots that online requests leave free, so at a peak
most upstreams are full. An online request goes to an upstream with a free
slot. If there is none, it goes to the upstream with the fewest online
requests per slot: batch items are preempted there, and the request queues
only if online requests hold all slots. Upstreams that start requests late
are excluded while others are expected to start the request sooner.

Load pattern: at a peak many processes place requests between two load
reports. If each chose the upstream with the lowest reported load, all would
choose the same one. So the more requests the reports lack, the fewer
upstreams are compared, chosen at random, and at least two.
"""

import math
import random
from collections.abc import Sequence

import attrs

__all__ = (
    'UpstreamCandidate',
    'best_candidate',
    'choose_candidate',
    'estimate_unreported',
    'expected_wait_s',
    'placeable_candidates',
    'sample_candidates',
    'suitable_candidates',
)

# an upstream in this process's failure domain is preferred while it holds at
# most this many more requests than another
LOCAL_BONUS_REQUESTS = 0.5

# upstreams that are compared at least, if there are as many
MIN_COMPARED = 2

# share of a pool that always remains eligible
MIN_ELIGIBLE_SHARE = 0.5


@attrs.frozen
class UpstreamCandidate:
    """The load of an upstream that may serve a request.

    :param slots: requests that it runs at the same time.
    :param online: online requests of all processes at the upstream.
    :param batch: batch items of all processes at the upstream.
    :param is_local: it is in this process's failure domain.
    :param is_suspect: it is suspected to be unresponsive.
    :param delay_s: recent time to first bytes, 0 when normal.
    :param blocked_s: time for which its request limit leaves no place.
    :param is_limited: it named a request limit.
    :param speed: relative to the usual speed of its service.
    :param tokens_free: that its memory has left, infinite if not known.
    :param tokens_yielding: that batch items hold there.
    :param saved_share: share of the request's tokens that it need not read,
        since they lie there.
    :param extra_start_s: how much later than at one of usual speed the
        request's first bytes come, negative if sooner.
    """

    name: str
    slots: int
    online: int
    batch: int
    is_local: bool = False
    is_suspect: bool = False
    delay_s: float = 0
    blocked_s: float = 0
    is_limited: bool = False
    speed: float = 1
    tokens_free: float = math.inf
    tokens_yielding: int = 0
    saved_share: float = 0
    extra_start_s: float = 0

    @property
    def load(self) -> float:
        """Return requests per slot, 1.0 when all slots are in use."""
        return (self.online + self.batch) / max(1, self.slots)

    @property
    def free_slots(self) -> int:
        """Return the number of free slots, negative when requests queue."""
        return self.slots - self.online - self.batch


def placeable_candidates(
    candidates: Sequence[UpstreamCandidate], *, skips_limited: bool
) -> list[UpstreamCandidate]:
    """Return the upstreams whose limits may leave a place now.

    :param skips_limited: return only those without a limit.
    """
    return [
        candidate
        for candidate in candidates
        if not candidate.blocked_s
        and not (skips_limited and candidate.is_limited)
    ]


def choose_candidate(
    candidates: Sequence[UpstreamCandidate],
    rng: random.Random,
    tolerance_s: float,
    service_time_s: float,
    unreported: float = 0,
) -> UpstreamCandidate:
    """Return the upstream for one more online request.

    :param candidates: at least one.
    :param tolerance_s: difference between two expected start times that is
        ignored.
    :param service_time_s: how long a request holds its slot.
    :param unreported: estimated number of requests that other processes have
        placed since their last reports, default none.
    """
    return best_candidate(
        sample_candidates(
            candidates, rng, tolerance_s, service_time_s, unreported
        )
    )


def suitable_candidates(
    candidates: Sequence[UpstreamCandidate],
    tolerance_s: float,
    service_time_s: float,
) -> Sequence[UpstreamCandidate]:
    """Return the upstreams that respond and start requests soonest.

    The parameters are those of :func:`choose_candidate`.
    """
    responsive = [
        candidate for candidate in candidates if not candidate.is_suspect
    ] or candidates
    return _earliest_candidates(responsive, tolerance_s, service_time_s)


def sample_candidates(
    candidates: Sequence[UpstreamCandidate],
    rng: random.Random,
    tolerance_s: float,
    service_time_s: float,
    unreported: float,
) -> list[UpstreamCandidate]:
    """Return the upstreams to compare, chosen at random from the suitable.

    Suspected upstreams are considered only if all are suspected. One at
    which a part of the request lies is among them, if there is any. The
    parameters are those of :func:`choose_candidate`.
    """
    earliest = suitable_candidates(candidates, tolerance_s, service_time_s)
    has_free = [one for one in earliest if one.free_slots > 0]
    preemptable = [one for one in earliest if one.online < one.slots]
    pool = has_free or preemptable or earliest
    compared = max(MIN_COMPARED, math.ceil(len(pool) / (1 + unreported)))
    sample = rng.sample(pool, min(compared, len(pool)))
    holders = [one for one in pool if one.saved_share]
    if holders and not any(one.saved_share for one in sample):
        sample[-1] = rng.choice(holders)
    return sample


def best_candidate(sample: Sequence[UpstreamCandidate]) -> UpstreamCandidate:
    """Return the upstream that starts one more online request soonest."""
    if any(one.free_slots > 0 for one in sample):
        return max(sample, key=_free_slot_score)
    return min(sample, key=_full_upstream_score)


def estimate_unreported(
    online: int, report_age_s: float, service_time_s: float
) -> float:
    """Estimate the requests placed by others since their last reports.

    :param online: requests in flight of the others, as reported.
    :param report_age_s: mean age of their reports.
    :param service_time_s: how long a request holds its slot, 0 if unknown.
    """
    if not service_time_s:
        return online
    return online * report_age_s / service_time_s


def expected_wait_s(
    candidate: UpstreamCandidate, service_time_s: float
) -> float:
    """Return how long a new online request waits for a slot.

    Batch items are preempted, so only online requests are counted.
    """
    queue_position = max(0, candidate.online + 1 - candidate.slots)
    slots_of_usual_speed = max(1, candidate.slots) * candidate.speed
    return queue_position * service_time_s / slots_of_usual_speed


def _earliest_candidates(
    candidates: Sequence[UpstreamCandidate],
    tolerance_s: float,
    service_time_s: float,
) -> Sequence[UpstreamCandidate]:
    """Return the upstreams that are expected to start a request soonest.

    At least half of them are returned: the requests of all the others would
    turn the few fastest upstreams into the slowest.
    """

    def expected_start_s(candidate: UpstreamCandidate) -> float:
        return (
            candidate.delay_s
            + candidate.extra_start_s
            + expected_wait_s(candidate, service_time_s)
        )

    earliest_s = min(map(expected_start_s, candidates))
    earliest = [
        candidate
        for candidate in candidates
        if expected_start_s(candidate) <= earliest_s + tolerance_s
    ]
    min_count = math.ceil(len(candidates) * MIN_ELIGIBLE_SHARE)
    if len(earliest) >= min_count:
        return earliest
    return sorted(candidates, key=expected_start_s)[:min_count]


def _free_slot_score(candidate: UpstreamCandidate) -> float:
    """Rate an upstream by its free slots; the highest score is chosen."""
    return _bonus(candidate) - _work_in_hand(candidate, candidate.load)


def _full_upstream_score(candidate: UpstreamCandidate) -> float:
    """Rate an upstream by its online load; the lowest score is chosen."""
    online_load = candidate.online / max(1, candidate.slots)
    return _work_in_hand(candidate, online_load) - _bonus(candidate)


def _work_in_hand(candidate: UpstreamCandidate, load: float) -> float:
    """Return the time that a load and one more request take.

    It is relative to the time that the new one takes at usual speed.
    """
    slowness = 1 / candidate.speed
    return load * slowness + (slowness - 1) / max(1, candidate.slots)


def _bonus(candidate: UpstreamCandidate) -> float:
    """Return by how much more load an upstream may have than another."""
    bonus_requests = candidate.saved_share / candidate.speed
    if candidate.is_local:
        bonus_requests += LOCAL_BONUS_REQUESTS
    return bonus_requests / max(1, candidate.slots)
