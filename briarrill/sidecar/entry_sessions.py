"""briarrill.sidecar.entry_sessions: sessions of a sidecar with entries."""

import time
import uuid

import attrs
import trio

from ..errors import PeerBusyError, PeerUnreachableError, SlowReaderError
from ..protocol.codec import encode
from ..protocol.messages import Heartbeat, LoadReport, Message, Welcome
from ..result_codes import Ran
from ..transport.zmq_socket import ZmqSocket

__all__ = ('EntrySessions', 'Identity', 'SidecarState')

# wait for an entry that does not read before its answers are given up
BUSY_PEER_TIMEOUT_S = 1.0

BUSY_PEER_POLL_S = 0.01


@attrs.frozen
class Identity:
    """Who the sidecar is and what it stands beside."""

    process: str
    service: str = ''


@attrs.frozen
class SidecarState:
    """What entries are told of the sidecar."""

    load: LoadReport
    models: tuple[str, ...] = ()
    draining: bool = False


class EntrySessions:
    """Sessions by the peer's routing identifier.

    :param socket: bound router.
    """

    def __init__(self, socket: ZmqSocket, identity: Identity) -> None:
        """Start without sessions."""
        self._socket = socket
        self._identity = identity
        self._sessions: dict[bytes, str] = {}

    def has(self, peer: bytes, session: str) -> bool:
        """Whether the peer's session is this one."""
        return self._sessions.get(peer) == session

    def end(self, peer: bytes) -> None:
        """Forget a session; its entry hears no more heartbeats."""
        self._sessions.pop(peer, None)

    def welcome(self, peer: bytes, state: SidecarState) -> None:
        """Answer a hello."""
        session = self._sessions.setdefault(peer, uuid.uuid4().hex)
        message = Welcome(
            session=session,
            process=self._identity.process,
            clock_s=time.monotonic(),
            load=state.load,
            models=state.models,
            service=self._identity.service,
            draining=state.draining,
        )
        self._send_unless_busy(peer, message)

    def announce(self, state: SidecarState) -> list[bytes]:
        """Send a heartbeat to all; return the peers that are gone."""
        gone = []
        for peer, session in self._sessions.items():
            heartbeat = Heartbeat(
                session=session,
                clock_s=time.monotonic(),
                load=state.load,
                models=state.models,
                service=self._identity.service,
                draining=state.draining,
            )
            if not self._send_unless_busy(peer, heartbeat):
                gone.append(peer)
        return gone

    async def send(self, peer: bytes, message: Message) -> None:
        """Send a part of an answer; wait while the peer does not read.

        :raises PeerUnreachableError: the peer is gone.
        :raises SlowReaderError: the peer did not read for too long.
        """
        frames = [peer, *encode(message)]
        with trio.move_on_after(BUSY_PEER_TIMEOUT_S):
            while True:
                try:
                    return self._socket.send(frames)
                except PeerBusyError:
                    await trio.sleep(BUSY_PEER_POLL_S)
        raise SlowReaderError('the entry does not read', ran=Ran.YES)

    def _send_unless_busy(self, peer: bytes, message: Message) -> bool:
        try:
            self._socket.send([peer, *encode(message)])
        except PeerBusyError:
            return True
        except PeerUnreachableError:
            return False
        return True
