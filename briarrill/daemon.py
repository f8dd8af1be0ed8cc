"""briarrill.daemon: the thin command line that the daemons share."""

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
    @property
    def instance(self) -> InstanceSettings:
        """Return the instance."""

    @property
    def log(self) -> LogSettings:
        """Return the log."""

    @property
    def curve(self) -> CurveKeys | None:
        """Return the fleet's keys."""


_Settings = TypeVar('_Settings', bound=_DaemonSettings)


def run_daemon(
    usage: str | None,
    cls: type[_Settings],
    run: Callable[[_Settings], Awaitable[None]],
    suffix: str,
) -> int:
    """Read the settings, run the process and return its exit code.

    :param usage: the docopt usage text.
    :param suffix: tells apart processes of one instance in the log.
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
