"""briarrill.daemon: command line shared by the daemons."""

import sys
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

import trio
from docopt import docopt

from . import __version__
from .errors import BriarrillError
from .runtime import open_log
from .state.settings import InstanceSettings, LogSettings, load_settings
from .transport.curve import CurveKeys, use_curve_keys

__all__ = ('EXIT_FAILED', 'run_daemon')

EXIT_FAILED = 1


class _DaemonSettings(Protocol):
    """Settings that every daemon has."""

    @property
    def instance(self) -> InstanceSettings:
        """Instance on which the daemon runs."""

    @property
    def log(self) -> LogSettings:
        """Settings of the log file."""

    @property
    def curve(self) -> CurveKeys | None:
        """Encryption keys of the fleet, absent without encryption."""


_Settings = TypeVar('_Settings', bound=_DaemonSettings)


def run_daemon(
    usage: str | None,
    cls: type[_Settings],
    run: Callable[[_Settings], Awaitable[None]],
    suffix: str,
) -> int:
    """Read the settings, run the process and return its exit code.

    Errors of briarrill and of the operating system are written to standard
    error and give ``EXIT_FAILED``.

    :param usage: docopt usage text.
    :param cls: class of the settings file.
    :param run: main coroutine of the process.
    :param suffix: appended to the instance name to name the process in logs.
    """
    arguments = docopt(usage, version=__version__)
    try:
        cfg = load_settings(arguments['SETTINGS'], cls)
        with (
            open_log(cfg.log, f'{cfg.instance.name}{suffix}'),
            use_curve_keys(cfg.curve),
        ):
            trio.run(run, cfg)
    except (BriarrillError, OSError) as exc:
        sys.stderr.write(f'{exc}\n')
        return EXIT_FAILED
    return 0
