"""briarrill.coordination.prompt_crashes: find prompt parts that end upstreams.

A prompt can crash every upstream that runs it. Requests that share the part
at fault are told from the others that were in flight by two rules: the part
was in flight at several upstreams that ended, and no upstream has answered a
request with it. Such a part is quarantined. Processes exchange crashes,
answers and quarantined parts as news.
"""

import collections
import itertools
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from ..protocol.load_reports import short_hash
from ..protocol.prompt_news import PromptNews, UpstreamCrash

__all__ = ('QUARANTINE_S', 'PromptQuarantine', 'QuarantinedPart')

# upstreams that must have ended with a part in flight; more for the first part
# of prompts, which most requests of a route share
MIN_CRASHES = 3
MIN_CRASHES_OF_FIRST_PART = 5

# time for which a part stays quarantined after the last crash with it, and
# for which a crash counts
QUARANTINE_S = 600.0

# time after an answer in which crashes do not count against its parts: many
# upstreams can end within the duration of one answer
ANSWER_VALIDITY_S = 60.0

# time from the first news of a crash until it counts, in which peers report
# answers and responses: three intervals between their reports
SETTLING_S = 1.3

# a response read sooner after a crash may have been received before it
MIN_ALIVE_DELAY_S = 0.1

# time for which a crash is part of the news; some messages are lost
REPORT_S = 10.0

# time for which the repeated news of a crash that did not happen are ignored
REFUTATION_S = 15.0

# a peer's quarantine replaces one that ends sooner by more than this, since
# each transfer makes it seem a little longer
MIN_EXTENSION_S = 5.0

# limits on what is remembered; the oldest entries are removed first
MAX_CRASHES = 64
MAX_PARTS_PER_CRASH = 32
MAX_ANSWERED_PARTS = 4096
MAX_QUARANTINED_PARTS = 64

# crashes in the news, the newest ones, which bounds their size
MAX_REPORTED_CRASHES = 16


@attrs.frozen
class QuarantinedPart:
    """A part that was just quarantined, with the evidence.

    :param part: hash of the part's identifier.
    :param incarnations: hashes of the upstreams that ended with it; few or
        none if a peer decided.
    """

    part: int
    incarnations: tuple[int, ...]


@attrs.define
class _Answers:
    """Time of the last answer to a prompt with each part."""

    _answered_at: dict[int, float] = attrs.field(factory=dict)

    def add(self, part: int, answered_at: float) -> None:
        """Add an answer; the parts answered longest ago are forgotten."""
        last_at = self._answered_at.pop(part, answered_at)
        self._answered_at[part] = max(last_at, answered_at)
        _remove_oldest(self._answered_at, MAX_ANSWERED_PARTS)

    def clear(self, part: int, crashed_at: float) -> bool:
        """Tell whether a crash does not count against a part."""
        answered_at = self._answered_at.get(part)
        if answered_at is None:
            return False
        return answered_at > crashed_at - ANSWER_VALIDITY_S

    def ages_s(
        self, suspected_at: Mapping[int, float], now: float
    ) -> dict[int, int]:
        """Return the age of the answers that clear suspected parts."""
        return {
            part: int(now - self._answered_at[part])
            for part, since in suspected_at.items()
            if self.clear(part, since)
        }


@attrs.define
class _Crash:
    """An upstream that ended, as known from all observers.

    :param known_at: time of the first news.
    :param parts: time of the first news of each part in flight.
    :param first_parts: those that were the first of their prompt.
    :param is_own: whether this process observed it.
    :param refuted_at: time at which the upstream was found to be alive.
    """

    known_at: float
    parts: dict[int, float] = attrs.field(factory=dict)
    first_parts: set[int] = attrs.field(factory=set)
    is_own: bool = False
    refuted_at: float | None = None

    def add(self, crash: UpstreamCrash, now: float) -> None:
        """Add the parts that an observer had in flight."""
        for part in (*crash.other_parts, *crash.first_parts):
            if len(self.parts) < MAX_PARTS_PER_CRASH:
                self.parts.setdefault(part, now)
        self.first_parts.update(self.parts.keys() & crash.first_parts)

    def suspects(self, now: float, answers: _Answers) -> list[int]:
        """Return the parts against which the crash counts."""
        return [
            part
            for part, known_at in self.parts.items()
            if now - known_at >= SETTLING_S
            and not answers.clear(part, known_at)
        ]

    def refute(self, now: float) -> None:
        """Have the crash count no longer."""
        if self.refuted_at is None:
            self.refuted_at = now


@attrs.define
class _Quarantine:
    """Time span of a part's quarantine.

    :param evidence: hashes of the upstreams that ended with the part, as far
        as this process knows.
    """

    since: float
    until: float
    evidence: set[int] = attrs.field(factory=set)

    def is_refuted(self, crashes: Mapping[int, _Crash]) -> bool:
        """Remove refuted crashes from the evidence; tell if too few remain."""
        refuted = {
            incarnation
            for incarnation in self.evidence & crashes.keys()
            if crashes[incarnation].refuted_at is not None
        }
        self.evidence -= refuted
        return bool(refuted) and len(self.evidence) < MIN_CRASHES


class PromptQuarantine:
    """Decides which prompt parts may not be sent to upstreams.

    :param clock: monotonic clock.
    :param report_s: time for which a crash is part of the news.
    """

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        report_s: float = REPORT_S,
    ) -> None:
        """Start without crashes, answers and quarantined parts."""
        self._clock = clock
        self._report_s = report_s
        self._crashes: dict[int, _Crash] = {}
        self._answers = _Answers()
        self._quarantined: dict[int, _Quarantine] = {}
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
        """Return the number of quarantined parts."""
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

    def has_crashed(self, incarnation: str) -> bool:
        """Tell whether an upstream is known to have ended."""
        crash = self._crashes.get(short_hash(incarnation))
        return crash is not None and crash.refuted_at is None

    def is_cleared(self, prompt_parts: Iterable[str]) -> bool:
        """Tell whether a crash now would count against none of the parts."""
        now = self._clock()
        return all(
            self._answers.clear(short_hash(part), now) for part in prompt_parts
        )

    def record_answer(self, prompt_parts: Iterable[str]) -> None:
        """Record that an upstream answered a prompt as a whole."""
        now = self._clock()
        for part in prompt_parts:
            self._add_answer(short_hash(part), now)

    def record_crash(self, crash: UpstreamCrash) -> None:
        """Record an upstream that ended, as this process observed it."""
        known = self._add_crash(crash)
        known.is_own = True

    def record_response(self, incarnation: str) -> None:
        """Record that an upstream sends responses, so it has not ended."""
        if not self._crashes:
            return
        crash = self._crashes.get(short_hash(incarnation))
        now = self._clock()
        if crash is not None and now - crash.known_at > MIN_ALIVE_DELAY_S:
            crash.refute(now)

    def update(self) -> list[QuarantinedPart]:
        """Forget what is old; quarantine the parts at fault.

        :return: the parts that were quarantined since the last update, also
            by the decision of a peer.
        """
        now = self._clock()
        self._forget_old(now)
        self._withdraw_refuted(now)
        while parts := self._worst_parts(now):
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
            answered=self._answers.ages_s(suspected_at, now),
            quarantined={
                part: int(span.until - now)
                for part, span in self._quarantined.items()
            },
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
        for part, age_s in news.answered.items():
            self._add_answer(part, now - age_s)
        self._apply_quarantined(news.quarantined, now)

    def _apply_quarantined(
        self, seconds_left: Mapping[int, int], now: float
    ) -> None:
        """Adopt a peer's quarantine of parts without a recent answer."""
        for part in seconds_left.keys() - self._withdrawn.keys():
            until = now + min(seconds_left[part], QUARANTINE_S)
            span = self._quarantined.get(part, _Quarantine(now, now))
            if self._answers.clear(part, now):
                self._contested[part] = now
            elif until - span.until > MIN_EXTENSION_S:
                self._add_quarantine(part, now, until)

    def _add_crash(self, crash: UpstreamCrash) -> _Crash:
        """Return the stored crash of an upstream with new parts added.

        News of a refuted crash change nothing.
        """
        now = self._clock()
        known = self._crashes.setdefault(crash.incarnation, _Crash(now))
        if known.refuted_at is None:
            known.add(crash, now)
            for part in self._quarantined.keys() & known.parts.keys():
                span = self._quarantined[part]
                span.until = max(span.until, known.known_at + QUARANTINE_S)
                span.evidence.add(crash.incarnation)
        _remove_oldest(self._crashes, MAX_CRASHES)
        return known

    def _add_answer(self, part: int, answered_at: float) -> None:
        """Record an answer as the newest one; end a quarantine it refutes."""
        self._answers.add(part, answered_at)
        span = self._quarantined.get(part)
        if span and answered_at > span.since - ANSWER_VALIDITY_S:
            self._quarantined.pop(part)

    def _add_quarantine(self, part: int, now: float, until: float) -> None:
        """Quarantine a part, or extend its quarantine."""
        is_new = part not in self._quarantined
        span = self._quarantined.setdefault(part, _Quarantine(now, until))
        span.until = max(span.until, until)
        span.evidence |= _crashed_with(part, self._crashes)
        if is_new:
            self._added.append(QuarantinedPart(part, tuple(span.evidence)))
        _remove_oldest(self._quarantined, MAX_QUARANTINED_PARTS)

    def _withdraw_refuted(self, now: float) -> None:
        """End the quarantine of parts whose crashes did not happen."""
        for part, span in list(self._quarantined.items()):
            if span.is_refuted(self._crashes):
                self._quarantined.pop(part)
                self._withdrawn[part] = now

    def _worst_parts(self, now: float) -> list[int]:
        """Return the parts in flight at most of the unexplained crashes.

        None if they are too few. A first part is at fault only if no other
        part is.
        """
        counts: collections.Counter[int] = collections.Counter()
        first_parts: set[int] = set()
        for crash in self._crashes.values():
            is_explained = not self._quarantined.keys().isdisjoint(crash.parts)
            if is_explained or crash.refuted_at is not None:
                continue
            first_parts |= crash.first_parts
            counts.update(crash.suspects(now, self._answers))
        first_counts = collections.Counter(
            {part: counts.pop(part) for part in first_parts & counts.keys()}
        )
        return _most_frequent(counts, MIN_CRASHES) or _most_frequent(
            first_counts, MIN_CRASHES_OF_FIRST_PART
        )

    def _forget_old(self, now: float) -> None:
        """Remove old crashes, answers and ended quarantines."""
        for incarnation, crash in list(self._crashes.items()):
            is_over = now - crash.known_at > QUARANTINE_S
            if crash.refuted_at is not None:
                is_over = now - crash.refuted_at > REFUTATION_S
            if is_over:
                self._crashes.pop(incarnation)
        for part, span in list(self._quarantined.items()):
            if span.until <= now:
                self._quarantined.pop(part)
        _remove_before(self._contested, now - REPORT_S)
        _remove_before(self._withdrawn, now - QUARANTINE_S)


def _crashed_with(part: int, crashes: Mapping[int, _Crash]) -> set[int]:
    """Return the upstreams that ended with a part in flight."""
    return {
        incarnation
        for incarnation, crash in crashes.items()
        if part in crash.parts and crash.refuted_at is None
    }


def _encode_crash(incarnation: int, crash: _Crash) -> UpstreamCrash:
    """Return a crash as it is reported to peers."""
    others = crash.parts.keys() - crash.first_parts
    first_parts = crash.parts.keys() & crash.first_parts
    return UpstreamCrash(incarnation, tuple(first_parts), tuple(others))


def _most_frequent(
    counts: collections.Counter[int], min_count: int
) -> list[int]:
    """Return the parts with the highest count, none if it is too low."""
    highest = max(counts.values(), default=0)
    if highest < min_count:
        return []
    return [part for part, count in counts.items() if count == highest]


def _remove_before(times: dict[int, float], oldest: float) -> None:
    for part, added_at in list(times.items()):
        if added_at < oldest:
            times.pop(part)


def _remove_oldest(entries: dict[int, Any], max_count: int) -> None:
    while len(entries) > max_count:
        entries.pop(next(iter(entries)))
