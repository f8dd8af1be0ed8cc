"""briarrill.coordination.state_transfer: state of mirrors from peers.

A process that cannot follow the key-value service, for instance one that
started while the service was away, takes what a connected or more advanced
peer has seen.
"""

from collections.abc import Awaitable, Callable

import attrs
import msgspec
import trio
from eliot import log_message

from ..errors import BriarrillError, UpstreamLostError
from ..transport.http_callers import CallerBounds, CallerConnection
from ..transport.http_channel import connect
from ..transport.http_messages import RequestHead
from .load_exchange import LoadExchange
from .mirror import Mirror, MirrorChanges

__all__ = (
    'Action',
    'Offer',
    'StateTransfer',
    'ask_peer',
)

CHECK_INTERVAL_S = 0.3

# time in which the service itself answers at a start, if it is there
PATIENCE_S = 0.5

FETCH_TIMEOUT_S = 1.0

MAX_STATE_BYTES = 32_000_000

_HTTP_OK = 200
_HTTP_NOT_FOUND = 404

_PATH = '/state/'

#: Returns what a peer asks for by the rest of the path, or nothing.
Offer = Callable[[str], bytes | None]

#: Does what a peer's body asks for and returns the outcome, if any.
Action = Callable[[bytes], Awaitable[bytes | None]]

_CHANGES = msgspec.msgpack.Decoder(MirrorChanges)


@attrs.define
class StateTransfer:
    """Offers own mirrors to peers and takes theirs when they know more.

    :param mirrors: those that keep bodies, by prefix.
    :param offers: other things that peers may take, by prefix of the path.
    :param actions: what is done with the bodies that peers send, by path.
    """

    mirrors: dict[str, Mirror]
    load: LoadExchange
    port: int
    offers: dict[str, Offer] = attrs.field(factory=dict)
    actions: dict[str, Action] = attrs.field(factory=dict)

    async def serve(self, conn: CallerConnection) -> None:
        """Answer requests of peers on one connection."""
        while (head := await conn.next_request()) is not None:
            body = await conn.read_body(head)
            target = head.target.decode('latin-1')
            act = self.actions.get(target)
            raw = self._find(target) if act is None else await act(body)
            status = _HTTP_NOT_FOUND if raw is None else _HTTP_OK
            await conn.send_answer(status, (), raw or b'')

    def bounds(self) -> CallerBounds:
        """Return the bounds for peers."""
        return CallerBounds(max_body_bytes=MAX_STATE_BYTES)

    async def run(self) -> None:
        """Catch up with peers until cancelled."""
        await trio.sleep(PATIENCE_S)
        while True:
            for prefix, mirror in self.mirrors.items():
                if not mirror.is_connected:
                    await self._catch_up(prefix, mirror)
            await trio.sleep(CHECK_INTERVAL_S)

    def _find(self, path: str) -> bytes | None:
        for prefix, offer in self.offers.items():
            if path.startswith(prefix):
                return offer(path.removeprefix(prefix))
        prefix, _, after = path.removeprefix(_PATH).partition('?after=')
        mirror = self.mirrors.get(prefix)
        if mirror is None or not after.isdigit():
            return None
        return msgspec.msgpack.encode(mirror.changes_after(int(after)))

    async def _catch_up(self, prefix: str, mirror: Mirror) -> None:
        ahead = {
            report.revisions.get(prefix, 0): report.host
            for report in self.load.peers.reachable
        }
        newest = max(ahead, default=0)
        if newest <= mirror.revision:
            return
        try:
            with trio.fail_after(FETCH_TIMEOUT_S):
                changes = await self._fetch(
                    ahead[newest], prefix, mirror.revision
                )
        except (BriarrillError, ValueError, trio.TooSlowError) as exc:
            log_message(
                'state:not-fetched', peer=ahead[newest], reason=repr(exc)
            )
            return
        mirror.take_changes(changes)
        log_message(
            'state:fetched',
            peer=ahead[newest],
            prefix=prefix,
            changed=len(changes.changed),
        )

    async def _fetch(
        self, host: str, prefix: str, revision: int
    ) -> MirrorChanges:
        path = f'{_PATH}{prefix}?after={revision}'
        raw = await ask_peer((host, self.port), path)
        if raw is None:
            raise UpstreamLostError('the peer does not have it')
        return _CHANGES.decode(raw)


async def ask_peer(
    address: tuple[str, int], path: str, body: bytes = b''
) -> bytes | None:
    """Ask a peer for what it offers under a path, or to act on a body.

    :return: its answer, or nothing if it has none.

    :raises PeerUnreachableError: it takes no connection.
    :raises UpstreamLostError: it did not answer.
    """
    channel = await connect(address, FETCH_TIMEOUT_S)
    length = str(len(body)).encode()
    try:
        head = RequestHead(
            b'POST',
            path.encode(),
            ((b'host', address[0].encode()), (b'content-length', length)),
        )
        async with channel.exchange(head, body):
            answer = await channel.read_head()
            raw = await channel.read_whole_body(MAX_STATE_BYTES)
    finally:
        channel.close()
    return raw if answer.status == _HTTP_OK else None
