"""briarrill.protocol.messages.control: configuration, status and drain."""

import attrs

from .base import Message
from .session import LoadReport

__all__ = ('ConfigDigest', 'ConfigPush', 'Drain', 'Status', 'StatusRequest')


@attrs.frozen
class ConfigPush(Message):
    """A configuration version; the body is the record as stored."""

    version: int
    body: bytes


@attrs.frozen
class ConfigDigest(Message):
    """The sender's version; the receiver pushes back a higher one."""

    process: str
    version: int


@attrs.frozen
class StatusRequest(Message):
    """Asks a process for its status."""


@attrs.frozen
class Status(Message):
    """State of a process for operators."""

    process: str
    role: str
    failure_domain: str
    config_version: int
    ready: bool
    draining: bool
    load: LoadReport = LoadReport()


@attrs.frozen
class Drain(Message):
    """Asks a process to stop gracefully."""
