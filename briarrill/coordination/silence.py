"""briarrill.coordination.silence: detect unresponsive upstreams.

An upstream that crashes or freezes without closing its connections loses
every request sent to it until its registration expires seconds later. A
stream that has started carries several events a second, so a pause in all
streams of an upstream, or a refused connection, marks it as suspected, and
the next load report passes that to all processes. Suspicion only ranks an
upstream behind the others; its next bytes clear it. One whose calls were all
moved away sends none, so it is asked for its state, and a reply clears it.
"""

import collections
import contextlib
import time
from collections.abc import Callable, Iterator

import attrs

from ..errors import (
    BriarrillError,
    CapacityError,
    PeerSilentError,
    UpstreamSilentError,
)

__all__ = ('SilenceDetector', 'SilenceRows')

# time without bytes on any started stream of an upstream after which it is
# suspected: ten times the usual pause between events, and the longest pause
# of a stream that meets its latency target
MAX_STREAM_SILENCE_S = 0.25

# time after which a suspicion without new evidence expires; the registration
# of a lost upstream expires sooner
SUSPICION_EXPIRY_S = 4.0

# pause between two probes of a suspected upstream, within which one that goes
# on after a silence gets requests again; each probe has a price
PROBE_PAUSE_S = 0.5

# time for which the replies of an upstream that fell silent again after one
# end no suspicion: it may answer probes and no requests
DOUBT_S = 12.0

# time after the first attempt that failed in a silence in which others count
# as failed in the same one; a sound silence lasts about a second
MAX_SILENCE_S = 2.0


@attrs.define
class _Suspicion:
    """Why and since when an upstream is suspected.

    :param since: time of the last evidence.
    :param ends_with_reply: whether any reply ends it.
    :param next_probe_at: time of the next probe, if a reply ends it.
    """

    since: float
    ends_with_reply: bool
    next_probe_at: float


class SilenceDetector:
    """Tracks when upstreams last sent bytes to this process.

    :param clock: monotonic clock.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start without streams or suspicions."""
        self._clock = clock
        self._open_streams: collections.Counter[str] = collections.Counter()
        self._last_bytes_at: dict[str, float] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._doubted_at: dict[str, float] = {}

    @property
    def suspects(self) -> tuple[str, ...]:
        """Return the upstreams that this process suspects now.

        Upstreams with silent streams are added, expired suspicions removed.
        """
        now = self._clock()
        for name in self._open_streams:
            if now - self._last_bytes_at[name] > MAX_STREAM_SILENCE_S:
                self.mark_silent(name)
        for name, suspicion in list(self._suspicions.items()):
            if now - suspicion.since > SUSPICION_EXPIRY_S:
                self._suspicions.pop(name)
        return tuple(self._suspicions)

    @contextlib.contextmanager
    def track_stream(self, upstream_id: str) -> Iterator[None]:
        """Expect bytes from an upstream while a started stream is open."""
        self._remove_old_times()
        # its head is no bytes of a stream, so it ends no suspicion here
        self._last_bytes_at[upstream_id] = self._clock()
        self._open_streams[upstream_id] += 1
        try:
            yield
        finally:
            self._open_streams[upstream_id] -= 1
            if not self._open_streams[upstream_id]:
                self._open_streams.pop(upstream_id)

    def record_bytes(self, upstream_id: str) -> None:
        """Record bytes of a stream or a whole response; end a suspicion."""
        self._last_bytes_at[upstream_id] = self._clock()
        self._suspicions.pop(upstream_id, None)
        self._doubted_at.pop(upstream_id, None)

    def record_reply(self, upstream_id: str) -> bool:
        """Record the head of a response, or a reply to a probe.

        It ends a suspicion of silence, unless a stream is silent still or the
        upstream fell silent after an earlier reply.

        :return: whether a suspicion has ended.
        """
        suspicion = self._suspicions.get(upstream_id)
        if suspicion is None or upstream_id in self._open_streams:
            return False
        if not suspicion.ends_with_reply:
            return False
        self._suspicions.pop(upstream_id)
        self._doubted_at[upstream_id] = self._clock()
        return True

    def mark_suspect(self, upstream_id: str) -> None:
        """Mark an upstream as suspected after it lost several responses.

        Only bytes of a stream or a whole response end that.
        """
        self._suspect(upstream_id, ends_with_reply=False)

    def mark_silent(self, upstream_id: str) -> None:
        """Mark an upstream as suspected after no connection or no response."""
        doubted_at = self._doubted_at.get(upstream_id)
        is_doubted = (
            doubted_at is not None and self._clock() - doubted_at < DOUBT_S
        )
        if is_doubted:
            self._doubted_at[upstream_id] = self._clock()
        self._suspect(upstream_id, ends_with_reply=not is_doubted)

    def due_probes(self, max_count: int) -> list[str]:
        """Return upstreams to ask for a reply now; count them as asked.

        They have no open stream, whose bytes would tell.
        """
        now = self._clock()
        due = [
            name
            for name in self.suspects
            if name not in self._open_streams
            and self._suspicions[name].ends_with_reply
            and self._suspicions[name].next_probe_at <= now
        ]
        asked = due[:max_count]
        for name in asked:
            self._suspicions[name].next_probe_at = now + PROBE_PAUSE_S
        return asked

    def has_recent_bytes(self, upstream_id: str) -> bool:
        """Tell whether bytes came too recently to trust a peer's suspicion."""
        last_at = self._last_bytes_at.get(upstream_id, 0)
        return self._clock() - last_at < MAX_STREAM_SILENCE_S

    def _suspect(self, upstream_id: str, *, ends_with_reply: bool) -> None:
        """Add evidence; a reply ends a suspicion only if all of it allows."""
        now = self._clock()
        suspicion = self._suspicions.setdefault(
            upstream_id, _Suspicion(now, ends_with_reply, now + PROBE_PAUSE_S)
        )
        suspicion.since = now
        suspicion.ends_with_reply &= ends_with_reply

    def _remove_old_times(self) -> None:
        """Remove times that are old and belong to no open stream."""
        now = self._clock()
        for name, last_at in list(self._last_bytes_at.items()):
            is_old = last_at < now - SUSPICION_EXPIRY_S
            if is_old and name not in self._open_streams:
                self._last_bytes_at.pop(name)
        for name, doubted_at in list(self._doubted_at.items()):
            if doubted_at < now - DOUBT_S:
                self._doubted_at.pop(name)


class SilenceRows:
    """Counts the attempts that fail in one silence of an upstream as one.

    :param clock: monotonic clock.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start without silences."""
        self._clock = clock
        self._began_at: dict[str, float] = {}

    def is_failure(self, upstream_id: str, exc: BriarrillError) -> bool:
        """Tell whether a failed attempt counts against its upstream.

        Of those that one silence made fail, only the first does.
        """
        if not isinstance(exc, PeerSilentError | UpstreamSilentError):
            return not isinstance(exc, CapacityError)
        now = self._clock()
        for name, began_at in list(self._began_at.items()):
            if now - began_at > MAX_SILENCE_S:
                self._began_at.pop(name)
        is_first = upstream_id not in self._began_at
        self._began_at.setdefault(upstream_id, now)
        return is_first
