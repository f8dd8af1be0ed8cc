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
class JobNotice(Message):
    """Tells a batch process that a job waits for an owner."""

    job: str


@attrs.frozen
class CancelJob(Message):
    """Tells a batch process that a job's record says cancelled."""

    job: str
