"""briarrill.sidecar.main: the command line of ``briarrill-sidecar``.

Usage:
  briarrill-sidecar SETTINGS
  briarrill-sidecar --help
  briarrill-sidecar --version

SETTINGS is a TOML file; docs/settings.md lists its keys.
"""

from ..daemon import run_daemon
from ..state.settings import SidecarSettings
from .service import run_sidecar

__all__ = ('main',)


def main() -> int:
    """Run the sidecar and return its exit code."""
    return run_daemon(__doc__, SidecarSettings, run_sidecar, '.sidecar')
