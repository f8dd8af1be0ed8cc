"""briarrill.ctl.output: text output of commands."""

import sys

__all__ = ('print_line',)


def print_line(text: str) -> None:
    """Print a line to standard output."""
    sys.stdout.write(f'{text}\n')
