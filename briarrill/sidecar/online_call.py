"""briarrill.sidecar.online_call: state of one online request."""

import attrs
import trio

from ..coordination.deadlines import time_left_at_receiver
from ..errors import BriarrillError
from ..metrics import REFUSED
from ..protocol.messages import Chunk, Finish, Submit
from ..result_codes import Ran

__all__ = ('CallKey', 'OnlineCall')

CallKey = tuple[bytes, str, int]


@attrs.define
class OnlineCall:
    """An online request and the state of its response.

    :param peer: routing identifier of the entry.
    :param scope: cancelled to stop the request.
    :param ran: whether the upstream has run the request.
    :param sent_chunks: number of chunks sent so far.
    :param tokens: number of tokens generated so far.
    """

    peer: bytes
    submit: Submit
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    ran: Ran = Ran.NO
    sent_chunks: int = 0
    tokens: int = 0
    http_status: int = 200
    content_type: str = ''

    @property
    def key(self) -> CallKey:
        """Return the peer, request identifier and attempt number."""
        return (self.peer, self.submit.request_id, self.submit.attempt)

    @property
    def time_left_s(self) -> float:
        """Return a lower bound of the time left before the deadline."""
        return time_left_at_receiver(
            self.submit.time_left_s,
            self.submit.peer_clock_s,
            self.submit.peer_clock_age_s,
        )

    def make_chunk(self, body: bytes) -> Chunk:
        """Return the message for the next chunk and count the chunk."""
        chunk = Chunk(
            request_id=self.submit.request_id,
            attempt=self.submit.attempt,
            seq=self.sent_chunks,
            body=body,
        )
        self.sent_chunks += 1
        return chunk

    def make_finish(self) -> Finish:
        """Return the message that ends a whole response."""
        return Finish(
            request_id=self.submit.request_id,
            attempt=self.submit.attempt,
            chunks=self.sent_chunks,
            http_status=self.http_status,
            content_type=self.content_type,
            tokens=self.tokens,
        )

    def make_error_finish(self, exc: BriarrillError) -> Finish:
        """Return the message that ends the response with an error.

        A request that did not run is counted as refused.
        """
        if exc.ran is Ran.NO:
            REFUSED.labels(exc.code.name).inc()
        return attrs.evolve(
            self.make_finish(),
            code=exc.code,
            ran=exc.ran,
            message=exc.message,
            retry_after_s=exc.retry_after_s,
            http_status=exc.http_status,
        )
