"""briarrill.entry.batch_routes: files and batch jobs."""

import time
import uuid
from collections.abc import AsyncIterator
from typing import Any

import attrs
import msgspec
import xxhash
from quart import Response, request
from quart_trio import QuartTrio

from ..errors import BadRequestError, BatchItemsLimitError
from ..protocol.callers_api import BATCH_ENDPOINTS
from ..state.job_directory import JobDirectory
from ..state.job_records import FileRecord, JobRecord, SegmentRef
from .batch_views import batch_view, file_view, output_job_id
from .context import Caller, EntryContext, read_body
from .intake import FileIntake
from .uploads import UPLOAD_PATH, Upload, read_upload

__all__ = ('add_batch_routes',)

JSON_LINES = 'application/jsonl'

# jobs in one page of a listing
DEFAULT_PAGE = 20

WINDOW_SECONDS = {'1h': 3600, '24h': 86400}


@attrs.frozen
class CreateBatch:
    """Body of a request that creates a job."""

    input_file_id: str
    endpoint: str
    completion_window: str = '24h'
    metadata: dict[str, str] | None = None


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
        # an upload that cannot be recorded is refused before it is read
        await jobs.check_available()
        record = await _take_upload(ctx, caller)
        return file_view(await jobs.create_file(record))

    @app.get('/v1/files/<file_id>')
    async def show_file(file_id: str) -> dict[str, Any]:
        caller = ctx.caller()
        return file_view(await _find_file(jobs, caller, file_id))

    @app.get('/v1/files/<file_id>/content')
    async def read_file(file_id: str) -> Response:
        caller = ctx.caller()
        record = await _find_file(jobs, caller, file_id)
        return Response(
            _read_segments(ctx, record.segments), content_type=JSON_LINES
        )


def _add_job_routes(
    app: QuartTrio, ctx: EntryContext, jobs: JobDirectory
) -> None:
    @app.post('/v1/batches')
    async def create_batch() -> dict[str, Any]:
        caller = ctx.caller()
        create = _parse_create(await read_body())
        record = await jobs.find_file(caller.name, create.input_file_id)
        _check_job(caller, record)
        return batch_view(await jobs.create(_job(caller, create, record)))

    @app.get('/v1/batches')
    async def list_batches() -> dict[str, Any]:
        caller = ctx.caller()
        found = await jobs.list_jobs(
            caller.name,
            after=request.args.get('after', ''),
            limit=request.args.get('limit', DEFAULT_PAGE, type=int),
        )
        return {
            'object': 'list',
            'data': [batch_view(job) for job in found],
            'has_more': False,
        }

    @app.get('/v1/batches/<job_id>')
    async def show_batch(job_id: str) -> dict[str, Any]:
        caller = ctx.caller()
        return batch_view(await jobs.find(caller.name, job_id))

    @app.post('/v1/batches/<job_id>/cancel')
    async def cancel_batch(job_id: str) -> dict[str, Any]:
        caller = ctx.caller()
        return batch_view(await jobs.cancel(caller.name, job_id))


async def _take_upload(ctx: EntryContext, caller: Caller) -> FileRecord:
    upload = Upload(ctx.cfg.max_file_bytes, ctx.cfg.body_timeout_s)
    intake = FileIntake(ctx.copies, caller.name, ctx.cfg.max_file_bytes)
    record = await intake.store(read_upload(upload))
    return attrs.evolve(
        record,
        filename=upload.filename,
        purpose=upload.fields.get('purpose', 'batch'),
    )


def _parse_create(body: bytes) -> CreateBatch:
    try:
        create = msgspec.json.decode(body, type=CreateBatch)
    except msgspec.MsgspecError as exc:
        raise BadRequestError(f'request body: {exc}') from exc
    if create.endpoint not in BATCH_ENDPOINTS:
        allowed = ', '.join(BATCH_ENDPOINTS)
        raise BadRequestError(f'endpoint: must be one of {allowed}')
    if create.completion_window not in WINDOW_SECONDS:
        allowed = ', '.join(WINDOW_SECONDS)
        raise BadRequestError(f'completion_window: must be one of {allowed}')
    return create


def _check_job(caller: Caller, record: FileRecord) -> None:
    limit = caller.contract.batch_items_per_job
    if record.lines > limit:
        raise BatchItemsLimitError(
            f'{record.lines} items; batch_items_per_job is {limit}'
        )


def _job(caller: Caller, create: CreateBatch, record: FileRecord) -> JobRecord:
    """Return a new job; the same request always names the same job."""
    name = request.headers.get('Idempotency-Key') or create.input_file_id
    digest = xxhash.xxh3_128_hexdigest(f'{caller.name}\0{name}'.encode())
    now = int(time.time())
    return JobRecord(
        job_id=f'batch-{digest}',
        contract=caller.name,
        input_file_id=record.file_id,
        total=record.lines,
        endpoint=create.endpoint,
        created_at=now,
        due_at=now + WINDOW_SECONDS[create.completion_window],
        writer=uuid.uuid4().hex,
        metadata=create.metadata or {},
    )


async def _find_file(
    jobs: JobDirectory, caller: Caller, file_id: str
) -> FileRecord:
    """Return an input file, or the results of a job as a file."""
    job_id = output_job_id(file_id)
    if job_id is None:
        return await jobs.find_file(caller.name, file_id)
    job = await jobs.find(caller.name, job_id)
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
    for ref in segments:
        yield await ctx.copies.get(ref)
