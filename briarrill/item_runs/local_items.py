"""briarrill.item_runs.local_items: the unfinished items of this process.

Load reports list them by a 32-bit hash of the item ID. Peers do not
start the listed items, may fetch the suspended ones, and run them all again
if this process is lost.
"""

import attrs

from ..protocol.load_reports import LoadReport, short_hash
from ..state.stored_jobs import ItemState
from .item import ItemProgress, RunningItem
from .result_commits import Committer

__all__ = ('LocalItems',)

_Key = tuple[str, str]


@attrs.define
class LocalItems:
    """Items that run, are suspended between runs, or have just finished.

    :param committer: writes the results of finished items.
    :param suspended: items between two runs.
    :ivar is_isolated: whether peers can commit results and this process
        cannot. It leaves the items that it has given up to them then.
    :ivar is_draining: whether no more items are started.
    """

    committer: Committer
    suspended: dict[_Key, ItemProgress]
    is_isolated: bool = attrs.field(default=False, init=False)
    is_draining: bool = attrs.field(default=False, init=False)
    running: dict[_Key, RunningItem] = attrs.field(factory=dict, init=False)

    @property
    def is_idle(self) -> bool:
        """Whether no item runs and no result waits to be written."""
        return not self.running and self.committer.is_idle

    @property
    def active_hashes(self) -> tuple[int, ...]:
        """Return the hashes of running items and of those just finished."""
        running = [item_id for _, item_id in self.running]
        finished = (
            self.committer.written_items
            if self.is_isolated
            else self.committer.unpropagated_items
        )
        return _hashes_of([*running, *finished])

    @property
    def suspended_hashes(self) -> tuple[int, ...]:
        """Return the hashes of suspended items that have progress."""
        return _hashes_of(
            [
                key[1]
                for key, progress in self.suspended.items()
                if progress.has_progress
            ]
        )

    @property
    def claim_hashes(self) -> tuple[int, ...]:
        """Return the hashes of items that are claimed and not started."""
        return _hashes_of(
            [
                key[1]
                for key, running_item in self.running.items()
                if running_item.is_claimed
            ]
        )

    @property
    def open_items(self) -> list[ItemProgress]:
        """Return all items without a committed result."""
        return [
            *(running_item.progress for running_item in self.running.values()),
            *self.suspended.values(),
            *self.committer.uncommitted_items,
        ]

    def queue_whole_outputs(self) -> None:
        """Queue the results of suspended items whose output is whole.

        Nothing goes on with them, so they need no slot at their version.
        """
        for progress in list(self.suspended.values()):
            if progress.is_complete:
                self.suspended.pop(progress.key)
                self.committer.add(progress, ItemState.COMPLETED)

    def ran_s_by_item(self) -> dict[_Key, float]:
        """Return the slot time of each open item at this process."""
        return {progress.key: progress.ran_s for progress in self.open_items}

    def complete_report(self, report: LoadReport) -> LoadReport:
        """Add this process's items to a load report, and whether it drains."""
        return attrs.evolve(
            report,
            is_leaving=report.is_leaving or self.is_draining,
            items=self.active_hashes,
            claims=self.claim_hashes,
            held=self.suspended_hashes,
        )


def _hashes_of(item_ids: list[str]) -> tuple[int, ...]:
    return tuple(map(short_hash, item_ids))
