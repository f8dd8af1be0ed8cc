"""briarrill.batch.main: the command line of ``briarrill-batch``.

Usage:
  briarrill-batch SETTINGS
  briarrill-batch --help
  briarrill-batch --version

SETTINGS is a TOML file; docs/settings.md lists its keys.
"""

from ..daemon import run_daemon
from ..state.settings import BatchSettings
from .service import run_batch

__all__ = ('main',)


def main() -> int:
    """Run the batch process and return its exit code."""
    return run_daemon(__doc__, BatchSettings, run_batch, '.batch')
