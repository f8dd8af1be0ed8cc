"""briarrill.protocol.messages.control: configuration, status and drain."""

import attrs

from .base import Message
from .session import LoadReport

__all__ = ('ConfigDigest', 'ConfigPush', 'Drain', 'Status', 'StatusRequest')


@attrs.frozen
class ConfigPush(Message):
    """Sends a configuration version; the body is the stored record."""

    version: int
    body: bytes


@attrs.frozen
class ConfigDigest(Message):
    """Sends the sender's version; a receiver with a higher one pushes it."""

    process: str
    version: int


@attrs.frozen
class StatusRequest(Message):
    """Requests the status of a process."""


@attrs.frozen
class Status(Message):
    """Reports the state of a process to operators."""

    process: str
    role: str
    failure_domain: str
    config_version: int
    ready: bool
    draining: bool
    load: LoadReport = LoadReport()


@attrs.frozen
class Drain(Message):
    """Requests a graceful stop of a process."""
