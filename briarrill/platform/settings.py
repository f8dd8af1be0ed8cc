"""briarrill.platform.settings: reads the platform's settings file.

The platform may add fields at any time, so unknown fields are ignored. A
known field of a wrong type is an error.
"""

import tomllib
from pathlib import Path

import attrs
import msgspec

from ..errors import SettingsError

__all__ = ('PlatformInstance', 'SETTINGS_VARIABLE', 'load_platform_settings')

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'BRIARRILL_CONFIG'

_MS_PER_S = 1000
_BYTES_PER_MB = 1_000_000

# of a machine whose settings state none: those of the smallest with an entry
DEFAULT_MEMORY_MB = 160
DEFAULT_MAX_DESCRIPTORS = 1600

Address = tuple[str, int]


@attrs.frozen
class _Store:
    """Address and limits of the platform's key-value store."""

    address: str
    value_bytes: int = 1_048_576


@attrs.frozen
class _ListenAddrs:
    front_http: str = ''
    ready: str = ''


@attrs.frozen
class _Limits:
    """What the machine has for the process."""

    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_DESCRIPTORS


@attrs.frozen
class _Params:
    """Limits of the platform's contracts, with their usual values."""

    addr_reuse_s: float = 2
    ack_ms: float = 4000
    grace_s: float = 8
    pass_ms: float = 120
    retention_s: float = 120
    cancel_ms: float = 3000
    settle_ms: float = 1000


@attrs.frozen
class _File:
    node_name: str
    ip: str
    zone: str
    internal_port_range: tuple[int, int]
    platform: _Store
    data_dir: str = ''
    seed_nodes: tuple[str, ...] = ()
    listen_addrs: _ListenAddrs = _ListenAddrs()
    contract_params: _Params = _Params()
    limits: _Limits = _Limits()


@attrs.frozen
class PlatformInstance:
    """Settings of an instance from the platform's file.

    :param name: the instance's name.
    :param host: the instance's IP address.
    :param store: address of the key-value service.
    :param peer_port: UDP and TCP port at which peers are served.
    :param seeds: hosts that may know the other processes while the service
        is unavailable.
    :param callers: address to serve callers at, if any.
    :param ready: address of readiness checks, if any.
    :param max_value_bytes: largest value that the service accepts.
    :param data_dir: folder on the local disk, if there is one.
    :param grace_s: time between the stop signal and the kill.
    :param retention_s: time for which results stay readable.
    :param memory_bytes: memory that the process may use.
    :param max_descriptors: descriptors that it may open.
    """

    name: str
    host: str
    failure_domain: str
    store: Address
    peer_port: int
    seeds: tuple[str, ...]
    callers: Address | None
    ready: Address | None
    max_value_bytes: int
    data_dir: Path | None
    grace_s: float
    retention_s: float
    memory_bytes: int = DEFAULT_MEMORY_MB * _BYTES_PER_MB
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS


def load_platform_settings(path: str) -> PlatformInstance:
    """Read and check the platform's settings file.

    :raises SettingsError: the file is unreadable, or a field is missing or
        invalid; the message names it.
    """
    try:
        with open(path, 'rb') as stream:
            raw_fields = tomllib.load(stream)
        parsed = msgspec.convert(raw_fields, _File)
    except (OSError, ValueError) as exc:
        raise SettingsError(f'{path}: {exc}') from exc
    listen = parsed.listen_addrs
    return PlatformInstance(
        name=parsed.node_name,
        host=parsed.ip,
        failure_domain=parsed.zone,
        store=_address(parsed.platform.address),
        peer_port=parsed.internal_port_range[0],
        seeds=tuple(_address(seed)[0] for seed in parsed.seed_nodes),
        callers=_address(listen.front_http) if listen.front_http else None,
        ready=_address(listen.ready) if listen.ready else None,
        data_dir=Path(parsed.data_dir) if parsed.data_dir else None,
        max_value_bytes=parsed.platform.value_bytes,
        grace_s=parsed.contract_params.grace_s,
        retention_s=parsed.contract_params.retention_s,
        memory_bytes=int(parsed.limits.memory_mb * _BYTES_PER_MB),
        max_descriptors=parsed.limits.max_fds,
    )


def _address(text: str) -> Address:
    """Parse an address of the form IP:PORT.

    :raises SettingsError: it has another form.
    """
    host, _, port = text.rpartition(':')
    if not host or not port.isdigit():
        raise SettingsError(f'address {text!r} does not have the form IP:PORT')
    return host, int(port)
