"""briarrill.coordination.configuration: the version in force and its spread.

Versions are a chain of records in the key-value service. A process takes
the highest version that it hears of and never goes back.
"""

import math
import time

import attrs
import msgspec
import trio
from eliot import log_message

from ..errors import ConfigurationError, NotReadyError
from ..metrics import CONFIG_VERSION
from ..protocol.messages import ConfigDigest, ConfigPush, Message, Ok
from ..state.contracts import Configuration, decode_configuration

__all__ = ('ConfigHolder', 'ConfigRecord', 'Peer', 'decode_config_record')

# a process that did not run for this long may have missed versions
FREEZE_S = 3.0


@attrs.frozen
class Peer:
    """Control address of a process."""

    host: str
    port: int


@attrs.frozen
class ConfigRecord:
    """A configuration version as stored.

    :param parent: version that the operator saw, 0 for the first.
    :param writer: mark that tells this write from others.
    :param body: encoded configuration.
    """

    version: int
    parent: int
    writer: str
    author: str
    created_at: int
    body: bytes


def decode_config_record(raw: bytes) -> ConfigRecord:
    """Return the record of its stored form.

    :raises ConfigurationError: the record is damaged.
    """
    try:
        return msgspec.json.decode(raw, type=ConfigRecord)
    except msgspec.MsgspecError as exc:
        raise ConfigurationError(f'configuration record: {exc}') from exc


class ConfigHolder:
    """The configuration in force in this process."""

    def __init__(self) -> None:
        """Start without a version."""
        self._version = 0
        self._raw = b''
        self._current = Configuration()
        self._changed = trio.Event()
        self._current_at = math.inf

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return self._version

    @property
    def current(self) -> Configuration:
        """Return the configuration in force.

        :raises NotReadyError: none was received yet, or the process was
            frozen and has not caught up.
        """
        if not self._version:
            raise NotReadyError('no configuration yet', retry_after_s=1)
        if self.was_frozen:
            raise NotReadyError('catching up after a freeze', retry_after_s=1)
        return self._current

    @property
    def raw(self) -> bytes:
        """Return the stored form of the version in force."""
        return self._raw

    @property
    def was_frozen(self) -> bool:
        """Whether the process may have missed versions while frozen."""
        return time.monotonic() - self._current_at > FREEZE_S

    def mark_current(self) -> None:
        """Note that the process runs and has missed no version.

        To be called more often than once in ``FREEZE_S``; from the first
        call on, a process that was frozen refuses to use its version.
        """
        self._current_at = time.monotonic()

    def push_message(self) -> ConfigPush:
        """Return the message that hands the version to a peer."""
        return ConfigPush(version=self._version, body=self._raw)

    def take(self, raw: bytes) -> bool:
        """Put a record in force if it is newer; return whether it was.

        :raises ConfigurationError: the record is invalid.
        """
        record = decode_config_record(raw)
        if record.version <= self._version:
            return False
        current = decode_configuration(record.body)
        self._current = current
        self._raw = raw
        self._version = record.version
        CONFIG_VERSION.set(record.version)
        log_message('config:in-force', version=record.version)
        self._changed.set()
        self._changed = trio.Event()
        return True

    async def wait_changed(self) -> None:
        """Wait for the next version."""
        await self._changed.wait()

    async def wait_above(self, version: int) -> None:
        """Wait for a version above this one."""
        while self._version <= version:
            await self._changed.wait()

    async def answer_push(self, push: ConfigPush) -> Message:
        """Take a pushed version; answer a peer's ``ConfigPush``."""
        self.take(push.body)
        return Ok()

    async def answer_digest(self, digest: ConfigDigest) -> Message:
        """Answer a peer's digest with the version or digest held here."""
        if digest.version < self._version:
            return self.push_message()
        return ConfigDigest(process='', version=self._version)
