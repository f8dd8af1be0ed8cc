"""briarrill.protocol.messages.online: online requests and responses."""

import attrs

from ...result_codes import Ran, ResultCode
from .base import Message

__all__ = ('CancelCall', 'Chunk', 'Finish', 'Submit')


@attrs.frozen
class Submit(Message):
    """Submits one attempt of an online request to a sidecar.

    :param path: request path at the upstream, with the query.
    :param peer_clock_s: receiver's clock that the sender last received.
    :param peer_clock_age_s: seconds since the sender received that clock.
    :param time_left_s: seconds until the deadline.
    :param request_key: the same for each attempt at one request of a caller.
    :param trace: eliot task identifier that the receiver continues.
    """

    session: str
    request_id: str
    attempt: int
    contract: str
    method: str
    path: str
    body: bytes
    idempotent: bool
    peer_clock_s: float
    peer_clock_age_s: float
    time_left_s: float
    content_type: str = 'application/json'
    trace: str = ''
    request_key: int = 0


@attrs.frozen
class Chunk(Message):
    """One part of a response; ``seq`` numbers the parts from 0."""

    request_id: str
    attempt: int
    seq: int
    body: bytes


@attrs.frozen
class Finish(Message):
    """Ends a response or rejects the request.

    :param chunks: number of chunks that were sent.
    :param tokens: tokens that the upstream generated.
    """

    request_id: str
    attempt: int
    chunks: int = 0
    code: ResultCode = ResultCode.OK
    ran: Ran = Ran.YES
    message: str = ''
    retry_after_s: float | None = None
    http_status: int = 200
    content_type: str = 'application/json'
    tokens: int = 0


@attrs.frozen
class CancelCall(Message):
    """Cancels an online request whose caller disconnected."""

    request_id: str
    attempt: int
