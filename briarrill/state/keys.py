"""briarrill.state.keys: keys and prefixes in the key-value service."""

import hashlib
from urllib.parse import quote

__all__ = (
    'CONFIG_HEAD_KEY',
    'CONFIG_HISTORY_PREFIX',
    'FILES_PREFIX',
    'JOBS_PREFIX',
    'JOB_BODIES_PREFIX',
    'JOB_ENDS_PREFIX',
    'JOB_RESULTS_PREFIX',
    'LEASES_PREFIX',
    'MEMBERS_PREFIX',
    'OPEN_JOBS_PREFIX',
    'ROOT_PREFIX',
    'UPSTREAM_VERSIONS_PREFIX',
    'config_version_key',
    'file_key',
    'job_body_prefix',
    'job_end_key',
    'job_key',
    'job_results_prefix',
    'lease_key',
    'member_key',
    'numbered_key',
    'open_job_key',
    'upstream_version_key',
)

ROOT_PREFIX = 'briarrill/'
CONFIG_HEAD_KEY = f'{ROOT_PREFIX}config/head'
CONFIG_HISTORY_PREFIX = f'{ROOT_PREFIX}config/history/'
FILES_PREFIX = f'{ROOT_PREFIX}files/'
JOBS_PREFIX = f'{ROOT_PREFIX}jobs/'
JOB_BODIES_PREFIX = f'{ROOT_PREFIX}job-bodies/'
JOB_ENDS_PREFIX = f'{ROOT_PREFIX}job-ends/'
JOB_RESULTS_PREFIX = f'{ROOT_PREFIX}job-results/'
LEASES_PREFIX = f'{ROOT_PREFIX}leases/'
MEMBERS_PREFIX = f'{ROOT_PREFIX}members/'
OPEN_JOBS_PREFIX = f'{ROOT_PREFIX}open-jobs/'
UPSTREAM_VERSIONS_PREFIX = f'{ROOT_PREFIX}upstream-versions/'

# longest key that every key-value service takes
MAX_KEY_BYTES = 200


def config_version_key(version: int) -> str:
    """Return the key of one configuration version."""
    return f'{CONFIG_HISTORY_PREFIX}{version:010d}'


def file_key(contract: str, file_id: str) -> str:
    """Return the key of a file's record."""
    return f'{FILES_PREFIX}{contract}/{file_id}'


def job_key(contract: str, job_id: str) -> str:
    """Return the key of a job's record."""
    return f'{JOBS_PREFIX}{contract}/{job_id}'


def lease_key(process: str) -> str:
    """Return the key that exists while a process's lease is valid."""
    return f'{LEASES_PREFIX}{process}'


def member_key(name: str) -> str:
    """Return the key of a process's registration."""
    return f'{MEMBERS_PREFIX}{name}'


def open_job_key(key: str) -> str:
    """Return the index key that exists while a job is unfinished.

    :param key: key of the job's record.
    """
    return f'{OPEN_JOBS_PREFIX}{key.removeprefix(JOBS_PREFIX)}'


def job_body_prefix(job_id: str) -> str:
    """Return the prefix of the numbered parts of a stored job."""
    return f'{JOB_BODIES_PREFIX}{job_id}/'


def job_results_prefix(job_id: str) -> str:
    """Return the prefix of a stored job's results, numbered by position."""
    return f'{JOB_RESULTS_PREFIX}{job_id}/'


def job_end_key(job_id: str) -> str:
    """Return the key that exists once the end of a job was requested."""
    return f'{JOB_ENDS_PREFIX}{job_id}'


def numbered_key(prefix: str, number: int) -> str:
    """Return the key of a numbered part; keys sort by the number."""
    return f'{prefix}{number:06d}'


def upstream_version_key(service: str, version: str) -> str:
    """Return the key that records that a version of a service has served.

    A digest takes the place of names that are too long.
    """
    names = f'{quote(service, safe="")}/{quote(version, safe="")}'
    if len(UPSTREAM_VERSIONS_PREFIX) + len(names) > MAX_KEY_BYTES:
        names = hashlib.sha256(names.encode()).hexdigest()
    return f'{UPSTREAM_VERSIONS_PREFIX}{names}'
