"""briarrill.coordination.spread: versions pass from peer to peer.

One task for each neighbour sends a digest when the version here changes and
at intervals; whichever side has the lower version is handed the record.
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

__all__ = ('Spread',)

# seconds between digests to one neighbour when nothing changes
INTERVAL_S = 3.0

# pause after an exchange that failed, doubled up to the interval
FIRST_PAUSE_S = 0.2

EXCHANGE_TIMEOUT_S = 0.5


@attrs.define
class Spread:
    """Exchanges versions with neighbours.

    :param process: name of this process.
    """

    process: str
    holder: ConfigHolder
    caller: RpcCaller
    neighbours: tuple[Process, ...] = ()
    _changed: trio.Event = attrs.field(factory=trio.Event, init=False)

    def take_neighbours(self, neighbours: tuple[Process, ...]) -> None:
        """Exchange with these processes from now on."""
        if neighbours == self.neighbours:
            return
        self.neighbours = neighbours
        self._changed.set()
        self._changed = trio.Event()

    async def run(self) -> None:
        """Keep one task for each neighbour until cancelled."""
        scopes: dict[Peer, trio.CancelScope] = {}
        async with trio.open_nursery() as nursery:
            while True:
                peers = [process.peer for process in self.neighbours]
                for gone in scopes.keys() - set(peers):
                    scopes.pop(gone).cancel()
                for peer in peers:
                    if peer not in scopes:
                        scopes[peer] = trio.CancelScope()
                        nursery.start_soon(self._follow, peer, scopes[peer])
                await self._changed.wait()

    async def exchange(self, peer: Peer) -> bool:
        """Exchange versions once; return whether the peer answered."""
        try:
            await self._exchange(peer)
        except BriarrillError:
            CONFIG_EXCHANGES.labels('failed').inc()
            return False
        CONFIG_EXCHANGES.labels('done').inc()
        return True

    async def exchange_all(self) -> set[str]:
        """Exchange with all neighbours; return the domains that answered."""
        answered: set[str] = set()

        async def ask(process: Process) -> None:
            if await self.exchange(process.peer):
                answered.add(process.failure_domain)

        async with trio.open_nursery() as nursery:
            for process in self.neighbours:
                nursery.start_soon(ask, process)
        return answered

    async def _follow(self, peer: Peer, scope: trio.CancelScope) -> None:
        """Exchange with one neighbour on each change and at intervals."""
        pause_s = FIRST_PAUSE_S
        with scope:
            while True:
                shown = self.holder.version
                if await self.exchange(peer):
                    pause_s = FIRST_PAUSE_S
                    with trio.move_on_after(_jitter(INTERVAL_S)):
                        await self.holder.wait_above(shown)
                else:
                    await trio.sleep(_jitter(pause_s))
                    pause_s = min(INTERVAL_S, pause_s * 2)

    async def _exchange(self, peer: Peer) -> None:
        reply = await self._call(
            peer, ConfigDigest(self.process, self.holder.version)
        )
        if isinstance(reply, ConfigPush):
            self.holder.take(reply.body)
            return
        known = reply.version if isinstance(reply, ConfigDigest) else 0
        if known < self.holder.version:
            await self._call(peer, self.holder.push_message())

    async def _call(
        self, peer: Peer, message: ConfigDigest | ConfigPush
    ) -> object:
        return await self.caller.call(
            peer.host, peer.port, message, EXCHANGE_TIMEOUT_S
        )


def _jitter(seconds: float) -> float:
    return seconds * random.uniform(0.5, 1)
