"""briarrill.state.checks: validators of settings' values.

A message begins with the key, since the place that it is reported with is
the table.
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


def _refuse(field: Field, allowed: str, given: object) -> ValueError:
    return ValueError(f'{field.name}: must be {allowed}, not {given!r}')


def check_port(_owner: Any, field: Field, given: int) -> None:
    """Take a TCP port."""
    if not 0 < given <= MAX_PORT:
        raise _refuse(field, f'between 1 and {MAX_PORT}', given)


def check_positive(_owner: Any, field: Field, given: float) -> None:
    """Take a finite number above 0."""
    if not math.isfinite(given) or given <= 0:
        raise _refuse(field, 'a number above 0', given)


def at_least(least: int) -> Validator:
    """Return a validator of whole numbers from a least one on."""

    def check_least(_owner: Any, field: Field, given: int) -> None:
        if given < least:
            raise _refuse(field, f'at least {least}', given)

    return check_least


def check_not_empty(_owner: Any, field: Field, given: str) -> None:
    """Take a text that is not blank."""
    if not given.strip():
        raise _refuse(field, 'a text that is not empty', given)


def check_address(_owner: Any, field: Field, given: str) -> None:
    """Take an IP address."""
    try:
        ipaddress.ip_address(given)
    except ValueError as exc:
        raise _refuse(field, 'an IP address', given) from exc


def check_address_or_empty(owner: Any, field: Field, given: str) -> None:
    """Take an IP address or nothing."""
    if given:
        check_address(owner, field, given)


def check_url(_owner: Any, field: Field, given: str) -> None:
    """Take the base URL of an HTTP service."""
    parts = urlsplit(given)
    if parts.scheme not in {'http', 'https'} or not parts.hostname:
        raise _refuse(field, 'a URL such as http://10.0.0.1:2379', given)
