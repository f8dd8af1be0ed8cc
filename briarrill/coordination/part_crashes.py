"""briarrill.coordination.part_crashes: hold back prompt parts.

A part under which several upstreams ended is quarantined once all processes
could tell of answers to it. Until then it is suspected: it runs at one
upstream at a time, not beside another suspect, and then at none.
"""

import collections
import math
from collections.abc import Callable, Collection, Mapping, Set

from ..protocol.load_reports import short_hash
from .crash_records import SETTLING_S, Answers, CrashRecord, QuarantineSpan
from .part_blame import (
    MIN_CRASHES_OF_FIRST_PART,
    PartBlame,
    blame_parts,
    parts_explained_better,
)
from .request_blame import MIN_CRASHES
from .request_crashes import DECISION_RETRY_S, Hold, RequestCrashes

__all__ = ('PartCrashes',)

_Ends = Mapping[int, Set[int]]
_EndsAndFirstParts = tuple[_Ends, Set[int]]


class PartCrashes:
    """Decides which parts of prompts may not be sent to upstreams.

    A part is named by the hash of its identifier.

    :param clock: monotonic clock.
    :param crashes: known crashes by the hash of the upstream's incarnation.
    :param quarantined: what is quarantined by now, requests and parts.
    :param answers: answers to prompts with each part.
    :param requests: decides on whole requests, and knows what is in flight.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        crashes: Mapping[int, CrashRecord],
        quarantined: Mapping[int, QuarantineSpan],
        answers: Answers,
        requests: RequestCrashes,
    ) -> None:
        """Start without suspects."""
        self._clock = clock
        self._crashes = crashes
        self._quarantined = quarantined
        self._answers = answers
        self._requests = requests
        self._known_blame: PartBlame | None = None

    @property
    def suspects(self) -> frozenset[int]:
        """Return the suspected parts."""
        return self._blame.suspects

    @property
    def may_hold(self) -> bool:
        """Whether any part is quarantined or suspected."""
        return bool(self._quarantined or self.suspects)

    def recount(self) -> None:
        """Work the suspects out again when they are asked for."""
        self._known_blame = None

    def expect_answer(self, cause: int) -> None:
        """Work them out again if an answer to a part or request matters."""
        for crash in self._crashes.values():
            if crash.accuses(cause, self._answers, self._requests.answers):
                self.recount()

    def hold(self, prompt_parts: Collection[str]) -> Hold | None:
        """Return why a prompt may not be sent now, none if it may."""
        if not (prompt_parts and self.may_hold):
            return None
        now = self._clock()
        parts = set(map(short_hash, prompt_parts))
        spans = map(self._quarantined.get, parts)
        until = max((span.until for span in spans if span), default=now)
        if until > now:
            return Hold(
                until - now,
                'several upstreams ended while they ran a part of the prompt',
            )
        held = parts & self._blame.held
        if held:
            return Hold(
                max(map(self._settles_in_s, held)) + DECISION_RETRY_S,
                'upstreams have just ended while they ran a part of the'
                ' prompt',
            )
        if any(map(self._requests.runs.is_in_flight, parts & self.suspects)):
            return Hold(
                DECISION_RETRY_S,
                'upstreams ended while they ran a part of the prompt, and it'
                ' is in flight already',
            )
        return None

    def awaits_decision(self, prompt_parts: Collection[str]) -> bool:
        """Tell whether a part is held back until it is decided on."""
        return not self._blame.held.isdisjoint(map(short_hash, prompt_parts))

    def is_suspect(self, prompt_parts: Collection[str]) -> bool:
        """Tell whether several upstreams have ended under one of the parts."""
        return bool(self._suspects_among(prompt_parts))

    def may_run_at(
        self, prompt_parts: Collection[str], incarnation: str
    ) -> bool:
        """Tell whether a prompt may be sent to an upstream.

        A suspected one may not run beside another suspect.
        """
        upstream = short_hash(incarnation)
        return not any(
            upstream in self._requests.runs.upstreams_of_others(part)
            for part in self._suspects_among(prompt_parts)
        )

    def worst(self, now: float) -> list[int]:
        """Return the parts in flight at most of the unexplained crashes.

        None if they are too few. A first part is at fault only if no other
        part is. A part is spared if the crashes that do not count yet tell
        that another one was at all of its crashes and at more.
        """
        ends, first_parts = self._unexplained(now)
        worst = _with_most_ends(_without(ends, first_parts), MIN_CRASHES)
        if worst:
            known, first_parts = self._unexplained(math.inf)
            return sorted(
                worst - parts_explained_better(_without(known, first_parts))
            )
        firsts = {part: ends[part] for part in first_parts & ends.keys()}
        return sorted(_with_most_ends(firsts, MIN_CRASHES_OF_FIRST_PART))

    @property
    def _blame(self) -> PartBlame:
        if self._known_blame is None:
            self._known_blame = blame_parts(*self._unexplained(math.inf))
        return self._known_blame

    def _suspects_among(self, prompt_parts: Collection[str]) -> Set[int]:
        """Return the suspects among the parts of a prompt."""
        if not (prompt_parts and self.suspects):
            return frozenset()
        return self.suspects & set(map(short_hash, prompt_parts))

    def _settles_in_s(self, part: int) -> float:
        """Return the time until all crashes with a part count."""
        newest_at = max(
            crash.parts[part]
            for crash in self._crashes.values()
            if part in crash.parts
        )
        return max(newest_at + SETTLING_S - self._clock(), 0)

    def _unexplained(self, now: float) -> _EndsAndFirstParts:
        """Return the unexplained crashes of each part, and the first parts.

        Crashes under one request count once, as it may be at fault itself.

        :param now: time until which crashes have counted.
        """
        ends: dict[int, set[int]] = collections.defaultdict(set)
        first_parts: set[int] = set()
        repeated = self._requests.repeated()
        for incarnation, crash in self._crashes.items():
            is_explained = not self._quarantined.keys().isdisjoint(crash.parts)
            if is_explained or crash.refuted_at is not None:
                continue
            first_parts |= crash.first_parts
            cause = max(repeated & crash.requests.keys(), default=incarnation)
            for part in crash.suspects(now, self._answers):
                ends[part].add(cause)
        return ends, first_parts


def _without(ends: _Ends, first_parts: Set[int]) -> _Ends:
    """Return the ends of the other parts."""
    return {part: ends[part] for part in ends.keys() - first_parts}


def _with_most_ends(ends: _Ends, min_count: int) -> set[int]:
    """Return the parts with the most ends, none if these are too few."""
    most = max(map(len, ends.values()), default=0)
    if most < min_count:
        return set()
    return {part for part, under in ends.items() if len(under) == most}
