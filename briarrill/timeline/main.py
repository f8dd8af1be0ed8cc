"""briarrill.timeline.main: the command line of ``briarrill-timeline``.

Usage:
  briarrill-timeline [--match=TEXT] LOG...
  briarrill-timeline --help
  briarrill-timeline --version

Options:
  --match=TEXT  Print only events that hold this text.
"""

import sys
from typing import Any

from docopt import docopt

from .. import __version__
from .reader import read_events

__all__ = ('main',)


def main() -> int:
    """Print the time line and return the exit code."""
    arguments: dict[str, Any] = docopt(__doc__, version=__version__)
    for event in read_events(arguments['LOG']):
        line = event.as_text()
        if (arguments['--match'] or '') in line:
            sys.stdout.write(f'{line}\n')
    return 0
