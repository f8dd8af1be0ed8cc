"""briarrill.item_runs.slots: which slots this process may take for items."""

import collections
import time
from collections.abc import Callable

import attrs

from ..coordination.batch_shares import is_owner, slots_to_take
from ..coordination.load_exchange import LoadExchange
from ..coordination.routes import Route
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable
from ..state.keys import ROOT

__all__ = ('FreeSlots',)

# time from the connection to the key-value service, which names the peers,
# until items start; an urgent report and its answer take a few round trips
# and the pause between two reports
SETTLE_S = 0.1

# the same while peers are named that were not heard; processes that lost
# power together start within about this time of each other
SETTLE_WITH_ALL_S = 0.5


@attrs.define
class FreeSlots:
    """Free slots of the upstreams that this process starts items at.

    :param process: name of this process.
    :param is_connected: whether the key-value service answers here.
    :ivar taken: own items by upstream, those about to start too.
    """

    process: str
    upstreams: UpstreamTable
    load: LoadExchange
    is_connected: Callable[[], bool]
    taken: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )
    _connected_at: float | None = attrs.field(default=None, init=False)

    @property
    def is_isolated(self) -> bool:
        """Whether peers can commit results and this process cannot."""
        return not self.is_connected() and any(
            report.runs_batch and ROOT in report.connected
            for report in self.load.live.values()
        )

    def is_settled(self) -> bool:
        """Tell whether peers could say what they have since the connection."""
        if not self.is_connected():
            self._connected_at = None
            return True
        now = time.monotonic()
        if self._connected_at is None:
            self._connected_at = now
        since_s = now - self._connected_at
        if self.load.has_unheard_members:
            return since_s >= SETTLE_WITH_ALL_S
        return since_s >= SETTLE_S

    def processes(self) -> list[str]:
        """Return the processes that start items, this one too.

        Those that cannot commit results are left out, unless none can.
        """
        able = {
            name: ROOT in report.connected
            for name, report in self.load.live.items()
            if report.runs_batch and not report.is_leaving
        }
        able[self.process] = self.is_connected()
        connected = [name for name, is_able in able.items() if is_able]
        return connected or list(able)

    def has_any(self, route: Route) -> bool:
        """Tell whether an item of a route could start."""
        return any(self._by_upstream(route).values())

    def choose(self, route: Route, avoided: str) -> RegisteredUpstream | None:
        """Return the upstream with the most free slots, if one has any.

        :param avoided: taken only if it is the only one.
        """
        free = self._by_upstream(route)
        if len(free) > 1:
            free.pop(avoided, None)
        name = max(free, key=lambda one: free[one], default='')
        if not name or not free[name]:
            return None
        return self.upstreams.find(name)

    def _by_upstream(self, route: Route) -> dict[str, int]:
        free: dict[str, int] = {}
        processes = self.processes()
        for target in route.targets:
            found = self.upstreams.of_service(target.service)
            names = [upstream.upstream_id for upstream in found]
            for upstream in found:
                name = upstream.upstream_id
                is_own = is_owner(self.process, name, processes, names)
                if is_own and not self.load.is_suspect(name):
                    free[name] = self._free_at(upstream)
        return free

    def _free_at(self, upstream: RegisteredUpstream) -> int:
        name = upstream.upstream_id
        others = self.load.batch(name) - self.load.in_flight.batch[name]
        return slots_to_take(
            upstream.slots,
            self.load.online(name),
            self.taken[name] + others,
        )
