"""briarrill.coordination.version_recorder: record versions as keys.

One process writes each record, the first in an order that all processes with
the same view share. The next one does if the record is still missing later.
"""

from collections.abc import Awaitable, Callable, Iterable

import attrs
import msgspec
import trio
from eliot import log_message

from ..errors import BriarrillError
from ..state.keys import UPSTREAM_VERSIONS_PREFIX, upstream_version_key
from ..state.rendezvous import rank_nodes
from ..transport.key_value import KeyValueService
from .latest_versions import decode_record
from .mirror import MirrorListener
from .recent_versions import update_records
from .upstream_table import UpstreamTable
from .version_records import ServedVersion

__all__ = ('VersionRecorder',)

# interval of the comparison of records and registrations; a version whose
# upstreams begin streams is recorded this late, and the time of a write
CHECK_INTERVAL_S = 0.2

# pauses after a write that failed; they double
MIN_RETRY_PAUSE_S = 1.0
MAX_RETRY_PAUSE_S = 8.0

_Change = Callable[[str, ServedVersion], Awaitable[None]]


@attrs.define
class VersionRecorder(MirrorListener):
    """Copies records of versions to the table, writes and deletes them.

    :param process: name of this process.
    :param may_write: tells whether this process reaches the service and is
        not leaving.
    :param other_writers: returns the names of the live peers of which that
        holds.
    """

    service: KeyValueService
    upstreams: UpstreamTable
    process: str
    may_write: Callable[[], bool]
    other_writers: Callable[[], Iterable[str]]
    _by_key: dict[str, ServedVersion] = attrs.field(factory=dict, init=False)

    def apply_key(self, key: str, body: bytes | None) -> None:
        """Add or remove a record; one that cannot be read is skipped."""
        if body is None:
            served = self._by_key.pop(key, None)
            if served is not None:
                self.upstreams.records.discard(served)
            return
        served = decode_record(key, body)
        if served is not None:
            self._add(key, served)

    async def run(self) -> None:
        """Keep the records up to date until cancelled."""
        await self.read_records()
        pause_s = CHECK_INTERVAL_S
        while True:
            await trio.sleep(pause_s)
            if await self.write_due():
                pause_s = CHECK_INTERVAL_S
            else:
                pause_s = min(
                    MAX_RETRY_PAUSE_S, max(MIN_RETRY_PAUSE_S, pause_s * 2)
                )

    async def read_records(self) -> None:
        """Read the records before all own keys, which take long, are read."""
        pause_s = CHECK_INTERVAL_S
        while not self.upstreams.records.is_read():
            try:
                entries = await self.service.read_prefix(
                    UPSTREAM_VERSIONS_PREFIX
                )
            except BriarrillError as exc:
                log_message('version:not-read', reason=exc.message)
                await trio.sleep(pause_s)
                pause_s = min(MAX_RETRY_PAUSE_S, pause_s * 2)
                continue
            for entry in entries:
                self.apply_key(entry.key, entry.body)
            return

    async def write_due(self) -> bool:
        """Write and delete the records that this process is to change.

        :return: whether no write failed.
        """
        table = self.upstreams
        update_records(table)
        if not self.may_write() or not table.records.is_read():
            return True
        succeeded = [
            await self._change(self._create, served)
            for served in table.records.due_creates(self._rank)
        ]
        if table.knows_recent_versions and table.records.due_deletes(
            self._rank
        ):
            succeeded += await self._delete_due()
        return all(succeeded)

    async def _delete_due(self) -> list[bool]:
        """Delete the records that are still due; tell which did not fail.

        Upstreams of a version may be back unseen, if this process stood still.
        """
        table = self.upstreams
        missed = await table.find_missed()
        if missed is None:
            return [False]
        update_records(table)
        return [
            await self._change(self._delete, served)
            for served in table.records.due_deletes(self._rank)
            if served not in missed
        ]

    def _rank(self, served: ServedVersion) -> int:
        """Return this process's position among those that may write."""
        key = upstream_version_key(served.service, served.version)
        names = {self.process, *self.other_writers()}
        return rank_nodes(key, names).index(self.process)

    async def _change(self, change: _Change, served: ServedVersion) -> bool:
        """Make a change; return whether it did not fail."""
        key = upstream_version_key(served.service, served.version)
        try:
            await change(key, served)
        except BriarrillError as exc:
            log_message('version:not-changed', key=key, reason=exc.message)
            return False
        return True

    async def _create(self, key: str, served: ServedVersion) -> None:
        """Record a version; another process may have recorded it already."""
        body = msgspec.json.encode(served)
        await self.service.compare_and_swap(key, body, mod_revision=0)
        self._add(key, served)
        log_message('version:recorded', key=key)

    async def _delete(self, key: str, served: ServedVersion) -> None:
        """Delete the record of a version that has left."""
        entry = await self.service.read(key)
        if entry is None or await self.service.delete(
            key, mod_revision=entry.mod_revision
        ):
            self.apply_key(key, None)
            log_message('version:record-deleted', key=key)

    def _add(self, key: str, served: ServedVersion) -> None:
        self._by_key[key] = served
        self.upstreams.records.add(served)
