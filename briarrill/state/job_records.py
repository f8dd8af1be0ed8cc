"""briarrill.state.job_records: records of files and batch jobs.

A job's record is its commit point: a result is committed when the record names
the segment that contains it. Each commit rewrites the record. To keep it
small, it refers to the input file, has one map of finished items and is stored
compressed.
"""

import enum
import zlib
from collections.abc import Iterable, Iterator
from typing import TypeVar

import attrs
import msgspec
from eliot import log_message

from ..decoding import Decoder, decompress, json_decoder
from ..errors import InternalError, MalformedMessageError
from ..transport.key_value import KeyValue

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
    'readable_job_records',
)

_Record = TypeVar('_Record')

# fastest level, since records are rewritten often
_COMPRESSION_LEVEL = 1


class JobState(enum.StrEnum):
    """Lifecycle state of a batch job."""

    IN_PROGRESS = 'in_progress'
    CANCELLING = 'cancelling'
    CANCELLED = 'cancelled'
    COMPLETED = 'completed'

    @property
    def is_final(self) -> bool:
        """Whether the job has ended, so its state cannot change."""
        return self in {JobState.CANCELLED, JobState.COMPLETED}


@attrs.frozen
class Place:
    """An instance whose data folder has a replica of a segment."""

    instance: str
    host: str
    failure_domain: str


@attrs.frozen
class SegmentRef:
    """Reference to a segment and its replicas.

    :param name: checksum of the bytes, the segment's name.
    :param lines: number of lines.
    :param size: number of bytes.
    """

    name: str
    lines: int
    size: int
    places: tuple[Place, ...]


@attrs.frozen
class FileRecord:
    """An input file; its identifier is derived from its content.

    :param size: number of bytes.
    """

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
    """A committed segment of results.

    :param failed: number of error lines in it.
    """

    ref: SegmentRef
    failed: int = 0


@attrs.frozen
class JobRecord:
    """A batch job.

    :param total: number of items in the input file.
    :param writer: unique identifier of the latest write, by which a writer
        whose reply was lost recognises its own write.
    :param epoch: incremented with each claim by an owner.
    :param due_at: deadline, Unix time in seconds.
    :param done_map: packed set of the items with a committed result.
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


_FILE_DECODER = json_decoder(FileRecord)
_JOB_DECODER = json_decoder(JobRecord)


def encode_record(record: FileRecord | JobRecord) -> bytes:
    """Encode a record as compressed JSON."""
    return zlib.compress(msgspec.json.encode(record), _COMPRESSION_LEVEL)


def decode_job_record(body: bytes) -> JobRecord:
    """Decode a job's record.

    :raises InternalError: the bytes are damaged.
    """
    return _decode(body, _JOB_DECODER)


def readable_job_records(entries: Iterable[KeyValue]) -> Iterator[JobRecord]:
    """Yield the jobs whose records can be read; log the others."""
    for entry in entries:
        try:
            yield decode_job_record(entry.body)
        except InternalError as exc:
            log_message('job:unreadable', key=entry.key, reason=exc.message)


def decode_file_record(body: bytes) -> FileRecord:
    """Decode a file's record.

    :raises InternalError: the bytes are damaged.
    """
    return _decode(body, _FILE_DECODER)


def _decode(body: bytes, decoder: Decoder[_Record]) -> _Record:
    try:
        return decoder.decode(decompress(body))
    except MalformedMessageError as exc:
        raise InternalError(f'damaged record: {exc.message}') from exc
