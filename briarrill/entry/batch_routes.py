"""briarrill.entry.batch_routes: HTTP routes of files and batch jobs."""

import time
import uuid
from collections.abc import AsyncIterator
from typing import Any

import attrs
import xxhash
from quart import Response, request
from quart_trio import QuartTrio

from ..decoding import json_decoder
from ..errors import (
    BadRequestError,
    BatchItemsLimitError,
    MalformedMessageError,
)
from ..protocol.callers_api import BATCH_ENDPOINTS
from ..state.job_directory import JobDirectory
from ..state.job_records import FileRecord, JobRecord, SegmentRef
from .batch_views import batch_view, file_view, output_job_id
from .context import Caller, EntryContext, read_body
from .intake import FileIntake
from .uploads import UPLOAD_PATH, Upload, read_upload

__all__ = ('add_batch_routes',)

JSON_LINES = 'application/jsonl'

DEFAULT_JOBS_PER_PAGE = 20

COMPLETION_WINDOWS_S = {'1h': 3600, '24h': 86400}


@attrs.frozen
class CreateBatch:
    """Body of a request that creates a batch job."""

    input_file_id: str
    endpoint: str
    completion_window: str = '24h'
    metadata: dict[str, str] | None = None


_CREATE_DECODER = json_decoder(CreateBatch)


def add_batch_routes(
    app: QuartTrio, ctx: EntryContext, jobs: JobDirectory
) -> None:
    """Add the routes of files and batch jobs."""
    _add_file_routes(app, ctx, jobs)
    _add_job_routes(app, ctx, jobs)


def _add_file_routes(
    app: QuartTrio, ctx: EntryContext, jobs: JobDirectory
) -> None:
    @app.post(UPLOAD_PATH)
    async def upload_file() -> dict[str, Any]:
        caller = ctx.caller()
        # a file that cannot be recorded is rejected before its upload
        await jobs.check_available()
        record = await _store_upload(ctx, caller)
        return file_view(await jobs.create_file(record))

    @app.get('/v1/files/<file_id>')
    async def show_file(file_id: str) -> dict[str, Any]:
        caller = ctx.caller()
        return file_view(await _find_file(jobs, caller, file_id))

    @app.get('/v1/files/<file_id>/content')
    async def read_file(file_id: str) -> Response:
        caller = ctx.caller()
        record = await _find_file(jobs, caller, file_id)
        response = Response(
            _read_segments(ctx, record.segments), content_type=JSON_LINES
        )
        # a caller without chunks would take a cut for the end
        response.content_length = sum(ref.size for ref in record.segments)
        return response


def _add_job_routes(
    app: QuartTrio, ctx: EntryContext, jobs: JobDirectory
) -> None:
    @app.post('/v1/batches')
    async def create_batch() -> dict[str, Any]:
        caller = ctx.caller()
        create_request = _parse_create_request(await read_body())
        record = await jobs.find_file(
            caller.name, create_request.input_file_id
        )
        _check_item_count(caller, record)
        return batch_view(
            await jobs.create_job(
                _make_job_record(caller, create_request, record)
            )
        )

    @app.get('/v1/batches')
    async def list_batches() -> dict[str, Any]:
        caller = ctx.caller()
        job_records = await jobs.list_jobs(
            caller.name,
            after=request.args.get('after', ''),
            limit=request.args.get('limit', DEFAULT_JOBS_PER_PAGE, type=int),
        )
        return {
            'object': 'list',
            'data': [batch_view(job) for job in job_records],
            'has_more': False,
        }

    @app.get('/v1/batches/<job_id>')
    async def show_batch(job_id: str) -> dict[str, Any]:
        caller = ctx.caller()
        return batch_view(await jobs.find_job(caller.name, job_id))

    @app.post('/v1/batches/<job_id>/cancel')
    async def cancel_batch(job_id: str) -> dict[str, Any]:
        caller = ctx.caller()
        return batch_view(await jobs.cancel_job(caller.name, job_id))


async def _store_upload(ctx: EntryContext, caller: Caller) -> FileRecord:
    """Store the uploaded file and return its record."""
    upload = Upload(ctx.cfg.max_file_bytes, ctx.cfg.body_timeout_s)
    intake = FileIntake(
        ctx.segment_replicas, caller.name, ctx.cfg.max_file_bytes
    )
    record = await intake.store(read_upload(upload))
    return attrs.evolve(
        record,
        filename=upload.filename,
        purpose=upload.fields.get('purpose', 'batch'),
    )


def _parse_create_request(body: bytes) -> CreateBatch:
    """Decode and check the body of a request that creates a job.

    :raises BadRequestError: a field is missing or has a wrong value.
    """
    try:
        create_request = _CREATE_DECODER.decode(body)
    except MalformedMessageError as exc:
        raise BadRequestError(f'request body: {exc.message}') from exc
    if create_request.endpoint not in BATCH_ENDPOINTS:
        allowed = ', '.join(BATCH_ENDPOINTS)
        raise BadRequestError(f'endpoint: must be one of {allowed}')
    if create_request.completion_window not in COMPLETION_WINDOWS_S:
        allowed = ', '.join(COMPLETION_WINDOWS_S)
        raise BadRequestError(f'completion_window: must be one of {allowed}')
    return create_request


def _check_item_count(caller: Caller, record: FileRecord) -> None:
    """Check the number of items against the contract's limit.

    :raises BatchItemsLimitError: the job has more items.
    """
    limit = caller.contract.batch_items_per_job
    if record.lines > limit:
        raise BatchItemsLimitError(
            f'the file has {record.lines} items; '
            f'batch_items_per_job is {limit}'
        )


def _make_job_record(
    caller: Caller, create_request: CreateBatch, record: FileRecord
) -> JobRecord:
    """Return the record of a new job.

    Its identifier is derived from the idempotency key or the input file, so
    that a repeated request doesn't create a second job.
    """
    name = (
        request.headers.get('Idempotency-Key') or create_request.input_file_id
    )
    digest = xxhash.xxh3_128_hexdigest(f'{caller.name}\0{name}'.encode())
    now = int(time.time())
    return JobRecord(
        job_id=f'batch-{digest}',
        contract=caller.name,
        input_file_id=record.file_id,
        total=record.lines,
        endpoint=create_request.endpoint,
        created_at=now,
        due_at=now + COMPLETION_WINDOWS_S[create_request.completion_window],
        writer=uuid.uuid4().hex,
        metadata=create_request.metadata or {},
    )


async def _find_file(
    jobs: JobDirectory, caller: Caller, file_id: str
) -> FileRecord:
    """Return the record of an input file or of a job's result file."""
    job_id = output_job_id(file_id)
    if job_id is None:
        return await jobs.find_file(caller.name, file_id)
    job = await jobs.find_job(caller.name, job_id)
    return FileRecord(
        file_id=file_id,
        contract=caller.name,
        filename=f'{job_id}.jsonl',
        purpose='batch_output',
        size=sum(segment.ref.size for segment in job.results),
        created_at=job.created_at,
        segments=tuple(segment.ref for segment in job.results),
    )


async def _read_segments(
    ctx: EntryContext, segments: tuple[SegmentRef, ...]
) -> AsyncIterator[bytes]:
    """Yield the bytes of each segment, read from one of its replicas."""
    for ref in segments:
        yield await ctx.segment_replicas.get(ref)
