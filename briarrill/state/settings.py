"""briarrill.state.settings: classes and loading of settings files."""

import enum
import tomllib
from typing import Any, TypeVar

import attrs

from ..errors import SettingsError
from ..transport.curve import CurveKeys
from .checks import (
    at_least,
    check_address,
    check_address_or_empty,
    check_not_empty,
    check_port,
    check_positive,
    check_url,
)
from .segments import TARGET_SEGMENT_BYTES
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
    'SETTINGS_BY_BINARY',
    'SidecarSettings',
    'StoreSettings',
    'UpstreamKind',
    'UpstreamSettings',
    'binary_for_settings',
    'load_settings',
)

_Settings = TypeVar('_Settings')


class UpstreamKind(enum.StrEnum):
    """Kind of the upstream of a sidecar."""

    ENGINE = 'engine'
    SERVICE = 'service'


@attrs.frozen
class InstanceSettings:
    """The instance that the process runs on.

    :param name: name in the instance list.
    :param host: IP address at which peers connect.
    """

    name: str = attrs.field(validator=check_not_empty)
    host: str = attrs.field(validator=check_address)
    failure_domain: str = attrs.field(validator=check_not_empty)
    region: str = attrs.field(validator=check_not_empty)


@attrs.frozen
class PlatformSettings:
    """Addresses of the platform's services.

    :param instance_poll_s: interval between reads of the instance list.
    """

    key_value_url: str = attrs.field(validator=check_url)
    instance_list_url: str = attrs.field(validator=check_url)
    instance_poll_s: float = attrs.field(default=1.0, validator=check_positive)


@attrs.frozen
class LogSettings:
    """The log file of the process, with one JSON object per line."""

    path: str = attrs.field(validator=check_not_empty)


@attrs.frozen
class PortSettings:
    """TCP ports between processes, the same on all instances."""

    entry_control: int = attrs.field(default=7110, validator=check_port)
    batch_items: int = attrs.field(default=7120, validator=check_port)
    batch_store: int = attrs.field(default=7121, validator=check_port)
    batch_control: int = attrs.field(default=7122, validator=check_port)
    sidecar_online: int = attrs.field(default=7130, validator=check_port)
    sidecar_control: int = attrs.field(default=7131, validator=check_port)


@attrs.frozen
class HttpSettings:
    """A listening HTTP server.

    :param host: IP address to listen on; empty for the instance's.
    :param idle_timeout_s: time limit for receiving a request head.
    :param send_timeout_s: time limit for a peer to accept sent bytes.
    """

    port: int = attrs.field(validator=check_port)
    host: str = attrs.field(default='', validator=check_address_or_empty)
    idle_timeout_s: float = attrs.field(default=75.0, validator=check_positive)
    send_timeout_s: float = attrs.field(default=30.0, validator=check_positive)


@attrs.frozen
class StoreSettings:
    """The data folder of a batch process.

    :param copies: number of replicas of each segment.
    :param max_bytes: disk space limit of all segments.
    """

    folder: str = attrs.field(validator=check_not_empty)
    copies: int = attrs.field(default=2, validator=at_least(1))
    max_bytes: int = attrs.field(
        default=10_000_000_000, validator=at_least(TARGET_SEGMENT_BYTES)
    )


@attrs.frozen
class UpstreamSettings:
    """The upstream of a sidecar.

    :param slots: maximum concurrent requests.
    :param queue: maximum online requests that wait for a slot.
    """

    kind: UpstreamKind
    url: str = attrs.field(validator=check_url)
    pool: str = attrs.field(validator=check_not_empty)
    slots: int = attrs.field(default=8, validator=at_least(1))
    queue: int = attrs.field(default=64, validator=at_least(0))


@attrs.frozen
class EntrySettings:
    """Settings of ``briarrill-entry``.

    :param copies: number of replicas of each segment of an input file.
    :param max_requests: maximum concurrent requests of callers.
    :param body_timeout_s: time limit for receiving a JSON body, or the next
        part of an uploaded file.
    :param max_held_bytes: bytes of the bodies of all requests together.
    """

    instance: InstanceSettings
    platform: PlatformSettings
    log: LogSettings
    http: HttpSettings
    ports: PortSettings = PortSettings()
    curve: CurveKeys | None = None
    copies: int = attrs.field(default=2, validator=at_least(1))
    request_timeout_s: float = attrs.field(
        default=60.0, validator=check_positive
    )
    body_timeout_s: float = attrs.field(default=30.0, validator=check_positive)
    max_requests: int = attrs.field(default=1000, validator=at_least(1))
    max_body_bytes: int = attrs.field(default=4_000_000, validator=at_least(1))
    max_held_bytes: int = attrs.field(
        default=64_000_000, validator=at_least(1)
    )
    max_file_bytes: int = attrs.field(
        default=1_000_000_000, validator=at_least(1)
    )


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
    lease_ttl_s: int = attrs.field(default=5, validator=at_least(1))


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
    """Read and validate a settings file.

    :raises SettingsError: the file is unreadable or invalid; the message
        names the file, the key and the allowed values.
    """
    tables = _read_tables(path)
    try:
        return structure(tables, cls)
    except SettingsError as exc:
        raise SettingsError(f'{path}: {exc.message}') from exc


#: Settings class by binary.
SETTINGS_BY_BINARY: dict[str, type[object]] = {
    'batch': BatchSettings,
    'ctl': CtlSettings,
    'entry': EntrySettings,
    'sidecar': SidecarSettings,
}

# binary by the table that only its settings have
_BINARY_BY_TABLE = {'http': 'entry', 'store': 'batch', 'upstream': 'sidecar'}

_ALL_TABLE_NAMES = frozenset(
    field.name
    for cls in SETTINGS_BY_BINARY.values()
    for field in attrs.fields(cls)  # type: ignore[arg-type]
)


def binary_for_settings(path: str) -> str:
    """Return the binary that a settings file configures.

    :returns: empty when the file has no table of any settings class.
    :raises SettingsError: the file cannot be read.
    """
    tables = _read_tables(path)
    if not _ALL_TABLE_NAMES.intersection(tables):
        return ''
    binaries = (_BINARY_BY_TABLE.get(key, '') for key in tables)
    return next(filter(None, binaries), 'ctl')


def _read_tables(path: str) -> dict[str, Any]:
    try:
        with open(path, 'rb') as stream:
            return tomllib.load(stream)
    except (OSError, ValueError) as exc:
        raise SettingsError(f'{path}: {exc}') from exc
