"""briarrill.platform.member_keys: reads the registrations of processes."""

import ipaddress

import attrs
from eliot import log_message

from ..coordination.load_exchange import LoadExchange
from ..coordination.mirror import MirrorListener
from ..state.keys import MEMBERS_PREFIX

__all__ = ('MemberKeys',)


@attrs.define
class MemberKeys(MirrorListener):
    """Adds and removes the registered processes at the load exchange."""

    load: LoadExchange

    def apply_key(self, key: str, body: bytes | None) -> None:
        """Update one process; remove it if deleted or unreadable."""
        name = key.removeprefix(MEMBERS_PREFIX)
        host = None if body is None else _read_host(key, body)
        self.load.update_member(name, host)


def _read_host(key: str, body: bytes) -> str | None:
    """Return the address of a process; log an unreadable one.

    Only an address: resolving a name would block all tasks.
    """
    try:
        return str(ipaddress.IPv4Address(body.decode()))
    except ValueError as exc:
        log_message('member:unreadable', key=key, reason=str(exc))
        return None
