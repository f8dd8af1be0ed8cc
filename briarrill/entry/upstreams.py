"""briarrill.entry.upstreams: the upstreams that an entry connects to."""

import collections
from collections.abc import Callable

import trio

from ..protocol.prompt_news import PromptNews
from ..state.membership import Membership
from ..state.rendezvous import choose_across_domains
from ..state.settings import InstanceSettings, PortSettings
from ..transport.instance_list import Instance, Role
from .links import UpstreamLink

__all__ = ('UpstreamSet',)

MAX_LINKS_PER_POOL = 20

# interval of the check whether an unused link can be closed
LINK_CLOSE_POLL_S = 0.5


class UpstreamSet:
    """Links to a deterministic subset of the upstreams of each pool.

    The subset is spread over the failure domains of the pool.

    :param entry_instance: instance of this entry; its name determines the
        subset.
    :param receive_news: gets what sidecars tell of prompts.
    """

    def __init__(
        self,
        membership: Membership,
        entry_instance: InstanceSettings,
        ports: PortSettings,
        receive_news: Callable[[PromptNews | None], None],
    ) -> None:
        """Create a set without links."""
        self._receive_news = receive_news
        self._membership = membership
        self._entry_instance = entry_instance
        self._ports = ports
        self._links: dict[str, UpstreamLink] = {}
        self._subset_source: tuple[Instance, ...] = ()
        self._cached_subset: dict[str, Instance] = {}

    @property
    def links(self) -> list[UpstreamLink]:
        """Return all links, also those to upstreams outside the subset."""
        return list(self._links.values())

    def serving(self, target: str) -> list[UpstreamLink]:
        """Return the usable links to upstreams of a model or service."""
        links = [
            self._links.get(link_key) for link_key in self._current_subset()
        ]
        return [
            link
            for link in links
            if link is not None and link.is_usable and link.serves(target)
        ]

    async def run(self) -> None:
        """Run one link for each upstream of the subset until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for link_key, instance in self._current_subset().items():
                    if link_key not in self._links:
                        nursery.start_soon(self._run_link, link_key, instance)
                await self._membership.wait_changed()

    async def _run_link(self, link_key: str, instance: Instance) -> None:
        """Run a link until its upstream is unused."""
        link = UpstreamLink(
            instance,
            self._ports.sidecar_online,
            self._entry_instance,
            self._receive_news,
        )
        self._links[link_key] = link
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._close_when_unused, link_key, nursery)
            await link.run()

    async def _close_when_unused(
        self, link_key: str, nursery: trio.Nursery
    ) -> None:
        """Close a link outside the subset once it has no calls in flight."""
        while (
            link_key in self._current_subset()
            or self._links[link_key].in_flight
        ):
            await trio.sleep(LINK_CLOSE_POLL_S)
        self._links.pop(link_key)
        nursery.cancel_scope.cancel()

    def _current_subset(self) -> dict[str, Instance]:
        """Return the subset, keyed by name and host.

        It is computed again only after a change of the instance list.
        """
        current_instances = self._membership.instances
        if current_instances is not self._subset_source:
            self._subset_source = current_instances
            self._cached_subset = self._select_subset()
        return self._cached_subset

    def _select_subset(self) -> dict[str, Instance]:
        """Select upstreams of each pool; key them by name and host."""
        pools: dict[str, list[Instance]] = collections.defaultdict(list)
        for instance in self._membership.live_instances(Role.UPSTREAM):
            pools[instance.pool].append(instance)
        return {
            f'{instance.name} {instance.host}': instance
            for pool in pools.values()
            for instance in self._select_from_pool(pool)
        }

    def _select_from_pool(self, pool: list[Instance]) -> list[Instance]:
        """Select upstreams of one pool, spread over failure domains."""
        by_name = {instance.name: instance for instance in pool}
        domains: dict[str, list[str]] = collections.defaultdict(list)
        for instance in pool:
            domains[instance.failure_domain].append(instance.name)
        names = choose_across_domains(
            self._entry_instance.name, domains, MAX_LINKS_PER_POOL
        )
        return [by_name[name] for name in names]
