"""briarrill.coordination.stream_versions: where a stream may go on.

What two versions of an upstream's software write does not fit together, and
upstreams do not check it; nor does what two services write. So a stream goes
on only at the service and version that began it, which are remembered for a
while.
"""

import collections
import time
from collections.abc import Callable, Collection

import attrs

from ..protocol.stream_origins import StreamOrigin

__all__ = ('STREAM_RETENTION_S', 'StreamOrigins', 'infer_origin')

# a stream and the tries of its caller last several seconds
STREAM_RETENTION_S = 60.0

# the oldest are forgotten first; at 60 streams a second none is too early
MAX_STREAMS = 8192


@attrs.define
class StreamOrigins:
    """What began each of the latest streams, by the stream's key.

    :param clock: monotonic clock.
    """

    _clock: Callable[[], float] = time.monotonic
    _origins: collections.OrderedDict[int, tuple[float, StreamOrigin]] = (
        attrs.field(factory=collections.OrderedDict, init=False)
    )

    def record(self, stream: int, origin: StreamOrigin) -> None:
        """Record what began a stream.

        Reports that contradict each other leave it unknown.
        """
        now = self._clock()
        known = self.find(stream)
        if known is not None and known != origin:
            origin = StreamOrigin(None)
        self._origins.pop(stream, None)
        self._origins[stream] = (now, origin)
        self._forget_old(now)

    def find(self, stream: int) -> StreamOrigin | None:
        """Return what began a stream, none if nothing is known of it."""
        recorded_at, origin = self._origins.get(stream, (0.0, None))
        if self._clock() - recorded_at > STREAM_RETENTION_S:
            return None
        return origin

    def _forget_old(self, now: float) -> None:
        while self._origins:
            recorded_at, _ = next(iter(self._origins.values()))
            is_old = now - recorded_at > STREAM_RETENTION_S
            if not is_old and len(self._origins) <= MAX_STREAMS:
                return
            self._origins.popitem(last=False)


def infer_origin(
    known: StreamOrigin | None,
    candidates: Collection[StreamOrigin],
    *,
    is_complete: bool,
) -> StreamOrigin:
    """Return what began a stream that a caller takes up.

    :param known: what this process or a peer has recorded.
    :param candidates: versions of the route's services that served lately.
    :param is_complete: whether these are surely all versions.
    """
    if known is not None:
        return known
    if is_complete and len(candidates) == 1:
        return next(iter(candidates))
    return StreamOrigin(None)
