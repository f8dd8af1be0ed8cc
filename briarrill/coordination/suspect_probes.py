"""briarrill.coordination.suspect_probes: ask suspected upstreams to reply.

One that was silent and goes on gets no request while others have room, so
nothing would tell that it replies again. It is asked for its state.
"""

from collections.abc import Callable

import attrs
import trio

from ..errors import BriarrillError
from ..transport.http_channel import connect
from .incarnation_check import is_registered_process
from .relay_protocol import RelayProtocol
from .silence import SilenceDetector
from .upstream_table import RegisteredUpstream, UpstreamTable

__all__ = ('SuspectProber',)

# interval of the checks for probes that are due
CHECK_INTERVAL_S = 0.1

# a live upstream accepts a connection within one or two round trips
CONNECT_TIMEOUT_S = 0.25

# probes at a time, which bounds their rate: each ends within half a second
MAX_PROBES = 8


@attrs.define
class SuspectProber:
    """Asks upstreams that this process suspects of silence.

    :param upstreams: registered upstreams; no other is asked.
    :param on_reply: called when a suspicion has ended.
    """

    protocol: RelayProtocol
    upstreams: UpstreamTable
    silence: SilenceDetector
    on_reply: Callable[[], None]
    _running: int = attrs.field(default=0, init=False)

    async def run(self) -> None:
        """Ask the upstreams that are due until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(CHECK_INTERVAL_S)
                free = MAX_PROBES - self._running
                for name in self.silence.due_probes(free):
                    upstream = self.upstreams.find(name)
                    if upstream is not None:
                        self._running += 1
                        nursery.start_soon(self._probe, upstream)

    async def _probe(self, upstream: RegisteredUpstream) -> None:
        """End the suspicion of an upstream if it replies."""
        try:
            has_replied = await self._ask(upstream)
        except BriarrillError:
            return
        finally:
            self._running -= 1
        if has_replied and self.silence.record_reply(upstream.upstream_id):
            self.on_reply()

    async def _ask(self, upstream: RegisteredUpstream) -> bool:
        """Tell whether the registered process replies on a new connection.

        An accepted connection alone is no reply: the kernel accepts some for
        a process that stands still.

        :raises BriarrillError: it does not reply.
        """
        if self.protocol.status_request(upstream) is None:
            return False
        channel = await connect(upstream.address, CONNECT_TIMEOUT_S)
        try:
            return await is_registered_process(
                self.protocol, channel, upstream
            )
        finally:
            channel.close()
