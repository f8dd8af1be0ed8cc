"""briarrill.coordination.call_channels: connections that carry calls."""

from eliot import log_message

from ..errors import UpstreamLostError
from ..transport.http_channel import ChannelPool, HttpChannel
from ..transport.http_messages import ResponseHead
from .relay_protocol import Call, RelayProtocol
from .response_matching import Match, ResponseMatcher, look_alike
from .upstream_table import RegisteredUpstream

__all__ = ('CallChannels',)


class CallChannels:
    """Connections to upstreams, of which none brings another call's response.

    :param connect_timeout_s: timeout of a new connection.
    """

    def __init__(
        self, protocol: RelayProtocol, connect_timeout_s: float
    ) -> None:
        """Start without connections."""
        self._protocol = protocol
        self._pool = ChannelPool(connect_timeout_s)
        self._matcher = ResponseMatcher()

    async def acquire(
        self, upstream: RegisteredUpstream, request_id: str
    ) -> HttpChannel:
        """Return a kept connection or a new one.

        :raises PeerUnreachableError: the upstream accepted no connection.
        """
        return await self._pool.acquire(
            upstream.incarnation, upstream.address, request_id
        )

    def release(
        self, upstream: RegisteredUpstream, channel: HttpChannel
    ) -> None:
        """Keep a connection for the next call, or close it."""
        if self._matcher.may_keep_connections(upstream.incarnation):
            self._pool.release(upstream.incarnation, channel)
            return
        channel.close()
        self.close_idle(upstream)

    def close_idle(self, upstream: RegisteredUpstream) -> None:
        """Close the kept connections of an upstream."""
        self._pool.close_server(upstream.incarnation)

    async def read_head(
        self, call: Call, upstream: RegisteredUpstream, channel: HttpChannel
    ) -> ResponseHead:
        """Read the head of the response to a call; discard other responses.

        :raises UpstreamLostError: the connection ended, the bytes are not a
            valid response, or it cannot be told whose the response is.
        """
        return await channel.read_head(
            lambda head: self._is_answer(call, upstream, channel, head)
        )

    def _is_answer(
        self,
        call: Call,
        upstream: RegisteredUpstream,
        channel: HttpChannel,
        head: ResponseHead,
    ) -> bool:
        """Tell whether a response belongs to a call.

        :raises UpstreamLostError: that cannot be told.
        """
        echoed_id = self._protocol.echoed_id(head)
        found = self._matcher.match(
            call.request_id,
            echoed_id,
            upstream.incarnation,
            is_kept=channel.is_kept,
            is_like_reply=(
                channel.status_head is not None
                and look_alike(head, channel.status_head)
            ),
        )
        if found is Match.OWN:
            return True
        log_message(
            'upstream:response-discarded',
            upstream=upstream.upstream_id,
            request_id=call.request_id,
            echoed=echoed_id,
            status=head.status,
        )
        if found is Match.UNKNOWN:
            raise UpstreamLostError(
                f'status {head.status} on a kept connection names no request'
            )
        return False
