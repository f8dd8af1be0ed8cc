"""briarrill.coordination.registration: register a process's address.

The registration is a key under a lease, so it expires after the process
ends. Names are unique, hosts are not: a process that restarts on another
host overwrites its key.
"""

import contextlib
import random
from collections.abc import AsyncIterator

import trio
from eliot import log_message

from ..errors import BriarrillError
from ..transport.key_value import KeyValueService

__all__ = ('hold_registration',)

# longer than short outages of the service; load reports show sooner which
# processes are alive
REGISTRATION_TTL_S = 12
RENEWALS_PER_TTL = 3

# bounds of the random pause after a failed call
MIN_RETRY_PAUSE_S = 0.5
MAX_RETRY_PAUSE_S = 1.5


async def _keep_registered(
    service: KeyValueService, key: str, host: str
) -> None:
    """Register the process and renew its lease until cancelled."""
    lease_id = 0
    while True:
        try:
            lease_id = await _renew_or_register(service, key, host, lease_id)
        except BriarrillError as exc:
            log_message('registration:failed', reason=exc.message)
            await trio.sleep(
                random.uniform(MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S)
            )
        else:
            await trio.sleep(REGISTRATION_TTL_S / RENEWALS_PER_TTL)


async def _renew_or_register(
    service: KeyValueService, key: str, host: str, lease_id: int
) -> int:
    """Renew the lease, or register under a new one; return its identifier."""
    if lease_id and await service.keep_lease_alive(lease_id):
        return lease_id
    new_lease_id = await service.grant_lease(REGISTRATION_TTL_S)
    # a lost write must not attach the key to its old lease later
    await service.overwrite(key, host.encode(), lease_id=new_lease_id)
    log_message('registration:made', key=key, host=host)
    return new_lease_id


@contextlib.asynccontextmanager
async def hold_registration(
    service: KeyValueService, key: str, host: str
) -> AsyncIterator[None]:
    """Keep a process registered while the ``with`` block runs.

    The key is not deleted on exit; it expires with its lease.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_keep_registered, service, key, host)
        yield
        nursery.cancel_scope.cancel()
