"""briarrill.protocol.messages.batch: batch items and jobs."""

import attrs

from ...result_codes import Ran, ResultCode
from .base import Message

__all__ = (
    'Assign',
    'BatchItem',
    'CancelJob',
    'ItemOutcome',
    'JobNotice',
    'Pull',
    'Revoke',
)


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
    :param held: items of this process that the sidecar holds.
    :param next_in_s: seconds until its next pull at the latest.
    """

    session: str
    process: str
    wanted: int
    models: tuple[str, ...]
    service: str = ''
    held: int = 0
    next_in_s: float = 1.0


@attrs.frozen
class Assign(Message):
    """Hands items to a sidecar."""

    batch_items: tuple[BatchItem, ...]


@attrs.frozen
class Revoke(Message):
    """Stops items of a job.

    :param epoch: stops the items of this epoch and older ones; none stops
        all of them, because the job is cancelled.
    """

    job: str
    epoch: int | None = None


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
    attempt: int = 0
    http_status: int = 200
    body: bytes = b''
    message: str = ''


@attrs.frozen
class JobNotice(Message):
    """Tells a batch process that a job waits for an owner."""

    job: str


@attrs.frozen
class CancelJob(Message):
    """Tells a batch process, the owner or another, that a job is cancelled."""

    job: str
