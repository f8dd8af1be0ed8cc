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
    change = KeyChange(key, host.encode())
    while True:
        try:
            if lease_id and await service.keep_lease_alive(lease_id):
                await trio.sleep(TTL_S / RENEWALS_PER_TTL)
                continue
            lease_id = await service.grant_lease(TTL_S)
            await service.transact(
                [KeyChange(key, change.body, lease_id=lease_id)]
            )
            log_message('registration:made', key=key, host=host)
        except BriarrillError as exc:
            log_message('registration:failed', reason=exc.message)
            await trio.sleep(random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))


@contextlib.asynccontextmanager
async def hold_registration(
    service: KeyValueService, key: str, host: str
) -> AsyncIterator[None]:
    """Be registered in the background; the lease ends the registration."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_keep, service, key, host)
        yield
        nursery.cancel_scope.cancel()
