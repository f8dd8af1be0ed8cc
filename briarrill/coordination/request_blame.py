"""briarrill.coordination.request_blame: find requests that end upstreams.

A request that ends each upstream that runs it was in flight at each of these
ends. So may be a sound one, by chance or because both are retried together.
As long as two cannot be told apart, neither is accused: they run at different
upstreams until one of them ends an upstream without the other.
"""

import collections
from collections.abc import Mapping, Set

__all__ = ('MIN_CRASHES', 'MIN_SUSPECT_CRASHES', 'requests_at_fault')

# upstreams that must have ended with a request in flight
MIN_CRASHES = 3

# ends from which a request is suspected: it then runs at one upstream at a
# time, without another suspected one
MIN_SUSPECT_CRASHES = 2

_Ends = Mapping[int, Set[int]]


def requests_at_fault(in_flight: _Ends) -> list[int]:
    """Return the requests that explain the ends of upstreams.

    :param in_flight: the requests in flight at each end that nothing else
        explains, by upstream.
    """
    at_fault: list[int] = []
    unexplained = dict(in_flight)
    while (found := _next_at_fault(unexplained)) is not None:
        at_fault.append(found)
        unexplained = {
            upstream: requests
            for upstream, requests in unexplained.items()
            if found not in requests
        }
    return at_fault


def _next_at_fault(in_flight: _Ends) -> int | None:
    """Return the request at fault with the most ends, if there is one."""
    ends: dict[int, set[int]] = collections.defaultdict(set)
    for upstream, requests in in_flight.items():
        for request in requests:
            ends[request].add(upstream)
    suspects = {
        request: frozenset(upstreams)
        for request, upstreams in ends.items()
        if len(upstreams) >= MIN_SUSPECT_CRASHES
    }
    # those with the same ends cannot be told apart
    with_same_ends = collections.Counter(suspects.values())
    candidates = sorted(
        (len(upstreams), request)
        for request, upstreams in suspects.items()
        if len(upstreams) >= MIN_CRASHES and with_same_ends[upstreams] == 1
    )
    for _, request in reversed(candidates):
        if _is_told_apart(request, in_flight, suspects):
            return request
    return None


def _is_told_apart(
    request: int, in_flight: _Ends, suspects: Mapping[int, Set[int]]
) -> bool:
    """Tell whether other suspects do not explain a request's ends as well.

    It was the only suspect at one of them, or was also in flight at all ends
    of each other suspect and at more than these.
    """
    own = suspects[request]
    others: set[int] = set()
    for upstream in own:
        beside = suspects.keys() & in_flight[upstream]
        if len(beside) == 1:
            return True
        others |= beside
    others.discard(request)
    return all(suspects[other] < own for other in others)
