"""briarrill.platform.upstreams: reads the upstreams' registrations."""

from typing import Literal

import attrs
import msgspec
from eliot import log_message

from ..coordination.mirror import MirrorListener
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable

__all__ = ('REGISTRATIONS_PREFIX', 'Registrations')

#: Prefix of the keys that upstreams write; the upstream's ID follows it.
REGISTRATIONS_PREFIX = 'servers/'


@attrs.frozen
class _Registration:
    """Registration that an upstream writes to the store.

    :param born: start of the upstream's process, Unix milliseconds.
    """

    service: str
    address: str
    zone: str
    slots: int
    state: Literal['ready', 'draining']
    born: int = 0


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


def _decode(upstream_id: str, body: bytes) -> RegisteredUpstream | None:
    """Decode a registration; log an unreadable one and return nothing."""
    try:
        registration = msgspec.json.decode(body, type=_Registration)
        host, _, port = registration.address.rpartition(':')
        address = (host, int(port))
    except ValueError as exc:
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
    )
