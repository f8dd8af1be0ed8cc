"""briarrill.item_runs.run_health: record how runs at upstreams end."""

import random

import attrs

from ..coordination.ejection import Ejector
from .item import RunEnd

__all__ = ('RunHealth',)

# ends of runs with an error, which may be that of the item, and with an answer
_ERROR_ENDS = frozenset((RunEnd.FAILED, RunEnd.UNEXPECTED))
_ANSWERED_ENDS = frozenset((RunEnd.COMPLETED, RunEnd.IMPOSSIBLE))


@attrs.frozen
class _Candidate:
    """An upstream with a free slot."""

    name: str
    load: float = 0


class RunHealth:
    """Ranks upstreams behind that end runs early.

    :param rng: decides which items a returning upstream gets.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start without failures."""
        self._ejector = Ejector(rng)

    def record_end(self, upstream_id: str, end: RunEnd) -> None:
        """Record how a run ended; preempted and rejected ones do not count."""
        if end is RunEnd.CUT:
            self._ejector.record_failure(upstream_id)
        elif end in _ERROR_ENDS:
            self._ejector.record_error(upstream_id)
        elif end in _ANSWERED_ENDS:
            self._ejector.record_success(upstream_id)

    def without_failing(self, free: dict[str, int]) -> dict[str, int]:
        """Return the upstreams that do not fail, if they have free slots.

        Otherwise all are returned, so that no item waits beside free slots.

        :param free: free slots by upstream.
        """
        eligible = {
            one.name
            for one in self._ejector.eligible(
                [_Candidate(name) for name, count in free.items() if count]
            )
        }
        return {name: free[name] for name in free if name in eligible} or free
