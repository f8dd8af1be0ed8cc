"""briarrill.coordination.silence: detect unresponsive upstreams.

An upstream that crashes or freezes without closing its connections loses
every request sent to it until its registration expires seconds later. A
stream that has started carries several events a second, so a pause in all
streams of an upstream, or a refused connection, marks it as suspected, and
the next load report passes that to all processes. Suspicion only ranks an
upstream behind the others; its next bytes clear it.
"""

import collections
import contextlib
import time
from collections.abc import Callable, Iterator

__all__ = ('SilenceDetector',)

# time without bytes on any started stream of an upstream after which it is
# suspected: ten times the usual pause between events, and the longest pause
# of a stream that meets its latency target
MAX_STREAM_SILENCE_S = 0.25

# time after which a suspicion without new evidence expires; the registration
# of a lost upstream expires sooner
SUSPICION_EXPIRY_S = 4.0


class SilenceDetector:
    """Tracks when upstreams last sent bytes to this process.

    :param clock: monotonic clock.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start without streams or suspicions."""
        self._clock = clock
        self._open_streams: collections.Counter[str] = collections.Counter()
        self._last_bytes_at: dict[str, float] = {}
        self._suspected_since: dict[str, float] = {}

    @property
    def suspects(self) -> tuple[str, ...]:
        """Return the upstreams that this process suspects now.

        Upstreams with silent streams are added, expired suspicions removed.
        """
        now = self._clock()
        for name in self._open_streams:
            if now - self._last_bytes_at[name] > MAX_STREAM_SILENCE_S:
                self._suspected_since[name] = now
        for name, since in list(self._suspected_since.items()):
            if now - since > SUSPICION_EXPIRY_S:
                self._suspected_since.pop(name)
        return tuple(self._suspected_since)

    @contextlib.contextmanager
    def track_stream(self, upstream_id: str) -> Iterator[None]:
        """Expect bytes from an upstream while a started stream is open."""
        self._remove_old_times()
        self.record_bytes(upstream_id)
        self._open_streams[upstream_id] += 1
        try:
            yield
        finally:
            self._open_streams[upstream_id] -= 1
            if not self._open_streams[upstream_id]:
                self._open_streams.pop(upstream_id)

    def record_bytes(self, upstream_id: str) -> None:
        """Record bytes from an upstream and clear its suspicion."""
        self._last_bytes_at[upstream_id] = self._clock()
        self._suspected_since.pop(upstream_id, None)

    def mark_suspect(self, upstream_id: str) -> None:
        """Mark an upstream as suspected after a failed connect or response."""
        self._suspected_since[upstream_id] = self._clock()

    def has_recent_bytes(self, upstream_id: str) -> bool:
        """Tell whether bytes came too recently to trust a peer's suspicion."""
        last_at = self._last_bytes_at.get(upstream_id, 0)
        return self._clock() - last_at < MAX_STREAM_SILENCE_S

    def _remove_old_times(self) -> None:
        """Remove times of last bytes that are old and have no open stream."""
        oldest = self._clock() - SUSPICION_EXPIRY_S
        for name, last_at in list(self._last_bytes_at.items()):
            if last_at < oldest and name not in self._open_streams:
                self._last_bytes_at.pop(name)
