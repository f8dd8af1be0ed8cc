"""briarrill.entry.upstreams: the upstreams that an entry keeps links to."""

import collections

import trio

from ..coordination.membership import Membership
from ..coordination.rendezvous import spread
from ..state.settings import InstanceSettings, PortSettings
from ..transport.instance_list import Instance, Role
from .links import UpstreamLink

__all__ = ('UpstreamSet',)

# upstreams of one pool that an entry talks to
SUBSET_SIZE = 20

# seconds before a link to a leaving upstream closes
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

    def serving(self, target: str) -> list[UpstreamLink]:
        """Return the usable upstreams of a model or service."""
        live = {instance.name for instance in self._chosen()}
        return [
            link
            for name, link in self._links.items()
            if name in live and link.is_usable and link.serves(target)
        ]

    async def run(self) -> None:
        """Keep one task for each chosen upstream until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for instance in self._chosen():
                    if instance.name not in self._links:
                        nursery.start_soon(self._run_link, instance)
                await self._membership.wait_changed()

    async def _run_link(self, instance: Instance) -> None:
        link = UpstreamLink(instance, self._ports.sidecar_online, self._own)
        self._links[instance.name] = link
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._close_when_gone, link, nursery)
            await link.run()
        self._links.pop(instance.name)

    async def _close_when_gone(
        self, link: UpstreamLink, nursery: trio.Nursery
    ) -> None:
        while self._membership.find(link.name) or link.in_flight:
            await trio.sleep(LEAVING_CHECK_S)
        nursery.cancel_scope.cancel()

    def _chosen(self) -> list[Instance]:
        pools: dict[str, list[Instance]] = collections.defaultdict(list)
        for instance in self._membership.live(Role.UPSTREAM):
            pools[instance.pool].append(instance)
        return [
            instance
            for pool in pools.values()
            for instance in self._subset(pool)
        ]

    def _subset(self, pool: list[Instance]) -> list[Instance]:
        by_name = {instance.name: instance for instance in pool}
        domains: dict[str, list[str]] = collections.defaultdict(list)
        for instance in pool:
            domains[instance.failure_domain].append(instance.name)
        names = spread(self._own.name, domains, SUBSET_SIZE)
        return [by_name[name] for name in names]
