"""briarrill.entry.links: sessions of an entry with sidecars."""

import time
from collections.abc import Callable

import trio
from eliot import log_message

from ..coordination.deadlines import PeerClock
from ..errors import (
    NoUpstreamError,
    PeerUnreachableError,
)
from ..metrics import STALE_MESSAGES
from ..protocol.codec import decode_or_none, encode
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
from ..protocol.prompt_news import PromptNews
from ..state.settings import InstanceSettings
from ..transport.instance_list import Instance
from ..transport.zmq_socket import ZmqSocket, open_dealer
from .calls import CallKey, OnlineCall, OnlineRequest
from .left_calls import LeftCalls

__all__ = ('OnlineRequest', 'UpstreamLink')

# between hellos without a session, and between checks of the last heartbeat
HELLO_INTERVAL_S = 0.1

# time without a heartbeat after which the session ends
PEER_TIMEOUT_S = 1.5


class UpstreamLink:
    """Keeps the session with one sidecar and sends requests over it.

    :param instance: instance on which the sidecar runs.
    :param port: the sidecar's port for online requests.
    :param entry_instance: instance of this entry.
    :param receive_news: gets what the sidecar tells of prompts.
    """

    def __init__(
        self,
        instance: Instance,
        port: int,
        entry_instance: InstanceSettings,
        receive_news: Callable[[PromptNews | None], None],
    ) -> None:
        """Create a link without a session."""
        self._receive_news = receive_news
        self.instance = instance
        self._port = port
        self.models: tuple[str, ...] = ()
        self.service = ''
        self._entry_instance = entry_instance
        self._socket: ZmqSocket | None = None
        self._session = ''
        self._draining = False
        self._peer_clock = PeerClock()
        self.load_report = LoadReport()
        self._calls: dict[CallKey, OnlineCall] = {}
        self._left_calls = LeftCalls()

    @property
    def name(self) -> str:
        """Return the name of the upstream's instance."""
        return self.instance.name

    @property
    def is_usable(self) -> bool:
        """Whether there is a session and the sidecar is not draining."""
        return bool(self._session) and not self._draining

    @property
    def load(self) -> float:
        """Return running and queued requests for each slot.

        Requests from this entry that the last load report doesn't cover yet
        are counted too.
        """
        report = self.load_report
        running = max(len(self._calls), report.online_running)
        return (running + report.online_queued) / max(report.slots, 1)

    @property
    def in_flight(self) -> int:
        """Return the number of calls that have not ended."""
        return len(self._calls)

    def serves(self, target: str) -> bool:
        """Whether the upstream serves the model or service."""
        return target in self.models or target == self.service

    def submit(self, req: OnlineRequest, attempt: int) -> OnlineCall:
        """Send an attempt of a request to the sidecar.

        :raises NoUpstreamError: there is no session; nothing was sent.
        :raises DuplicateError: the same attempt was left here before.
        :raises PeerUnreachableError: the peer is disconnected; nothing was
            sent.
        """
        if self._socket is None or not self._session:
            raise NoUpstreamError(f'no session with upstream {self.name!r}')
        key = (req.request_id, attempt)
        self._left_calls.check(key)
        call = OnlineCall(
            key, self.end_call, None if req.idempotent else req.deadline_s
        )
        self._socket.send(encode(self._submit_message(req, attempt)))
        self._calls[key] = call
        return call

    def end_call(self, key: CallKey, is_cancelled: bool) -> None:
        """Remove a call; cancel it at the upstream if ``is_cancelled``."""
        call = self._calls.pop(key, None)
        if call is not None and is_cancelled:
            self._leave(key, call)

    async def run(self) -> None:
        """Keep the session and receive messages until cancelled."""
        with open_dealer(self.instance.host, self._port) as socket:
            self._socket = socket
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._maintain_session)
                while True:
                    self._handle_frames(await socket.receive())

    def _submit_message(self, req: OnlineRequest, attempt: int) -> Submit:
        """Build the message that submits an attempt."""
        return Submit(
            session=self._session,
            request_id=req.request_id,
            attempt=attempt,
            contract=req.contract,
            method=req.method,
            path=req.path,
            body=req.body,
            idempotent=req.idempotent,
            peer_clock_s=self._peer_clock.reading_s,
            peer_clock_age_s=self._peer_clock.age_s,
            time_left_s=req.deadline_s - time.monotonic(),
            content_type=req.content_type,
            trace=req.trace,
            request_key=req.request_key,
        )

    async def _maintain_session(self) -> None:
        """Send hellos until there is a session; end it if the peer is lost."""
        hello = Hello(
            process=self._entry_instance.name,
            failure_domain=self._entry_instance.failure_domain,
        )
        while True:
            if not self._session:
                self._send(hello)
            elif not self._is_peer_alive():
                self._end_session()
            sleep_started_at = time.monotonic()
            await trio.sleep(HELLO_INTERVAL_S)
            if time.monotonic() - sleep_started_at > PEER_TIMEOUT_S:
                # this process was suspended: read buffered heartbeats before
                # the peer is taken for lost
                await trio.sleep(HELLO_INTERVAL_S)

    def _is_peer_alive(self) -> bool:
        """Whether the socket is connected and the last heartbeat is recent."""
        if self._socket is None or not self._socket.is_writable:
            return False
        return self._peer_clock.age_s <= PEER_TIMEOUT_S

    def _end_session(self) -> None:
        """End the session; mark its calls as lost and cancel them."""
        log_message('upstream:lost', upstream=self.name)
        self._session = ''
        calls, self._calls = self._calls, {}
        for key, call in calls.items():
            call.mark_lost()
            # a sidecar that was only suspended must not finish these calls
            self._leave(key, call)

    def _handle_frames(self, frames: list[bytes]) -> None:
        message = decode_or_none(frames)
        if isinstance(message, (Chunk, Finish)):
            self._deliver_to_call(message)
        elif isinstance(message, Welcome):
            self._handle_welcome(message)
        elif isinstance(message, Heartbeat):
            self._handle_heartbeat(message)

    def _deliver_to_call(self, event: Chunk | Finish) -> None:
        """Pass a message to its call; without one, count it as stale."""
        call = self._calls.get((event.request_id, event.attempt))
        if call is None:
            STALE_MESSAGES.inc()
            return
        call.deliver(event)

    def _handle_welcome(self, welcome: Welcome) -> None:
        """Start the session, after the end of an earlier one."""
        if self._session and self._session != welcome.session:
            self._end_session()
        if not self._session:
            log_message('upstream:found', upstream=self.name)
        self._session = welcome.session
        self._update_state(welcome)

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Update the state from a heartbeat of the current session."""
        if heartbeat.session != self._session:
            STALE_MESSAGES.inc()
            return
        self._update_state(heartbeat)

    def _update_state(self, message: Welcome | Heartbeat) -> None:
        """Store the sidecar's load, models, drain state and clock."""
        self.load_report = message.load
        self.models = message.models
        self.service = message.service
        self._draining = message.draining
        self._peer_clock.update(message.clock_s)
        self._receive_news(message.prompt_news)

    def _leave(self, key: CallKey, call: OnlineCall) -> None:
        """Cancel a call at the upstream, which may have sent its end."""
        if call.left_until_s is not None:
            self._left_calls.add(key, call.left_until_s)
        self._send(CancelCall(request_id=key[0], attempt=key[1]))

    def _send(self, message: Message) -> None:
        """Send a message; drop it if the peer is unreachable."""
        if self._socket is None:
            return
        try:
            self._socket.send(encode(message))
        except PeerUnreachableError:
            return
