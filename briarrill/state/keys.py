"""briarrill.state.keys: names of the keys in the key-value service."""

__all__ = (
    'CONFIG_HEAD',
    'CONFIG_HISTORY',
    'FILES',
    'JOBS',
    'LEASES',
    'MEMBERS',
    'OPEN_JOBS',
    'ROOT',
    'config_version_key',
    'file_key',
    'job_key',
    'lease_key',
    'member_key',
    'open_job_key',
)

ROOT = 'briarrill/'
CONFIG_HEAD = f'{ROOT}config/head'
CONFIG_HISTORY = f'{ROOT}config/history/'
FILES = f'{ROOT}files/'
JOBS = f'{ROOT}jobs/'
LEASES = f'{ROOT}leases/'
MEMBERS = f'{ROOT}members/'
OPEN_JOBS = f'{ROOT}open-jobs/'


def config_version_key(version: int) -> str:
    """Return the key of one configuration version."""
    return f'{CONFIG_HISTORY}{version:010d}'


def file_key(contract: str, file_id: str) -> str:
    """Return the key of a file's record."""
    return f'{FILES}{contract}/{file_id}'


def job_key(contract: str, job_id: str) -> str:
    """Return the key of a job's record."""
    return f'{JOBS}{contract}/{job_id}'


def lease_key(process: str) -> str:
    """Return the key that lives as long as a process's lease."""
    return f'{LEASES}{process}'


def member_key(name: str) -> str:
    """Return the key under which a process is registered."""
    return f'{MEMBERS}{name}'


def open_job_key(key: str) -> str:
    """Return the index key that exists while a job is unfinished.

    :param key: key of the job's record.
    """
    return f'{OPEN_JOBS}{key.removeprefix(JOBS)}'
