"""briarrill.coordination.quarantine_trials: try quarantined parts with items.

A sound part is quarantined if several upstreams end by themselves before any
answer to it is known, as after a loss of power. Requests with it are refused,
so that no answer comes which would tell. Items are still owed, and never end
upstreams by themselves, so one of them is tried at a time until an answer ends
the quarantine for all.
"""

import contextlib
import time
from collections.abc import Callable, Collection, Iterator

import attrs

from ..errors import UpstreamLostError
from .crash_records import remove_oldest
from .prompt_crashes import MAX_QUARANTINED, PromptQuarantine

__all__ = ('QuarantineTrials',)

# time from the beginning of a quarantine until its first trial, in which the
# crashes that led to it are known everywhere
TRIAL_DELAY_S = 1.0

# time from a trial that was lost until the next one, in which upstreams that
# end take other requests along
TRIAL_PAUSE_S = 2.0

# time after which the process that ranks next for a part tries it too: those
# before it may have no upstream with room for any item with the part, and an
# item with two parts needs one process that may try both
NEXT_RANK_DELAY_S = 2.0


def _rank_first(part: int) -> int:
    return 0


@attrs.define
class _PartTrials:
    """Trials of a part in one quarantine.

    :param since: beginning of the quarantine.
    :param item_id: item that is tried now, empty if none is.
    :param next_at: earliest time of the next trial.
    """

    since: float
    next_at: float
    item_id: str = ''


class QuarantineTrials:
    """Chooses items that are tried though their prompts are quarantined.

    :param quarantine: tells what is quarantined, and since when.
    :param rank_for: returns how many processes come before this one for a
        part, so that at first one of them tries it; by default none.
    :param clock: monotonic clock, that of the quarantine.
    """

    def __init__(
        self,
        quarantine: PromptQuarantine,
        rank_for: Callable[[int], int] = _rank_first,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without trials."""
        self._quarantine = quarantine
        self._rank_for = rank_for
        self._clock = clock
        self._trials: dict[int, _PartTrials] = {}

    def may_run(self, prompt_parts: Collection[str], item_id: str) -> bool:
        """Tell whether an item may run though its prompt is held back.

        It may if it is the one that is tried, or if a trial is due.
        """
        if self._quarantine.parts.awaits_decision(prompt_parts):
            return False
        since = self._quarantine.quarantined_since(prompt_parts)
        return bool(since) and all(
            self._may_try(self._trials_of(part, at), part, item_id)
            for part, at in since.items()
        )

    @contextlib.contextmanager
    def running(
        self, prompt_parts: Collection[str], item_id: str
    ) -> Iterator[None]:
        """Count the run of an item as a trial of its quarantined parts.

        A lost response may mean that the item has ended its upstream.
        """
        since = self._quarantine.quarantined_since(prompt_parts)
        trials = [self._trials_of(part, at) for part, at in since.items()]
        for tried in trials:
            tried.item_id = item_id
        try:
            yield
        except UpstreamLostError:
            for tried in trials:
                tried.next_at = self._clock() + TRIAL_PAUSE_S
            raise
        finally:
            for tried in trials:
                tried.item_id = ''

    def _may_try(self, tried: _PartTrials, part: int, item_id: str) -> bool:
        if tried.item_id:
            return tried.item_id == item_id
        now = self._clock()
        if now < tried.next_at:
            return False
        waited_s = now - tried.since - TRIAL_DELAY_S
        return waited_s >= self._rank_for(part) * NEXT_RANK_DELAY_S

    def _trials_of(self, part: int, since: float) -> _PartTrials:
        """Return the trials of a part in its current quarantine."""
        known = self._trials.get(part)
        if known is None or known.since != since:
            known = _PartTrials(since, next_at=since + TRIAL_DELAY_S)
            self._trials.pop(part, None)
            self._trials[part] = known
            remove_oldest(self._trials, MAX_QUARANTINED)
        return known
