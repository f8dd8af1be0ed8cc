"""briarrill.coordination.registration: where a process can be reached.

A key under a lease, so that it ends with the process. Names, not places, are
unique: a process that starts again elsewhere takes its key over.
"""

import contextlib
import random
from collections.abc import AsyncIterator

import trio
from eliot import log_message

from ..errors import BriarrillError
from ..transport.key_value import KeyChange, KeyValueService

__all__ = ('hold_registration',)

# outlives the service's short outages; who is alive is told by heartbeats
TTL_S = 12
RENEWALS_PER_TTL = 3

# pauses after a failed call
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 1.5


async def _keep(service: KeyValueService, key: str, host: str) -> None:
    """Register and renew until cancelled."""
    lease_id = 0
    while True:
        try:
            lease_id = await _renew(service, key, host, lease_id)
        except BriarrillError as exc:
            log_message('registration:failed', reason=exc.message)
            await trio.sleep(random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
        else:
            await trio.sleep(TTL_S / RENEWALS_PER_TTL)


async def _renew(
    service: KeyValueService, key: str, host: str, lease_id: int
) -> int:
    """Renew the registration, or make it anew; return its lease."""
    if lease_id and await service.keep_lease_alive(lease_id):
        return lease_id
    granted = await service.grant_lease(TTL_S)
    await service.transact([KeyChange(key, host.encode(), lease_id=granted)])
    log_message('registration:made', key=key, host=host)
    return granted


@contextlib.asynccontextmanager
async def hold_registration(
    service: KeyValueService, key: str, host: str
) -> AsyncIterator[None]:
    """Be registered in the background; the lease ends the registration."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_keep, service, key, host)
        yield
        nursery.cancel_scope.cancel()
