"""briarrill.entry.upstreams: the upstreams that an entry keeps links to."""

import collections

import trio

from ..state.membership import Membership
from ..state.rendezvous import spread
from ..state.settings import InstanceSettings, PortSettings
from ..transport.instance_list import Instance, Role
from .links import UpstreamLink

__all__ = ('UpstreamSet',)

# upstreams of one pool that an entry talks to
SUBSET_SIZE = 20

# seconds between looks whether a link is still needed
LEAVING_CHECK_S = 0.5


class UpstreamSet:
    """A deterministic subset of each pool, over failure domains.

    :param own: instance of this entry, the key of the choice.
    """

    def __init__(
        self,
        membership: Membership,
        own: InstanceSettings,
        ports: PortSettings,
    ) -> None:
        """Start without links."""
        self._membership = membership
        self._own = own
        self._ports = ports
        self._links: dict[str, UpstreamLink] = {}
        self._listed: tuple[Instance, ...] = ()
        self._subset_now: dict[str, Instance] = {}

    @property
    def links(self) -> list[UpstreamLink]:
        """Return all open links, those that close when idle included."""
        return list(self._links.values())

    def serving(self, target: str) -> list[UpstreamLink]:
        """Return the usable upstreams of a model or service."""
        links = [self._links.get(address) for address in self._chosen()]
        return [
            link
            for link in links
            if link is not None and link.is_usable and link.serves(target)
        ]

    async def run(self) -> None:
        """Keep one task for each chosen upstream until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for address, instance in self._chosen().items():
                    if address not in self._links:
                        nursery.start_soon(self._run_link, address, instance)
                await self._membership.wait_changed()

    async def _run_link(self, address: str, instance: Instance) -> None:
        link = UpstreamLink(instance, self._ports.sidecar_online, self._own)
        self._links[address] = link
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._close_when_gone, address, nursery)
            await link.run()

    async def _close_when_gone(
        self, address: str, nursery: trio.Nursery
    ) -> None:
        """Close a link whose upstream has left the subset, once idle."""
        while address in self._chosen() or self._links[address].in_flight:
            await trio.sleep(LEAVING_CHECK_S)
        self._links.pop(address)
        nursery.cancel_scope.cancel()

    def _chosen(self) -> dict[str, Instance]:
        """Return the subset by address, computed once for each list."""
        listed = self._membership.instances
        if listed is not self._listed:
            self._listed = listed
            self._subset_now = self._choose()
        return self._subset_now

    def _choose(self) -> dict[str, Instance]:
        pools: dict[str, list[Instance]] = collections.defaultdict(list)
        for instance in self._membership.live(Role.UPSTREAM):
            pools[instance.pool].append(instance)
        return {
            f'{instance.name} {instance.host}': instance
            for pool in pools.values()
            for instance in self._subset(pool)
        }

    def _subset(self, pool: list[Instance]) -> list[Instance]:
        by_name = {instance.name: instance for instance in pool}
        domains: dict[str, list[str]] = collections.defaultdict(list)
        for instance in pool:
            domains[instance.failure_domain].append(instance.name)
        names = spread(self._own.name, domains, SUBSET_SIZE)
        return [by_name[name] for name in names]
