"""briarrill.relay.forwarding: a request at upstreams, one after the other.

An attempt that certainly did not run is repeated anywhere. One that may have
run is repeated when its route allows that, and a resumable stream goes on
after the last event that the caller has.
"""

import random
import time

import attrs
import trio
from eliot import log_message

from ..coordination.ejection import Ejector
from ..coordination.load_exchange import LoadExchange
from ..coordination.placement import Place, choose_place, expected_wait_s
from ..coordination.retries import RetryBudgets
from ..coordination.routes import RouteKind
from ..coordination.service_times import ServiceTimes
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable
from ..coordination.wire import Call, RelayWire
from ..errors import (
    BriarrillError,
    CapacityError,
    DeadlineExceededError,
    DeadlineUnreachableError,
    NoUpstreamError,
    OutcomeUnknownError,
    OverloadedError,
    PeerUnreachableError,
    UpstreamFailedError,
    UpstreamLostError,
)
from ..metrics import RESUMED, RETRIED
from ..protocol.event_stream import EventSplitter
from ..result_codes import Ran
from ..transport.http_channel import ChannelPool, HttpChannel
from ..transport.http_messages import AnswerHead
from .answer import Answer
from .attempts import Attempt, Progress, log_if_late, log_left, time_limit
from .streams import read_part, send_whole_events

__all__ = ('Forwarder',)

# a live upstream takes a connection within a round trip or two
CONNECT_TIMEOUT_S = 0.25

# whole answers up to this size are kept until they are complete, so that a
# cut one can be asked for again
MAX_HELD_BYTES = 262_144

# least time left for another attempt to be of use, in objectives
MIN_ATTEMPT_OBJECTIVES = 0.2

# difference between two beginnings that does not matter, in objectives
TOLERANCE_OBJECTIVES = 0.3

# what a refused caller waits at least; the shortest valley between two peaks
# is longer, so most come back to free slots
MIN_RETRY_AFTER_S = 0.15

HTTP_OK = 200
HTTP_SERVER_ERROR = 500


class Forwarder:
    """Chooses upstreams for requests and relays their answers.

    :param failure_domain: the own one, which is preferred.
    """

    def __init__(
        self,
        wire: RelayWire,
        upstreams: UpstreamTable,
        load: LoadExchange,
        failure_domain: str,
        rng: random.Random,
    ) -> None:
        """Start without connections."""
        self._wire = wire
        self._upstreams = upstreams
        self._load = load
        self._failure_domain = failure_domain
        self._rng = rng
        self._pool = ChannelPool(CONNECT_TIMEOUT_S)
        self._ejectors: dict[str, Ejector] = {}
        self._service_times: dict[str, ServiceTimes] = {}
        self._budgets = RetryBudgets()

    async def forward(self, call: Call, answer: Answer) -> None:
        """Relay the answer to a call.

        :raises BriarrillError: the final refusal or failure; the answer
            may have begun.
        """
        progress = Progress()
        began_at = time.monotonic()
        self._budgets.record_request(call.route.name)
        try:
            await self._forward(call, answer, progress)
        except trio.Cancelled:
            log_left(call, answer, progress, began_at)
            raise
        log_if_late(call, answer, progress, began_at)

    async def _forward(
        self, call: Call, answer: Answer, progress: Progress
    ) -> None:
        """Make attempts until one answers, or none may follow."""
        while True:
            upstream = self._choose(call, answer, progress)
            try:
                await self._attempt(call, upstream, answer, progress)
            except BriarrillError as exc:
                self._after_failure(call, upstream, answer, progress, exc)
            else:
                return

    def _choose(
        self, call: Call, answer: Answer, progress: Progress
    ) -> RegisteredUpstream:
        """Return the upstream of the next attempt.

        :raises BriarrillError: there is none, or no time.
        """
        places = self._places(call, progress)
        if not places:
            raise self._final(
                progress,
                NoUpstreamError(
                    f'no upstream of {call.service} takes requests',
                    retry_after_s=MIN_RETRY_AFTER_S,
                ),
            )
        place = choose_place(
            places,
            self._rng,
            tolerance_s=TOLERANCE_OBJECTIVES * call.route.objective_s,
            service_time_s=self._times(call.service).mean_s,
        )
        progress.place = place
        if not progress.attempts:
            self._check_reachable(call, place)
        if place.free <= 0:
            self._load.report_now()
        found = self._upstreams.find(place.name)
        if found is None:
            raise NoUpstreamError('the upstream has just left')
        return found

    def _places(self, call: Call, progress: Progress) -> list[Place]:
        found = [
            self._place(upstream)
            for upstream in self._upstreams.of_service(call.service)
            if upstream.upstream_id not in progress.refused
        ]
        if not found:
            return []
        return self._ejector(call.service).admitted(found)

    def _place(self, upstream: RegisteredUpstream) -> Place:
        return Place(
            name=upstream.upstream_id,
            slots=upstream.slots,
            online=self._load.online(upstream.upstream_id),
            batch=self._load.batch(upstream.upstream_id),
            is_local=upstream.failure_domain == self._failure_domain,
            is_suspect=self._load.is_suspect(upstream.upstream_id),
            delay_s=self._load.delay_s(upstream.upstream_id),
        )

    def _check_reachable(self, call: Call, place: Place) -> None:
        """Refuse at once what would only be given up later."""
        times = self._times(call.service)
        wait_s = expected_wait_s(place, times.mean_s)
        left_s = call.deadline_s - time.monotonic()
        if wait_s and wait_s + times.shortest_s > left_s:
            raise DeadlineUnreachableError(
                'the request would finish after its deadline',
                retry_after_s=max(MIN_RETRY_AFTER_S, wait_s),
            )

    async def _attempt(
        self,
        call: Call,
        upstream: RegisteredUpstream,
        answer: Answer,
        progress: Progress,
    ) -> None:
        """Relay the answer of one upstream to its end.

        :raises BriarrillError: it did not end; ``ran`` says what may have
            happened.
        """
        progress.attempts += 1
        is_last = progress.runs + 1 >= call.route.max_attempts
        attempt = Attempt(call, answer, is_last)
        with self._load.in_flight.counted(
            upstream.upstream_id, is_batch=False
        ):
            channel = await self._connect(upstream)
            try:
                await self._exchange(attempt, upstream, channel)
            except BaseException:
                channel.close()
                raise
            self._pool.put_back(upstream.incarnation, channel)

    async def _connect(self, upstream: RegisteredUpstream) -> HttpChannel:
        try:
            return await self._pool.take(
                upstream.incarnation, upstream.address
            )
        except PeerUnreachableError:
            self._pool.forget(upstream.incarnation)
            self._load.silence.suspect(upstream.upstream_id)
            raise

    async def _exchange(
        self,
        attempt: Attempt,
        upstream: RegisteredUpstream,
        channel: HttpChannel,
    ) -> None:
        began_at = time.monotonic()
        call = attrs.evolve(
            attempt.call, last_event_id=attempt.answer.last_event_id
        )
        left_s = call.deadline_s - began_at
        head = self._wire.upstream_request(call, upstream, left_s)
        async with channel.exchange(head, call.body):
            with self._load.delays.waiting(upstream.upstream_id) as heard:
                reply = await self._read_head(attempt, upstream, channel)
                if self._wire.says_not_run(reply):
                    await channel.read_whole_body(MAX_HELD_BYTES)
                    raise OverloadedError(f'refused with {reply.status}')
                heard()
            self._ejector(call.service).record_first_chunk(
                upstream.upstream_id, time.monotonic() - began_at
            )
            if call.route.kind is RouteKind.STREAMING:
                with self._load.silence.begun_stream(upstream.upstream_id):
                    await self._relay_stream(attempt, upstream, channel, reply)
            else:
                await self._relay_whole(attempt, channel, reply)
        self._times(call.service).add(time.monotonic() - began_at)

    async def _read_head(
        self,
        attempt: Attempt,
        upstream: RegisteredUpstream,
        channel: HttpChannel,
    ) -> AnswerHead:
        call = attempt.call
        try:
            with time_limit(attempt.answer_patience_s, call):
                return await channel.read_head(
                    lambda head: self._wire.is_own_answer(call, head)
                )
        except UpstreamLostError:
            self._load.silence.suspect(upstream.upstream_id)
            raise

    async def _relay_whole(
        self, attempt: Attempt, channel: HttpChannel, reply: AnswerHead
    ) -> None:
        """Keep an answer until it is whole, if it is not too long."""
        answer = attempt.answer
        parts: list[bytes] = []
        held = 0
        while True:
            with time_limit(attempt.answer_patience_s, attempt.call):
                part = await channel.read_body()
            if part is None:
                break
            parts.append(part)
            held += len(part)
            if held > MAX_HELD_BYTES:
                await answer.begin(reply)
                await answer.send(b''.join(parts))
                parts.clear()
        if reply.status >= HTTP_SERVER_ERROR and not answer.has_begun:
            answer.keep_failure(reply, b''.join(parts))
            raise UpstreamFailedError(f'answered {reply.status}', ran=Ran.YES)
        if answer.has_begun:
            await answer.end(b''.join(parts))
        else:
            await answer.send_whole(reply, b''.join(parts))

    async def _relay_stream(
        self,
        attempt: Attempt,
        upstream: RegisteredUpstream,
        channel: HttpChannel,
        reply: AnswerHead,
    ) -> None:
        answer = attempt.answer
        if reply.status != HTTP_OK:
            await self._relay_whole(attempt, channel, reply)
            return
        splitter = EventSplitter()
        while (part := await read_part(attempt, channel)) is not None:
            self._load.silence.hear(upstream.upstream_id)
            if attempt.call.route.resumable:
                await send_whole_events(splitter.feed(part), reply, answer)
            else:
                await answer.begin(reply)
                await answer.send(part)
        if splitter.has_partial:
            raise UpstreamLostError('the stream ended inside an event')
        await answer.begin(reply)
        await answer.end(b'')

    def _after_failure(
        self,
        call: Call,
        upstream: RegisteredUpstream,
        answer: Answer,
        progress: Progress,
        exc: BriarrillError,
    ) -> None:
        """Return if another attempt follows, else raise the final error."""
        has_run = exc.ran is not Ran.NO
        progress.runs += has_run
        if has_run:
            progress.ran = exc.ran
        progress.refused.add(upstream.upstream_id)
        self._judge(call, upstream, exc)
        log_message(
            'request:attempt-failed',
            request_id=call.request_id,
            upstream=upstream.upstream_id,
            attempt=progress.attempts,
            reason=exc.message,
            ran=exc.ran.value,
            event=answer.last_event_id,
        )
        left_s = call.deadline_s - time.monotonic()
        if left_s <= 0:
            raise self._final(progress, DeadlineExceededError('no time left'))
        if not self._may_try_again(call, answer, progress, left_s):
            raise self._final(progress, exc)
        RETRIED.inc()
        if answer.has_begun:
            RESUMED.inc()

    def _may_try_again(
        self,
        call: Call,
        answer: Answer,
        progress: Progress,
        left_s: float,
    ) -> bool:
        if progress.is_exhausted or progress.runs >= call.route.max_attempts:
            return False
        if left_s < MIN_ATTEMPT_OBJECTIVES * call.route.objective_s:
            return False
        if progress.runs and not self._is_repeatable(call, answer):
            return False
        return self._budgets.take_retry(call.route.name)

    def _is_repeatable(self, call: Call, answer: Answer) -> bool:
        """Tell whether a call may run again, or its stream go on."""
        if call.route.resumable:
            return not answer.has_begun or answer.last_event_id is not None
        return call.route.may_repeat and not answer.has_begun

    def _judge(
        self, call: Call, upstream: RegisteredUpstream, exc: BriarrillError
    ) -> None:
        """Count a failure of the upstream; a refusal is none."""
        if not isinstance(exc, CapacityError):
            self._ejector(call.service).record_failure(upstream.upstream_id)

    def _final(
        self, progress: Progress, exc: BriarrillError
    ) -> BriarrillError:
        """Return the error for the caller; a refusal must be true."""
        if progress.ran is Ran.NO:
            if exc.ran is Ran.NO:
                return OverloadedError(
                    exc.message,
                    retry_after_s=exc.retry_after_s or MIN_RETRY_AFTER_S,
                )
            return exc
        if isinstance(exc, DeadlineExceededError | UpstreamFailedError):
            return exc
        return OutcomeUnknownError(exc.message, ran=progress.ran)

    def _ejector(self, service: str) -> Ejector:
        return self._ejectors.setdefault(service, Ejector(self._rng))

    def _times(self, service: str) -> ServiceTimes:
        return self._service_times.setdefault(service, ServiceTimes())
