"""briarrill.coordination.feeds: follow keys through another process.

A process reads the changes of a prefix from the follower of its failure
domain in long polls, at the revisions of the key-value service. So it can
continue at the service, without a snapshot, when the follower is lost.
"""

import contextlib
import time
from collections.abc import Callable

import attrs
import msgspec
import trio
from eliot import log_message

from ..decoding import msgpack_decoder
from ..errors import (
    BriarrillError,
    MalformedMessageError,
    PlatformUnavailableError,
    UpstreamLostError,
)
from ..protocol.numbers import NonNegativeNumber
from ..transport.http_channel import ChannelPool
from ..transport.key_value import (
    ChangeSource,
    ChangeStream,
    KeySnapshot,
    WatchEvent,
    WatchProgress,
)
from .mirror import Mirror
from .state_transfer import send_peer_request

__all__ = ('FEED_PATH', 'FeedServer', 'FeedSource')

FEED_PATH = '/feed'

# longest wait of one poll for a change
MAX_POLL_WAIT_S = 1.0

# time beyond the wait after which a follower counts as lost; a live one
# replies within a few round trips
POLL_TIMEOUT_S = 0.4

CONNECT_TIMEOUT_S = 0.25

# time for which the service is followed directly after a feed has failed
FEED_SUSPENSION_S = 3.0


@attrs.frozen
class FeedRequest:
    """A poll for the changes of a prefix after a revision."""

    prefix: str
    after_revision: int
    wait_s: NonNegativeNumber


@attrs.frozen
class FeedReply:
    """Changes of a prefix, complete up to a revision.

    :param snapshot: all keys, if older changes are no longer known.
    :param events: changes in order, if there is no snapshot.
    :param is_current: whether the sender follows the service.
    """

    revision: int
    snapshot: KeySnapshot | None = None
    events: tuple[WatchEvent, ...] = ()
    is_current: bool = True


_REQUEST_DECODER = msgpack_decoder(FeedRequest)
_REPLY_DECODER = msgpack_decoder(FeedReply)


@attrs.define
class FeedServer:
    """Serves the changes of own mirrors to peers.

    :param mirrors: mirrors that store bodies, by key prefix.
    """

    mirrors: dict[str, Mirror]

    async def serve(self, body: bytes) -> bytes | None:
        """Return the reply to a poll, none if it is malformed.

        The reply waits for a change, and for a cut watch to go on, for the
        time that the poll names.
        """
        try:
            poll = _REQUEST_DECODER.decode(body)
            mirror = self.mirrors[poll.prefix]
        except (MalformedMessageError, KeyError) as exc:
            log_message('feed:malformed', reason=repr(exc))
            return None
        with trio.move_on_after(min(poll.wait_s, MAX_POLL_WAIT_S)):
            while (
                mirror.position <= poll.after_revision
                or not mirror.is_connected
            ):
                await mirror.advanced.wait()
        return msgspec.msgpack.encode(_make_reply(mirror, poll.after_revision))


def _make_reply(mirror: Mirror, after_revision: int) -> FeedReply:
    """Return the changes after a revision, or all keys."""
    events = mirror.events_after(after_revision)
    if events is None:
        return FeedReply(
            mirror.position,
            snapshot=mirror.snapshot(),
            is_current=mirror.is_connected,
        )
    return FeedReply(
        mirror.position, events=events, is_current=mirror.is_connected
    )


@attrs.define
class FeedSource(ChangeSource):
    """Follows a prefix through the domain's follower or at the service.

    :param follower_host: returns the follower's host, none to follow the
        service directly.
    :param port: port at which processes serve their peers.
    """

    service: ChangeSource
    follower_host: Callable[[], str | None]
    port: int
    _is_closed: bool = attrs.field(default=False, init=False)
    _suspended_until: float = attrs.field(default=0, init=False)
    _pool: ChannelPool = attrs.field(
        factory=lambda: ChannelPool(CONNECT_TIMEOUT_S), init=False
    )

    async def follow_prefix(
        self, prefix: str, min_interval_s: float = 0, after_revision: int = 0
    ) -> ChangeStream:
        """Yield a snapshot of a prefix, then each change of its keys."""
        position = after_revision
        while not self._is_closed:
            changes = self._follow_once(prefix, min_interval_s, position)
            async with contextlib.aclosing(changes):
                async for change in changes:
                    if isinstance(change, WatchProgress | KeySnapshot):
                        position = change.revision
                    yield change

    def close(self) -> None:
        """Close the connections to followers and end all feeds."""
        self._is_closed = True
        self._pool.close()

    async def _follow_once(
        self, prefix: str, min_interval_s: float, position: int
    ) -> ChangeStream:
        """Poll the follower once, or follow the service until one is chosen.

        The first snapshot comes from the service.
        """
        host = self._feed_host()
        if host is not None and position:
            for change in await self._poll(host, prefix, position):
                yield change
            return
        direct = self.service.follow_prefix(prefix, min_interval_s, position)
        async with contextlib.aclosing(direct):
            async for change in direct:
                yield change
                is_at_position = isinstance(change, WatchProgress)
                if is_at_position and self._feed_host() is not None:
                    return

    def _feed_host(self) -> str | None:
        if time.monotonic() < self._suspended_until:
            return None
        return self.follower_host()

    async def _poll(
        self, host: str, prefix: str, position: int
    ) -> list[KeySnapshot | WatchEvent | WatchProgress]:
        """Poll a follower; return nothing if it failed.

        After a failure, or if the caller gives up on the poll because this
        process lags behind its peers, the feed is suspended.

        :raises PlatformUnavailableError: the follower replies, but does not
            follow the service itself; its next report will say so, too.
        """
        try:
            with trio.fail_after(MAX_POLL_WAIT_S + POLL_TIMEOUT_S):
                reply = await self._request(host, prefix, position)
        except (BriarrillError, trio.TooSlowError) as exc:
            self._suspend(host, prefix, repr(exc))
            return []
        except trio.Cancelled:
            self._suspend(host, prefix, 'cancelled')
            raise
        if not reply.is_current:
            raise PlatformUnavailableError(
                f'follower {host} does not follow the service'
            )
        progress = WatchProgress(max(position, reply.revision))
        if reply.snapshot is not None:
            return [reply.snapshot, progress]
        return [*reply.events, progress]

    def _suspend(self, host: str, prefix: str, reason: str) -> None:
        """Follow the service directly for some time."""
        self._suspended_until = time.monotonic() + FEED_SUSPENSION_S
        log_message('feed:lost', peer=host, prefix=prefix, reason=reason)

    async def _request(
        self, host: str, prefix: str, position: int
    ) -> FeedReply:
        """Send one poll to a follower.

        :raises BriarrillError: it did not reply, or its reply is malformed.
        """
        poll = FeedRequest(prefix, position, MAX_POLL_WAIT_S)
        address = (host, self.port)
        channel = await self._pool.acquire(host, address)
        try:
            raw = await send_peer_request(
                channel, address, FEED_PATH, msgspec.msgpack.encode(poll)
            )
        except BaseException:
            channel.close()
            raise
        self._pool.release(host, channel)
        if raw is None:
            raise UpstreamLostError(f'peer {host} has no feed of {prefix!r}')
        return _REPLY_DECODER.decode(raw)
