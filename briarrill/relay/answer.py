"""briarrill.relay.answer: the answer that a caller is getting."""

import time
from collections.abc import Sequence

from ..coordination.wire import RelayWire
from ..protocol.event_stream import Event
from ..transport.http_callers import CallerConnection
from ..transport.http_messages import AnswerHead, Headers

__all__ = ('Answer',)


class Answer:
    """One answer on a caller's connection.

    The head goes out with the first bytes of the body: until then another
    upstream may take over.

    :param last_event_id: last event that the caller has, if any.
    :ivar begun_at: monotonic time at which the caller got the first bytes.
    """

    def __init__(
        self,
        conn: CallerConnection,
        wire: RelayWire,
        last_event_id: int | None = None,
    ) -> None:
        """Start with nothing sent."""
        self.last_event_id = last_event_id
        self._conn = conn
        self._wire = wire
        self.begun_at: float | None = None
        self._failure: tuple[AnswerHead, bytes] | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the caller may have seen a part of the answer."""
        return self._conn.has_answered

    async def begin(self, head: AnswerHead) -> None:
        """Send the head of the first upstream that answers."""
        if not self.has_begun:
            self.begun_at = time.monotonic()
            await self._conn.send_head(head.status, self._headers(head))

    async def send(self, part: bytes) -> None:
        """Send a part of the body."""
        await self._conn.send_body(part)

    async def send_events(self, events: Sequence[Event]) -> None:
        """Send whole events and remember the last one."""
        await self.send(b''.join(event.raw for event in events))
        for event in events:
            if event.event_id is not None:
                self.last_event_id = event.event_id

    async def end(self, part: bytes) -> None:
        """Send the last part and end the answer."""
        if part:
            await self.send(part)
        await self._conn.send_end()

    async def send_whole(self, head: AnswerHead, body: bytes) -> None:
        """Send a whole answer at once."""
        self.begun_at = time.monotonic()
        await self._conn.send_answer(head.status, self._headers(head), body)

    def keep_failure(self, head: AnswerHead, body: bytes) -> None:
        """Keep an upstream's whole failure in case nothing better comes."""
        self._failure = (head, body)

    async def send_failure(self) -> bool:
        """Send the kept failure as the upstream gave it, if there is one."""
        if self._failure is None:
            return False
        await self.send_whole(*self._failure)
        return True

    def _headers(self, head: AnswerHead) -> Headers:
        return self._wire.answer_headers(head)
