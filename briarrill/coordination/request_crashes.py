"""briarrill.coordination.request_crashes: hold back fatal requests.

A request that comes again after several upstreams ended under it is
quarantined. Until then it is suspected: it runs at one upstream at a time, and
not beside another suspected one.
"""

import collections
from collections.abc import Callable, Mapping

import attrs

from ..protocol.load_reports import short_hash
from .crash_records import SETTLING_S, Answers, CrashRecord, QuarantineSpan
from .request_blame import (
    MIN_CRASHES,
    MIN_SUSPECT_CRASHES,
    requests_at_fault,
)
from .suspect_runs import SuspectRuns

__all__ = ('DECISION_RETRY_S', 'Hold', 'RequestCrashes')

MAX_ANSWERED_REQUESTS = 4096

# time after which a request comes back whose fault is about to be decided, or
# that is in flight elsewhere
DECISION_RETRY_S = 0.2


@attrs.frozen
class Hold:
    """Why a request is not sent to an upstream now.

    :param seconds: time until it may be sent.
    :param reason: what the caller is told.
    """

    seconds: float
    reason: str


class RequestCrashes:
    """Decides which requests may not be sent to upstreams.

    A request is named by its key.

    :param clock: monotonic clock.
    :param crashes: known crashes by the hash of the upstream's incarnation.
    :param quarantined: what is quarantined by now, requests and parts.
    :param runs: where suspected requests are in flight.
    :ivar answers: answers to requests.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        crashes: Mapping[int, CrashRecord],
        quarantined: Mapping[int, QuarantineSpan],
        runs: SuspectRuns,
    ) -> None:
        """Start without answers."""
        self.answers = Answers(MAX_ANSWERED_REQUESTS)
        self.runs = runs
        self._clock = clock
        self._crashes = crashes
        self._quarantined = quarantined

    def is_suspect(self, request: int) -> bool:
        """Tell whether several upstreams have ended under a request."""
        return len(self._under(request)) >= MIN_SUSPECT_CRASHES

    def suspects(self) -> set[int]:
        """Return all requests under which several upstreams have ended."""
        return self._involved_in(MIN_SUSPECT_CRASHES)

    def hold(self, request: int) -> Hold | None:
        """Return why a request may not be sent now, none if it may."""
        if not (self._crashes or self._quarantined):
            return None
        now = self._clock()
        span = self._quarantined.get(request)
        if span is not None and span.until > now:
            return Hold(
                span.until - now,
                'several upstreams ended while they ran this request',
            )
        under = self._under(request)
        if len(under) >= MIN_CRASHES:
            settles_in_s = SETTLING_S - min(
                now - crash.known_at for crash in under
            )
            is_undecided = settles_in_s > 0
            if is_undecided or request in requests_at_fault(
                self._unexplained()
            ):
                return Hold(
                    max(settles_in_s, 0) + DECISION_RETRY_S,
                    'upstreams have just ended while they ran this request',
                )
        is_suspect = len(under) >= MIN_SUSPECT_CRASHES
        if is_suspect and self.runs.is_in_flight(request):
            return Hold(
                DECISION_RETRY_S,
                'upstreams ended while they ran this request,'
                ' and it is in flight already',
            )
        return None

    def may_run_at(self, request: int, incarnation: str) -> bool:
        """Tell whether a request may be sent to an upstream.

        A suspected one may not run beside another suspected one.
        """
        if not (self._crashes and self.is_suspect(request)):
            return True
        occupied = self.runs.upstreams_of_others(request)
        return short_hash(incarnation) not in occupied

    def at_fault(self, now: float) -> list[int]:
        """Return the requests to quarantine.

        A crash counts when all observers have had the time to tell of it.
        """
        return requests_at_fault(
            {
                incarnation: requests
                for incarnation, requests in self._unexplained().items()
                if now - self._crashes[incarnation].known_at >= SETTLING_S
            }
        )

    def repeated(self) -> set[int]:
        """Return the requests under which enough upstreams ended."""
        return self._involved_in(MIN_CRASHES)

    def _involved_in(self, min_crashes: int) -> set[int]:
        """Return the requests in flight at so many crashes."""
        counts: collections.Counter[int] = collections.Counter()
        for crash in self._crashes.values():
            if crash.refuted_at is None:
                counts.update(crash.suspected_requests(self.answers))
        return {
            request
            for request, count in counts.items()
            if count >= min_crashes
        }

    def _under(self, request: int) -> list[CrashRecord]:
        """Return the crashes that count against a request.

        Those under another one that is quarantined do not.
        """
        others = self._quarantined.keys() - {request}
        return [
            crash
            for crash in self._crashes.values()
            if request in crash.requests
            and crash.refuted_at is None
            and not self.answers.clear(request, crash.requests[request])
            and others.isdisjoint(crash.requests)
        ]

    def _unexplained(self) -> dict[int, set[int]]:
        """Return the suspected requests of each unexplained crash."""
        return {
            incarnation: crash.suspected_requests(self.answers)
            for incarnation, crash in self._crashes.items()
            if crash.refuted_at is None
            and self._quarantined.keys().isdisjoint(crash.requests)
        }
