"""briarrill.state.contracts: configuration of contracts, models, services."""

import math
import re
import tomllib
import zlib

import attrs
import msgspec

from ..decoding import decompress, json_decoder
from ..errors import ConfigurationError, MalformedMessageError, SettingsError
from .structuring import structure

__all__ = (
    'Configuration',
    'Contract',
    'Model',
    'Policy',
    'Service',
    'decode_configuration',
    'encode_configuration',
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
    """A service other than a model.

    :param pool: pool of the upstreams that serve it.
    :param non_idempotent: path prefixes of requests that run at most once.
    """

    pool: str
    non_idempotent: tuple[str, ...] = ()


@attrs.frozen
class Contract:
    """API keys, permitted models and services, and limits of one customer.

    :param api_key_sha256: hashes of the API keys.
    :param models: names of the permitted models.
    :param services: names of the permitted services.
    :param requests_per_second: rate limit of online requests, with a burst
        of one second's requests.
    :param tokens_per_second: rate limit of generated tokens.
    :param requests_in_flight: maximum concurrent online requests.
    :param batch_items_per_job: maximum items of one job.
    :param batch_items_in_flight: maximum concurrent batch items.
    :param batch_share: weight of its batch work relative to other contracts.
    :param result_retention_days: days for which results can be read.
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
    """Scheduling policy of the whole fleet.

    :param online_weight: from 0.0, which fills all slots with batch work, to
        1.0, which keeps slots free for online bursts.
    """

    online_weight: float = 0.0


@attrs.frozen
class Configuration:
    """One version of the operators' configuration."""

    contracts: dict[str, Contract] = attrs.field(factory=dict)
    models: dict[str, Model] = attrs.field(factory=dict)
    services: dict[str, Service] = attrs.field(factory=dict)
    policy: Policy = Policy()


_DECODER = json_decoder(Configuration)


def encode_configuration(cfg: Configuration) -> bytes:
    """Encode a configuration as compressed JSON."""
    return zlib.compress(msgspec.json.encode(cfg))


def decode_configuration(body: bytes) -> Configuration:
    """Decode and validate a stored configuration.

    :raises ConfigurationError: the record is damaged or invalid.
    """
    try:
        cfg = _DECODER.decode(decompress(body))
    except MalformedMessageError as exc:
        raise ConfigurationError(
            f'configuration record: {exc.message}'
        ) from exc
    _check_configuration(cfg)
    return cfg


def load_configuration(path: str) -> Configuration:
    """Read and validate a configuration file in TOML.

    :raises ConfigurationError: the file is unreadable or invalid; the message
        names the key and the allowed values.
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
    _check_configuration(cfg)
    return cfg


def _check_configuration(cfg: Configuration) -> None:
    """Check ranges and references, which the types do not express."""
    for name, contract in cfg.contracts.items():
        _check_contract(f'contracts.{name}', contract, cfg)
    if not 0 <= cfg.policy.online_weight <= 1:
        raise ConfigurationError(
            'policy.online_weight: must be 0.0 to 1.0, '
            f'not {cfg.policy.online_weight!r}'
        )


def _check_contract(
    key_path: str, contract: Contract, cfg: Configuration
) -> None:
    """Check hashes, limits and the names of models and services."""
    _check_api_key_hashes(key_path, contract)
    _check_limits(key_path, contract)
    _check_names_defined(
        f'{key_path}.models', contract.models, set(cfg.models)
    )
    _check_names_defined(
        f'{key_path}.services', contract.services, set(cfg.services)
    )


def _check_api_key_hashes(key_path: str, contract: Contract) -> None:
    for digest in contract.api_key_sha256:
        if not re.fullmatch('[0-9a-f]{64}', digest):
            raise ConfigurationError(
                f'{key_path}.api_key_sha256: must be 64 hexadecimal digits'
            )


def _check_limits(key_path: str, contract: Contract) -> None:
    for name, limit in attrs.asdict(contract).items():
        if not isinstance(limit, (int, float)):
            continue
        if not math.isfinite(limit) or limit <= 0:
            raise ConfigurationError(
                f'{key_path}.{name}: must be a number above 0, not {limit!r}'
            )


def _check_names_defined(
    key_path: str, names: tuple[str, ...], defined: set[str]
) -> None:
    for name in names:
        if name not in defined:
            allowed = ', '.join(sorted(defined)) or 'none defined'
            raise ConfigurationError(
                f'{key_path}: unknown name {name!r}; allowed: {allowed}'
            )
