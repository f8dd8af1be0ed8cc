"""briarrill.coordination.latest_versions: versions that a process may lack.

A process that stood still, or whose watch falls silent, does not notice it at
once. So what it follows is not enough to tell that only one version has
served: what was written since is read from the service first.
"""

import contextlib
import math
from collections.abc import Callable

import attrs
import trio
from eliot import log_message

from ..decoding import json_decoder
from ..errors import MalformedMessageError, PlatformUnavailableError
from ..state.keys import UPSTREAM_VERSIONS_PREFIX, upstream_version_key
from ..transport.key_value import KeySnapshot, KeyValueService, WatchProgress
from .version_records import ServedVersion, VersionRecords

__all__ = ('LatestVersions', 'decode_record')

# longest time for both reads; a slow service takes 0.25 s for each, and a
# caller gives up 2 s without an event
READ_TIMEOUT_S = 1.0

# shortest time between the starts of two reads, so that many streams taken up
# at once cost few calls
READ_INTERVAL_S = 0.3

#: Returns the version in a registration, none if it cannot be read.
DecodeRegistration = Callable[[str, bytes], ServedVersion | None]

_RECORD_DECODER = json_decoder(ServedVersion)


def decode_record(key: str, body: bytes) -> ServedVersion | None:
    """Decode the record of a version; log an unreadable one.

    One under the key of another version could never be deleted.
    """
    try:
        served = _RECORD_DECODER.decode(body)
    except MalformedMessageError as exc:
        log_message('version:unreadable', key=key, reason=exc.message)
        return None
    if key != upstream_version_key(served.service, served.version):
        log_message('version:unreadable', key=key, reason='of another version')
        return None
    return served


@attrs.define
class LatestVersions:
    """Reads what was written of versions since this process last received it.

    :param records: the records that this process has received.
    :param prefix: of the registrations.
    :param position: returns the revision up to which they were received.
    :param decode: decodes a registration.
    """

    service: KeyValueService
    records: VersionRecords
    prefix: str
    position: Callable[[], int]
    decode: DecodeRegistration
    _begun: int = attrs.field(default=0, init=False)
    _begun_at: float = attrs.field(default=-math.inf, init=False)
    _ended: int = attrs.field(default=0, init=False)
    _missed: frozenset[ServedVersion] | None = attrs.field(
        default=None, init=False
    )
    _lock: trio.Lock = attrs.field(factory=trio.Lock, init=False)

    async def find_missed(self) -> frozenset[ServedVersion] | None:
        """Return the versions that served and that this process may lack.

        Calls that wait share a read, but only one that begins after them: the
        reply to an earlier one may be as old as what the process knows.

        :return: none if they cannot be read.
        """
        begun_before = self._begun
        async with self._lock:
            if self._ended > begun_before:
                return self._missed
            await trio.sleep_until(self._begun_at + READ_INTERVAL_S)
            self._begun += 1
            self._begun_at = trio.current_time()
            self._missed = await self._read_in_time()
            self._ended = self._begun
            return self._missed

    async def _read_in_time(self) -> frozenset[ServedVersion] | None:
        """Return the versions, none if the service does not tell them."""
        missed = None
        with (
            contextlib.suppress(PlatformUnavailableError),
            trio.move_on_after(READ_TIMEOUT_S),
        ):
            missed = await self._read()
        log_message(
            'versions:read', missed=None if missed is None else len(missed)
        )
        return missed

    async def _read(self) -> frozenset[ServedVersion] | None:
        registered = await self._read_registered()
        if registered is None:
            return None
        entries = await self.service.read_prefix(UPSTREAM_VERSIONS_PREFIX)
        recorded = {decode_record(entry.key, entry.body) for entry in entries}
        return frozenset(
            served
            for served in registered | recorded
            if served is not None
            and (served in registered or not self.records.is_recorded(served))
        )

    async def _read_registered(self) -> set[ServedVersion] | None:
        """Return the versions that registered since, also if they left again.

        :return: none if the service has discarded some of the changes.
        """
        registered: set[ServedVersion] = set()
        changes = self.service.follow_prefix(
            self.prefix, after_revision=self.position()
        )
        async with contextlib.aclosing(changes):
            async for change in changes:
                if isinstance(change, KeySnapshot):
                    return None
                if isinstance(change, WatchProgress):
                    break
                if change.body is not None:
                    served = self.decode(change.key, change.body)
                    registered.update([] if served is None else [served])
        return registered
