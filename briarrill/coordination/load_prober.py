"""briarrill.coordination.load_prober: ask owners for the load of upstreams.

In a large fleet load reports are too old to place a peak by. The process that
owns an upstream hears of each online request there at once, so it is asked
before a request is placed. Without a reply the reports decide.
"""

from collections.abc import Callable, Iterator, Mapping

import attrs
import trio

from ..protocol.load_probes import LoadProbe, ProbeReply, encode_probe
from .expected_replies import ExpectedReplies, question_numbers

__all__ = ('LoadProber',)

# wait for replies: several round trips between failure domains, and little
# against the latency objective of a request
PROBE_TIMEOUT_S = 0.02


@attrs.define
class _Round:
    """The open questions of one placement.

    :param missing: number of replies that are missing.
    """

    missing: int
    replies: dict[str, ProbeReply] = attrs.field(factory=dict)
    is_complete: trio.Event = attrs.field(factory=trio.Event)

    def add(self, reply: ProbeReply) -> None:
        """Add a reply; the last one completes the round."""
        self.replies[reply.upstream_id] = reply
        self.missing -= 1
        if not self.missing:
            self.is_complete.set()


def _hold_none(_: str) -> tuple[int, int]:
    return 0, 0


@attrs.define
class LoadProber:
    """Asks the owners of upstreams for their load, and replies to peers.

    :param send: sends a datagram to a host.
    :param online: returns the online requests at an upstream.
    :param batch: returns the batch items at an upstream.
    :param expected: told while replies are expected.
    :param tokens: returns the tokens that online requests and batch items
        may hold at an upstream, default none.
    """

    send: Callable[[bytes, str], None]
    online: Callable[[str], int]
    batch: Callable[[str], int]
    expected: ExpectedReplies = attrs.field(factory=ExpectedReplies)
    tokens: Callable[[str], tuple[int, int]] = _hold_none
    _numbers: Iterator[int] = attrs.field(factory=question_numbers, init=False)
    _rounds: dict[int, _Round] = attrs.field(factory=dict, init=False)

    async def probe(self, hosts: Mapping[str, str]) -> dict[str, ProbeReply]:
        """Return the replies that arrive within the timeout.

        :param hosts: host of the owner, by upstream.
        """
        if not hosts:
            return {}
        number = next(self._numbers)
        current = _Round(len(hosts))
        self._rounds[number] = current
        try:
            for upstream_id, host in hosts.items():
                self.send(encode_probe(LoadProbe(number, upstream_id)), host)
            with (
                self.expected.expecting(),
                trio.move_on_after(PROBE_TIMEOUT_S),
            ):
                await current.is_complete.wait()
        finally:
            self._rounds.pop(number)
        return current.replies

    def receive(self, message: LoadProbe | ProbeReply, host: str) -> None:
        """Reply to a peer's probe, or add a reply to its round."""
        if isinstance(message, ProbeReply):
            current = self._rounds.get(message.number)
            if current is not None:
                current.add(message)
            return
        upstream_id = message.upstream_id
        online_tokens, batch_tokens = self.tokens(upstream_id)
        reply = ProbeReply(
            message.number,
            upstream_id,
            online=self.online(upstream_id),
            batch=self.batch(upstream_id),
            online_tokens=online_tokens,
            batch_tokens=batch_tokens,
        )
        self.send(encode_probe(reply), host)
