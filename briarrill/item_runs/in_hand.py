"""briarrill.item_runs.in_hand: the items that this process has.

Other processes leave them alone, ask for those that wait here, and go on
with them if this process is lost.
"""

import attrs

from ..protocol.load_reports import LoadReport, short_mark
from .commits import Committer
from .item import ItemProgress, RunningItem

__all__ = ('ItemsInHand',)

_Key = tuple[str, str]


@attrs.define
class ItemsInHand:
    """Items that run, wait between two runs, or have just ended.

    :param committer: writes the results of those that have ended.
    :param held: items between two runs.
    """

    committer: Committer
    held: dict[_Key, ItemProgress]
    running: dict[_Key, RunningItem] = attrs.field(factory=dict, init=False)

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs and all results are written."""
        return not self.running and self.committer.is_idle

    @property
    def marks(self) -> tuple[int, ...]:
        """Return the marks of items that run here or have just ended."""
        running = [item_id for _, item_id in self.running]
        return _marks_of([*running, *self.committer.recent_items])

    @property
    def held_marks(self) -> tuple[int, ...]:
        """Return the marks of items whose last run was broken off here."""
        return _marks_of(
            [key[1] for key, one in self.held.items() if one.has_begun]
        )

    @property
    def claimed_marks(self) -> tuple[int, ...]:
        """Return the marks of items that are about to start here."""
        return _marks_of(
            [key[1] for key, one in self.running.items() if one.is_claimed]
        )

    @property
    def uncommitted(self) -> list[ItemProgress]:
        """Return the items that have no result written yet."""
        return [
            *(one.progress for one in self.running.values()),
            *self.held.values(),
            *self.committer.ended,
        ]

    def describe(self, report: LoadReport) -> LoadReport:
        """Add to a report what this process has."""
        return attrs.evolve(
            report,
            items=self.marks,
            claims=self.claimed_marks,
            held=self.held_marks,
        )


def _marks_of(item_ids: list[str]) -> tuple[int, ...]:
    return tuple(map(short_mark, item_ids))
