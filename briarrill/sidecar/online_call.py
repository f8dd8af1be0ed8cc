"""briarrill.sidecar.online_call: one online request at a sidecar."""

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
    """A request and how far it came."""

    peer: bytes
    submit: Submit
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    ran: Ran = Ran.NO
    chunks: int = 0
    tokens: int = 0
    http_status: int = 200
    content_type: str = ''

    @property
    def key(self) -> CallKey:
        """Return what names the call."""
        return (self.peer, self.submit.request_id, self.submit.attempt)

    @property
    def time_left_s(self) -> float:
        """Return a lower bound of the time left now."""
        return time_left_at_receiver(
            self.submit.time_left_s,
            self.submit.peer_clock_s,
            self.submit.peer_clock_age_s,
        )

    def next_chunk(self, body: bytes) -> Chunk:
        """Return the message of the next part of the answer."""
        chunk = Chunk(
            request_id=self.submit.request_id,
            attempt=self.submit.attempt,
            seq=self.chunks,
            body=body,
        )
        self.chunks += 1
        return chunk

    def finish(self) -> Finish:
        """Return the message that ends the answer."""
        return Finish(
            request_id=self.submit.request_id,
            attempt=self.submit.attempt,
            chunks=self.chunks,
            http_status=self.http_status,
            content_type=self.content_type,
            tokens=self.tokens,
        )

    def finish_with(self, exc: BriarrillError) -> Finish:
        """Return the message of a refusal or failure."""
        if exc.ran is Ran.NO:
            REFUSED.labels(exc.code.name).inc()
        return attrs.evolve(
            self.finish(),
            code=exc.code,
            ran=exc.ran,
            message=exc.message,
            retry_after_s=exc.retry_after_s,
            http_status=exc.http_status,
        )
