"""briarrill.ctl.arguments: the parsed command line."""

from typing import Any

from ..state.settings import CtlSettings, load_settings

__all__ = ('Arguments', 'read_settings')

#: Words and options of the command line, as docopt names them.
Arguments = dict[str, Any]


def read_settings(arguments: Arguments) -> CtlSettings:
    """Read the settings file that the command line names."""
    return load_settings(arguments['--settings'], CtlSettings)
