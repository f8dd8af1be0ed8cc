"""briarrill.sidecar.entry_sessions: sessions of a sidecar with entries."""

import time
import uuid

import attrs
import trio

from ..errors import PeerBusyError, PeerUnreachableError, SlowReaderError
from ..protocol.codec import encode
from ..protocol.messages import Heartbeat, LoadReport, Message, Welcome
from ..protocol.prompt_news import PromptNews
from ..result_codes import Ran
from ..transport.zmq_socket import ZmqSocket

__all__ = ('EntrySessions', 'SidecarIdentity', 'SidecarState')

# time for which a send waits on a full queue before it fails
SLOW_READER_TIMEOUT_S = 1.0

FULL_QUEUE_RETRY_INTERVAL_S = 0.01


@attrs.frozen
class SidecarIdentity:
    """Name of a sidecar and the service that it offers.

    :param process: instance name.
    :param service: the service of the upstream; empty for a model engine.
    """

    process: str
    service: str = ''


@attrs.frozen
class SidecarState:
    """State of a sidecar that heartbeats report to entries."""

    load: LoadReport
    models: tuple[str, ...] = ()
    draining: bool = False
    prompt_news: PromptNews | None = None


class EntrySessions:
    """Sessions with entries, keyed by the peer's routing identifier.

    :param socket: bound router socket.
    """

    def __init__(self, socket: ZmqSocket, identity: SidecarIdentity) -> None:
        """Create a table without sessions."""
        self._socket = socket
        self._identity = identity
        self._sessions: dict[bytes, str] = {}

    def is_current(self, peer: bytes, session: str) -> bool:
        """Whether ``session`` is the current session of the peer."""
        return self._sessions.get(peer) == session

    def remove(self, peer: bytes) -> None:
        """Remove a peer's session, which stops its heartbeats."""
        self._sessions.pop(peer, None)

    def welcome(self, peer: bytes, state: SidecarState) -> None:
        """Reply to a hello; open a session unless the peer has one."""
        session = self._sessions.setdefault(peer, uuid.uuid4().hex)
        message = Welcome(
            session=session,
            process=self._identity.process,
            clock_s=time.monotonic(),
            load=state.load,
            models=state.models,
            service=self._identity.service,
            draining=state.draining,
            prompt_news=state.prompt_news,
        )
        self._send_unless_busy(peer, message)

    def broadcast_heartbeat(self, state: SidecarState) -> list[bytes]:
        """Send a heartbeat to all sessions; return the unreachable peers."""
        unreachable = []
        for peer, session in self._sessions.items():
            heartbeat = Heartbeat(
                session=session,
                clock_s=time.monotonic(),
                load=state.load,
                models=state.models,
                service=self._identity.service,
                draining=state.draining,
                prompt_news=state.prompt_news,
            )
            if not self._send_unless_busy(peer, heartbeat):
                unreachable.append(peer)
        return unreachable

    async def send(self, peer: bytes, message: Message) -> None:
        """Send a message of a response; wait while the peer's queue is full.

        :raises PeerUnreachableError: the peer has disconnected.
        :raises SlowReaderError: the queue stayed full for
            ``SLOW_READER_TIMEOUT_S``.
        """
        frames = [peer, *encode(message)]
        with trio.move_on_after(SLOW_READER_TIMEOUT_S):
            while True:
                try:
                    return self._socket.send(frames)
                except PeerBusyError:
                    await trio.sleep(FULL_QUEUE_RETRY_INTERVAL_S)
        raise SlowReaderError(
            f'the entry read nothing for {SLOW_READER_TIMEOUT_S} s',
            ran=Ran.YES,
        )

    def _send_unless_busy(self, peer: bytes, message: Message) -> bool:
        """Send a message, or drop it if the peer's queue is full.

        :return: whether the peer is reachable.
        """
        try:
            self._socket.send([peer, *encode(message)])
        except PeerBusyError:
            return True
        except PeerUnreachableError:
            return False
        return True
