"""briarrill.state.keys: keys and prefixes in the key-value service."""

__all__ = (
    'CONFIG_HEAD',
    'CONFIG_HISTORY',
    'FILES',
    'JOBS',
    'JOB_BODIES',
    'JOB_ENDS',
    'JOB_RESULTS',
    'LEASES',
    'MEMBERS',
    'OPEN_JOBS',
    'ROOT',
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
)

# ROOT and the constants with a slash at the end are prefixes of keys
ROOT = 'briarrill/'
CONFIG_HEAD = f'{ROOT}config/head'
CONFIG_HISTORY = f'{ROOT}config/history/'
FILES = f'{ROOT}files/'
JOBS = f'{ROOT}jobs/'
JOB_BODIES = f'{ROOT}job-bodies/'
JOB_ENDS = f'{ROOT}job-ends/'
JOB_RESULTS = f'{ROOT}job-results/'
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
    """Return the key that exists while a process's lease is valid."""
    return f'{LEASES}{process}'


def member_key(name: str) -> str:
    """Return the key of a process's registration."""
    return f'{MEMBERS}{name}'


def open_job_key(key: str) -> str:
    """Return the index key that exists while a job is unfinished.

    :param key: key of the job's record.
    """
    return f'{OPEN_JOBS}{key.removeprefix(JOBS)}'


def job_body_prefix(job_id: str) -> str:
    """Return the prefix of the numbered parts of a stored job."""
    return f'{JOB_BODIES}{job_id}/'


def job_results_prefix(job_id: str) -> str:
    """Return the prefix of a stored job's results, numbered by position."""
    return f'{JOB_RESULTS}{job_id}/'


def job_end_key(job_id: str) -> str:
    """Return the key that exists once the end of a job was requested."""
    return f'{JOB_ENDS}{job_id}'


def numbered_key(prefix: str, number: int) -> str:
    """Return the key of a numbered part; keys sort by the number."""
    return f'{prefix}{number:06d}'
