"""briarrill.coordination.prompt_crashes: find prompts that end upstreams.

A prompt can crash every upstream that runs it. Requests that share the part
at fault are told from the others that were in flight by two rules: the part
was in flight at several upstreams that ended, and no upstream has answered a
request with it. Such a part is quarantined. So is a whole request that comes
again after several upstreams ended under it. Until the decision, suspected
parts run at one upstream at a time and then at none. Processes exchange
crashes, answers and quarantined parts and requests as news.
"""

import itertools
import time
from collections.abc import Callable, Collection, Iterable, Mapping

import attrs

from ..errors import PromptQuarantinedError, RequestQuarantinedError
from ..protocol.load_reports import short_hash
from ..protocol.prompt_news import PromptNews, UpstreamCrash
from ..protocol.request_keys import is_request_key
from .crash_records import (
    ANSWER_VALIDITY_S,
    Answers,
    CrashRecord,
    QuarantineSpan,
    remove_oldest,
)
from .part_crashes import PartCrashes
from .request_crashes import RequestCrashes
from .suspect_runs import SuspectRuns

__all__ = (
    'MAX_QUARANTINED',
    'QUARANTINE_S',
    'PromptQuarantine',
    'QuarantinedPart',
    'check_quarantine',
    'may_run_at',
)

# time for which a part stays quarantined after the last crash with it, and
# for which a crash counts
QUARANTINE_S = 600.0

# a response read sooner after a crash may have been received before it
MIN_ALIVE_DELAY_S = 0.1

# time from a crash until it is known: the check of the upstream and the pause
# between two reports, both with a margin
MAX_NEWS_DELAY_S = 1.0

# time for which a crash is part of the news; some messages are lost
REPORT_S = 10.0

# time for which the repeated news of a crash that did not happen are ignored
REFUTATION_S = 15.0

# a peer's quarantine replaces one that ends sooner by more than this, since
# each transfer makes it seem a little longer
MIN_EXTENSION_S = 5.0

# limits on what is remembered; the oldest entries are removed first
MAX_CRASHES = 64
MAX_ANSWERED_PARTS = 4096
MAX_QUARANTINED = 128

# crashes in the news, the newest ones, which bounds their size
MAX_REPORTED_CRASHES = 16


@attrs.frozen
class QuarantinedPart:
    """A part or request that was just quarantined, with the evidence.

    :param part: hash of the part's identifier, or key of the request.
    :param incarnations: hashes of the upstreams that ended with it; few or
        none if a peer decided.
    """

    part: int
    incarnations: tuple[int, ...]


class PromptQuarantine:
    """Decides which prompts and requests may not be sent to upstreams.

    :param clock: monotonic clock.
    :param report_s: time for which a crash is part of the news.
    :ivar runs: where suspected requests and parts are in flight.
    :ivar requests: decides on whole requests.
    :ivar parts: decides on parts of prompts.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        report_s: float = REPORT_S,
    ) -> None:
        """Start without crashes, answers and quarantined parts."""
        self._clock = clock
        self._report_s = report_s
        self._crashes: dict[int, CrashRecord] = {}
        self._answers = Answers(MAX_ANSWERED_PARTS)
        self._quarantined: dict[int, QuarantineSpan] = {}
        self.runs = SuspectRuns(
            clock, lambda: self.requests.suspects() | self.parts.suspects
        )
        self.requests = RequestCrashes(
            clock, self._crashes, self._quarantined, self.runs
        )
        self.parts = PartCrashes(
            clock,
            self._crashes,
            self._quarantined,
            self._answers,
            self.requests,
        )
        self._contested: dict[int, float] = {}
        self._withdrawn: dict[int, float] = {}
        self._added: list[QuarantinedPart] = []

    @property
    def is_active(self) -> bool:
        """Whether there is anything to decide or to forget."""
        return bool(
            self._crashes
            or self._quarantined
            or self._contested
            or self._withdrawn
        )

    @property
    def quarantined_count(self) -> int:
        """Return the number of quarantined parts and requests."""
        return len(self._quarantined)

    def time_left_s(self, prompt_parts: Iterable[str]) -> float:
        """Return how long a prompt with these parts is quarantined, else 0."""
        if not self._quarantined:
            return 0
        now = self._clock()
        spans = (
            self._quarantined.get(short_hash(part)) for part in prompt_parts
        )
        return max((0, *(span.until - now for span in spans if span)))

    def quarantined_since(
        self, prompt_parts: Iterable[str]
    ) -> dict[int, float]:
        """Return since when parts of a prompt are quarantined, by hash."""
        if not self._quarantined:
            return {}
        hashes = map(short_hash, prompt_parts)
        return {
            part: self._quarantined[part].since
            for part in hashes
            if part in self._quarantined
        }

    def has_crashed(self, incarnation: str) -> bool:
        """Tell whether an upstream is known to have ended."""
        crash = self._crashes.get(short_hash(incarnation))
        return crash is not None and crash.refuted_at is None

    def is_cleared(
        self, prompt_parts: Iterable[str], request: int = 0
    ) -> bool:
        """Tell whether a crash now would count against nothing of these.

        :param request: key of the request, 0 for an item.
        """
        now = self._clock()
        if request and not self.requests.answers.clear(request, now):
            return False
        return all(
            self._answers.clear(short_hash(part), now) for part in prompt_parts
        )

    def record_answer(
        self, prompt_parts: Iterable[str], request: int = 0
    ) -> None:
        """Record that an upstream answered a request as a whole.

        :param request: key of the request, 0 for an item.
        """
        now = self._clock()
        for part in prompt_parts:
            self._add_answer(short_hash(part), now)
        if request:
            self._add_answer(request, now)

    def record_crash(self, crash: UpstreamCrash) -> None:
        """Record an upstream that ended, as this process observed it."""
        known = self._add_crash(crash)
        known.is_own = True

    def record_response(self, incarnation: str, connected_at: float) -> None:
        """Record a response of an upstream, which may not have ended.

        Only an old connection tells: a newer one may lead to the process that
        was started at the same address after the end.

        :param connected_at: monotonic time at which its connection opened.
        """
        crash = self._crashes.get(short_hash(incarnation))
        if crash is None:
            return
        now = self._clock()
        is_older = connected_at < crash.known_at - MAX_NEWS_DELAY_S
        if is_older and now - crash.known_at > MIN_ALIVE_DELAY_S:
            crash.refute(now)
            self.parts.recount()

    def update(self) -> list[QuarantinedPart]:
        """Forget what is old; quarantine the parts and requests at fault.

        :return: the parts and requests that were quarantined since the last
            update, also by the decision of a peer.
        """
        now = self._clock()
        self._forget_old(now)
        self._withdraw_refuted(now)
        for request in self.requests.at_fault(now):
            self._add_quarantine(request, now, now + QUARANTINE_S)
        while parts := self.parts.worst(now):
            for part in parts:
                self._add_quarantine(part, now, now + QUARANTINE_S)
        added, self._added = self._added, []
        return added

    def news(self) -> PromptNews | None:
        """Return recent observations and all quarantined parts, if any."""
        if not self.is_active:
            return None
        now = self._clock()
        newest = itertools.islice(
            reversed(self._crashes.items()), MAX_REPORTED_CRASHES
        )
        recent = {
            incarnation: crash
            for incarnation, crash in newest
            if now - (crash.refuted_at or crash.known_at) < self._report_s
        }
        suspected_at = dict(self._contested)
        for crash in recent.values():
            suspected_at.update(crash.parts)
            suspected_at.update(crash.requests)
        return PromptNews(
            crashes=tuple(
                _encode_crash(incarnation, crash)
                for incarnation, crash in recent.items()
                if crash.is_own and crash.refuted_at is None
            ),
            alive=tuple(
                incarnation
                for incarnation, crash in recent.items()
                if crash.refuted_at is not None
            ),
            answered={
                **self._answers.ages_s(suspected_at, now),
                **self.requests.answers.ages_s(suspected_at, now),
            },
            quarantined={
                part: int(span.until - now)
                for part, span in self._quarantined.items()
            },
            suspects=self.runs.own_suspects,
        )

    def apply_news(self, news: PromptNews) -> None:
        """Apply what a peer observed and decided."""
        now = self._clock()
        for crash in news.crashes:
            self._add_crash(crash)
        for incarnation in news.alive:
            known = self._crashes.get(incarnation)
            if known is not None:
                known.refute(now)
                self.parts.recount()
        for part, age_s in news.answered.items():
            self._add_answer(part, now - age_s)
        self._apply_quarantined(news.quarantined, now)
        self.runs.record_peer_runs(news.suspects)

    def _apply_quarantined(
        self, seconds_left: Mapping[int, int], now: float
    ) -> None:
        """Adopt a peer's quarantine of what has no recent answer."""
        for part in seconds_left.keys() - self._withdrawn.keys():
            until = now + min(seconds_left[part], QUARANTINE_S)
            span = self._quarantined.get(part, QuarantineSpan(now, now))
            if self._answers_of(part).clear(part, now):
                self._contested[part] = now
            elif until - span.until > MIN_EXTENSION_S:
                self._add_quarantine(part, now, until)

    def _add_crash(self, crash: UpstreamCrash) -> CrashRecord:
        """Return the stored crash of an upstream with the news added.

        News of a refuted crash change nothing.
        """
        now = self._clock()
        known = self._crashes.setdefault(crash.incarnation, CrashRecord(now))
        if known.refuted_at is None:
            if known.add(crash, now):
                self.parts.recount()
            in_flight = known.parts.keys() | known.requests.keys()
            for part in self._quarantined.keys() & in_flight:
                span = self._quarantined[part]
                span.until = max(span.until, known.known_at + QUARANTINE_S)
                span.evidence.add(crash.incarnation)
        remove_oldest(self._crashes, MAX_CRASHES)
        return known

    def _add_answer(self, part: int, answered_at: float) -> None:
        """Record an answer as the newest one; end a quarantine it refutes."""
        self.parts.expect_answer(part)
        self._answers_of(part).add(part, answered_at)
        span = self._quarantined.get(part)
        if span and answered_at > span.since - ANSWER_VALIDITY_S:
            self._quarantined.pop(part)
            self.parts.recount()

    def _answers_of(self, part: int) -> Answers:
        """Return the answers to requests or to parts."""
        if is_request_key(part):
            return self.requests.answers
        return self._answers

    def _add_quarantine(self, part: int, now: float, until: float) -> None:
        """Quarantine a part or request, or extend its quarantine."""
        is_new = part not in self._quarantined
        span = self._quarantined.setdefault(part, QuarantineSpan(now, until))
        span.until = max(span.until, until)
        span.evidence |= _crashed_with(part, self._crashes)
        if is_new:
            self.parts.recount()
            self._added.append(QuarantinedPart(part, tuple(span.evidence)))
        remove_oldest(self._quarantined, MAX_QUARANTINED)

    def _withdraw_refuted(self, now: float) -> None:
        """End the quarantine of parts whose crashes did not happen."""
        for part, span in list(self._quarantined.items()):
            if span.is_refuted(self._crashes):
                self._quarantined.pop(part)
                self.parts.recount()
                self._withdrawn[part] = now

    def _forget_old(self, now: float) -> None:
        """Remove old crashes, answers and ended quarantines."""
        for incarnation, crash in list(self._crashes.items()):
            is_over = now - crash.known_at > QUARANTINE_S
            if crash.refuted_at is not None:
                is_over = now - crash.refuted_at > REFUTATION_S
            if is_over:
                self._crashes.pop(incarnation)
                self.parts.recount()
        for part, span in list(self._quarantined.items()):
            if span.until <= now:
                self._quarantined.pop(part)
                self.parts.recount()
        _remove_before(self._contested, now - REPORT_S)
        _remove_before(self._withdrawn, now - QUARANTINE_S)


def check_quarantine(
    quarantine: PromptQuarantine, prompt_parts: Collection[str], request: int
) -> None:
    """Check that neither a request nor a part of its prompt is held back.

    :param request: key of the request, 0 for an item.
    :raises QuarantinedError: it is.
    """
    hold = quarantine.parts.hold(prompt_parts)
    if hold is not None:
        raise PromptQuarantinedError(hold.reason, retry_after_s=hold.seconds)
    hold = quarantine.requests.hold(request)
    if hold is not None:
        raise RequestQuarantinedError(hold.reason, retry_after_s=hold.seconds)


def may_run_at(
    quarantine: PromptQuarantine,
    prompt_parts: Collection[str],
    request: int,
    incarnation: str,
) -> bool:
    """Tell whether a request may be sent to an upstream.

    A suspected one may not run beside another suspected one.

    :param request: key of the request, 0 for an item.
    """
    return quarantine.requests.may_run_at(
        request, incarnation
    ) and quarantine.parts.may_run_at(prompt_parts, incarnation)


def _crashed_with(part: int, crashes: Mapping[int, CrashRecord]) -> set[int]:
    """Return the upstreams that ended with a part or request in flight."""
    return {
        incarnation
        for incarnation, crash in crashes.items()
        if (part in crash.parts or part in crash.requests)
        and crash.refuted_at is None
    }


def _encode_crash(incarnation: int, crash: CrashRecord) -> UpstreamCrash:
    """Return a crash as it is reported to peers."""
    others = crash.parts.keys() - crash.first_parts
    first_parts = crash.parts.keys() & crash.first_parts
    return UpstreamCrash(
        incarnation, tuple(first_parts), tuple(others), tuple(crash.requests)
    )


def _remove_before(times: dict[int, float], oldest: float) -> None:
    for part, added_at in list(times.items()):
        if added_at < oldest:
            times.pop(part)
