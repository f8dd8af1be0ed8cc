"""briarrill.entry.main: the command line of ``briarrill-entry``.

Usage:
  briarrill-entry SETTINGS
  briarrill-entry --help
  briarrill-entry --version

SETTINGS is a TOML file; docs/settings.md lists its keys.
"""

from ..daemon import run_daemon
from ..state.settings import EntrySettings
from .service import run_entry

__all__ = ('main',)


def main() -> int:
    """Run the entry and return its exit code."""
    return run_daemon(__doc__, EntrySettings, run_entry, '.entry')
