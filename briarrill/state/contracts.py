"""briarrill.state.contracts: the operators' configuration and contracts."""

import hashlib
import re
import tomllib
import zlib

import attrs
import msgspec

from ..errors import ConfigurationError, SettingsError
from .structuring import structure

__all__ = (
    'Configuration',
    'Contract',
    'Model',
    'Policy',
    'Service',
    'decode_configuration',
    'encode_configuration',
    'hash_api_key',
    'load_configuration',
)


@attrs.frozen
class Model:
    """A model that callers name in requests.

    :param pool: pool of the upstreams that serve it.
    """

    pool: str


@attrs.frozen
class Service:
    """A plain service.

    :param pool: pool of its upstreams.
    :param non_idempotent: path prefixes whose calls run at most once.
    """

    pool: str
    non_idempotent: tuple[str, ...] = ()


@attrs.frozen
class Contract:
    """What one customer may use.

    :param api_key_sha256: hashes of the keys that authenticate it.
    :param models: names of its models.
    :param services: names of its plain services.
    :param requests_per_second: online requests a second, with a burst of
        one second's worth.
    :param tokens_per_second: generated tokens a second.
    :param requests_in_flight: online requests at the same time.
    :param batch_items_per_job: items that one job may hold.
    :param batch_items_in_flight: batch items that run at the same time.
    :param batch_share: weight against other contracts' batch work.
    :param result_retention_days: days that results stay readable.
    """

    api_key_sha256: tuple[str, ...]
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    requests_per_second: float = 10.0
    tokens_per_second: float = 2000.0
    requests_in_flight: int = 32
    batch_items_per_job: int = 50_000
    batch_items_in_flight: int = 256
    batch_share: float = 1.0
    result_retention_days: int = 30


@attrs.frozen
class Policy:
    """Choices that hold for the whole fleet.

    :param online_weight: 1.0 keeps slots free for online bursts, 0.0 fills
        all of them with batch work.
    """

    online_weight: float = 0.0


@attrs.frozen
class Configuration:
    """One version of all that operators set."""

    contracts: dict[str, Contract] = attrs.field(factory=dict)
    models: dict[str, Model] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    policy: Policy = Policy()


def hash_api_key(api_key: str) -> str:
    """Return the hash under which a contract lists a key."""
    return hashlib.sha256(api_key.encode()).hexdigest()


def encode_configuration(cfg: Configuration) -> bytes:
    """Return the stored form: compressed JSON."""
    return zlib.compress(msgspec.json.encode(cfg))


def decode_configuration(body: bytes) -> Configuration:
    """Return the configuration of a stored record.

    :raises ConfigurationError: the record is damaged or invalid.
    """
    try:
        cfg = msgspec.json.decode(zlib.decompress(body), type=Configuration)
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise ConfigurationError(f'configuration record: {exc}') from exc
    _check(cfg)
    return cfg


def load_configuration(path: str) -> Configuration:
    """Read and check an operator's TOML file.

    :raises ConfigurationError: names the place and the allowed values.
    """
    try:
        with open(path, 'rb') as stream:
            fields = tomllib.load(stream)
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise ConfigurationError(f'{path}: {exc}') from exc
    try:
        cfg = structure(fields, Configuration)
    except SettingsError as exc:
        raise ConfigurationError(f'{path}: {exc.message}') from exc
    _check(cfg)
    return cfg


def _check(cfg: Configuration) -> None:
    """Check what the types alone do not say."""
    for name, contract in cfg.contracts.items():
        _check_contract(f'contracts.{name}', contract, cfg)
    if not 0 <= cfg.policy.online_weight <= 1:
        raise ConfigurationError('policy.online_weight: must be 0.0 to 1.0')


def _check_contract(
    place: str, contract: Contract, cfg: Configuration
) -> None:
    _check_keys(place, contract)
    _check_limits(place, contract)
    _check_known(f'{place}.models', contract.models, set(cfg.models))
    _check_known(f'{place}.services', contract.services, set(cfg.services))


def _check_keys(place: str, contract: Contract) -> None:
    for digest in contract.api_key_sha256:
        if not re.fullmatch('[0-9a-f]{64}', digest):
            raise ConfigurationError(
                f'{place}.api_key_sha256: must be 64 hexadecimal digits'
            )


def _check_limits(place: str, contract: Contract) -> None:
    for name, limit in attrs.asdict(contract).items():
        if isinstance(limit, (int, float)) and limit <= 0:
            raise ConfigurationError(f'{place}.{name}: must be above 0')


def _check_known(place: str, names: tuple[str, ...], known: set[str]) -> None:
    for name in names:
        if name not in known:
            allowed = ', '.join(sorted(known)) or 'none defined'
            raise ConfigurationError(
                f'{place}: unknown name {name!r}; allowed: {allowed}'
            )
