"""briarrill.timeline.main: the command line of ``briarrill-timeline``.

Usage:
  briarrill-timeline [--match=TEXT] [--html=FILE] [--raw-clocks] LOG...
  briarrill-timeline --help
  briarrill-timeline --version

Merges the logs of all processes into one time line.

Options:
  --match=TEXT  Show only requests, jobs, versions or instances that hold
                this text, each with all its events.
  --html=FILE   Write one page with a lane for each process.
  --raw-clocks  Do not correct the clocks of the processes.
"""

import pathlib
import sys
from typing import Any

from docopt import docopt

from .. import __version__
from .actions import collect_actions
from .html import render_page
from .offsets import apply_offsets, estimate_offsets
from .reader import Event, read_events
from .selection import select_events
from .text import format_event

__all__ = ('main',)

EXIT_FAILED = 1


def main() -> int:
    """Print the merged events or write them as a page; return the exit code.

    A log that cannot be read gives ``EXIT_FAILED``.
    """
    arguments: dict[str, Any] = docopt(__doc__, version=__version__)
    try:
        report = read_events(arguments['LOG'])
    except OSError as exc:
        sys.stderr.write(f'{exc}\n')
        return EXIT_FAILED
    events = report.events
    if not arguments['--raw-clocks']:
        offsets = estimate_offsets(collect_actions(events))
        _report_offsets(offsets)
        events = apply_offsets(events, offsets)
    events = select_events(events, arguments['--match'] or '')
    if report.skipped:
        sys.stderr.write(f'{report.skipped} lines are not log events\n')
    _write_events(events, arguments['--html'])
    return 0


def _report_offsets(offsets: dict[str, float]) -> None:
    """Print each non-zero clock correction to standard error."""
    for process, offset in sorted(offsets.items()):
        if offset:
            sys.stderr.write(
                f'clock of {process} corrected by {offset:+.6f} s\n'
            )


def _write_events(events: list[Event], html: str | None) -> None:
    """Print events as lines, or write the page to the file ``html``."""
    if html is None:
        sys.stdout.writelines(f'{format_event(event)}\n' for event in events)
        return
    pathlib.Path(html).write_text(render_page(events), encoding='utf-8')
    sys.stdout.write(f'{html}: {len(events)} events\n')
