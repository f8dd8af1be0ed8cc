"""briarrill.protocol.messages.session: sessions of entries with sidecars."""

import attrs

from .base import Message

__all__ = ('PROTOCOL_VERSION', 'Heartbeat', 'Hello', 'LoadReport', 'Welcome')

PROTOCOL_VERSION = 1


@attrs.frozen
class LoadReport:
    """Work at an upstream as its sidecar sees it.

    :param slots: size of the running set.
    """

    slots: int = 0
    online_running: int = 0
    online_queued: int = 0
    batch_running: int = 0


@attrs.frozen
class Hello(Message):
    """Opens a session; sent until the receiver answers."""

    process: str
    failure_domain: str
    protocol: int = PROTOCOL_VERSION


@attrs.frozen
class Welcome(Message):
    """Answers a hello with the session that later messages must carry."""

    session: str
    process: str
    clock_s: float
    load: LoadReport
    models: tuple[str, ...] = ()
    service: str = ''
    draining: bool = False


@attrs.frozen
class Heartbeat(Message):
    """Tells that the process lives, its clock, load and models."""

    session: str
    clock_s: float
    load: LoadReport
    models: tuple[str, ...] = ()
    service: str = ''
    draining: bool = False
