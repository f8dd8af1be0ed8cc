"""briarrill.relay.attempts: what is known of a call while it is forwarded."""

import contextlib
import math
import time
from collections.abc import Iterator

import attrs
import trio
from eliot import log_message

from ..coordination.placement import Place
from ..coordination.wire import Call
from ..errors import DeadlineExceededError, UpstreamLostError
from ..result_codes import Ran
from .answer import Answer

__all__ = ('Attempt', 'Progress', 'log_if_late', 'log_left', 'time_limit')

# attempts at upstreams that did not run the request, over all
MAX_REFUSED_ATTEMPTS = 4

# an answer that may be repeated is asked for elsewhere after this many
# objectives without one, and a stream that may be resumed after this many
# longest pauses without an event
PATIENCE_OBJECTIVES = 2.5
PATIENCE_PAUSES = 4.0


@attrs.define
class Progress:
    """What is known of a call after its attempts so far.

    :param place: what the last choice was made from.
    """

    refused: set[str] = attrs.field(factory=set)
    runs: int = 0
    attempts: int = 0
    ran: Ran = Ran.NO
    place: Place | None = None

    @property
    def is_exhausted(self) -> bool:
        """Whether too many upstreams have refused the call."""
        return len(self.refused) >= MAX_REFUSED_ATTEMPTS


@attrs.frozen
class Attempt:
    """One attempt of a call.

    :param is_last: no other attempt could follow if this one runs.
    """

    call: Call
    answer: Answer
    is_last: bool

    @property
    def answer_patience_s(self) -> float:
        """Return how long to wait for bytes of a whole answer."""
        route = self.call.route
        if self.is_last or not (route.may_repeat or route.resumable):
            return math.inf
        return PATIENCE_OBJECTIVES * route.objective_s

    @property
    def pause_patience_s(self) -> float:
        """Return how long to wait for the next event of a stream."""
        route = self.call.route
        if self.is_last or not route.resumable:
            return math.inf
        return PATIENCE_PAUSES * route.longest_pause_s


def log_left(
    call: Call, answer: Answer, progress: Progress, began_at: float
) -> None:
    """Say where a request was when its caller left."""
    log_message(
        'request:caller-left',
        request_id=call.request_id,
        after_s=round(time.monotonic() - began_at, 3),
        attempts=progress.attempts,
        upstream='' if progress.place is None else progress.place.name,
        has_begun=answer.has_begun,
        event=answer.last_event_id,
    )


def log_if_late(
    call: Call, answer: Answer, progress: Progress, began_at: float
) -> None:
    """Say what a late answer was placed by."""
    first_s = (answer.begun_at or began_at) - began_at
    if first_s <= call.route.objective_s or progress.place is None:
        return
    log_message(
        'request:late',
        request_id=call.request_id,
        first_bytes_s=round(first_s, 3),
        objective_s=call.route.objective_s,
        attempts=progress.attempts,
        place=attrs.asdict(progress.place),
    )


@contextlib.contextmanager
def time_limit(patience_s: float, call: Call) -> Iterator[None]:
    """Bound a wait by the patience with an upstream and by the deadline.

    :raises DeadlineExceededError: the call's time is over.
    :raises UpstreamLostError: the upstream was silent for too long.
    """
    left_s = call.deadline_s - time.monotonic()
    with trio.move_on_after(max(0, min(patience_s, left_s))) as scope:
        yield
    if not scope.cancelled_caught:
        return
    if left_s <= patience_s:
        raise DeadlineExceededError('the deadline passed')
    raise UpstreamLostError('the upstream is silent')
