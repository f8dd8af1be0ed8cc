"""briarrill.coordination.suspect_runs: know where suspected requests run.

What is said of a request holds for a part of prompts as well: it is in flight
where a request with it is.
"""

import collections
import contextlib
from collections.abc import Callable, Iterable, Iterator

import attrs

__all__ = ('SuspectRuns',)

# validity of a peer's word that a request is in flight; it is repeated in
# each report, and reports come at least every 0.45 s
PEER_WORD_VALIDITY_S = 1.0

# requests in flight of which a peer is told
MAX_REPORTED_RUNS = 32

_Run = tuple[int, int]


@attrs.define
class SuspectRuns:
    """Requests in flight here, and suspected ones in flight at peers.

    A run is the hash of an upstream's incarnation and a request's key, or the
    hash of a prompt part.

    :param clock: monotonic clock.
    :param suspects: returns the requests that may end their upstreams.
    """

    _clock: Callable[[], float]
    _suspects: Callable[[], set[int]]
    _own: collections.Counter[_Run] = attrs.field(
        factory=collections.Counter, init=False
    )
    _told_at: dict[_Run, float] = attrs.field(factory=dict, init=False)

    @property
    def own_suspects(self) -> tuple[_Run, ...]:
        """Return the suspected requests in flight here, for peers."""
        suspects = self._suspects()
        suspected = [run for run in self._own if run[1] in suspects]
        return tuple(suspected[:MAX_REPORTED_RUNS])

    @contextlib.contextmanager
    def counted(self, incarnation: int, request: int) -> Iterator[None]:
        """Count a request as in flight at an upstream."""
        run = (incarnation, request)
        self._own[run] += 1
        try:
            yield
        finally:
            self._own[run] -= 1
            if not self._own[run]:
                self._own.pop(run)

    def record_peer_runs(self, runs: Iterable[_Run]) -> None:
        """Record the suspected requests that a peer has in flight."""
        now = self._clock()
        self._told_at = {
            run: told_at
            for run, told_at in self._told_at.items()
            if now - told_at < PEER_WORD_VALIDITY_S
        }
        self._told_at.update(dict.fromkeys(runs, now))

    def is_in_flight(self, request: int) -> bool:
        """Tell whether a suspected request is in flight anywhere."""
        return any(request == other for _, other in self._known())

    def upstreams_of_others(self, request: int) -> set[int]:
        """Return the upstreams with another suspected request in flight."""
        others = self._suspects() - {request}
        return {
            incarnation
            for incarnation, other in self._known()
            if other in others
        }

    def _known(self) -> Iterator[_Run]:
        """Yield the runs here, and those at peers that were told of late."""
        yield from self._own
        oldest = self._clock() - PEER_WORD_VALIDITY_S
        for run, told_at in self._told_at.items():
            if told_at > oldest:
                yield run
