"""briarrill.ctl.output: what commands print."""

import sys

__all__ = ('say',)


def say(text: str) -> None:
    """Print a line."""
    sys.stdout.write(f'{text}\n')
