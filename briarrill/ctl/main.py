"""briarrill.ctl.main: the command line of ``briarrill-ctl``.

Usage:
  briarrill-ctl [--settings=FILE] apply CONFIG [--base=VERSION] [--wait]
  briarrill-ctl [--settings=FILE] diff CONFIG [--base=VERSION]
  briarrill-ctl [--settings=FILE] get [VERSION] [--toml]
  briarrill-ctl [--settings=FILE] history [--limit=N]
  briarrill-ctl [--settings=FILE] status [--json]
  briarrill-ctl [--settings=FILE] drain HOST ROLE
  briarrill-ctl [--settings=FILE] jobs [--all] [--json]
  briarrill-ctl [--settings=FILE] show CONTRACT JOB [--json]
  briarrill-ctl [--settings=FILE] cancel CONTRACT JOB [--json]
  briarrill-ctl [--settings=FILE] validate CONFIG
  briarrill-ctl [--settings=FILE] hash-key
  briarrill-ctl [--settings=FILE] curve-keys
  briarrill-ctl --help
  briarrill-ctl --version

Options:
  --settings=FILE  Settings of this command [default: ctl.toml].
  --base=VERSION   Version that the change is based on; the newest by default.
  --wait           Return when all processes have the version.
  --toml           Print a file that can be edited and applied.
  --limit=N        Versions to show [default: 20].
  --all            Show finished jobs too.
  --json           Print JSON.

Exit codes: 0 done, 1 failed; the message names the result code.
"""

import sys
from collections.abc import Iterator
from typing import Any

import trio
from docopt import docopt

from .. import __version__
from ..errors import BriarrillError
from .commands import COMMANDS

__all__ = ('main',)

EXIT_FAILED = 1


def main() -> int:
    """Run one command and return its exit code."""
    arguments: dict[str, Any] = docopt(__doc__, version=__version__)
    command = next(name for name in COMMANDS if arguments[name])
    exit_code = 0
    try:
        trio.run(COMMANDS[command], arguments)
    except* BriarrillError as group:
        exit_code = EXIT_FAILED
        for exc in _flatten(group):
            sys.stderr.write(f'{exc.code.name} ({exc.code:d}): {exc}\n')
    return exit_code


def _flatten(
    group: BaseExceptionGroup[BriarrillError],
) -> Iterator[BriarrillError]:
    """Yield the errors in nested groups; a nursery wraps a single one too."""
    for exc in group.exceptions:
        if isinstance(exc, BaseExceptionGroup):
            yield from _flatten(exc)
        else:
            yield exc
