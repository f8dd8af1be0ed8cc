"""briarrill.item_runs.item_runner: sends a batch item to an upstream."""

import contextlib
import math
from collections.abc import AsyncIterator, Callable, Iterator

import attrs
import trio
from eliot import log_message

from ..coordination.call_channels import CallChannels
from ..coordination.capacity.knowledge import (
    UpstreamKnowledge,
    UpstreamLoad,
)
from ..coordination.customers.customer import ANONYMOUS, Customer
from ..coordination.event_wait import EventWait
from ..coordination.incarnation_check import is_registered_process
from ..coordination.limit_sharing import LimitSharing
from ..coordination.quarantine_trials import QuarantineTrials
from ..coordination.relay_protocol import Call, RelayProtocol
from ..coordination.response_ends import check_stream_end, is_event_stream
from ..coordination.routes import Route
from ..coordination.silence import SilenceDetector
from ..coordination.start_delays import StartDelays
from ..coordination.upstream_ends import PromptRun, UpstreamEnds
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable
from ..errors import BriarrillError, PeerUnreachableError, UpstreamLostError
from ..protocol.load_reports import short_hash
from ..protocol.stream_origins import StreamOrigin
from ..state.stored_jobs import StoredItem
from ..transport.http_channel import HttpChannel
from ..transport.http_messages import ResponseHead
from .item import ItemProgress, RunEnd
from .wait_reasons import Refusal, WaitReason

__all__ = ('ItemRunner',)

CONNECT_TIMEOUT_S = 0.25

# a run is cut and resumed at another upstream after this many of its route's
# largest event gaps without an event, but no sooner than after a silence of a
# sound upstream, or after this time without a first event
EVENT_TIMEOUT_GAPS = 4.0
MIN_EVENT_TIMEOUT_S = 2.0
FIRST_EVENT_TIMEOUT_S = 3.0

# largest body of an error that is read so that the connection is reusable
MAX_ERROR_BODY_BYTES = 65_536

_HTTP_OK = 200
_HTTP_UNPROCESSABLE = 422
_HTTP_SERVER_ERROR = 500


def _is_always_routed(
    progress: ItemProgress, upstream: RegisteredUpstream
) -> bool:
    return True


@attrs.define
class ItemRunner:
    """Sends items to upstreams and adds their events to the progress.

    :param protocol: builds and reads the heads of messages.
    :param silence: records when each upstream sent bytes.
    :param delays: records each upstream's time to the first byte.
    :param upstreams: records which upstreams announce their departure.
    :param ends: observes the items to find prompts that end upstreams.
    :param limits: keeps the request limits of upstreams.
    :param trials: chooses items that run though a part is quarantined.
    :param knowledge: learns from the runs, default one of its own.
    :ivar is_routed: returns whether the routes in force lead an item to an
        upstream, by default always.
    """

    protocol: RelayProtocol
    silence: SilenceDetector
    delays: StartDelays
    upstreams: UpstreamTable
    ends: UpstreamEnds
    limits: LimitSharing
    trials: QuarantineTrials = attrs.field(
        default=attrs.Factory(
            lambda runner: QuarantineTrials(runner.ends.quarantine),
            takes_self=True,
        )
    )
    knowledge: UpstreamKnowledge = attrs.field(
        factory=lambda: UpstreamKnowledge(lambda _: UpstreamLoad())
    )
    is_routed: Callable[[ItemProgress, RegisteredUpstream], bool] = (
        attrs.field(default=_is_always_routed, init=False)
    )
    _channels: CallChannels = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start without connections."""
        self._channels = CallChannels(self.protocol, CONNECT_TIMEOUT_S)

    def is_quarantined(self, stored: StoredItem) -> bool:
        """Tell whether no upstream gets an item because of its prompt.

        Parts that are only suspected do not matter: items are no evidence
        against them, and such requests may come for a long time.
        """
        quarantine = self.ends.quarantine
        if not quarantine.parts.may_hold:
            return False
        head = self.protocol.item_head('', stored)
        parts = self.protocol.prompt_parts(head)
        if not (
            quarantine.time_left_s(parts)
            or quarantine.parts.awaits_decision(parts)
        ):
            return False
        return not self.trials.may_run(parts, stored.item_id)

    def why_held(self, stored: StoredItem) -> WaitReason:
        """Return why a prompt is held back."""
        parts = self.protocol.prompt_parts(self.protocol.item_head('', stored))
        quarantine = self.ends.quarantine
        if quarantine.quarantined_since(parts):
            return WaitReason.PART_QUARANTINED
        return WaitReason.PART_AWAITS_DECISION

    def accused_parts(self, stored: StoredItem) -> list[int]:
        """Return the hashes of the quarantined or suspected parts."""
        parts = self.protocol.prompt_parts(self.protocol.item_head('', stored))
        quarantine = self.ends.quarantine
        known = quarantine.parts.suspects | set(
            quarantine.quarantined_since(parts)
        )
        return sorted(known.intersection(map(short_hash, parts)))

    async def run(
        self,
        progress: ItemProgress,
        route: Route,
        host: str,
        upstream: RegisteredUpstream,
        customer: Customer = ANONYMOUS,
    ) -> RunEnd:
        """Run an item, resuming after its last event.

        :param host: of its job.
        :param customer: whose job it is.
        """
        if progress.is_complete:
            return RunEnd.COMPLETED
        if self.is_quarantined(progress.stored):
            progress.refusal = Refusal.PART
            return RunEnd.REFUSED
        call = attrs.evolve(
            self._make_call(progress, route, host, upstream),
            customer=customer,
            asks_for_keys=bool(customer.name),
        )
        connected = await self._connect(progress, call, upstream)
        if connected is None:
            return RunEnd.REFUSED
        channel, origin = connected
        progress.begin_run(origin)
        try:
            with (
                self.trials.running(call.prompt_parts, call.request_id),
                # batch items are known not to end upstreams by themselves
                self.ends.track(
                    upstream, call.prompt_parts, is_evidence=False
                ) as run,
            ):
                end = await self._exchange(
                    progress, call, upstream, channel, run
                )
        except UpstreamLostError as exc:
            channel.close()
            _log_run_failure(progress, call, upstream, exc)
            return RunEnd.CUT
        except BaseException:
            channel.close()
            raise
        self._channels.release(upstream, channel)
        return end

    async def _connect(
        self, progress: ItemProgress, call: Call, upstream: RegisteredUpstream
    ) -> tuple[HttpChannel, StreamOrigin] | None:
        """Return a connection for an item that the upstream may get now.

        :return: with what a run there begins or goes on with; none if the
            upstream is unreachable, left, is at its limit, or may not go on
            with the item, or if its prompt is held back by now.
        """
        grant = await self.limits.acquire(
            upstream.incarnation, max_wait_s=0, is_batch=True
        )
        if not grant.is_granted:
            progress.refusal = Refusal.PERMIT
            return None
        try:
            channel = await self._channels.acquire(upstream, call.request_id)
            is_registered = await is_registered_process(
                self.protocol, channel, upstream
            )
        except PeerUnreachableError as exc:
            self._channels.close_idle(upstream)
            self.silence.mark_silent(upstream.upstream_id)
            self.ends.record_unreachable(upstream)
            _log_run_failure(progress, call, upstream, exc)
            progress.refusal = Refusal.CONNECTION
            return None
        if not is_registered:
            self.upstreams.mark_replaced(upstream.incarnation)
        progress.refusal = self._why_refused(progress, upstream)
        if progress.refusal is None:
            version = upstream.version if is_registered else None
            return channel, StreamOrigin(version, upstream.service)
        channel.close()
        return None

    def _why_refused(
        self, progress: ItemProgress, upstream: RegisteredUpstream
    ) -> Refusal | None:
        """Return why an item cannot be sent to a connected upstream now."""
        if not self.upstreams.still_accepts(upstream):
            return Refusal.REPLACED
        if not self.is_routed(progress, upstream):
            return Refusal.ROUTE
        if progress.has_output and not self.upstreams.may_go_on(
            upstream, progress.origin
        ):
            versions = self.upstreams.versions
            is_replaced = versions.is_replaced(upstream.incarnation)
            return Refusal.REPLACED if is_replaced else Refusal.VERSION
        if self.is_quarantined(progress.stored):
            return Refusal.PART
        return None

    def _make_call(
        self,
        progress: ItemProgress,
        route: Route,
        host: str,
        upstream: RegisteredUpstream,
    ) -> Call:
        head = self.protocol.item_head(host, progress.stored)
        return Call(
            request_id=progress.stored.item_id,
            route=route,
            service=upstream.service,
            head=head,
            body=progress.stored.body,
            deadline_s=math.inf,
            last_event_id=progress.last_event_id,
            prompt_parts=self.protocol.prompt_parts(head),
            work=self.protocol.work(head),
        )

    async def _exchange(
        self,
        progress: ItemProgress,
        call: Call,
        upstream: RegisteredUpstream,
        channel: HttpChannel,
        run: PromptRun,
    ) -> RunEnd:
        """Send the request and read the response.

        :raises UpstreamLostError: the stream broke, had a gap or stalled.
        """
        head = self.protocol.upstream_request(call, upstream, math.inf)
        async with channel.exchange(head, call.body):
            with self.delays.measure_start(
                upstream.upstream_id
            ) as record_first_bytes:
                with _wait_limit(FIRST_EVENT_TIMEOUT_S):
                    response_head = await self._channels.read_head(
                        call, upstream, channel
                    )
                self.silence.record_reply(upstream.upstream_id)
                self.ends.record_response(upstream, channel.opened_at)
                self.limits.record_response(
                    self.protocol, upstream.incarnation, response_head
                )
                if self.protocol.reports_leaving(response_head):
                    self.upstreams.mark_leaving(upstream.incarnation)
                if response_head.status == _HTTP_OK:
                    record_first_bytes()
            if response_head.status != _HTTP_OK:
                return await self._read_error(response_head, channel, progress)
            if not is_event_stream(response_head):
                raise UpstreamLostError('answered 200 without events')
            with (
                self.knowledge.measure_events(
                    upstream, call.route.selector, call.work
                ) as meter,
                self.silence.track_stream(upstream.upstream_id),
            ):
                event_wait = EventWait(FIRST_EVENT_TIMEOUT_S)
                async for part in _read_stream(event_wait, channel):
                    self.silence.record_bytes(upstream.upstream_id)
                    run.record_bytes()
                    meter.add_bytes(part)
                    if progress.add_stream_bytes(part):
                        event_wait.restart(_event_timeout_s(call.route))
            check_stream_end(
                call.request_id,
                upstream.upstream_id,
                response_head,
                progress.tracker,
            )
            run.record_end(
                response_head.status, is_marked=response_head.is_end_marked
            )
        return RunEnd.COMPLETED

    async def _read_error(
        self,
        response_head: ResponseHead,
        channel: HttpChannel,
        progress: ItemProgress,
    ) -> RunEnd:
        """Map an error response to the end of a run.

        Its head decides; the body is read only to reuse the connection.
        """
        with (
            contextlib.suppress(UpstreamLostError),
            _wait_limit(FIRST_EVENT_TIMEOUT_S),
        ):
            await channel.read_full_body(MAX_ERROR_BODY_BYTES)
        if self.protocol.reports_not_executed(response_head):
            progress.refusal = Refusal.UPSTREAM
            return RunEnd.REFUSED
        if response_head.status == _HTTP_UNPROCESSABLE:
            return RunEnd.IMPOSSIBLE
        if response_head.status == _HTTP_SERVER_ERROR:
            return RunEnd.FAILED
        log_message('item:unexpected-status', status=response_head.status)
        return RunEnd.UNEXPECTED


def _event_timeout_s(route: Route) -> float:
    """Return the longest wait for the next event of an item."""
    return max(MIN_EVENT_TIMEOUT_S, EVENT_TIMEOUT_GAPS * route.max_event_gap_s)


@contextlib.contextmanager
def _wait_limit(limit_s: float) -> Iterator[None]:
    """Limit a wait for an upstream's bytes.

    :raises UpstreamLostError: none came within the limit.
    """
    with trio.move_on_after(limit_s) as scope:
        yield
    if scope.cancelled_caught:
        raise UpstreamLostError(f'no bytes from the upstream for {limit_s} s')


async def _read_stream(
    event_wait: EventWait, channel: HttpChannel
) -> AsyncIterator[bytes]:
    """Yield the bytes of a stream as they arrive.

    :raises UpstreamLostError: the connection broke or the stream stalled.
    """
    while True:
        with _wait_limit(event_wait.remaining_s), event_wait.reading():
            part = await channel.read_piece()
        if part is None:
            return
        yield part


def _log_run_failure(
    progress: ItemProgress,
    call: Call,
    upstream: RegisteredUpstream,
    exc: BriarrillError,
) -> None:
    log_message(
        'item:run-failed',
        job=progress.job_id,
        request_id=progress.stored.item_id,
        upstream=upstream.upstream_id,
        version=upstream.version,
        event=progress.last_event_id,
        reason=exc.message,
        prompt_parts=call.prompt_parts,
    )
