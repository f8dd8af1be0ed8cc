"""briarrill.platform: briarrill's processes on the users' platform.

Usage:
  briarrill-platform entry
  briarrill-platform batch
  briarrill-platform check
  briarrill-platform --help
  briarrill-platform --version

Each reads the settings file that BRIARRILL_CONFIG names; "check" only says
whether it is valid.
"""

import os
import signal
import sys
from importlib import import_module

import trio
from docopt import docopt

from .. import __version__
from ..errors import BriarrillError, SettingsError
from ..log_output import log_to_stdout
from .settings import (
    SETTINGS_VARIABLE,
    PlatformInstance,
    load_platform_settings,
)

__all__ = ('main',)

EXIT_FAILED = 1

# each process imports its own program only: imports take a third of a second
# and most of the memory of a small instance
_PROGRAMS = {
    'entry': ('.entry', 'run_entry'),
    'batch': ('.batch', 'run_batch'),
}


def main() -> int:
    """Run the program of the command line and return its exit code."""
    # the default action of SIGHUP would end the process before the signal
    # receiver runs; there is nothing to reload yet
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    arguments = docopt(__doc__, version=__version__)
    try:
        cfg = load_platform_settings(_settings_path())
        for program in _PROGRAMS:
            if arguments[program]:
                _run(program, cfg)
    except (BriarrillError, OSError) as exc:
        sys.stderr.write(f'{exc}\n')
        return EXIT_FAILED
    return 0


def _run(program: str, cfg: PlatformInstance) -> None:
    """Import a program and run it, with log lines on stdout."""
    module, function = _PROGRAMS[program]
    run = getattr(import_module(module, __package__), function)
    with log_to_stdout(f'{cfg.name}.{program}'):
        trio.run(run, cfg)


def _settings_path() -> str:
    """Return the path of the settings file.

    :raises SettingsError: the environment variable is unset or empty.
    """
    path = os.environ.get(SETTINGS_VARIABLE, '')
    if not path:
        raise SettingsError(
            f'environment variable {SETTINGS_VARIABLE} is unset or empty'
        )
    return path


if __name__ == '__main__':
    sys.exit(main())
