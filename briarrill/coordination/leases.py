"""briarrill.coordination.leases: one lease for each process.

The identifier of a grant is its epoch: it is never used twice, and each
grant has a higher one. What was claimed under an epoch ends with it, so a
holder names the epoch of its claim when it checks the lease.
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

# part of the time to live that a holder does not use, against slow clocks
MARGIN = 0.2

# renewals in one time to live
RENEWALS_PER_TTL = 3

# longest pause between attempts while the service is down, against the time
# to live; each pause is cut by a random part, so that processes spread out
MAX_PAUSE_PER_TTL = 2

# smallest part of a pause
MIN_JITTER = 0.5


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

    def check(self, epoch: int | None = None) -> None:
        """Refuse to act without a valid lease.

        :param epoch: grant under which the work was claimed, default any.
        :raises LeaseLostError: the lease lapsed, was never granted, or was
            granted anew since the claim.
        """
        if not self.is_valid:
            raise LeaseLostError(f'the lease of {self._process} has lapsed')
        if epoch not in {None, self.lease_id}:
            raise LeaseLostError(
                f'the lease of {self._process} was granted anew'
            )

    async def run(self) -> None:
        """Renew, or grant anew after a lapse, until cancelled."""
        interval_s = self._ttl_s / RENEWALS_PER_TTL
        pause_s = interval_s
        while True:
            try:
                await self._renew()
            except BriarrillError:
                longest_s = self._ttl_s * MAX_PAUSE_PER_TTL
                await trio.sleep(pause_s * random.uniform(MIN_JITTER, 1))
                pause_s = min(longest_s, pause_s * 2)
            else:
                pause_s = interval_s
                await trio.sleep(interval_s * random.uniform(MIN_JITTER, 1))

    async def _renew(self) -> None:
        """Renew once, or grant anew if the service has ended the lease.

        :raises BriarrillError: not renewed.
        """
        asked_at = time.monotonic()
        ttl_s = 0
        if self.lease_id:
            ttl_s = await self._service.keep_lease_alive(self.lease_id)
        if ttl_s <= 0:
            await self._grant()
            return
        self._valid_until = asked_at + ttl_s * (1 - MARGIN)

    async def _grant(self) -> None:
        """Take a new epoch; the old one is not used any more."""
        self._valid_until = 0.0
        asked_at = time.monotonic()
        lease_id = await self._service.grant_lease(self._ttl_s)
        key = lease_key(self._process)
        previous = await self._service.read(key)
        written = await self._service.compare_and_swap(
            key,
            str(lease_id).encode(),
            mod_revision=previous.mod_revision if previous else 0,
            lease_id=lease_id,
        )
        if written is None:
            raise LeaseLostError(f'another holder of {self._process}')
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
