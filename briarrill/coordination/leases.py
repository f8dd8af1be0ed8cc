"""briarrill.coordination.leases: a lease that each process holds.

The identifier of a lease is its epoch: it is never reused, and each grant
has a higher one. Work that was claimed in an epoch may not continue in a
later one, so a holder passes the epoch of its claim when it checks the lease.
"""

import contextlib
import random
import time
from collections.abc import AsyncIterator

import trio
from eliot import log_message

from ..errors import BriarrillError, LeaseLostError
from ..state.keys import lease_key
from ..transport.key_value import KeyValueService

__all__ = ('Lease', 'hold_lease')

# share of the time to live by which a holder stops early, since its clock
# may run slower than the service's
TTL_MARGIN_SHARE = 0.2

# renewals within one time to live
RENEWALS_PER_TTL = 3

# longest retry pause while the service is down, as a multiple of the time to
# live
MAX_PAUSE_TTLS = 2

# lower bound of the random factor on a pause, which spreads the processes
MIN_JITTER_FACTOR = 0.5


class Lease:
    """A lease that its holder checks right before each protected write.

    :param service: grants the lease.
    :param process: name of the holder.
    :param ttl_s: time to live in seconds.
    """

    def __init__(
        self, service: KeyValueService, process: str, ttl_s: int
    ) -> None:
        """Start without a lease."""
        self.lease_id = 0
        self._service = service
        self._holder = process
        self._ttl_s = ttl_s
        self._valid_until = 0.0
        self._renewal = trio.Lock()

    @property
    def is_valid(self) -> bool:
        """Whether the lease has been granted and has not expired."""
        return time.monotonic() < self._valid_until

    def check(self, epoch: int | None = None) -> None:
        """Raise an error unless the lease is valid.

        :param epoch: lease under which the work was claimed, default any.
        :raises LeaseLostError: the lease has expired, was never granted, or
            was granted anew since the claim.
        """
        if not self.is_valid:
            raise LeaseLostError(f'the lease of {self._holder} has expired')
        if epoch not in {None, self.lease_id}:
            raise LeaseLostError(
                f'the lease of {self._holder} was granted anew'
                f' after epoch {epoch}'
            )

    async def run(self) -> None:
        """Keep the lease renewed, or request a new one, until cancelled."""
        interval_s = self._ttl_s / RENEWALS_PER_TTL
        pause_s = interval_s
        while True:
            try:
                await self._renew()
            except BriarrillError:
                max_pause_s = self._ttl_s * MAX_PAUSE_TTLS
                await trio.sleep(
                    pause_s * random.uniform(MIN_JITTER_FACTOR, 1)
                )
                pause_s = min(max_pause_s, pause_s * 2)
            else:
                pause_s = interval_s
                await trio.sleep(
                    interval_s * random.uniform(MIN_JITTER_FACTOR, 1)
                )

    async def _renew(self) -> None:
        """Renew once, or request a new lease if the service has ended it.

        A renewal waits for one that is in progress: two grants at once would
        each take the other's write for that of another process.

        :raises BriarrillError: the lease was neither renewed nor granted.
        """
        async with self._renewal:
            await self._renew_or_grant()

    async def _renew_or_grant(self) -> None:
        requested_at = time.monotonic()
        ttl_s = 0
        if self.lease_id:
            ttl_s = await self._service.keep_lease_alive(self.lease_id)
        if ttl_s <= 0:
            await self._grant()
            return
        self._valid_until = requested_at + ttl_s * (1 - TTL_MARGIN_SHARE)

    async def _grant(self) -> None:
        """Request a lease with a new epoch; the old one becomes invalid.

        :raises LeaseLostError: another process wrote the lease key.
        """
        self._valid_until = 0.0
        requested_at = time.monotonic()
        lease_id = await self._service.grant_lease(self._ttl_s)
        key = lease_key(self._holder)
        previous = await self._service.read(key)
        swapped = await self._service.compare_and_swap(
            key,
            str(lease_id).encode(),
            mod_revision=previous.mod_revision if previous else 0,
            lease_id=lease_id,
        )
        if swapped is None:
            raise LeaseLostError(
                f'another process wrote the lease key of {self._holder}'
            )
        self.lease_id = lease_id
        self._valid_until = requested_at + self._ttl_s * (1 - TTL_MARGIN_SHARE)
        log_message('lease:granted', process_name=self._holder)


@contextlib.asynccontextmanager
async def hold_lease(
    service: KeyValueService, process: str, ttl_s: int
) -> AsyncIterator[Lease]:
    """Renew a lease in the background and revoke it on exit."""
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
