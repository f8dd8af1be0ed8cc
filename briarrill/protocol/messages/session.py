"""briarrill.protocol.messages.session: sessions between entry and sidecar."""

import attrs

from ..prompt_news import PromptNews
from .base import Message

__all__ = ('PROTOCOL_VERSION', 'Heartbeat', 'Hello', 'LoadReport', 'Welcome')

PROTOCOL_VERSION = 1


@attrs.frozen
class LoadReport:
    """Work at an upstream as counted by its sidecar.

    :param slots: requests that the upstream may run at the same time.
    """

    slots: int = 0
    online_running: int = 0
    online_queued: int = 0
    batch_running: int = 0


@attrs.frozen
class Hello(Message):
    """Opens a session; repeated until the receiver replies."""

    process: str
    failure_domain: str
    protocol: int = PROTOCOL_VERSION


@attrs.frozen
class Welcome(Message):
    """Replies to Hello with the session that later messages must carry."""

    session: str
    process: str
    clock_s: float
    load: LoadReport
    models: tuple[str, ...] = ()
    service: str = ''
    draining: bool = False
    prompt_news: PromptNews | None = None


@attrs.frozen
class Heartbeat(Message):
    """Reports that a sidecar is alive, with its clock, load and models."""

    session: str
    clock_s: float
    load: LoadReport
    models: tuple[str, ...] = ()
    service: str = ''
    draining: bool = False
    prompt_news: PromptNews | None = None
