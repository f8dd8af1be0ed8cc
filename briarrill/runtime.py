"""briarrill.runtime: log, platform clients, signals and operators' routes."""

import contextlib
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import attrs
import httpx
import trio
from eliot import (
    FileDestination,
    add_destinations,
    add_global_fields,
    log_message,
    remove_destination,
)
from quart_trio import QuartTrio

from .ops_app import make_ops_app
from .readiness import Readiness
from .state.settings import HttpSettings, LogSettings, PlatformSettings
from .transport.etcd import EtcdService
from .transport.http_server import HttpTimeouts, serve_app
from .transport.instance_list import InstanceList
from .transport.key_value import KeyValueService

__all__ = (
    'Platform',
    'open_log',
    'open_platform',
    'serve_ops',
    'wait_for_stop_signal',
)


@attrs.frozen
class Platform:
    """Clients of the platform's services."""

    key_value: KeyValueService
    instance_list: InstanceList


@contextlib.contextmanager
def open_log(cfg: LogSettings, process: str) -> Iterator[None]:
    """Append eliot messages to the log file until exit.

    :param process: name added to each message.
    :raises OSError: the file cannot be opened.
    """
    with open(cfg.path, 'ab') as stream:
        destination = FileDestination(file=stream)
        add_destinations(destination)
        add_global_fields(process=process)
        log_message('process:started')
        try:
            yield
        finally:
            log_message('process:stopped')
            remove_destination(destination)


@contextlib.asynccontextmanager
async def open_platform(cfg: PlatformSettings) -> AsyncIterator[Platform]:
    """Open clients of the platform's services and close them on exit."""
    async with (
        httpx.AsyncClient(base_url=cfg.key_value_url) as key_value,
        httpx.AsyncClient(base_url=cfg.instance_list_url) as instance_list,
    ):
        yield Platform(
            key_value=EtcdService(key_value),
            instance_list=InstanceList(instance_list),
        )


async def wait_for_stop_signal() -> None:
    """Wait for the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(aiter(signals))


async def serve_ops(
    cfg: HttpSettings,
    default_host: str,
    readiness: Readiness,
    shutdown: Callable[[], Awaitable[None]] = trio.sleep_forever,
) -> None:
    """Serve metrics and health checks until ``shutdown`` returns.

    :param default_host: address to bind if the settings name none.
    :raises OSError: the address cannot be bound.
    """
    app: QuartTrio = make_ops_app(readiness)
    timeouts = HttpTimeouts(cfg.idle_timeout_s, cfg.send_timeout_s)
    await serve_app(
        app, cfg.host or default_host, cfg.port, shutdown, timeouts
    )
