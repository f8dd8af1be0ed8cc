"""briarrill.coordination.silence: upstreams that have fallen silent.

Answers upstreams that crash without a word or freeze: until their
registration lapses, seconds later, every request sent there is lost. A
stream that has begun brings events many times a second, so its silence, or
a connection that nobody takes, is told to all processes at once. Suspicion
only puts an upstream behind the others; its next bytes end it.
"""

import collections
import contextlib
import time
from collections.abc import Callable, Iterator

__all__ = ('SilenceWatch',)

# silence of all begun streams of an upstream after which it is suspected;
# ten times the usual pause between events, and the pause that a stream on
# time may have at most
SILENCE_S = 0.25

# time for which an upstream stays suspected without new evidence; its
# registration lapses within it if it is gone
SUSPICION_S = 4.0


class SilenceWatch:
    """What this process hears of the upstreams.

    :param clock: monotonic clock.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start with nothing heard."""
        self._clock = clock
        self._begun: collections.Counter[str] = collections.Counter()
        self._heard_at: dict[str, float] = {}
        self._suspected_at: dict[str, float] = {}

    @property
    def suspects(self) -> tuple[str, ...]:
        """Return the upstreams that this process suspects now."""
        now = self._clock()
        for name in self._begun:
            if now - self._heard_at[name] > SILENCE_S:
                self._suspected_at[name] = now
        for name, since in list(self._suspected_at.items()):
            if now - since > SUSPICION_S:
                self._suspected_at.pop(name)
        return tuple(self._suspected_at)

    @contextlib.contextmanager
    def begun_stream(self, upstream_id: str) -> Iterator[None]:
        """Expect events as long as a stream that has begun runs."""
        self._forget_old()
        self.hear(upstream_id)
        self._begun[upstream_id] += 1
        try:
            yield
        finally:
            self._begun[upstream_id] -= 1
            if not self._begun[upstream_id]:
                self._begun.pop(upstream_id)

    def hear(self, upstream_id: str) -> None:
        """Note bytes of an upstream."""
        self._heard_at[upstream_id] = self._clock()
        self._suspected_at.pop(upstream_id, None)

    def suspect(self, upstream_id: str) -> None:
        """Note a connection or an answer that did not come."""
        self._suspected_at[upstream_id] = self._clock()

    def has_just_heard(self, upstream_id: str) -> bool:
        """Tell whether own evidence speaks against others' suspicion."""
        heard_at = self._heard_at.get(upstream_id, 0)
        return self._clock() - heard_at < SILENCE_S

    def _forget_old(self) -> None:
        """Forget when upstreams were heard that are not heard any more."""
        oldest = self._clock() - SUSPICION_S
        for name, heard_at in list(self._heard_at.items()):
            if heard_at < oldest and name not in self._begun:
                self._heard_at.pop(name)
