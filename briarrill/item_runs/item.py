"""briarrill.item_runs.item: what is known of an item while it is run."""

import enum

import attrs
import trio

from ..coordination.routes import Route
from ..errors import UpstreamLostError
from ..protocol.event_stream import Event, EventSplitter
from ..state.stored_jobs import ItemState, StoredItem, StoredResult

__all__ = ('ItemProgress', 'ProgressRecord', 'RunEnd', 'RunningItem')


@attrs.frozen
class ProgressRecord:
    """What another process needs to go on with an item.

    :param lines: the data of the events so far.
    :param is_whole: whether the output is complete.
    """

    last_event_id: int | None
    lines: tuple[bytes, ...]
    failures: int
    ran_s: float
    is_whole: bool = False


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
    :param is_whole: whether the output is complete.
    :param avoided: upstream of the last run that went wrong.
    """

    job_id: str
    stored: StoredItem
    failures: int = 0
    not_before: float = 0
    ran_s: float = 0
    avoided: str = ''
    is_whole: bool = False
    last_event_id: int | None = None
    _lines: list[bytes] = attrs.field(factory=list)
    _splitter: EventSplitter = attrs.field(factory=EventSplitter)

    @property
    def key(self) -> tuple[str, str]:
        """Return what names the item among those of all jobs."""
        return self.job_id, self.stored.item_id

    @property
    def has_begun(self) -> bool:
        """Whether a run has produced anything worth keeping."""
        return bool(self._lines or self.failures)

    def record(self) -> ProgressRecord:
        """Return what another process needs to go on."""
        return ProgressRecord(
            last_event_id=self.last_event_id,
            lines=tuple(self._lines),
            failures=self.failures,
            ran_s=self.ran_s,
            is_whole=self.is_whole,
        )

    def take_record(self, record: ProgressRecord) -> None:
        """Go on from where another process has stopped."""
        self.last_event_id = record.last_event_id
        self._lines = list(record.lines)
        self.failures = record.failures
        self.ran_s = record.ran_s
        self.is_whole = record.is_whole

    def begin_run(self) -> None:
        """Forget the part of an event with which the last run ended."""
        self._splitter = EventSplitter()

    def take_part(self, part: bytes) -> None:
        """Take bytes of the present run's stream.

        :raises UpstreamLostError: an event is missing.
        """
        for event in self._splitter.feed(part):
            self._take_event(event)

    def check_whole(self) -> None:
        """Check that the stream ended between two events.

        :raises UpstreamLostError: it ended inside one.
        """
        if self._splitter.has_partial:
            raise UpstreamLostError('the stream ended inside an event')

    def result(self, state: ItemState) -> StoredResult:
        """Return the final outcome."""
        output = ''
        if state is ItemState.COMPLETED:
            output = b'\n'.join(self._lines).decode('utf-8', 'replace')
        return StoredResult(self.stored.item_id, state, output)

    def _take_event(self, event: Event) -> None:
        """Take an event unless an earlier run has brought it."""
        if event.event_id is None:
            return
        if self.last_event_id is not None:
            if event.event_id <= self.last_event_id:
                return
            if event.event_id != self.last_event_id + 1:
                raise UpstreamLostError(f'a gap before {event.event_id}')
        self.last_event_id = event.event_id
        self._lines.append(event.data)


@attrs.define(eq=False)
class RunningItem:
    """An item that is at an upstream, or about to be.

    :param is_claimed: it has not started; others may have a better right.
    """

    progress: ItemProgress
    route: Route
    upstream_id: str
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    is_preempted: bool = False
    is_claimed: bool = True

    def preempt(self) -> None:
        """Tell the item to leave its upstream."""
        self.is_preempted = True
        self.scope.cancel()
