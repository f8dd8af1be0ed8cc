"""briarrill.coordination.configuration: the version in force and its spread.

Versions are a chain of records in the key-value service. A process takes
the highest version that it hears of and never goes back.
"""

import contextlib
import random
import uuid

import attrs
import msgspec
import trio
from eliot import log_message

from ..errors import (
    BriarrillError,
    ConfigurationError,
    NotReadyError,
    VersionConflictError,
)
from ..metrics import CONFIG_VERSION
from ..protocol.messages import ConfigDigest, ConfigPush, Message, Ok
from ..protocol.rpc import RpcCaller
from ..state.contracts import (
    Configuration,
    decode_configuration,
    encode_configuration,
)
from ..state.keys import CONFIG_HEAD, config_version_key
from ..transport.key_value import KeyValueService

__all__ = (
    'ConfigHolder',
    'ConfigRecord',
    'Peer',
    'accept_version',
    'decode_config_record',
    'exchange_with_peers',
    'read_head',
)

# seconds between exchanges of version digests
EXCHANGE_INTERVAL_S = 1.0

# peers asked in one exchange
EXCHANGE_FANOUT = 2


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

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return self._version

    @property
    def current(self) -> Configuration:
        """Return the configuration in force.

        :raises NotReadyError: none was received yet.
        """
        if not self._version:
            raise NotReadyError('no configuration yet', retry_after_s=1)
        return self._current

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

    async def answer_push(self, push: ConfigPush) -> Message:
        """Take a pushed version; answer a peer's ``ConfigPush``."""
        self.take(push.body)
        return Ok()

    async def answer_digest(self, digest: ConfigDigest) -> Message:
        """Answer a peer's digest with the newer version, if it is here."""
        if digest.version < self._version:
            return self.push_message()
        return Ok()


async def read_head(service: KeyValueService) -> tuple[bytes, int]:
    """Return the newest stored record and its revision.

    The record is empty and the revision 0 when there is none.
    """
    head = await service.read(CONFIG_HEAD)
    if head is None:
        return b'', 0
    return head.body, head.mod_revision


async def accept_version(
    service: KeyValueService,
    cfg: Configuration,
    base_version: int,
    *,
    author: str,
    created_at: int,
) -> bytes:
    """Write the version after ``base_version``; return its stored form.

    :raises VersionConflictError: the newest version is another one.
    :raises WriteUnknownError: the reply was lost and not resolved.
    """
    raw, revision = await read_head(service)
    newest = decode_config_record(raw).version if raw else 0
    if newest != base_version:
        raise VersionConflictError(
            f'based on version {base_version}, the newest is {newest}'
        )
    record = msgspec.json.encode(
        ConfigRecord(
            version=newest + 1,
            parent=newest,
            writer=uuid.uuid4().hex,
            author=author,
            created_at=created_at,
            body=encode_configuration(cfg),
        )
    )
    written = await service.compare_and_swap(
        CONFIG_HEAD, record, mod_revision=revision
    )
    if written is None:
        raise VersionConflictError(f'version {newest + 1} was written first')
    await service.compare_and_swap(
        config_version_key(newest + 1), record, mod_revision=0
    )
    return record


async def exchange_with_peers(
    holder: ConfigHolder, process: str, caller: RpcCaller, peers: list[Peer]
) -> None:
    """Exchange version digests with some peers once."""
    chosen = random.sample(peers, min(EXCHANGE_FANOUT, len(peers)))
    for peer in chosen:
        digest = ConfigDigest(process=process, version=holder.version)
        with contextlib.suppress(BriarrillError):
            reply = await caller.call(peer.host, peer.port, digest)
            if isinstance(reply, ConfigPush):
                holder.take(reply.body)
