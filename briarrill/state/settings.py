"""briarrill.state.settings: the settings file of each binary."""

import enum
import tomllib
from typing import TypeVar

import attrs

from ..errors import SettingsError
from ..transport.curve import CurveKeys
from .structuring import structure

__all__ = (
    'BatchSettings',
    'CtlSettings',
    'EntrySettings',
    'HttpSettings',
    'InstanceSettings',
    'LogSettings',
    'PlatformSettings',
    'PortSettings',
    'SidecarSettings',
    'StoreSettings',
    'UpstreamKind',
    'UpstreamSettings',
    'load_settings',
)

_Settings = TypeVar('_Settings')


class UpstreamKind(enum.StrEnum):
    """What stands behind a sidecar."""

    ENGINE = 'engine'
    SERVICE = 'service'


@attrs.frozen
class InstanceSettings:
    """The instance that the process runs on.

    :param name: name in the instance list.
    :param host: IP address that peers reach.
    """

    name: str
    host: str
    failure_domain: str
    region: str


@attrs.frozen
class PlatformSettings:
    """Where the platform's services are."""

    key_value_url: str
    instance_list_url: str
    instance_poll_s: float = 1.0


@attrs.frozen
class LogSettings:
    """Where the process writes its log; one JSON object a line."""

    path: str


@attrs.frozen
class PortSettings:
    """TCP ports between processes, the same on the whole fleet."""

    entry_control: int = 7110
    batch_items: int = 7120
    batch_store: int = 7121
    batch_control: int = 7122
    sidecar_online: int = 7130
    sidecar_control: int = 7131


@attrs.frozen
class HttpSettings:
    """A listening HTTP server.

    :param host: IP address to listen on, default the instance's.
    :param idle_timeout_s: wait for a whole request head.
    :param send_timeout_s: wait for a peer that takes no bytes.
    """

    port: int
    host: str = ''
    idle_timeout_s: float = 75.0
    send_timeout_s: float = 30.0


@attrs.frozen
class StoreSettings:
    """The data folder.

    :param copies: instances that keep each segment.
    :param max_bytes: disk space that segments may take.
    """

    folder: str
    copies: int = 2
    max_bytes: int = 10_000_000_000


@attrs.frozen
class UpstreamSettings:
    """The upstream beside a sidecar.

    :param slots: requests that it runs at the same time.
    :param queue: online requests that may wait for a slot.
    :param fencing: whether it checks fencing numbers of orders.
    """

    kind: UpstreamKind
    url: str
    pool: str
    slots: int = 8
    queue: int = 64
    fencing: bool = True


@attrs.frozen
class EntrySettings:
    """Settings of ``briarrill-entry``.

    :param copies: instances that keep each segment of an input file.
    :param max_requests: callers' requests served at the same time.
    :param body_timeout_s: wait for a JSON body, or for the next part of an
        uploaded file.
    """

    instance: InstanceSettings
    platform: PlatformSettings
    log: LogSettings
    http: HttpSettings
    ports: PortSettings = PortSettings()
    curve: CurveKeys | None = None
    copies: int = 2
    request_timeout_s: float = 60.0
    body_timeout_s: float = 30.0
    max_requests: int = 1000
    max_body_bytes: int = 4_000_000
    max_file_bytes: int = 1_000_000_000


@attrs.frozen
class BatchSettings:
    """Settings of ``briarrill-batch``."""

    instance: InstanceSettings
    platform: PlatformSettings
    log: LogSettings
    metrics: HttpSettings
    store: StoreSettings
    ports: PortSettings = PortSettings()
    curve: CurveKeys | None = None
    lease_ttl_s: int = 5


@attrs.frozen
class SidecarSettings:
    """Settings of ``briarrill-sidecar``."""

    instance: InstanceSettings
    platform: PlatformSettings
    log: LogSettings
    metrics: HttpSettings
    upstream: UpstreamSettings
    ports: PortSettings = PortSettings()
    curve: CurveKeys | None = None


@attrs.frozen
class CtlSettings:
    """Settings of ``briarrill-ctl``."""

    platform: PlatformSettings
    ports: PortSettings = PortSettings()
    curve: CurveKeys | None = None


def load_settings(path: str, cls: type[_Settings]) -> _Settings:
    """Read and check a settings file.

    :raises SettingsError: names the file, the key and what is allowed.
    """
    try:
        with open(path, 'rb') as stream:
            fields = tomllib.load(stream)
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(f'{path}: {exc}') from exc
    try:
        return structure(fields, cls)
    except SettingsError as exc:
        raise SettingsError(f'{path}: {exc.message}') from exc
