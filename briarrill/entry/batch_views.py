"""briarrill.entry.batch_views: JSON of files and jobs for callers."""

from typing import Any

from ..state.job_records import FileRecord, JobRecord

__all__ = ('batch_view', 'file_view', 'output_job_id')

_OUTPUT_FILE_PREFIX = 'file-output-'


def output_file_id(job_id: str) -> str:
    """Return the identifier of a job's result file."""
    return f'{_OUTPUT_FILE_PREFIX}{job_id}'


def output_job_id(file_id: str) -> str | None:
    """Return the job of a result file, or ``None`` for an input file."""
    if not file_id.startswith(_OUTPUT_FILE_PREFIX):
        return None
    return file_id.removeprefix(_OUTPUT_FILE_PREFIX)


def file_view(record: FileRecord) -> dict[str, Any]:
    """Return a file as a JSON object of the callers' API."""
    return {
        'id': record.file_id,
        'object': 'file',
        'bytes': record.size,
        'created_at': record.created_at,
        'filename': record.filename,
        'purpose': record.purpose,
        'status': 'processed',
    }


def batch_view(job: JobRecord) -> dict[str, Any]:
    """Return a job as a JSON object of the callers' API."""
    finished_at = job.finished_at or None
    return {
        'id': job.job_id,
        'object': 'batch',
        'endpoint': job.endpoint,
        'input_file_id': job.input_file_id,
        'completion_window': '24h',
        'status': job.state.value,
        'output_file_id': output_file_id(job.job_id) if job.results else None,
        'error_file_id': None,
        'created_at': job.created_at,
        'expires_at': job.due_at,
        'completed_at': finished_at,
        'request_counts': {
            'total': job.total,
            'completed': job.done - job.failed,
            'failed': job.failed,
        },
        'metadata': job.metadata,
    }
