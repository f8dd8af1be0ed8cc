"""briarrill.coordination.state_transfer: fetch state of mirrors from peers.

A process that cannot follow the key-value service, for instance because it
started during an outage, fetches the changes that the most advanced peer
has received.
"""

from collections.abc import Awaitable, Callable

import attrs
import msgspec
import trio
from eliot import log_message

from ..decoding import find_whole_number, msgpack_decoder
from ..errors import BriarrillError, UpstreamLostError
from ..transport.http_callers import (
    CallerConnection,
    CallerLimits,
    read_whole_request,
)
from ..transport.http_channel import HttpChannel, connect
from ..transport.http_messages import BodyFraming, RequestHead
from .load_exchange import LoadExchange
from .mirror import Mirror, MirrorChanges

__all__ = (
    'PeerRequestHandler',
    'PeerResource',
    'StateTransfer',
    'request_from_peer',
    'send_peer_request',
)

MIRROR_CHECK_INTERVAL_S = 0.3

# time that mirrors get after the start to connect to the service themselves
STARTUP_GRACE_S = 0.5

FETCH_TIMEOUT_S = 1.0

MAX_STATE_BYTES = 32_000_000

# largest body of a peer's request: the write of a job of the largest size
MAX_PEER_BODY_BYTES = 8_388_608

_HTTP_OK = 200
_HTTP_NOT_FOUND = 404

_STATE_PATH = '/state/'

#: Returns the state under the rest of a request's path, or none.
PeerResource = Callable[[str], bytes | None]

#: Executes the request in a peer's body and returns the reply, if any.
PeerRequestHandler = Callable[[bytes], Awaitable[bytes | None]]

_CHANGES_DECODER = msgpack_decoder(MirrorChanges)


@attrs.define
class StateTransfer:
    """Serves own mirrors to peers and fetches newer state from theirs.

    :param mirrors: mirrors that store bodies, by key prefix.
    :param load: names the reachable peers and their revisions.
    :param port: TCP port, the same on all instances.
    :param resources: callbacks for other state, by path prefix.
    :param request_handlers: callbacks for peers' requests, by path.
    """

    mirrors: dict[str, Mirror]
    load: LoadExchange
    port: int
    resources: dict[str, PeerResource] = attrs.field(factory=dict)
    request_handlers: dict[str, PeerRequestHandler] = attrs.field(factory=dict)

    async def serve(self, conn: CallerConnection) -> None:
        """Serve a peer's requests on one connection.

        The status is 404 if no mirror, resource or handler matches the path.
        """
        while (received := await read_whole_request(conn)) is not None:
            head, body = received
            target = head.target.decode('latin-1')
            request_handler = self.request_handlers.get(target)
            await conn.before_long_response()
            raw = (
                self._read_state(target)
                if request_handler is None
                else await request_handler(body)
            )
            status = _HTTP_NOT_FOUND if raw is None else _HTTP_OK
            await conn.send_response(status, (), raw or b'')

    def caller_limits(self) -> CallerLimits:
        """Return the limits of a peer's connection."""
        return CallerLimits(max_body_bytes=MAX_PEER_BODY_BYTES)

    async def run(self) -> None:
        """Fetch state for disconnected mirrors, until cancelled.

        A mirror that reads the service without a failure needs none; it would
        only share the link with what the mirror reads.
        """
        await trio.sleep(STARTUP_GRACE_S)
        while True:
            for prefix, mirror in self.mirrors.items():
                if mirror.has_failed:
                    await self._fetch_newer(prefix, mirror)
            await trio.sleep(MIRROR_CHECK_INTERVAL_S)

    def _read_state(self, path: str) -> bytes | None:
        """Return the state under a path, none if nothing matches it."""
        for prefix, resource in self.resources.items():
            if path.startswith(prefix):
                return resource(path.removeprefix(prefix))
        prefix, _, after = path.removeprefix(_STATE_PATH).partition('?after=')
        mirror = self.mirrors.get(prefix)
        revision = find_whole_number(after.encode())
        if mirror is None or revision is None:
            return None
        return msgspec.msgpack.encode(mirror.changes_after(revision))

    async def _fetch_newer(self, prefix: str, mirror: Mirror) -> None:
        """Apply the changes of the peer with the newest revision.

        Nothing happens if no peer is ahead; a failure is only logged. The
        peer's keys are dropped if the mirror received others meanwhile: they
        would undo newer changes. So are those of a peer that has started
        again since its report and lacks keys itself.
        """
        own_revision = mirror.complete_revision
        hosts_by_revision = {
            report.revisions.get(prefix, 0): report.host
            for report in self.load.peers.reachable
        }
        newest_revision = max(hosts_by_revision, default=0)
        if newest_revision <= own_revision:
            return
        try:
            with trio.fail_after(FETCH_TIMEOUT_S):
                changes = await self._fetch(
                    hosts_by_revision[newest_revision], prefix, own_revision
                )
        except (BriarrillError, trio.TooSlowError) as exc:
            log_message(
                'state:not-fetched',
                peer=hosts_by_revision[newest_revision],
                reason=repr(exc),
            )
            return
        if mirror.is_connected or mirror.complete_revision != own_revision:
            return
        revision = (
            newest_revision if changes.revision is None else changes.revision
        )
        if revision <= own_revision:
            return
        # up to its position the mirror has all changes; what is new to it
        # among older ones was removed since
        newer = tuple(
            entry
            for entry in changes.changed
            if entry.mod_revision > mirror.position
        )
        mirror.apply_changes(
            MirrorChanges(changes.keys, newer, revision), revision
        )
        log_message(
            'state:fetched',
            peer=hosts_by_revision[newest_revision],
            prefix=prefix,
            changed=len(changes.changed),
        )

    async def _fetch(
        self, host: str, prefix: str, revision: int
    ) -> MirrorChanges:
        """Fetch the changes after a revision from a peer.

        :raises BriarrillError: the peer did not respond, has no state, or its
            response is malformed.
        """
        path = f'{_STATE_PATH}{prefix}?after={revision}'
        raw = await request_from_peer((host, self.port), path)
        if raw is None:
            raise UpstreamLostError(f'peer {host} has no state for {prefix!r}')
        return _CHANGES_DECODER.decode(raw)


async def request_from_peer(
    address: tuple[str, int], path: str, body: bytes = b''
) -> bytes | None:
    """Send a request to a peer's state transfer port on a new connection.

    :return: the reply, or none if the peer rejects the request.

    :raises PeerUnreachableError: the peer accepts no connection.
    :raises UpstreamLostError: the connection was lost before the reply.
    """
    channel = await connect(address, FETCH_TIMEOUT_S)
    try:
        return await send_peer_request(channel, address, path, body)
    finally:
        channel.close()


async def send_peer_request(
    channel: HttpChannel, address: tuple[str, int], path: str, body: bytes
) -> bytes | None:
    """Send a request to a peer on an open connection.

    :return: the reply, or none if the peer rejects the request.

    :raises UpstreamLostError: the connection was lost before the reply, or a
        cut of the reply would not show.
    """
    head = RequestHead(
        b'POST',
        path.encode(),
        (
            (b'host', address[0].encode()),
            (b'content-length', str(len(body)).encode()),
        ),
    )
    async with channel.exchange(head, body):
        response = await channel.read_head()
        if response.body_framing is BodyFraming.CLOSE:
            raise UpstreamLostError(
                'the reply of a peer has neither a length nor chunks'
            )
        raw = await channel.read_full_body(MAX_STATE_BYTES)
    return raw if response.status == _HTTP_OK else None
