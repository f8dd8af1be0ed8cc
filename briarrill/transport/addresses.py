"""briarrill.transport.addresses: checks addresses that other writers name."""

import functools
import ipaddress

__all__ = ('is_address',)

# addresses that are kept for their next use; a fleet has hundreds
MAX_CACHED_ADDRESSES = 8192


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def is_address(host: str) -> bool:
    """Tell whether a host is an IPv4 address, which needs no resolver.

    Resolving a name would block all tasks.
    """
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
