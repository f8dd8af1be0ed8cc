"""briarrill.entry.calls: online requests and their attempts."""

import contextlib
from collections.abc import Callable

import attrs
import trio

from ..errors import SlowReaderError, UpstreamLostError
from ..metrics import STALE_MESSAGES
from ..protocol.messages import Chunk, Finish
from ..result_codes import Ran

__all__ = ('CallKey', 'OnlineCall', 'OnlineRequest')

# chunks that wait for a slow caller before its answer is given up
CHUNK_BUFFER = 1024

CallKey = tuple[str, int]
EndCall = Callable[[CallKey, bool], None]


@attrs.frozen
class OnlineRequest:
    """A caller's request, before an upstream is chosen.

    :param target: name of the model or service.
    :param prefix_key: equal for requests that share a prompt prefix.
    :param deadline_s: by the monotonic clock.
    """

    request_id: str
    contract: str
    target: str
    method: str
    path: str
    body: bytes
    idempotent: bool
    deadline_s: float
    content_type: str = 'application/json'
    prefix_key: str = ''
    trace: str = ''


class OnlineCall:
    """One attempt at one upstream; yields its chunks in order.

    :param key: request identifier and attempt.
    :param end: called with the key, and whether to stop the upstream.
    """

    def __init__(self, key: CallKey, end: EndCall) -> None:
        """Start without events."""
        self.finish: Finish | None = None
        self.received = 0
        self._key = key
        self._end = end
        self._sender, self._events = trio.open_memory_channel[Chunk | Finish](
            CHUNK_BUFFER
        )
        self._held: Finish | None = None
        self._is_overrun = False
        self._is_lost = False

    @property
    def ran(self) -> Ran:
        """Return what is known of a call that has not finished."""
        return Ran.YES if self.received else Ran.UNKNOWN

    async def next_chunk(self) -> bytes | None:
        """Return the next chunk, or nothing once :attr:`finish` is set.

        :raises UpstreamLostError: the peer was lost.
        :raises SlowReaderError: chunks were not read in time.
        """
        if self._is_overrun:
            raise SlowReaderError('the answer was read too slowly')
        event = self._held or await self._receive()
        if isinstance(event, Chunk):
            return self._join_ready(event)
        self._check_complete(event)
        self.finish = event
        return None

    def deliver(self, event: Chunk | Finish) -> None:
        """Take an event from the link; a gap in the chunks ends the call."""
        if self._is_lost:
            STALE_MESSAGES.inc()
            return
        if isinstance(event, Chunk):
            if event.seq != self.received:
                self.lose()
                return
            self.received += 1
        try:
            self._sender.send_nowait(event)
        except trio.WouldBlock:
            self._is_overrun = True
            self.cancel()

    def lose(self) -> None:
        """End the call: the rest of the answer will not come."""
        self._is_lost = True
        self._sender.close()

    def cancel(self) -> None:
        """Stop the request at the upstream unless it has ended."""
        self._end(self._key, self.finish is None)

    async def _receive(self) -> Chunk | Finish:
        try:
            return await self._events.receive()
        except trio.EndOfChannel as exc:
            raise UpstreamLostError(
                'the upstream was lost', ran=self.ran
            ) from exc

    def _join_ready(self, first: Chunk) -> bytes:
        """Join the chunks that have arrived, so that they are sent as one."""
        parts = [first.body]
        with contextlib.suppress(trio.WouldBlock, trio.EndOfChannel):
            while isinstance(event := self._events.receive_nowait(), Chunk):
                parts.append(event.body)
            self._held = event
        return b''.join(parts)

    def _check_complete(self, finish: Finish) -> None:
        if finish.chunks != self.received:
            raise UpstreamLostError('parts of the answer were lost')
