"""briarrill.entry.links: connections of an entry to sidecars."""

import time

import trio
from eliot import log_message

from ..coordination.deadlines import PeerClock
from ..errors import (
    NoUpstreamError,
    PeerUnreachableError,
)
from ..metrics import STALE_MESSAGES
from ..protocol.codec import decode_or_count, encode
from ..protocol.messages import (
    CancelCall,
    Chunk,
    Finish,
    Heartbeat,
    Hello,
    LoadReport,
    Message,
    Submit,
    Welcome,
)
from ..state.settings import InstanceSettings
from ..transport.instance_list import Instance
from ..transport.zmq_socket import ZmqSocket, open_dealer
from .calls import CallKey, OnlineCall, OnlineRequest

__all__ = ('OnlineRequest', 'UpstreamLink')

HELLO_INTERVAL_S = 0.1

# silence after which a peer counts as lost
PEER_TIMEOUT_S = 1.5


class UpstreamLink:
    """The session with one sidecar.

    :param instance: where the sidecar runs.
    :param port: its online port.
    :param own: the instance of this entry.
    """

    def __init__(
        self, instance: Instance, port: int, own: InstanceSettings
    ) -> None:
        """Start disconnected."""
        self.instance = instance
        self._port = port
        self.models: tuple[str, ...] = ()
        self.service = ''
        self._own = own
        self._socket: ZmqSocket | None = None
        self._session = ''
        self._draining = False
        self._clock = PeerClock()
        self.report = LoadReport()
        self._calls: dict[CallKey, OnlineCall] = {}

    @property
    def name(self) -> str:
        """Return the upstream's name."""
        return self.instance.name

    @property
    def is_usable(self) -> bool:
        """Whether new requests may be sent."""
        return bool(self._session) and not self._draining

    @property
    def load(self) -> float:
        """Return own requests in flight plus what the sidecar reported."""
        report = self.report
        running = max(len(self._calls), report.online_running)
        return (running + report.online_queued) / max(report.slots, 1)

    @property
    def in_flight(self) -> int:
        """Return the calls that have not ended."""
        return len(self._calls)

    def serves(self, target: str) -> bool:
        """Whether the upstream serves a model or service."""
        return target in self.models or target == self.service

    def submit(self, req: OnlineRequest, attempt: int) -> OnlineCall:
        """Send an attempt.

        :raises NoUpstreamError: there is no session; nothing was sent.
        :raises PeerUnreachableError: nothing was sent.
        """
        if self._socket is None or not self._session:
            raise NoUpstreamError('no session with the upstream')
        key = (req.request_id, attempt)
        call = OnlineCall(key, self.end_call)
        self._socket.send(encode(self._submit_message(req, attempt)))
        self._calls[key] = call
        return call

    def end_call(self, key: CallKey, is_cancelled: bool) -> None:
        """Forget a call and stop it at the upstream if it still runs."""
        if self._calls.pop(key, None) is None or not is_cancelled:
            return
        self._cancel_at_peer(key)

    async def run(self) -> None:
        """Keep the session until cancelled."""
        with open_dealer(self.instance.host, self._port) as socket:
            self._socket = socket
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_session)
                while True:
                    self._receive(await socket.receive())

    def _submit_message(self, req: OnlineRequest, attempt: int) -> Submit:
        return Submit(
            session=self._session,
            request_id=req.request_id,
            attempt=attempt,
            contract=req.contract,
            method=req.method,
            path=req.path,
            body=req.body,
            idempotent=req.idempotent,
            peer_clock_s=self._clock.reading_s,
            peer_clock_age_s=self._clock.age_s,
            time_left_s=req.deadline_s - time.monotonic(),
            content_type=req.content_type,
            trace=req.trace,
        )

    async def _watch_session(self) -> None:
        """Say hello until welcomed; end the session on silence."""
        hello = Hello(
            process=self._own.name, failure_domain=self._own.failure_domain
        )
        while True:
            if not self._session:
                self._send(hello)
            elif not self._is_connected():
                self._end_session()
            paused_at = time.monotonic()
            await trio.sleep(HELLO_INTERVAL_S)
            if time.monotonic() - paused_at > PEER_TIMEOUT_S:
                # this process stood still; read what has arrived first
                await trio.sleep(HELLO_INTERVAL_S)

    def _is_connected(self) -> bool:
        """Whether the connection stands and the peer was heard lately."""
        if self._socket is None or not self._socket.is_writable:
            return False
        return self._clock.age_s <= PEER_TIMEOUT_S

    def _end_session(self) -> None:
        log_message('upstream:lost', upstream=self.name)
        self._session = ''
        calls, self._calls = self._calls, {}
        for key, call in calls.items():
            call.lose()
            # a peer that only stood still must not go on with them
            self._cancel_at_peer(key)

    def _receive(self, frames: list[bytes]) -> None:
        message = decode_or_count(frames)
        if isinstance(message, (Chunk, Finish)):
            self._deliver(message)
        elif isinstance(message, Welcome):
            self._welcome(message)
        elif isinstance(message, Heartbeat):
            self._take_heartbeat(message)

    def _deliver(self, event: Chunk | Finish) -> None:
        call = self._calls.get((event.request_id, event.attempt))
        if call is None:
            STALE_MESSAGES.inc()
            return
        call.deliver(event)

    def _welcome(self, welcome: Welcome) -> None:
        if self._session and self._session != welcome.session:
            self._end_session()
        if not self._session:
            log_message('upstream:found', upstream=self.name)
        self._session = welcome.session
        self._take_state(welcome)

    def _take_heartbeat(self, heartbeat: Heartbeat) -> None:
        if heartbeat.session != self._session:
            STALE_MESSAGES.inc()
            return
        self._take_state(heartbeat)

    def _take_state(self, message: Welcome | Heartbeat) -> None:
        self.report = message.load
        self.models = message.models
        self.service = message.service
        self._draining = message.draining
        self._clock.update(message.clock_s)

    def _cancel_at_peer(self, key: CallKey) -> None:
        self._send(CancelCall(request_id=key[0], attempt=key[1]))

    def _send(self, message: Message) -> None:
        if self._socket is None:
            return
        try:
            self._socket.send(encode(message))
        except PeerUnreachableError:
            return
