"""briarrill.platform.upstreams: registrations of upstreams in the store."""

from typing import Literal

import attrs
import msgspec
from eliot import log_message

from ..coordination.mirror import MirrorUser
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable

__all__ = ('REGISTRATIONS_PREFIX', 'Registrations')

#: Prefix of the upstreams' own keys; each is followed by the identifier.
REGISTRATIONS_PREFIX = 'servers/'


@attrs.frozen
class _Registration:
    """An upstream's own words.

    :param born: start of this life of the upstream, Unix milliseconds.
    """

    service: str
    address: str
    zone: str
    slots: int
    state: Literal['ready', 'draining']
    born: int = 0


class Registrations(MirrorUser):
    """Keeps the table of upstreams as the store has it."""

    def __init__(self, table: UpstreamTable) -> None:
        """Keep the table to fill."""
        self._table = table

    def take_key(self, key: str, body: bytes | None) -> None:
        """Take a registration; an unreadable one names no upstream."""
        upstream_id = key.removeprefix(REGISTRATIONS_PREFIX)
        upstream = None if body is None else _decode(upstream_id, body)
        if upstream is None:
            self._table.remove(upstream_id)
        else:
            self._table.put(upstream)


def _decode(upstream_id: str, body: bytes) -> RegisteredUpstream | None:
    try:
        found = msgspec.json.decode(body, type=_Registration)
        host, _, port = found.address.rpartition(':')
        address = (host, int(port))
    except ValueError as exc:
        log_message(
            'upstream:unreadable', upstream=upstream_id, reason=str(exc)
        )
        return None
    return RegisteredUpstream(
        upstream_id=upstream_id,
        service=found.service,
        address=address,
        failure_domain=found.zone,
        slots=found.slots,
        is_draining=found.state == 'draining',
        incarnation=f'{upstream_id}/{found.born}',
    )
