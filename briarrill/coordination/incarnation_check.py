"""briarrill.coordination.incarnation_check: ask who is behind a connection.

An upstream that is started again under its identifier, at another version,
may get requests before its new registration is known. A connection stays with
one process, so each is checked once.
"""

import trio

from ..errors import PeerUnreachableError, UpstreamLostError
from ..transport.http_channel import HttpChannel
from ..transport.http_messages import RequestHead
from .relay_protocol import RelayProtocol
from .upstream_table import RegisteredUpstream

__all__ = ('is_registered_process',)

# a live upstream replies within a few round trips
CHECK_TIMEOUT_S = 0.25

# largest reply that is read
MAX_STATUS_BYTES = 65_536

HTTP_OK = 200


async def is_registered_process(
    protocol: RelayProtocol, channel: HttpChannel, upstream: RegisteredUpstream
) -> bool:
    """Tell whether the process that registered is behind a connection.

    An upstream that does not tell is taken as registered. The result is
    remembered with the connection, which is closed if the question fails.

    :raises PeerUnreachableError: the connection cannot be used; no request
        was sent.
    """
    request = protocol.status_request(upstream)
    if request is None:
        return True
    if channel.is_registered_process is None:
        is_match = True
        try:
            with trio.fail_after(CHECK_TIMEOUT_S):
                body = await _read_status(protocol, channel, request)
                is_match = body is None or protocol.is_status_of(
                    upstream, body
                )
        except (UpstreamLostError, trio.TooSlowError) as exc:
            channel.close()
            raise PeerUnreachableError(
                f'{upstream.address}: no reply of the upstream: {exc!r}'
            ) from exc
        except BaseException:
            channel.close()
            raise
        channel.is_registered_process = is_match
    return channel.is_registered_process


async def _read_status(
    protocol: RelayProtocol, channel: HttpChannel, request: RequestHead
) -> bytes | None:
    """Return the upstream's state, None if it tells none.

    Late responses to earlier calls name their call, which the reply does not.

    :raises UpstreamLostError: the connection broke or will be closed, or more
        than the reply came.
    """
    async with channel.exchange(request, b''):
        head = await channel.read_head(
            lambda received: not protocol.echoed_id(received)
        )
        body = await channel.read_full_body(MAX_STATUS_BYTES)
    if not channel.is_reusable:
        raise UpstreamLostError('the connection closes after the reply')
    channel.reset_after_exchange()
    if not channel.is_usable:
        raise UpstreamLostError('bytes received after the reply')
    channel.status_head = head
    return body if head.status == HTTP_OK else None
