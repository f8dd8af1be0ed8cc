"""briarrill.entry.calls: online requests and the attempts to run them."""

import contextlib
from collections.abc import Callable

import attrs
import trio

from ..errors import SlowReaderError, UpstreamLostError
from ..metrics import STALE_MESSAGES
from ..protocol.messages import Chunk, Finish
from ..result_codes import Ran

__all__ = ('CallKey', 'OnlineCall', 'OnlineRequest')

# messages buffered for a slow caller; one more cancels the call
MAX_BUFFERED_CHUNKS = 1024

CallKey = tuple[str, int]
EndCallback = Callable[[CallKey, bool], None]


@attrs.frozen
class OnlineRequest:
    """A caller's request, not yet assigned to an upstream.

    :param target: name of the model or service.
    :param prefix_key: equal for requests that share a prompt prefix.
    :param deadline_s: deadline by the monotonic clock.
    :param prompt_parts: digests of the messages that it may share with others.
    :param request_key: the same for each attempt at one request of a caller.
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
    prompt_parts: tuple[str, ...] = ()
    request_key: int = 0
    trace: str = ''


class OnlineCall:
    """One attempt of a request at one upstream.

    :param key: request identifier and attempt number.
    :param end: called with the key, and whether to cancel the request at
        the upstream.
    :param left_until_s: deadline of a request that may not run again, by the
        monotonic clock; none of others.
    """

    def __init__(
        self, key: CallKey, end: EndCallback, left_until_s: float | None = None
    ) -> None:
        """Create a call without received messages."""
        self.left_until_s = left_until_s
        self.finish: Finish | None = None
        self.received_chunks = 0
        self._key = key
        self._end_callback = end
        self._sender, self._events = trio.open_memory_channel[Chunk | Finish](
            MAX_BUFFERED_CHUNKS
        )
        self._pending_finish: Finish | None = None
        self._has_overflowed = False
        self._is_lost = False

    @property
    def ran(self) -> Ran:
        """Whether the upstream ran the call, as far as its chunks show."""
        return Ran.YES if self.received_chunks else Ran.UNKNOWN

    async def next_chunk(self) -> bytes | None:
        """Return the next chunk, or ``None`` at the end of the response.

        Chunks that have arrived are joined into one. At the end
        :attr:`finish` is set.

        :raises UpstreamLostError: the connection or a chunk was lost.
        :raises SlowReaderError: the buffer of chunks overflowed.
        """
        if self._has_overflowed:
            raise SlowReaderError(
                f'{MAX_BUFFERED_CHUNKS} chunks of the response were not read'
            )
        event = self._pending_finish or await self._next_event()
        if isinstance(event, Chunk):
            return self._join_buffered(event)
        finish = self._correct_ran(event)
        self._check_chunk_count(finish)
        self.finish = finish
        return None

    def deliver(self, event: Chunk | Finish) -> None:
        """Buffer a received message for the caller.

        A chunk out of sequence marks the call as lost; a full buffer
        cancels it.
        """
        if self._is_lost:
            STALE_MESSAGES.inc()
            return
        if isinstance(event, Chunk):
            if event.seq != self.received_chunks:
                self.mark_lost()
                return
            self.received_chunks += 1
        try:
            self._sender.send_nowait(event)
        except trio.WouldBlock:
            self._has_overflowed = True
            self.cancel()

    def mark_lost(self) -> None:
        """End the call: no more messages of it will be accepted."""
        self._is_lost = True
        self._sender.close()

    def cancel(self) -> None:
        """Remove the call; cancel it at the upstream unless it has ended."""
        self._end_callback(self._key, self.finish is None)

    async def _next_event(self) -> Chunk | Finish:
        """Wait for the next message.

        :raises UpstreamLostError: the call was marked as lost.
        """
        try:
            return await self._events.receive()
        except trio.EndOfChannel as exc:
            raise UpstreamLostError(
                'the upstream or a chunk from it was lost', ran=self.ran
            ) from exc

    def _join_buffered(self, first: Chunk) -> bytes:
        """Join the buffered chunks, so that the caller gets one write."""
        parts = [first.body]
        with contextlib.suppress(trio.WouldBlock, trio.EndOfChannel):
            while isinstance(event := self._events.receive_nowait(), Chunk):
                parts.append(event.body)
            self._pending_finish = event
        return b''.join(parts)

    def _correct_ran(self, finish: Finish) -> Finish:
        """Return an end that says that the call ran if chunks of it exist."""
        if finish.chunks or self.received_chunks:
            return attrs.evolve(finish, ran=Ran.YES)
        return finish

    def _check_chunk_count(self, finish: Finish) -> None:
        """Check that all chunks of the response have arrived.

        :raises UpstreamLostError: a chunk is missing.
        """
        if finish.chunks != self.received_chunks:
            raise UpstreamLostError(
                f'received {self.received_chunks} of {finish.chunks} chunks',
                ran=finish.ran,
            )
