"""briarrill.state.checks: attrs validators of settings.

Error messages begin with the key, since the caller adds only the path of the
table. Each validator raises ValueError.
"""

import ipaddress
import math
from collections.abc import Callable
from typing import Any, TypeAlias
from urllib.parse import urlsplit

import attrs

__all__ = (
    'Validator',
    'at_least',
    'check_address',
    'check_address_or_empty',
    'check_not_empty',
    'check_port',
    'check_positive',
    'check_url',
)

MAX_PORT = 65_535

Field: TypeAlias = 'attrs.Attribute[Any]'
Validator = Callable[[Any, Field, Any], None]


def _validation_error(field: Field, allowed: str, given: object) -> ValueError:
    return ValueError(f'{field.name}: must be {allowed}, not {given!r}')


def check_port(_owner: Any, field: Field, given: int) -> None:
    """Check that a setting is a TCP port number."""
    if not 0 < given <= MAX_PORT:
        raise _validation_error(field, f'between 1 and {MAX_PORT}', given)


def check_positive(_owner: Any, field: Field, given: float) -> None:
    """Check that a setting is a finite number above 0."""
    if not math.isfinite(given) or given <= 0:
        raise _validation_error(field, 'a number above 0', given)


def at_least(minimum: int) -> Validator:
    """Return a validator of settings with a minimum."""

    def check_minimum(_owner: Any, field: Field, given: int) -> None:
        if given < minimum:
            raise _validation_error(field, f'at least {minimum}', given)

    return check_minimum


def check_not_empty(_owner: Any, field: Field, given: str) -> None:
    """Check that a setting is neither empty nor blank."""
    if not given.strip():
        raise _validation_error(field, 'a text that is not empty', given)


def check_address(_owner: Any, field: Field, given: str) -> None:
    """Check that a setting is an IP address."""
    try:
        ipaddress.ip_address(given)
    except ValueError as exc:
        raise _validation_error(field, 'an IP address', given) from exc


def check_address_or_empty(owner: Any, field: Field, given: str) -> None:
    """Check that a setting is an IP address or empty."""
    if given:
        check_address(owner, field, given)


def check_url(_owner: Any, field: Field, given: str) -> None:
    """Check that a setting is an HTTP or HTTPS URL with a host."""
    parts = urlsplit(given)
    if parts.scheme not in {'http', 'https'} or not parts.hostname:
        raise _validation_error(
            field, 'a URL such as http://10.0.0.1:2379', given
        )
