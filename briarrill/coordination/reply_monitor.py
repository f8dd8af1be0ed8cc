"""briarrill.coordination.reply_monitor: detect outages from late replies.

A service that stops for some seconds may answer all waiting calls when it
returns, so that no call fails. Then only the lateness of the replies shows
that it was away.

Open connections may also go silent while new ones work. A reply shows that
none did only if its connection was already open at the last such reply.
"""

import contextlib
import math
import time
from collections.abc import Iterator

import attrs

__all__ = ('ReplyMonitor',)


@attrs.define
class ReplyMonitor:
    """Records when a service replies to its calls.

    :ivar replied_at: monotonic time of the last reply, infinite in the past
        before the first.
    :ivar verified_at: monotonic time of the last reply that shows that the
        open connections work, infinite in the past before the first.
    """

    replied_at: float = -math.inf
    verified_at: float = -math.inf
    _due_at: dict[int, float] = attrs.field(factory=dict, init=False)
    _next_call: int = attrs.field(default=0, init=False)
    _late_at: float = attrs.field(default=-math.inf, init=False)
    _late_before_s: float = attrs.field(default=0, init=False)

    @property
    def late_s(self) -> float:
        """Return for how long a reply has been late in total."""
        now = time.monotonic()
        first_due_at = min(self._due_at.values(), default=now)
        late_s = max(0, now - max(first_due_at, self._late_at))
        return self._late_before_s + late_s

    @contextlib.contextmanager
    def call(self, due_s: float) -> Iterator[None]:
        """Watch one call, whose reply ends the ``with`` block.

        :param due_s: time after which the reply is late.
        """
        number = self._next_call
        self._next_call += 1
        self._due_at[number] = time.monotonic() + due_s
        try:
            yield
        finally:
            self._record_end(number)
        self.replied_at = time.monotonic()

    def record_connection(self, opened_at: float) -> None:
        """Record that a reply came on a connection.

        :param opened_at: monotonic time at which it was opened.
        """
        if self.verified_at == -math.inf or opened_at <= self.verified_at:
            self.verified_at = time.monotonic()

    def forget_connections(self) -> None:
        """Record that all connections are being replaced."""
        self.verified_at = -math.inf

    def was_late(self, within_s: float) -> bool:
        """Tell whether a reply is late, or came late within a time."""
        now = time.monotonic()
        if now - self._late_at < within_s:
            return True
        return any(now > due_at for due_at in self._due_at.values())

    def _record_end(self, number: int) -> None:
        """Record whether a call that ends now was late."""
        now = time.monotonic()
        late_s = self.late_s
        if now > self._due_at.pop(number):
            self._late_before_s = late_s
            self._late_at = now
