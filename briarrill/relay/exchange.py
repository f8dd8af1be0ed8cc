"""briarrill.relay.exchange: sends a request once and relays the response."""

import time

import attrs

from ..coordination.call_channels import CallChannels
from ..coordination.capacity.knowledge import ResponseMeter
from ..coordination.event_wait import EventWait
from ..coordination.load_exchange import LoadExchange
from ..coordination.relay_protocol import RelayProtocol
from ..coordination.response_ends import check_stream_end, is_event_stream
from ..coordination.routes import RouteKind
from ..coordination.service_times import ServiceTimeTable
from ..coordination.upstream_ends import PromptRun, UpstreamEnds
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable
from ..errors import (
    OverloadedError,
    UpstreamFailedError,
    UpstreamLostError,
    UpstreamRefusedError,
)
from ..protocol.event_stream import EventSplitter, EventTracker
from ..result_codes import Ran
from ..transport.http_channel import HttpChannel
from ..transport.http_messages import ResponseHead
from .attempts import Attempt, time_limit
from .response import Response
from .stream_places import StreamPlaces
from .streams import read_stream_part, send_new_events
from .upstream_health import UpstreamHealth

__all__ = ('Exchanger',)

# responses up to this size are buffered until they are complete, so that the
# request can be retried if the connection breaks
MAX_BUFFERED_RESPONSE_BYTES = 262_144

HTTP_OK = 200
HTTP_SERVER_ERROR = 500


@attrs.frozen
class _StreamObservers:
    """What a stream's bytes tell of: its prompt, and its upstream's speed."""

    run: PromptRun
    meter: ResponseMeter

    def add_bytes(self, part: bytes) -> None:
        """Add the next bytes of the stream."""
        self.run.record_bytes()
        self.meter.add_bytes(part)


@attrs.define
class Exchanger:
    """Sends requests on open connections and relays the responses.

    :param ends: observes the requests to find prompts that end upstreams.
    """

    protocol: RelayProtocol
    upstreams: UpstreamTable
    load: LoadExchange
    ends: UpstreamEnds
    channels: CallChannels
    health: UpstreamHealth
    streams: StreamPlaces
    service_times: ServiceTimeTable

    async def run(
        self,
        attempt: Attempt,
        upstream: RegisteredUpstream,
        channel: HttpChannel,
        run: PromptRun,
    ) -> None:
        """Send the request on a connection and relay the response.

        :raises OverloadedError: the upstream did not run the request.
        :raises UpstreamLostError: the connection broke or stalled.
        :raises UpstreamFailedError: the upstream responded with an error, or
            with a refusal after an attempt that may have run.
        :raises DeadlineExceededError: the deadline passed.
        """
        began_at = time.monotonic()
        call = attrs.evolve(
            attempt.call, last_event_id=attempt.response.last_event_id
        )
        time_left_s = call.deadline_s - began_at
        head = self.protocol.upstream_request(call, upstream, time_left_s)
        async with channel.exchange(head, call.body):
            with self.load.knowledge.measure(
                upstream, call.route.selector, call.work
            ) as meter:
                response_head = await self._begin_response(
                    attempt, upstream, channel
                )
                if response_head.status == HTTP_OK:
                    meter.record_head()
                self.health.ejector_of(call.service).record_first_chunk(
                    upstream.upstream_id, time.monotonic() - began_at
                )
                if call.route.kind is RouteKind.STREAMING:
                    with self.load.silence.track_stream(upstream.upstream_id):
                        await self._relay_stream(
                            attempt,
                            upstream,
                            channel,
                            response_head,
                            _StreamObservers(run, meter),
                        )
                else:
                    await self._relay_buffered(attempt, channel, response_head)
            run.record_end(
                response_head.status, is_marked=response_head.is_end_marked
            )
        self.service_times.of(call.service).add(time.monotonic() - began_at)
        self.health.record_success(upstream)

    async def _begin_response(
        self,
        attempt: Attempt,
        upstream: RegisteredUpstream,
        channel: HttpChannel,
    ) -> ResponseHead:
        """Read the response head, and record what it tells of its upstream.

        :raises OverloadedError: the upstream did not run the request.
        :raises UpstreamRefusedError: its status would tell the caller so,
            though an earlier attempt may have run.
        """
        with self.load.delays.measure_start(
            upstream.upstream_id
        ) as record_first_bytes:
            response_head = await self._read_head(attempt, upstream, channel)
            self.ends.record_response(upstream, channel.opened_at)
            self.load.limits.record_response(
                self.protocol, upstream.incarnation, response_head
            )
            if self.protocol.reports_leaving(response_head):
                self.upstreams.mark_leaving(upstream.incarnation)
            _check_refusal(self.protocol, attempt, response_head)
            record_first_bytes()
        return response_head

    async def _read_head(
        self,
        attempt: Attempt,
        upstream: RegisteredUpstream,
        channel: HttpChannel,
    ) -> ResponseHead:
        """Read the response head; suspect an upstream that sends none.

        :raises UpstreamLostError: no head came within the timeout.
        """
        call = attempt.call
        try:
            with time_limit(attempt.response_timeout_s, call):
                head = await self.channels.read_head(call, upstream, channel)
        except UpstreamLostError:
            self.load.silence.mark_silent(upstream.upstream_id)
            raise
        attempt.on_head()
        self.load.silence.record_reply(upstream.upstream_id)
        return head

    async def _relay_buffered(
        self,
        attempt: Attempt,
        channel: HttpChannel,
        response_head: ResponseHead,
        max_buffered_bytes: int = MAX_BUFFERED_RESPONSE_BYTES,
    ) -> None:
        """Relay a response that is no stream, buffered up to a limit.

        :raises UpstreamFailedError: the status is 500 or higher; the
            response is stored for the caller, unless it is over the limit.
        """
        response = attempt.response
        buffered = bytearray()
        part_wait = EventWait(attempt.response_timeout_s)
        while (
            part := await read_stream_part(attempt, channel, part_wait)
        ) is not None:
            buffered += part
            if response_head.status < HTTP_SERVER_ERROR:
                part_wait.restart(attempt.response_timeout_s)
            if response.has_begun or len(buffered) > max_buffered_bytes:
                _check_long_error(attempt, response_head)
                await response.send_head_once(response_head)
                await response.send(bytes(buffered))
                buffered.clear()
        await _end_buffered(response, response_head, bytes(buffered))

    async def _relay_other_content(
        self,
        attempt: Attempt,
        channel: HttpChannel,
        response_head: ResponseHead,
    ) -> None:
        """Relay a response on a streaming route that has no events.

        :raises UpstreamFailedError: it is an error, or the response to a
            resumption.
        """
        if attempt.response.has_begun:
            # its body must not follow the events that were sent
            raise UpstreamFailedError(
                f'answered {response_head.status} without events'
                ' to a resumption',
                ran=Ran.YES,
            )
        # other content than events may be a stream too
        is_success = response_head.status == HTTP_OK
        await self._relay_buffered(
            attempt,
            channel,
            response_head,
            0 if is_success else MAX_BUFFERED_RESPONSE_BYTES,
        )

    async def _relay_stream(
        self,
        attempt: Attempt,
        upstream: RegisteredUpstream,
        channel: HttpChannel,
        response_head: ResponseHead,
        observers: _StreamObservers,
    ) -> None:
        """Relay the events of a stream as they arrive.

        :raises UpstreamLostError: the stream ended inside an event.
        :raises UpstreamFailedError: a resumption got a response that is no
            stream.
        """
        if not is_event_stream(response_head):
            await self._relay_other_content(attempt, channel, response_head)
            return
        response = attempt.response
        # the length of a stream that resumes elsewhere is unknown
        caller_head = response_head.without_length()
        splitter = EventSplitter()
        tracker = EventTracker()
        event_wait = EventWait(attempt.event_timeout_s)
        while (
            part := await read_stream_part(attempt, channel, event_wait)
        ) is not None:
            self.load.silence.record_bytes(upstream.upstream_id)
            observers.add_bytes(part)
            tracker.add_bytes(part)
            if attempt.call.route.resumable:
                events = splitter.add_bytes(part)
                if events:
                    self.streams.begin(attempt.call, response, attempt.origin)
                if await send_new_events(events, caller_head, response):
                    event_wait.restart(attempt.event_timeout_s)
            else:
                await response.send_head_once(caller_head)
                await response.send(part)
        check_stream_end(
            attempt.call.request_id,
            upstream.upstream_id,
            response_head,
            tracker,
        )
        await response.send_head_once(caller_head)
        await response.finish(b'')


def _check_refusal(
    protocol: RelayProtocol, attempt: Attempt, response_head: ResponseHead
) -> None:
    """Check that a response may be relayed, whatever its status says.

    :raises OverloadedError: the upstream did not run the request.
    :raises UpstreamRefusedError: its status would tell the caller so, though
        an earlier attempt may have run.
    """
    if protocol.reports_not_executed(response_head):
        raise OverloadedError(
            f'upstream rejected the request with status {response_head.status}'
        )
    if (
        protocol.promises_not_executed(response_head)
        and not attempt.may_be_refused
    ):
        raise UpstreamRefusedError(
            f'answered {response_head.status} to a further attempt',
            ran=Ran.UNKNOWN,
        )


def _check_long_error(attempt: Attempt, response_head: ResponseHead) -> None:
    """Check that a response that is not buffered any longer may be relayed.

    :raises UpstreamFailedError: it is an error, which may have no end, and
        another attempt may follow.
    """
    if response_head.status >= HTTP_SERVER_ERROR and attempt.may_be_left:
        raise UpstreamFailedError(
            f'answered {response_head.status} at too great a length'
        )


async def _end_buffered(
    response: Response, response_head: ResponseHead, rest: bytes
) -> None:
    """Send what is left of a response that is no stream.

    :raises UpstreamFailedError: the status is 500 or higher; the response is
        stored for the caller.
    """
    if response.has_begun:
        await response.finish(rest)
    elif response_head.status < HTTP_SERVER_ERROR:
        await response.send_complete(response_head, rest)
    else:
        response.store_failure(response_head, rest)
        message = f'answered {response_head.status}'
        if response.has_stored_refusal:
            raise UpstreamRefusedError(message)
        raise UpstreamFailedError(message)
