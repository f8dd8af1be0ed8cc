"""briarrill.state.stored_jobs: jobs stored entirely in the key-value service.

For jobs of some hundred items and results of some kilobytes: a job is created
by one transaction, and each result has its own key. The position of a result
is part of its key, and keys are created but never overwritten, so two writers
cannot assign one position to two results, even if both assume that they own
the job.
"""

import enum
import re
from collections.abc import Iterable, Sequence

import attrs
import msgspec

from ..decoding import msgpack_decoder
from ..errors import BadRequestError, InternalError, MalformedMessageError
from ..transport.key_value import KeyChange
from .keys import job_body_prefix, job_results_prefix, numbered_key

__all__ = (
    'ItemState',
    'StoredItem',
    'StoredJob',
    'StoredResult',
    'check_job_id',
    'decode_job_parts',
    'decode_result',
    'job_creation_changes',
    'result_creation_changes',
)

# a job's identifier is part of keys, which have at most 200 bytes
_JOB_ID_PATTERN = re.compile('[A-Za-z0-9_.-]{1,100}')

# prefix of each part of a job: the number of parts
_PART_COUNT_BYTES = 2


class ItemState(enum.StrEnum):
    """Final state of an item."""

    COMPLETED = 'completed'
    ERRORED = 'errored'


@attrs.frozen
class StoredItem:
    """An item as submitted.

    :param tokens: sum of prompt tokens and maximum output tokens.
    """

    item_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int


@attrs.frozen
class StoredJob:
    """A job as submitted.

    :param route: name of the route that received it.
    :param submitted_at: Unix time by the clock of the receiving instance.
    :param config_version: version of the configuration under which it was
        accepted, 0 if it is not known.
    :param customer: name of the customer whose job it is, empty for none.
    :param prefix: of the route that received it, empty if it is not known.
    """

    job_id: str
    route: str
    host: str
    submitted_at: float
    items: tuple[StoredItem, ...]
    config_version: int = 0
    customer: str = ''
    prefix: str = ''


@attrs.frozen
class StoredResult:
    """The final result of an item.

    :param output: data of all events, one per line.
    """

    item_id: str
    state: ItemState
    output: str = ''


_JOB_DECODER = msgpack_decoder(StoredJob)
_RESULT_DECODER = msgpack_decoder(StoredResult)


def check_job_id(job_id: str) -> str:
    """Return the identifier if it may be part of a key.

    :raises BadRequestError: it is empty, longer than 100 characters or has
        a character other than ASCII letters, digits, ``_``, ``.``, ``-``.
    """
    if _JOB_ID_PATTERN.fullmatch(job_id) is None:
        raise BadRequestError(f'{job_id!r} is not a valid job identifier')
    return job_id


def job_creation_changes(
    job: StoredJob, max_value_bytes: int
) -> list[KeyChange]:
    """Return the key changes that create a job in one transaction.

    :param max_value_bytes: maximum size of each part.
    """
    raw = msgspec.msgpack.encode(job)
    part_bytes = max_value_bytes - _PART_COUNT_BYTES
    starts = range(0, len(raw), part_bytes)
    parts = [raw[start : start + part_bytes] for start in starts]
    part_count = len(parts).to_bytes(_PART_COUNT_BYTES)
    prefix = job_body_prefix(job.job_id)
    return [
        KeyChange(
            numbered_key(prefix, number), part_count + part, mod_revision=0
        )
        for number, part in enumerate(parts)
    ]


def decode_job_parts(parts: Sequence[bytes]) -> StoredJob | None:
    """Decode a job from its parts in order; None if some are missing.

    :raises InternalError: the parts are damaged.
    """
    part_count = int.from_bytes(parts[0][:_PART_COUNT_BYTES])
    if len(parts) != part_count:
        return None
    raw = b''.join(part[_PART_COUNT_BYTES:] for part in parts)
    try:
        return _JOB_DECODER.decode(raw)
    except MalformedMessageError as exc:
        raise InternalError(f'damaged job: {exc.message}') from exc


def result_creation_changes(
    job_id: str, position: int, results: Iterable[StoredResult]
) -> list[KeyChange]:
    """Return the key changes that create results from a position on."""
    prefix = job_results_prefix(job_id)
    return [
        KeyChange(
            numbered_key(prefix, number),
            msgspec.msgpack.encode(result),
            mod_revision=0,
        )
        for number, result in enumerate(results, position)
    ]


def decode_result(body: bytes) -> StoredResult:
    """Decode a stored result.

    :raises InternalError: the bytes are damaged.
    """
    try:
        return _RESULT_DECODER.decode(body)
    except MalformedMessageError as exc:
        raise InternalError(f'damaged result: {exc.message}') from exc
