"""briarrill.ctl.arguments: parsed command line and its settings file."""

from typing import Any

from ..state.settings import CtlSettings, load_settings

__all__ = ('Arguments', 'read_settings')

#: Parsed command line: commands, positionals and options as docopt keys.
Arguments = dict[str, Any]


def read_settings(arguments: Arguments) -> CtlSettings:
    """Read the settings file given by ``--settings``.

    :raises SettingsError: the file is invalid.
    """
    return load_settings(arguments['--settings'], CtlSettings)
