"""briarrill.coordination.crash_records: upstreams that ended, and answers.

Both are evidence of what requests and prompts do to upstreams. Causes are
hashes of prompt parts and keys of requests.
"""

from collections.abc import Mapping
from typing import Any

import attrs

from ..protocol.prompt_news import UpstreamCrash
from .request_blame import MIN_CRASHES

__all__ = (
    'ANSWER_VALIDITY_S',
    'SETTLING_S',
    'Answers',
    'CrashRecord',
    'QuarantineSpan',
    'remove_oldest',
)

# time after an answer in which crashes do not count against its parts: many
# upstreams can end within the duration of one answer
ANSWER_VALIDITY_S = 60.0

# time from the first news of a crash until it counts, in which peers report
# answers and responses: three intervals between their reports
SETTLING_S = 1.3

# limits on what is remembered of one crash
MAX_PARTS_PER_CRASH = 32
MAX_REQUESTS_PER_CRASH = 32


@attrs.define
class Answers:
    """Time of the last answer to a prompt with each part, or request."""

    _max_count: int
    _answered_at: dict[int, float] = attrs.field(factory=dict)

    def add(self, part: int, answered_at: float) -> None:
        """Add an answer; the parts answered longest ago are forgotten."""
        last_at = self._answered_at.pop(part, answered_at)
        self._answered_at[part] = max(last_at, answered_at)
        remove_oldest(self._answered_at, self._max_count)

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
class CrashRecord:
    """An upstream that ended, as known from all observers.

    :param known_at: time of the first news.
    :param parts: time of the first news of each part in flight.
    :param first_parts: those that were the first of their prompt.
    :param requests: time of the first news of each request in flight.
    :param is_own: whether this process observed it.
    :param refuted_at: time at which the upstream was found to be alive.
    """

    known_at: float
    parts: dict[int, float] = attrs.field(factory=dict)
    first_parts: set[int] = attrs.field(factory=set)
    requests: dict[int, float] = attrs.field(factory=dict)
    is_own: bool = False
    refuted_at: float | None = None

    def add(self, crash: UpstreamCrash, now: float) -> bool:
        """Add the parts and requests that an observer had in flight.

        :return: whether any of them is new.
        """
        known_count = self._cause_count()
        for part in (*crash.other_parts, *crash.first_parts):
            if len(self.parts) < MAX_PARTS_PER_CRASH:
                self.parts.setdefault(part, now)
        self.first_parts.update(self.parts.keys() & crash.first_parts)
        for request in crash.requests:
            if len(self.requests) < MAX_REQUESTS_PER_CRASH:
                self.requests.setdefault(request, now)
        return self._cause_count() > known_count

    def accuses(
        self, cause: int, part_answers: Answers, request_answers: Answers
    ) -> bool:
        """Tell whether the crash counts against a part or request."""
        known_at = self.requests.get(cause)
        if known_at is not None:
            return not request_answers.clear(cause, known_at)
        known_at = self.parts.get(cause)
        return known_at is not None and not part_answers.clear(cause, known_at)

    def suspects(self, now: float, answers: Answers) -> list[int]:
        """Return the parts against which the crash counts."""
        return [
            part
            for part, known_at in self.parts.items()
            if now - known_at >= SETTLING_S
            and not answers.clear(part, known_at)
        ]

    def suspected_requests(self, answers: Answers) -> set[int]:
        """Return the requests against which the crash counts."""
        return {
            request
            for request, known_at in self.requests.items()
            if not answers.clear(request, known_at)
        }

    def refute(self, now: float) -> None:
        """Have the crash count no longer."""
        if self.refuted_at is None:
            self.refuted_at = now

    def _cause_count(self) -> int:
        return len(self.parts) + len(self.first_parts) + len(self.requests)


@attrs.define
class QuarantineSpan:
    """Time span of a part's quarantine.

    :param evidence: hashes of the upstreams that ended with the part, as far
        as this process knows.
    """

    since: float
    until: float
    evidence: set[int] = attrs.field(factory=set)

    def is_refuted(self, crashes: Mapping[int, CrashRecord]) -> bool:
        """Remove refuted crashes from the evidence; tell if too few remain."""
        refuted = {
            incarnation
            for incarnation in self.evidence & crashes.keys()
            if crashes[incarnation].refuted_at is not None
        }
        self.evidence -= refuted
        return bool(refuted) and len(self.evidence) < MIN_CRASHES


def remove_oldest(entries: dict[int, Any], max_count: int) -> None:
    """Remove the entries that were added first."""
    while len(entries) > max_count:
        entries.pop(next(iter(entries)))
