"""briarrill.item_runs.item_memory: memory of upstreams for batch items."""

import collections

import attrs

from ..coordination.capacity.memory import MemoryUse, tokens_of_item
from ..coordination.load_exchange import LoadExchange
from ..coordination.routes import Route
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable

__all__ = ('ItemMemory',)


@attrs.define
class ItemMemory:
    """Counts the tokens of own items, also of those about to start.

    :ivar started: tokens of own items by upstream.
    """

    upstreams: UpstreamTable
    load: LoadExchange
    started: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )

    def count_start(self, upstream_id: str, tokens: int) -> None:
        """Count the tokens of an item that is about to start."""
        self.started[upstream_id] += tokens

    def count_end(self, upstream_id: str, tokens: int) -> None:
        """Count an item's tokens no longer."""
        self.started[upstream_id] -= tokens

    def use_of(self, upstream: RegisteredUpstream) -> MemoryUse:
        """Return the use of an upstream's memory, own items included."""
        name = upstream.upstream_id
        use = self.load.knowledge.memory_use(upstream)
        reported = self.load.in_flight.batch_tokens[name]
        batch = use.batch + self.started[name] - reported
        return attrs.evolve(use, batch=batch)

    def may_start(self, upstream_id: str, tokens: int) -> bool:
        """Tell whether an item may start beside what an upstream holds."""
        upstream = self.upstreams.find(upstream_id)
        return upstream is None or (
            self.tokens_to_count(upstream, tokens) is not None
        )

    def tokens_to_count(
        self, upstream: RegisteredUpstream, tokens: int
    ) -> int | None:
        """Return the tokens that an item counts for if it starts.

        :param tokens: the most that the item may hold.
        :return: None if it has to wait for memory.
        """
        knowledge = self.load.knowledge
        slots = knowledge.capacity_of(upstream.service).slots
        return tokens_of_item(self.use_of(upstream), slots, tokens)

    def may_exceed(self, upstream: RegisteredUpstream, tokens: int) -> bool:
        """Tell whether an item may hold more than an upstream's memory."""
        knowledge = self.load.knowledge
        return 0 < knowledge.capacity_of(upstream.service).tokens < tokens

    def may_be_short(self, route: Route, tokens: int) -> bool:
        """Tell whether other items of a route may fit where one does not.

        :param tokens: the most that this one may hold.
        """
        knowledge = self.load.knowledge
        return not all(
            knowledge.has_ample_memory(target.service, tokens)
            for target in route.targets
        )

    def speed_of(self, upstream_id: str) -> float:
        """Return an upstream's speed, 1 for one that is gone."""
        upstream = self.upstreams.find(upstream_id)
        if upstream is None:
            return 1
        return self.load.knowledge.speed_of(upstream)
