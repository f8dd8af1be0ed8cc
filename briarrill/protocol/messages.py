"""briarrill.protocol.messages: typed messages between processes.

Times are in seconds. Clocks of two processes differ, so a deadline travels
as the time left plus the receiver's own clock as the sender last saw it.
"""

import attrs

from ..result_codes import Ran, ResultCode

__all__ = (
    'PROTOCOL_VERSION',
    'Assign',
    'BatchItem',
    'CancelCall',
    'CancelJob',
    'Chunk',
    'ConfigDigest',
    'ConfigPush',
    'Drain',
    'Failure',
    'Finish',
    'GetSegment',
    'Heartbeat',
    'Hello',
    'ItemOutcome',
    'JobNotice',
    'LoadReport',
    'Message',
    'Ok',
    'Pull',
    'PutSegment',
    'Revoke',
    'Segment',
    'Status',
    'StatusRequest',
    'Submit',
    'Welcome',
)

PROTOCOL_VERSION = 1


@attrs.frozen
class Message:
    """Base of all messages."""


@attrs.frozen
class LoadReport:
    """Work at an upstream as its sidecar sees it.

    :param slots: size of the running set.
    """

    slots: int = 0
    online_running: int = 0
    online_queued: int = 0
    batch_running: int = 0


@attrs.frozen
class Hello(Message):
    """Opens a session; sent until the receiver answers."""

    process: str
    failure_domain: str
    protocol: int = PROTOCOL_VERSION


@attrs.frozen
class Welcome(Message):
    """Answers a hello with the session that later messages must carry."""

    session: str
    process: str
    clock_s: float
    models: tuple[str, ...] = ()
    service: str = ''
    draining: bool = False


@attrs.frozen
class Heartbeat(Message):
    """Tells that the process lives, its clock, load and models."""

    session: str
    clock_s: float
    load: LoadReport
    models: tuple[str, ...] = ()
    service: str = ''
    draining: bool = False


@attrs.frozen
class Submit(Message):
    """One attempt of an online request.

    :param path: path of the call at the upstream, with its query.
    :param peer_clock_s: receiver's clock as last seen by the sender.
    :param peer_clock_age_s: seconds since the sender saw that clock.
    :param time_left_s: seconds until the deadline.
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


@attrs.frozen
class Chunk(Message):
    """A part of an answer, numbered from 0."""

    request_id: str
    attempt: int
    seq: int
    body: bytes


@attrs.frozen
class Finish(Message):
    """Ends an answer or refuses the request.

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
    """Stops an online request whose caller went away."""

    request_id: str
    attempt: int


@attrs.frozen
class BatchItem(Message):
    """One item of a batch job.

    :param index: position in the job's input, from 0.
    :param epoch: epoch of the owner that hands the item out.
    """

    job: str
    index: int
    epoch: int
    contract: str
    model: str
    url: str
    body: bytes
    attempt: int = 0
    trace: str = ''


@attrs.frozen
class Pull(Message):
    """Asks for batch items.

    :param wanted: items that the sidecar is willing to hold from this
        process, those already assigned included.
    """

    session: str
    process: str
    wanted: int
    models: tuple[str, ...]
    service: str = ''


@attrs.frozen
class Assign(Message):
    """Hands items to a sidecar."""

    batch_items: tuple[BatchItem, ...]


@attrs.frozen
class Revoke(Message):
    """Stops the items of a cancelled job."""

    job: str


@attrs.frozen
class ItemOutcome(Message):
    """Answers one item.

    :param body: response body when the code is OK.
    :param ran: no when the item may be handed out again freely.
    """

    job: str
    index: int
    epoch: int
    code: ResultCode
    ran: Ran
    http_status: int = 200
    body: bytes = b''
    message: str = ''


@attrs.frozen
class PutSegment(Message):
    """Stores a segment in the receiver's data folder."""

    segment: str
    body: bytes


@attrs.frozen
class GetSegment(Message):
    """Asks for a segment."""

    segment: str


@attrs.frozen
class Segment(Message):
    """The bytes of a segment."""

    segment: str
    body: bytes


@attrs.frozen
class JobNotice(Message):
    """Tells a batch process that a job waits for an owner."""

    job: str


@attrs.frozen
class CancelJob(Message):
    """Tells a batch process that a job's record says cancelled."""

    job: str


@attrs.frozen
class ConfigPush(Message):
    """A configuration version; the body is the record as stored."""

    version: int
    body: bytes


@attrs.frozen
class ConfigDigest(Message):
    """The sender's version; the receiver pushes back a higher one."""

    process: str
    version: int


@attrs.frozen
class StatusRequest(Message):
    """Asks a process for its status."""


@attrs.frozen
class Status(Message):
    """State of a process for operators."""

    process: str
    role: str
    failure_domain: str
    config_version: int
    ready: bool
    draining: bool
    load: LoadReport = LoadReport()


@attrs.frozen
class Drain(Message):
    """Asks a process to stop gracefully."""


@attrs.frozen
class Ok(Message):
    """The request was done."""


@attrs.frozen
class Failure(Message):
    """The request was refused or failed."""

    code: ResultCode
    ran: Ran
    message: str
    retry_after_s: float | None = None
