"""briarrill.coordination.leases: one lease for each process."""

import contextlib
import time
from collections.abc import AsyncIterator

import trio
from eliot import log_message

from ..errors import BriarrillError, LeaseLostError
from ..state.keys import lease_key
from ..transport.key_value import KeyValueService

__all__ = ('Lease', 'hold_lease')

# part of the time to live that a holder does not use, against slow clocks
MARGIN = 0.2

# renewals in one time to live
RENEWALS_PER_TTL = 3


class Lease:
    """A lease that its holder checks right before each act.

    :param service: grants the lease.
    :param process: name of the holder.
    :param ttl_s: time to live in seconds.
    """

    def __init__(
        self, service: KeyValueService, process: str, ttl_s: int
    ) -> None:
        """Start without a grant."""
        self.lease_id = 0
        self._service = service
        self._process = process
        self._ttl_s = ttl_s
        self._valid_until = 0.0

    @property
    def is_valid(self) -> bool:
        """Whether the holder may act now."""
        return time.monotonic() < self._valid_until

    def check(self) -> None:
        """Refuse to act without a valid lease.

        :raises LeaseLostError: the lease lapsed or was never granted.
        """
        if not self.is_valid:
            raise LeaseLostError(f'the lease of {self._process} has lapsed')

    async def run(self) -> None:
        """Renew, or grant anew after a lapse, until cancelled."""
        while True:
            with contextlib.suppress(BriarrillError):
                await self._renew()
            await trio.sleep(self._ttl_s / RENEWALS_PER_TTL)

    async def _renew(self) -> None:
        asked_at = time.monotonic()
        ttl_s = 0
        if self.lease_id:
            ttl_s = await self._service.keep_lease_alive(self.lease_id)
        if ttl_s <= 0:
            await self._grant()
            return
        self._valid_until = asked_at + ttl_s * (1 - MARGIN)

    async def _grant(self) -> None:
        asked_at = time.monotonic()
        lease_id = await self._service.grant_lease(self._ttl_s)
        key = lease_key(self._process)
        previous = await self._service.read(key)
        await self._service.compare_and_swap(
            key,
            str(lease_id).encode(),
            mod_revision=previous.mod_revision if previous else 0,
            lease_id=lease_id,
        )
        self.lease_id = lease_id
        self._valid_until = asked_at + self._ttl_s * (1 - MARGIN)
        log_message('lease:granted', process_name=self._process)


@contextlib.asynccontextmanager
async def hold_lease(
    service: KeyValueService, process: str, ttl_s: int
) -> AsyncIterator[Lease]:
    """Hold a lease in the background and revoke it on exit."""
    lease = Lease(service, process, ttl_s)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lease.run)
        try:
            yield lease
        finally:
            nursery.cancel_scope.cancel()
            with (
                trio.CancelScope(shield=True),
                contextlib.suppress(BriarrillError),
            ):
                await service.revoke_lease(lease.lease_id)
