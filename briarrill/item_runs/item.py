"""briarrill.item_runs.item: what is known of an item while it is run."""

import enum

import attrs

from ..protocol.event_stream import Event
from ..state.stored_jobs import ItemState, StoredItem, StoredResult

__all__ = ('ItemProgress', 'RunEnd')


class RunEnd(enum.Enum):
    """How a run of an item ended."""

    COMPLETED = enum.auto()
    IMPOSSIBLE = enum.auto()
    FAILED = enum.auto()
    REFUSED = enum.auto()
    CUT = enum.auto()
    PREEMPTED = enum.auto()


@attrs.define(eq=False)
class ItemProgress:
    """An item and what its runs so far have produced.

    :param failures: runs that the upstream answered with an error.
    :param not_before: monotonic time before which it is not run again.
    :param ran_s: time that it has had slots.
    :param avoided: upstream of the last run that went wrong.
    """

    job_id: str
    stored: StoredItem
    failures: int = 0
    not_before: float = 0
    ran_s: float = 0
    avoided: str = ''
    last_event_id: int | None = None
    _lines: list[bytes] = attrs.field(factory=list)

    @property
    def key(self) -> tuple[str, str]:
        """Return what names the item among those of all jobs."""
        return self.job_id, self.stored.item_id

    def take_event(self, event: Event) -> bool:
        """Take the next event; return whether it was the next one."""
        if event.event_id is None:
            return True
        if self.last_event_id is not None:
            if event.event_id <= self.last_event_id:
                return True
            if event.event_id != self.last_event_id + 1:
                return False
        self.last_event_id = event.event_id
        self._lines.append(event.data)
        return True

    def result(self, state: ItemState) -> StoredResult:
        """Return the final outcome."""
        output = ''
        if state is ItemState.COMPLETED:
            output = b'\n'.join(self._lines).decode('utf-8', 'replace')
        return StoredResult(self.stored.item_id, state, output)
