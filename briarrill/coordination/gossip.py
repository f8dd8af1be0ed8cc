"""briarrill.coordination.gossip: gossip of configuration versions.

One task per neighbour sends it a digest when the local version changes and
at intervals. The side with the lower version gets the other's record.
"""

import random

import attrs
import trio

from ..errors import BriarrillError
from ..metrics import CONFIG_EXCHANGES
from ..protocol.messages import ConfigDigest, ConfigPush
from ..protocol.rpc import RpcCaller
from .configuration import ConfigHolder, Peer
from .neighbours import Process

__all__ = ('ConfigurationGossip',)

# interval between digests to one neighbour while the version is unchanged
DIGEST_INTERVAL_S = 3.0

# pause after a failed exchange; it doubles up to the interval
FIRST_RETRY_PAUSE_S = 0.2

EXCHANGE_TIMEOUT_S = 0.5


@attrs.define
class ConfigurationGossip:
    """Exchanges configuration versions with neighbours.

    :param process: name of this process.
    :param holder: holds the version in force.
    """

    process: str
    holder: ConfigHolder
    caller: RpcCaller
    neighbours: tuple[Process, ...] = ()
    _changed: trio.Event = attrs.field(factory=trio.Event, init=False)

    def replace_neighbours(self, neighbours: tuple[Process, ...]) -> None:
        """Replace the neighbours to exchange versions with."""
        if neighbours == self.neighbours:
            return
        self.neighbours = neighbours
        self._changed.set()
        self._changed = trio.Event()

    async def run(self) -> None:
        """Run one exchange task per neighbour until cancelled."""
        scopes: dict[Peer, trio.CancelScope] = {}
        async with trio.open_nursery() as nursery:
            while True:
                peers = [process.peer for process in self.neighbours]
                for removed in scopes.keys() - set(peers):
                    scopes.pop(removed).cancel()
                for peer in peers:
                    if peer not in scopes:
                        scopes[peer] = trio.CancelScope()
                        nursery.start_soon(
                            self._exchange_repeatedly, peer, scopes[peer]
                        )
                await self._changed.wait()

    async def exchange(self, peer: Peer) -> bool:
        """Exchange versions once; return whether the peer replied."""
        try:
            await self._exchange_once(peer)
        except BriarrillError:
            CONFIG_EXCHANGES.labels('failed').inc()
            return False
        CONFIG_EXCHANGES.labels('done').inc()
        return True

    async def exchange_all(self) -> set[str]:
        """Exchange versions with all neighbours once.

        :return: the failure domains of the neighbours that replied.
        """
        replied: set[str] = set()

        async def exchange_with(process: Process) -> None:
            if await self.exchange(process.peer):
                replied.add(process.failure_domain)

        async with trio.open_nursery() as nursery:
            for process in self.neighbours:
                nursery.start_soon(exchange_with, process)
        return replied

    async def _exchange_repeatedly(
        self, peer: Peer, scope: trio.CancelScope
    ) -> None:
        """Exchange with one neighbour at each new version and at intervals."""
        pause_s = FIRST_RETRY_PAUSE_S
        with scope:
            while True:
                sent_version = self.holder.version
                if await self.exchange(peer):
                    pause_s = FIRST_RETRY_PAUSE_S
                    with trio.move_on_after(_jitter(DIGEST_INTERVAL_S)):
                        await self.holder.wait_above(sent_version)
                else:
                    await trio.sleep(_jitter(pause_s))
                    pause_s = min(DIGEST_INTERVAL_S, pause_s * 2)

    async def _exchange_once(self, peer: Peer) -> None:
        reply = await self._call(
            peer, ConfigDigest(self.process, self.holder.version)
        )
        if isinstance(reply, ConfigPush):
            self.holder.apply(reply.body)
            return
        peer_version = reply.version if isinstance(reply, ConfigDigest) else 0
        if peer_version < self.holder.version:
            await self._call(peer, self.holder.push_message())

    async def _call(
        self, peer: Peer, message: ConfigDigest | ConfigPush
    ) -> object:
        return await self.caller.call(
            peer.host, peer.port, message, EXCHANGE_TIMEOUT_S
        )


def _jitter(seconds: float) -> float:
    return seconds * random.uniform(0.5, 1)
