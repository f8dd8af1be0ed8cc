"""briarrill.item_runs.item: state and output of an item across its runs."""

import enum
import time

import attrs
import trio

from ..coordination.routes import Route
from ..errors import UpstreamLostError
from ..protocol.event_stream import (
    EventSplitter,
    EventTracker,
    ServerSentEvent,
)
from ..protocol.stream_origins import StreamOrigin
from ..state.stored_jobs import ItemState, StoredItem, StoredResult
from .wait_reasons import Refusal

__all__ = ('ItemProgress', 'ProgressRecord', 'RunEnd', 'RunningItem')


# far above the output of an item; an upstream that sends events without end
# must not fill the memory
MAX_OUTPUT_BYTES = 8_000_000

# bytes of a run after its last new event; a resumed run may repeat events
# that an earlier one received
MAX_UNNUMBERED_BYTES = 1_048_576

# memory that an event takes besides its data
BYTES_PER_LINE = 64


@attrs.frozen
class ProgressRecord:
    """Progress of an item as it is sent to a peer or saved on disk.

    :param lines: data of the events received so far.
    :param ran_s: time for which the item has occupied slots.
    :param is_whole: whether the output is complete.
    :param version: software version of the upstreams that wrote the lines,
        None if it is not known.
    :param service: service of these upstreams.
    """

    last_event_id: int | None
    lines: tuple[bytes, ...]
    failures: int
    ran_s: float
    is_whole: bool = False
    version: str | None = None
    service: str = ''


class RunEnd(enum.Enum):
    """How a run of an item ended.

    IMPOSSIBLE: the upstream cannot ever run it. FAILED: the upstream
    responded with an error. REFUSED: it did not run, or this
    process did not acquire the item. CUT: the connection broke
    or stalled. UNEXPECTED: the upstream responded with a status that
    counts as no attempt. PREEMPTED: this process cancelled it.
    """

    COMPLETED = enum.auto()
    IMPOSSIBLE = enum.auto()
    FAILED = enum.auto()
    REFUSED = enum.auto()
    CUT = enum.auto()
    UNEXPECTED = enum.auto()
    PREEMPTED = enum.auto()


@attrs.define(eq=False)
class ItemProgress:
    """An item and the output of its runs so far.

    :param failures: runs to which the upstream responded with an error.
    :param refusals: runs that upstreams refused since the last new event.
    :param refusal: why the last run was refused, none if it was not.
    :param next_run_at: earliest time of the next run, by the monotonic
        clock.
    :param ran_s: time for which the item has occupied slots.
    :param avoided_upstream: upstream that last rejected, cut or failed a run.
    :param avoided_until: time until which the item waits for a slot of
        another one, by the monotonic clock.
    :param waits_since: time since which the output has found no upstream
        that goes on with it, none if it did not look for one.
    :param is_complete: whether the output is complete.
    :param origin: what wrote the output.
    :ivar tracker: position of the current run's stream.
    """

    job_id: str
    stored: StoredItem
    failures: int = 0
    refusals: int = 0
    refusal: Refusal | None = None
    next_run_at: float = 0
    ran_s: float = 0
    avoided_upstream: str = ''
    avoided_until: float = 0
    waits_since: float | None = None
    is_complete: bool = False
    last_event_id: int | None = None
    origin: StreamOrigin = StreamOrigin(None)
    _lines: list[bytes] = attrs.field(factory=list)
    _output_bytes: int = 0
    _unnumbered_bytes: int = 0
    _splitter: EventSplitter = attrs.field(factory=EventSplitter)
    tracker: EventTracker = attrs.field(factory=EventTracker, init=False)

    @property
    def key(self) -> tuple[str, str]:
        """Return job ID and item ID."""
        return self.job_id, self.stored.item_id

    @property
    def has_progress(self) -> bool:
        """Whether a run has received events or failed."""
        return bool(self._lines or self.failures)

    def record(self) -> ProgressRecord:
        """Return a snapshot of the progress for a peer or a checkpoint."""
        return ProgressRecord(
            last_event_id=self.last_event_id,
            lines=tuple(self._lines),
            failures=self.failures,
            ran_s=self.ran_s,
            is_whole=self.is_complete,
            version=self.origin.version,
            service=self.origin.service,
        )

    def load_record(self, record: ProgressRecord) -> None:
        """Replace the progress by a snapshot of a peer or a checkpoint."""
        self.last_event_id = record.last_event_id
        self._lines = list(record.lines)
        self._output_bytes = sum(map(len, self._lines))
        self.failures = record.failures
        self.ran_s = record.ran_s
        self.is_complete = record.is_whole
        self.origin = StreamOrigin(record.version, record.service)
        self.waits_since = None

    @property
    def is_avoiding(self) -> bool:
        """Whether the item waits for a slot of another upstream."""
        return time.monotonic() < self.avoided_until

    @property
    def has_output(self) -> bool:
        """Whether a run has received events."""
        return self.last_event_id is not None

    def restart(self) -> None:
        """Discard the output, so that the next run begins at the start."""
        self._discard_output()
        self.origin = StreamOrigin(None)
        self.waits_since = None

    def await_next_run(
        self, upstream_id: str, delay_s: float, avoidance_s: float
    ) -> None:
        """Have the next run begin later, at another upstream if possible.

        :param upstream_id: upstream of the run that has ended.
        :param delay_s: time until the next run.
        :param avoidance_s: time for which it waits for another upstream.
        """
        now = time.monotonic()
        self.next_run_at = now + delay_s
        self.avoided_upstream = upstream_id
        self.avoided_until = now + avoidance_s
        self.begin_wait()

    def keep_refusal(self, end: RunEnd) -> str | None:
        """Return why a run was refused; forget it if the run was not."""
        if end is not RunEnd.REFUSED or self.refusal is None:
            self.refusal = None
            return None
        return self.refusal.value

    def begin_wait(self) -> None:
        """Record that nothing goes on with the output, if that is new."""
        if self.waits_since is None:
            self.waits_since = time.monotonic()

    def has_waited(self, wait_s: float) -> bool:
        """Whether nothing has gone on with the output for some time."""
        return (
            self.waits_since is not None
            and time.monotonic() - self.waits_since >= wait_s
        )

    def begin_run(self, origin: StreamOrigin) -> None:
        """Discard the incomplete event at the end of the last run.

        :param origin: the run's upstream; that of the output if there is any.
        """
        self.origin = origin
        self._splitter = EventSplitter()
        self._unnumbered_bytes = 0
        self.tracker = EventTracker()

    def add_stream_bytes(self, part: bytes) -> bool:
        """Add bytes of the current run's stream.

        :return: whether they completed an event that no earlier run sent.
        :raises UpstreamLostError: there is a gap between two events, the
            output is too long, or no numbered event comes.
        """
        self.tracker.add_bytes(part)
        last_event_id = self.last_event_id
        for event in self._splitter.add_bytes(part):
            self._add_event(event)
        if self.last_event_id != last_event_id:
            self._unnumbered_bytes = 0
            return True
        self._unnumbered_bytes += len(part)
        if self._unnumbered_bytes > MAX_UNNUMBERED_BYTES:
            raise UpstreamLostError(
                f'{self._unnumbered_bytes} bytes without a new event'
            )
        return False

    def result(self, state: ItemState) -> StoredResult:
        """Return the result to commit; only completed items have output."""
        output = ''
        if state is ItemState.COMPLETED:
            output = b'\n'.join(self._lines).decode('utf-8', 'replace')
        return StoredResult(self.stored.item_id, state, output)

    def _add_event(self, event: ServerSentEvent) -> None:
        """Add an event unless an earlier run has received it.

        :raises UpstreamLostError: an event before it is missing.
        """
        if event.event_id is None:
            return
        if self.last_event_id is not None:
            if event.event_id <= self.last_event_id:
                return
            if event.event_id != self.last_event_id + 1:
                raise UpstreamLostError(
                    f'gap between events {self.last_event_id}'
                    f' and {event.event_id}'
                )
        self.last_event_id = event.event_id
        self.waits_since = None
        self.refusals = 0
        self._lines.append(event.data)
        self._output_bytes += len(event.data) + BYTES_PER_LINE
        if self._output_bytes > MAX_OUTPUT_BYTES:
            self._discard_output()
            raise UpstreamLostError(
                f'the output of the item is over {MAX_OUTPUT_BYTES} bytes'
            )

    def _discard_output(self) -> None:
        """Have the next run begin at the start."""
        self.is_complete = False
        self.last_event_id = None
        self._lines.clear()
        self._output_bytes = 0


@attrs.define(eq=False)
class RunningItem:
    """An item that runs at an upstream or is about to start there.

    :param is_claimed: whether the item is only claimed; a preferred process
        may still get it.
    :param tokens: that are counted as held at the upstream.
    :param may_exceed_memory: whether the item may hold more than the whole
        memory of the upstream, by its own limit.
    :param config_version: version of the configuration that has the route.
    :ivar is_unserved: whether the upstream refused such a run, or sent no
        event in it.
    """

    progress: ItemProgress
    route: Route
    upstream_id: str
    tokens: int = 0
    may_exceed_memory: bool = False
    config_version: int = 0
    is_unserved: bool = attrs.field(default=False, init=False)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    is_preempted: bool = False
    is_claimed: bool = True

    def preempt(self) -> None:
        """Cancel the run, so that its slot becomes free."""
        self.is_preempted = True
        self.scope.cancel()

    def record_end(self, end: RunEnd, first_event_id: int | None) -> None:
        """Count a run that was refused, or that brought no event.

        :param first_event_id: last event that the item had before the run.
        """
        progress = self.progress
        if end is RunEnd.REFUSED:
            progress.refusals += 1
        if not self.may_exceed_memory:
            return
        if end is RunEnd.REFUSED and progress.refusal is Refusal.UPSTREAM:
            progress.refusal = Refusal.MEMORY
            self.is_unserved = True
        elif end is RunEnd.CUT and progress.last_event_id == first_event_id:
            progress.refusals += 1
            self.is_unserved = True
