"""briarrill.protocol.messages.batch: assignment of items, job notices."""

import attrs

from ...result_codes import Ran, ResultCode
from ..prompt_news import PromptNews
from .base import Message

__all__ = (
    'Assign',
    'BatchItem',
    'CancelJob',
    'ItemOutcome',
    'JobClaimed',
    'JobNotice',
    'Pull',
    'Revoke',
)


@attrs.frozen
class BatchItem(Message):
    """One item of a batch job.

    :param job: key of the job's record.
    :param index: position in the job's input, from 0.
    :param epoch: epoch of the owner that assigns the item.
    :param attempt: number of the attempt, from 0.
    :param trace: eliot task identifier that the sidecar continues.
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
    """Requests batch items from a batch process.

    :param wanted: total items that the sidecar accepts from the receiver,
        those already assigned included.
    :param held: items of the receiver that the sidecar has not finished.
    :param next_in_s: longest time until the sidecar's next pull, seconds.
    """

    session: str
    process: str
    wanted: int
    models: tuple[str, ...]
    service: str = ''
    held: int = 0
    next_in_s: float = 1.0
    prompt_news: PromptNews | None = None


@attrs.frozen
class Assign(Message):
    """Assigns items to a sidecar."""

    batch_items: tuple[BatchItem, ...]


@attrs.frozen
class Revoke(Message):
    """Stops a job's items at a sidecar.

    :param epoch: stops items of this epoch and older ones; None stops all of
        them, because the job is cancelled.
    """

    job: str
    epoch: int | None = None


@attrs.frozen
class JobClaimed(Message):
    """Tells a sidecar that a job has a new owner.

    Items that an earlier owner still assigns are not started.

    :param epoch: the claim's.
    """

    job: str
    epoch: int


@attrs.frozen
class ItemOutcome(Message):
    """Reports the outcome of one item's attempt.

    :param body: response body when the code is OK.
    :param ran: NO when the item may be assigned again safely.
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
    """Offers a batch process a job that has no owner."""

    job: str


@attrs.frozen
class CancelJob(Message):
    """Notifies a batch process, owner or not, that a job is cancelled."""

    job: str
