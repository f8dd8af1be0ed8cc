"""briarrill.item_runs.run: one run of an item at an upstream."""

import contextlib
import math
from collections.abc import AsyncIterator, Iterator

import attrs
import trio
from eliot import log_message

from ..coordination.routes import Route
from ..coordination.silence import SilenceWatch
from ..coordination.start_delays import StartDelays
from ..coordination.upstream_table import RegisteredUpstream
from ..coordination.wire import Call, RelayWire
from ..errors import BriarrillError, PeerUnreachableError, UpstreamLostError
from ..transport.http_channel import ChannelPool, HttpChannel
from ..transport.http_messages import AnswerHead
from .item import ItemProgress, RunEnd

__all__ = ('ItemRunner',)

CONNECT_TIMEOUT_S = 0.25

# silence after which a run is given up and resumed elsewhere, in longest
# pauses of its route, and before its first event
PATIENCE_PAUSES = 4.0
FIRST_EVENT_PATIENCE_S = 3.0

# bytes of an error's body that are read to keep the connection
MAX_ERROR_BYTES = 65_536

_HTTP_OK = 200
_HTTP_IMPOSSIBLE = 422
_HTTP_FAILED = 500


@attrs.define
class ItemRunner:
    """Runs items and keeps what they produced.

    :param wire: the protocol towards upstreams.
    :param silence: told of each upstream's bytes.
    :param delays: told of the waits for them.
    """

    wire: RelayWire
    silence: SilenceWatch
    delays: StartDelays
    _pool: ChannelPool = attrs.field(
        factory=lambda: ChannelPool(CONNECT_TIMEOUT_S), init=False
    )

    async def run(
        self,
        progress: ItemProgress,
        route: Route,
        host: str,
        upstream: RegisteredUpstream,
    ) -> RunEnd:
        """Run an item from where it stopped; return how the run ended."""
        if progress.is_whole:
            return RunEnd.COMPLETED
        try:
            channel = await self._pool.take(
                upstream.incarnation, upstream.address
            )
        except PeerUnreachableError as exc:
            self._pool.forget(upstream.incarnation)
            self.silence.suspect(upstream.upstream_id)
            _log(progress, upstream, exc)
            return RunEnd.REFUSED
        call = self._call(progress, route, host, upstream)
        progress.begin_run()
        try:
            end = await self._exchange(progress, call, upstream, channel)
        except UpstreamLostError as exc:
            channel.close()
            _log(progress, upstream, exc)
            return RunEnd.CUT
        except BaseException:
            channel.close()
            raise
        self._pool.put_back(upstream.incarnation, channel)
        return end

    def _call(
        self,
        progress: ItemProgress,
        route: Route,
        host: str,
        upstream: RegisteredUpstream,
    ) -> Call:
        return Call(
            request_id=progress.stored.item_id,
            route=route,
            service=upstream.service,
            head=self.wire.item_head(host, progress.stored),
            body=progress.stored.body,
            deadline_s=math.inf,
            last_event_id=progress.last_event_id,
        )

    async def _exchange(
        self,
        progress: ItemProgress,
        call: Call,
        upstream: RegisteredUpstream,
        channel: HttpChannel,
    ) -> RunEnd:
        head = self.wire.upstream_request(call, upstream, math.inf)
        async with channel.exchange(head, call.body):
            with self.delays.waiting(upstream.upstream_id) as heard:
                with _patience(FIRST_EVENT_PATIENCE_S):
                    reply = await channel.read_head(
                        lambda found: self.wire.is_own_answer(call, found)
                    )
                if reply.status == _HTTP_OK:
                    heard()
            if reply.status != _HTTP_OK:
                return await self._read_error(reply, channel)
            with self.silence.begun_stream(upstream.upstream_id):
                async for part in _parts(call.route, channel):
                    self.silence.hear(upstream.upstream_id)
                    progress.take_part(part)
            progress.check_whole()
        return RunEnd.COMPLETED

    async def _read_error(
        self, reply: AnswerHead, channel: HttpChannel
    ) -> RunEnd:
        with _patience(FIRST_EVENT_PATIENCE_S):
            await channel.read_whole_body(MAX_ERROR_BYTES)
        if self.wire.says_not_run(reply):
            return RunEnd.REFUSED
        if reply.status == _HTTP_IMPOSSIBLE:
            return RunEnd.IMPOSSIBLE
        if reply.status == _HTTP_FAILED:
            return RunEnd.FAILED
        log_message('item:unexpected-status', status=reply.status)
        return RunEnd.CUT


@contextlib.contextmanager
def _patience(limit_s: float) -> Iterator[None]:
    """Bound the silence of an upstream.

    :raises UpstreamLostError: it was silent for too long.
    """
    with trio.move_on_after(limit_s) as scope:
        yield
    if scope.cancelled_caught:
        raise UpstreamLostError(f'silent for {limit_s} s')


async def _parts(route: Route, channel: HttpChannel) -> AsyncIterator[bytes]:
    """Yield the parts of a stream.

    :raises UpstreamLostError: it was cut, or silent for too long.
    """
    patience_s = FIRST_EVENT_PATIENCE_S
    while True:
        with _patience(patience_s):
            part = await channel.read_body()
        if part is None:
            return
        yield part
        patience_s = PATIENCE_PAUSES * route.longest_pause_s


def _log(
    progress: ItemProgress,
    upstream: RegisteredUpstream,
    exc: BriarrillError,
) -> None:
    log_message(
        'item:run-failed',
        job=progress.job_id,
        request_id=progress.stored.item_id,
        upstream=upstream.upstream_id,
        event=progress.last_event_id,
        reason=exc.message,
    )
