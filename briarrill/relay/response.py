"""briarrill.relay.response: sends one response to a caller."""

import time
from collections.abc import Sequence

from ..coordination.relay_protocol import RelayProtocol
from ..protocol.event_stream import ServerSentEvent
from ..protocol.stream_origins import StreamOrigin
from ..transport.http_callers import CallerConnection
from ..transport.http_messages import BodyFraming, Headers, ResponseHead

__all__ = ('Response',)


class Response:
    """One response on a caller's connection.

    The head is sent with the first bytes of the body. Until then the request
    can be retried at another upstream.

    :param last_event_id: last event that the caller received, if any.
    :ivar origin: what began the stream, none before its first event.
    :ivar has_content: whether the caller may have received more than a head
        and events that keep the stream alive.
    :ivar first_bytes_at: time of the first bytes sent, by the monotonic
        clock, if any were sent.
    """

    def __init__(
        self,
        conn: CallerConnection,
        protocol: RelayProtocol,
        last_event_id: int | None = None,
    ) -> None:
        """Prepare a response of which nothing is sent."""
        self.last_event_id = last_event_id
        self.origin: StreamOrigin | None = None
        self.has_content = False
        self._conn = conn
        self._protocol = protocol
        self.first_bytes_at: float | None = None
        self._failure: tuple[ResponseHead, bytes] | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the caller may have received a part of the response."""
        return self._conn.has_sent_head

    @property
    def has_stored_refusal(self) -> bool:
        """Whether the stored response says that the request did not run."""
        return self._failure is not None and (
            self._protocol.promises_not_executed(self._failure[0])
        )

    async def send_head_once(self, head: ResponseHead) -> None:
        """Send the head unless one was sent.

        Chunks take precedence over a length that the upstream also sent.
        """
        if head.body_framing is not BodyFraming.LENGTH:
            head = head.without_length()
        if not self.has_begun:
            self.first_bytes_at = time.monotonic()
            await self._conn.send_head(head.status, self._headers(head))

    async def send(self, part: bytes) -> None:
        """Send a part of the body."""
        self.has_content = True
        await self._conn.send_body(part)

    async def send_events(self, events: Sequence[ServerSentEvent]) -> None:
        """Send complete events and update ``last_event_id``."""
        if any(event.has_content for event in events):
            self.has_content = True
        await self._conn.send_body(b''.join(event.raw for event in events))
        for event in events:
            if event.event_id is not None:
                self.last_event_id = event.event_id

    async def finish(self, part: bytes) -> None:
        """Send the last part of the body and end the response."""
        if part:
            await self.send(part)
        await self._conn.send_end()

    async def send_complete(self, head: ResponseHead, body: bytes) -> None:
        """Send head and body of a complete response."""
        self.first_bytes_at = time.monotonic()
        await self._conn.send_response(head.status, self._headers(head), body)

    def store_failure(self, head: ResponseHead, body: bytes) -> None:
        """Store an upstream's error response, to send if all retries fail."""
        self._failure = (head, body)

    def drop_stored_refusal(self) -> None:
        """Drop a stored response that says that the request did not run.

        An upstream can say that of its own attempt only.
        """
        if self.has_stored_refusal:
            self._failure = None

    async def send_stored_failure(self) -> bool:
        """Send the stored error response; return whether there was one."""
        if self._failure is None:
            return False
        await self.send_complete(*self._failure)
        return True

    def _headers(self, head: ResponseHead) -> Headers:
        return self._protocol.response_headers(head)
