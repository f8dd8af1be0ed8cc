"""briarrill.platform.upstreams: reads the upstreams' registrations."""

import ipaddress
import re
from typing import Annotated, Literal

import attrs
import msgspec
from eliot import log_message

from ..coordination.mirror import MirrorListener
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable
from ..coordination.version_records import ServedVersion
from ..decoding import json_decoder
from ..errors import MalformedMessageError
from ..transport.http_messages import check_request

__all__ = ('REGISTRATIONS_PREFIX', 'Registrations', 'decode_version')

#: Prefix of the keys that upstreams write; the upstream's ID follows it.
REGISTRATIONS_PREFIX = 'servers/'

_MAX_PORT = 65_535
_PORT_PATTERN = re.compile('[0-9]{1,5}')

_BROADCAST = ipaddress.IPv4Address('255.255.255.255')

# longest name that fits into a key of the store
_MAX_NAME_LENGTH = 200

# last millisecond of the year 9999
_MAX_BORN_MS = 253_402_300_799_999

# several times what one server runs at the same time
_MAX_SLOTS = 4096

_Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_LENGTH)]


@attrs.frozen
class _Registration:
    """Registration that an upstream writes to the store.

    :param version: version of the upstream's software.
    :param born: start of the upstream's process, Unix milliseconds.
    """

    service: _Name
    address: str
    zone: _Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: Literal['ready', 'draining']
    version: _Name = ''
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_BORN_MS)] = 0


_DECODER = json_decoder(_Registration)


class Registrations(MirrorListener):
    """Copies registrations from the store to the table of upstreams."""

    def __init__(self, table: UpstreamTable) -> None:
        """Start with a table to update."""
        self._table = table

    def apply_key(self, key: str, body: bytes | None) -> None:
        """Update one upstream; remove it if deleted or unreadable."""
        upstream_id = key.removeprefix(REGISTRATIONS_PREFIX)
        upstream = None if body is None else _decode(upstream_id, body)
        if upstream is None:
            self._table.unregister(upstream_id)
        else:
            self._table.register(upstream)


def decode_version(key: str, body: bytes) -> ServedVersion | None:
    """Return the version in a registration, none if it cannot be read."""
    upstream = _decode(key.removeprefix(REGISTRATIONS_PREFIX), body)
    if upstream is None:
        return None
    return ServedVersion(upstream.service, upstream.version)


def _decode_address(address: str) -> tuple[str, int]:
    """Return the IP address and port.

    :raises ValueError: the text is no such pair, or names no single host.
    """
    host, _, port = address.rpartition(':')
    number = int(port) if _PORT_PATTERN.fullmatch(port) else 0
    if not 0 < number <= _MAX_PORT:
        raise ValueError(f'port {port!r} is not between 1 and {_MAX_PORT}')
    ip_address = ipaddress.IPv4Address(host)
    if (
        ip_address.is_unspecified
        or ip_address.is_multicast
        or ip_address == _BROADCAST
    ):
        raise ValueError(f'address {host} names no single host')
    return str(ip_address), number


def _check_id(upstream_id: str) -> None:
    """Check that requests can name an upstream.

    :raises ValueError: the ID is empty, too long for a key, or has characters
        that headers do not allow.
    """
    if not 0 < len(upstream_id) <= _MAX_NAME_LENGTH:
        raise ValueError(f'{len(upstream_id)} characters are no ID')
    check_request('/', {'id': upstream_id})


def _decode(upstream_id: str, body: bytes) -> RegisteredUpstream | None:
    """Decode a registration; log an unreadable one and return nothing."""
    try:
        registration = _DECODER.decode(body)
        address = _decode_address(registration.address)
        _check_id(upstream_id)
    except (MalformedMessageError, ValueError) as exc:
        log_message(
            'upstream:unreadable', upstream=upstream_id, reason=str(exc)
        )
        return None
    return RegisteredUpstream(
        upstream_id=upstream_id,
        service=registration.service,
        address=address,
        failure_domain=registration.zone,
        slots=registration.slots,
        is_draining=registration.state == 'draining',
        incarnation=f'{upstream_id}/{registration.born}',
        version=registration.version,
    )
