"""briarrill.state.job_records: records of files and batch jobs.

A job's record is its commit point: a result counts when the record names
the segment that holds it. It is rewritten with each commit, so it names its
input file instead of holding it, keeps one map of finished items and is
stored compressed.
"""

import enum
import zlib
from typing import TypeVar

import attrs
import msgspec

from ..errors import InternalError

__all__ = (
    'FileRecord',
    'JobRecord',
    'JobState',
    'Place',
    'ResultSegment',
    'SegmentRef',
    'decode_file_record',
    'decode_job_record',
    'encode_record',
)

_Record = TypeVar('_Record')

# the fastest; records are rewritten often
_COMPRESSION_LEVEL = 1


class JobState(enum.StrEnum):
    """Life of a batch job."""

    IN_PROGRESS = 'in_progress'
    CANCELLING = 'cancelling'
    CANCELLED = 'cancelled'
    COMPLETED = 'completed'

    @property
    def is_final(self) -> bool:
        """Whether the state never changes again."""
        return self in {JobState.CANCELLED, JobState.COMPLETED}


@attrs.frozen
class Place:
    """A data folder that holds a copy of a segment."""

    instance: str
    host: str
    failure_domain: str


@attrs.frozen
class SegmentRef:
    """A segment and the places of its copies.

    :param name: the segment's checksum, which names it.
    :param lines: lines in the segment.
    :param size: bytes.
    """

    name: str
    lines: int
    size: int
    places: tuple[Place, ...]


@attrs.frozen
class FileRecord:
    """An input file; its identifier is derived from its content."""

    file_id: str
    contract: str
    size: int
    created_at: int
    segments: tuple[SegmentRef, ...]
    filename: str = ''
    purpose: str = 'batch'

    @property
    def lines(self) -> int:
        """Return the number of lines in the file."""
        return sum(ref.lines for ref in self.segments)


@attrs.frozen
class ResultSegment:
    """A committed result segment.

    :param failed: items in it that finished with an error line.
    """

    ref: SegmentRef
    failed: int = 0


@attrs.frozen
class JobRecord:
    """A batch job.

    :param total: items in the input file.
    :param writer: mark of the last writer, to recognise its own write.
    :param epoch: grows with each change of owner.
    :param due_at: deadline, seconds since 1970.
    :param done_map: items with a committed result, packed.
    """

    job_id: str
    contract: str
    input_file_id: str
    total: int
    endpoint: str
    created_at: int
    due_at: int
    writer: str
    state: JobState = JobState.IN_PROGRESS
    owner: str = ''
    owner_host: str = ''
    epoch: int = 0
    results: tuple[ResultSegment, ...] = ()
    done_map: bytes = b''
    finished_at: int = 0
    metadata: dict[str, str] = attrs.field(factory=dict)

    @property
    def done(self) -> int:
        """Return the number of items with a committed result."""
        return sum(segment.ref.lines for segment in self.results)

    @property
    def failed(self) -> int:
        """Return the number of items that ended with an error line."""
        return sum(segment.failed for segment in self.results)


def encode_record(record: FileRecord | JobRecord) -> bytes:
    """Return the stored form of a record."""
    return zlib.compress(msgspec.json.encode(record), _COMPRESSION_LEVEL)


def decode_job_record(body: bytes) -> JobRecord:
    """Return the job of a stored record."""
    return _decode(body, JobRecord)


def decode_file_record(body: bytes) -> FileRecord:
    """Return the file of a stored record."""
    return _decode(body, FileRecord)


def _decode(body: bytes, cls: type[_Record]) -> _Record:
    try:
        return msgspec.json.decode(zlib.decompress(body), type=cls)
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise InternalError(f'damaged record: {exc}') from exc
