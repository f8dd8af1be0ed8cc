"""briarrill.coordination.even_load.lent_places: the lender's counts.

Load pattern: several processes choose an upstream in the time that a load
report takes to reach the others. One process, the lender, chooses for all of
them: it counts each request from the moment at which it names an upstream, and
until a message says that the request has ended. Load reports correct its
counts: what a process reports replaces what was counted for it before.
"""

import collections
import time
from collections.abc import Callable

import attrs

from ...protocol.place_questions import PlaceQuestion, PlaceReply
from ..placement import UpstreamCandidate, best_candidate

__all__ = ('LentPlaces',)

# time that a report is under way; a change which is younger when the report
# arrives is not part of it
REPORT_TRANSIT_S = 0.01

# time after which a change counts no longer, though no report came
CHANGE_VALIDITY_S = 0.5

CountRequests = Callable[[str], int]


@attrs.frozen
class _Change:
    """A request that began or ended at an upstream since the last report.

    :param host: of the process that sent it.
    :param delta: 1 if it began, -1 if it ended.
    :param changed_at: monotonic time.
    """

    host: str
    upstream_id: str
    delta: int
    changed_at: float


@attrs.define
class LentPlaces:
    """Chooses upstreams for the requests of all processes.

    :param online: returns the reported online requests at an upstream.
    :param batch: returns the reported batch items at an upstream.
    :param clock: monotonic clock.
    """

    online: CountRequests
    batch: CountRequests
    clock: Callable[[], float] = time.monotonic
    _changes: list[_Change] = attrs.field(factory=list, init=False)
    _deltas: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )

    def lend(self, question: PlaceQuestion, host: str) -> PlaceReply:
        """Choose an upstream for a request, and count it there.

        :param host: of the process that asks.
        """
        self._discard(lambda change: False)
        columns = zip(
            question.upstream_ids,
            question.slots,
            question.speeds,
            question.saved_shares,
            strict=True,
        )
        candidates = [
            UpstreamCandidate(
                name,
                slots,
                self.count_online(name),
                self.batch(name),
                is_local=position < question.local_count,
                speed=speed,
                saved_share=saved_share,
            )
            for position, (name, slots, speed, saved_share) in enumerate(
                columns
            )
        ]
        chosen = best_candidate(candidates)
        self._add(host, chosen.name, 1)
        return PlaceReply(
            question.number, chosen.name, chosen.online, chosen.batch
        )

    def record_end(self, upstream_id: str, host: str) -> None:
        """Count a request as ended, or as never sent."""
        self._add(host, upstream_id, -1)

    def record_report(self, host: str) -> None:
        """Discard the changes that a process's report contains."""
        reported_at = self.clock() - REPORT_TRANSIT_S
        self._discard(
            lambda change: (
                change.host == host and change.changed_at <= reported_at
            )
        )

    def count_online(self, upstream_id: str) -> int:
        """Return the online requests of all processes at an upstream."""
        return max(0, self.online(upstream_id) + self._deltas[upstream_id])

    def _add(self, host: str, upstream_id: str, delta: int) -> None:
        self._changes.append(_Change(host, upstream_id, delta, self.clock()))
        self._deltas[upstream_id] += delta

    def _discard(self, is_obsolete: Callable[[_Change], bool]) -> None:
        """Discard obsolete changes and those that are too old."""
        oldest = self.clock() - CHANGE_VALIDITY_S
        kept = [
            change
            for change in self._changes
            if change.changed_at > oldest and not is_obsolete(change)
        ]
        if len(kept) == len(self._changes):
            return
        self._changes = kept
        self._deltas = collections.Counter()
        for change in kept:
            self._deltas[change.upstream_id] += change.delta
