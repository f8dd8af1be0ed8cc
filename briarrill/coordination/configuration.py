"""briarrill.coordination.configuration: the configuration version in force.

Versions are a chain of records in the key-value service. A process puts the
highest version that it receives in force and never returns to a lower one.
"""

import math
import time

import attrs
import trio
from eliot import log_message

from ..decoding import json_decoder
from ..errors import ConfigurationError, MalformedMessageError, NotReadyError
from ..metrics import CONFIG_VERSION
from ..protocol.messages import ConfigDigest, ConfigPush, Message, Ok
from ..state.contracts import Configuration, decode_configuration

__all__ = ('ConfigHolder', 'ConfigRecord', 'Peer', 'decode_config_record')

# a process that was paused for longer may have missed versions
MAX_PROCESS_PAUSE_S = 3.0


@attrs.frozen
class Peer:
    """Control address of a process."""

    host: str
    port: int


@attrs.frozen
class ConfigRecord:
    """The stored record of a configuration version.

    :param parent: version that the change is based on, 0 for the first.
    :param writer: random identifier of the write.
    :param author: name of the operator.
    :param created_at: Unix time in seconds.
    :param body: encoded configuration.
    """

    version: int
    parent: int
    writer: str
    author: str
    created_at: int
    body: bytes


_RECORD_DECODER = json_decoder(ConfigRecord)


def decode_config_record(raw: bytes) -> ConfigRecord:
    """Decode a stored record.

    :raises ConfigurationError: the record is malformed.
    """
    try:
        return _RECORD_DECODER.decode(raw)
    except MalformedMessageError as exc:
        raise ConfigurationError(
            f'configuration record: {exc.message}'
        ) from exc


class ConfigHolder:
    """The configuration in force in this process."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self._version = 0
        self._record = b''
        self._configuration = Configuration()
        self._changed = trio.Event()
        self._up_to_date_at = math.inf

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return self._version

    @property
    def current(self) -> Configuration:
        """Return the configuration in force.

        :raises NotReadyError: none was received yet, or the process was
            paused and has not checked for a newer version since.
        """
        if not self._version:
            raise NotReadyError(
                'no configuration received yet', retry_after_s=1
            )
        if self.was_paused:
            raise NotReadyError(
                f'the process was paused for over {MAX_PROCESS_PAUSE_S} s'
                ' and checks for a newer configuration',
                retry_after_s=1,
            )
        return self._configuration

    @property
    def raw(self) -> bytes:
        """Return the encoded record of the version in force."""
        return self._record

    @property
    def was_paused(self) -> bool:
        """Whether the process was paused and may have missed versions."""
        return time.monotonic() - self._up_to_date_at > MAX_PROCESS_PAUSE_S

    def mark_up_to_date(self) -> None:
        """Record that the process runs and has missed no version.

        Must be called at least once per ``MAX_PROCESS_PAUSE_S``. If the calls
        stop for longer, ``current`` raises an error until the next call.
        """
        self._up_to_date_at = time.monotonic()

    def push_message(self) -> ConfigPush:
        """Return the message that sends the version to a peer."""
        return ConfigPush(version=self._version, body=self._record)

    def apply(self, raw: bytes) -> bool:
        """Put a record in force if it is newer; return whether it was.

        :param raw: encoded record.
        :raises ConfigurationError: the record is malformed or invalid.
        """
        record = decode_config_record(raw)
        if record.version <= self._version:
            return False
        current = decode_configuration(record.body)
        self._configuration = current
        self._record = raw
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
        """Wait until the version in force is above ``version``."""
        while self._version <= version:
            await self._changed.wait()

    async def handle_push(self, push: ConfigPush) -> Message:
        """Put a peer's pushed version in force if it is newer.

        :raises ConfigurationError: the record is malformed or invalid.
        """
        self.apply(push.body)
        return Ok()

    async def handle_digest(self, digest: ConfigDigest) -> Message:
        """Reply to a peer's digest.

        :return: the version in force if it is newer, else its digest.
        """
        if digest.version < self._version:
            return self.push_message()
        return ConfigDigest(process='', version=self._version)
