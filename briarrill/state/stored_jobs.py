"""briarrill.state.stored_jobs: jobs that the key-value service keeps whole.

For jobs of some hundred items and results of some kilobytes: a job is one
write, and each result is a key of its own. The position of a result is part
of its key, and a key is only ever created, so two writers cannot give one
position to two results, whoever of them still believes to own the job.
"""

import enum
import re
from collections.abc import Iterable, Sequence

import attrs
import msgspec

from ..errors import BadRequestError, InternalError
from ..transport.key_value import KeyChange
from .keys import job_body_prefix, job_results_prefix, numbered_key

__all__ = (
    'ItemState',
    'StoredItem',
    'StoredJob',
    'StoredResult',
    'check_job_id',
    'decode_result',
    'job_changes',
    'join_parts',
    'result_changes',
)

# a job's identifier is part of keys of at most 200 bytes
_JOB_ID = re.compile('[A-Za-z0-9_.-]{1,100}')

# bytes before each part of a job: how many parts there are
_COUNT_BYTES = 2


class ItemState(enum.StrEnum):
    """How an item ended."""

    COMPLETED = 'completed'
    ERRORED = 'errored'


@attrs.frozen
class StoredItem:
    """An item as it was handed in.

    :param tokens: prompt tokens and the most output tokens together.
    """

    item_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int


@attrs.frozen
class StoredJob:
    """A job as it was handed in.

    :param route: name of the route that it came on.
    :param submitted_at: Unix seconds of the accepting instance.
    """

    job_id: str
    route: str
    host: str
    submitted_at: float
    items: tuple[StoredItem, ...]


@attrs.frozen
class StoredResult:
    """The final outcome of an item.

    :param output: the data of all events, one a line.
    """

    item_id: str
    state: ItemState
    output: str = ''


_JOB = msgspec.msgpack.Decoder(StoredJob)
_RESULT = msgspec.msgpack.Decoder(StoredResult)


def check_job_id(job_id: str) -> str:
    """Return an identifier that may be part of a key.

    :raises BadRequestError: it may not.
    """
    if _JOB_ID.fullmatch(job_id) is None:
        raise BadRequestError(f'{job_id!r} is no identifier of a job')
    return job_id


def job_changes(job: StoredJob, max_value_bytes: int) -> list[KeyChange]:
    """Return the writes that create a job, to be made together."""
    raw = msgspec.msgpack.encode(job)
    size = max_value_bytes - _COUNT_BYTES
    starts = range(0, len(raw), size)
    parts = [raw[start : start + size] for start in starts]
    count = len(parts).to_bytes(_COUNT_BYTES)
    prefix = job_body_prefix(job.job_id)
    return [
        KeyChange(numbered_key(prefix, number), count + part, mod_revision=0)
        for number, part in enumerate(parts)
    ]


def join_parts(parts: Sequence[bytes]) -> StoredJob | None:
    """Return the job of its parts in order, or nothing if some are missing.

    :raises InternalError: the parts are damaged.
    """
    count = int.from_bytes(parts[0][:_COUNT_BYTES])
    if len(parts) != count:
        return None
    raw = b''.join(part[_COUNT_BYTES:] for part in parts)
    try:
        return _JOB.decode(raw)
    except msgspec.MsgspecError as exc:
        raise InternalError(f'damaged job: {exc}') from exc


def result_changes(
    job_id: str, position: int, found: Iterable[StoredResult]
) -> list[KeyChange]:
    """Return the writes that give results their positions."""
    prefix = job_results_prefix(job_id)
    return [
        KeyChange(
            numbered_key(prefix, number),
            msgspec.msgpack.encode(result),
            mod_revision=0,
        )
        for number, result in enumerate(found, position)
    ]


def decode_result(body: bytes) -> StoredResult:
    """Return the result of a stored value.

    :raises InternalError: it is damaged.
    """
    try:
        return _RESULT.decode(body)
    except msgspec.MsgspecError as exc:
        raise InternalError(f'damaged result: {exc}') from exc
