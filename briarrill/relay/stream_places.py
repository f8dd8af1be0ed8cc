"""briarrill.relay.stream_places: find where a stream may go on."""

import time
from collections.abc import Collection

import attrs
import trio

from ..coordination.incarnation_check import is_registered_process
from ..coordination.origin_sharing import OriginSharing
from ..coordination.recent_versions import exclude_held, find_recent_versions
from ..coordination.relay_protocol import Call, RelayProtocol
from ..coordination.stream_versions import infer_origin
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable
from ..coordination.version_records import ServedVersion
from ..errors import NoUpstreamError, UpstreamLeftError
from ..protocol.request_keys import stream_key
from ..protocol.stream_origins import StreamOrigin
from ..transport.http_channel import HttpChannel
from .attempts import MIN_RETRY_AFTER_S
from .response import Response

__all__ = ('StreamPlaces',)

# interval of checks whether a version is recorded; only the first streams of
# a service wait
HOLD_CHECK_INTERVAL_S = 0.05


@attrs.define
class StreamPlaces:
    """Finds the upstreams that may go on with streams.

    Only streams of resumable routes go on.
    """

    protocol: RelayProtocol
    upstreams: UpstreamTable
    sharing: OriginSharing

    async def origin_of(self, call: Call) -> StreamOrigin | None:
        """Return what began the stream that a caller takes up.

        None if the caller takes none up; a new one waits until an upstream
        may begin it.
        """
        if not call.route.resumable:
            return None
        if call.last_event_id is None and not call.resumed_id:
            await self._wait_while_held(call)
            return None
        known = None
        if call.resumed_id:
            known = await self.sharing.find(
                stream_key(
                    self.protocol.caller(call.head, call.customer),
                    call.resumed_id,
                )
            )
        inferred = self._infer(call, known, ())
        if known is not None or inferred.version is None:
            return inferred
        # the process may have stood still, or lost its watch, until now
        missed = await self.upstreams.find_missed()
        if missed is None:
            return StreamOrigin(None)
        return self._infer(call, known, missed)

    def call_at(self, call: Call, origin: StreamOrigin | None) -> Call:
        """Return a call for the service that began its stream.

        Unchanged if the call's route has no such target any more.
        """
        services = {target.service for target in call.route.targets}
        if origin is None or origin.service not in services:
            return call
        return attrs.evolve(call, service=origin.service)

    def eligible(
        self, call: Call, response: Response
    ) -> list[RegisteredUpstream]:
        """Return the upstreams that accept a call and may go on with it.

        :raises NoUpstreamError: there is none.
        """
        accepting = self.upstreams.accepting_upstreams(call.service)
        if response.origin is not None:
            accepting = [
                upstream
                for upstream in accepting
                if self.upstreams.may_go_on(upstream, response.origin)
            ]
        if accepting:
            return accepting
        raise NoUpstreamError(
            _reason(call.service, response), retry_after_s=MIN_RETRY_AFTER_S
        )

    def without_held(
        self,
        call: Call,
        response: Response,
        usable: list[RegisteredUpstream],
    ) -> list[RegisteredUpstream]:
        """Return the upstreams that may begin or go on with a call now.

        :param usable: eligible ones that are not known to be out of order;
            one that cannot begin streams holds no other version up.
        """
        if response.origin is not None or not call.route.resumable:
            return usable
        # the time to wait for records may end without one
        return exclude_held(self.upstreams, usable) or usable

    async def check(
        self,
        call: Call,
        response: Response,
        upstream: RegisteredUpstream,
        channel: HttpChannel,
    ) -> StreamOrigin:
        """Check who is behind a connection; return what it would begin.

        :raises UpstreamLeftError: a stream may not go on there.
        :raises PeerUnreachableError: the connection cannot be used.
        """
        if not call.route.resumable:
            return StreamOrigin(upstream.version, upstream.service)
        if await is_registered_process(self.protocol, channel, upstream):
            return StreamOrigin(upstream.version, upstream.service)
        self.upstreams.mark_replaced(upstream.incarnation)
        if response.origin is not None:
            channel.close()
            raise UpstreamLeftError(
                f'another process answers as {upstream.upstream_id!r}'
            )
        return StreamOrigin(None)

    def begin(
        self, call: Call, response: Response, origin: StreamOrigin
    ) -> None:
        """Record what begins a stream, before its first event is sent."""
        if response.origin is None:
            response.origin = origin
            caller = self.protocol.caller(call.head, call.customer)
            self.sharing.tell(stream_key(caller, call.request_id), origin)

    def _infer(
        self,
        call: Call,
        known: StreamOrigin | None,
        missed: Collection[ServedVersion],
    ) -> StreamOrigin:
        """Infer what began a stream.

        :param missed: versions that served besides those that are followed.
        """
        services = {target.service for target in call.route.targets}
        followed = {
            StreamOrigin(version, service)
            for service in services
            for version in find_recent_versions(self.upstreams, service)
        }
        others = {
            StreamOrigin(served.version, served.service)
            for served in missed
            if served.service in services
        }
        return infer_origin(
            known,
            followed | others,
            is_complete=self.upstreams.knows_recent_versions,
        )

    async def _wait_while_held(self, call: Call) -> None:
        """Wait for the first record of a service, for a short time at most."""
        while time.monotonic() < call.deadline_s:
            accepting = self.upstreams.accepting_upstreams(call.service)
            if not accepting or exclude_held(self.upstreams, accepting):
                return
            await trio.sleep(HOLD_CHECK_INTERVAL_S)


def _reason(service: str, response: Response) -> str:
    """Return why no upstream may run a call."""
    if response.origin is None:
        return f'no upstream of {service} accepts requests'
    if response.origin.version is None:
        return 'the version that began the stream is not known'
    return (
        f'no upstream of {service} accepts requests with the version that'
        f' began the stream, {response.origin.version!r} of'
        f' {response.origin.service!r}'
    )
