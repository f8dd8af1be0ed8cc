"""briarrill.relay.memory_check: asks owners whether memory is left."""

import attrs
import trio

from ..coordination.capacity.memory import MemoryUse
from ..coordination.load_exchange import LoadExchange
from ..coordination.upstream_table import RegisteredUpstream
from ..errors import UpstreamBusyError
from ..metrics import MEMORY_REFUSED
from .upstream_owners import UpstreamOwners

__all__ = ('MemoryCheck',)

# longest wait until batch items have yielded their memory, and the interval
# of looks at it; they are preempted within a scheduling pass or two
MAX_YIELD_WAIT_S = 0.1
YIELD_POLL_INTERVAL_S = 0.02


@attrs.define
class MemoryCheck:
    """Checks the memory of upstreams at which requests were placed."""

    load: LoadExchange
    owners: UpstreamOwners

    async def confirm(self, upstream: RegisteredUpstream) -> None:
        """Check that an upstream's memory holds the requests placed there.

        The owner is asked if memory may be short. It knows of this process's
        request, and of each one that it agreed to. Without its reply the
        reports decide.

        :raises UpstreamBusyError: the memory does not hold them.
        """
        knowledge = self.load.knowledge
        if knowledge.has_ample_memory(upstream.service):
            return
        use = knowledge.memory_use(upstream)
        ends_at = trio.current_time() + MAX_YIELD_WAIT_S
        use = await self._ask_owner(upstream, use)
        # the owner preempts batch items on the report that it got
        while use.excess and use.batch and trio.current_time() < ends_at:
            await trio.sleep(YIELD_POLL_INTERVAL_S)
            use = await self._ask_owner(upstream, use)
        if use.excess:
            knowledge.record_full(upstream)
            MEMORY_REFUSED.inc()
            raise UpstreamBusyError(
                f'the memory of {upstream.upstream_id!r} is full'
            )

    async def _ask_owner(
        self, upstream: RegisteredUpstream, known: MemoryUse
    ) -> MemoryUse:
        """Return the use of an upstream's memory as its owner knows it."""
        name = upstream.upstream_id
        host = self.owners.owner_host(name, upstream.service)
        if host is None:
            return known
        self.load.report_to(host)
        replies = await self.load.messages.prober.probe({name: host})
        if name not in replies:
            return self.load.knowledge.memory_use(upstream)
        return MemoryUse(
            known.capacity,
            replies[name].online_tokens,
            replies[name].batch_tokens,
        )
