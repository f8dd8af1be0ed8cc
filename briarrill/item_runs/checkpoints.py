"""briarrill.item_runs.checkpoints: saves and restores the progress of items.

A process that is killed or loses power would lose the output of unfinished
items, so their progress is saved on the local disk. The file is a cache: an
item whose checkpoint is lost or old only repeats that part of its work.
"""

from collections.abc import Callable, Iterable

import attrs
import msgspec
import trio
from eliot import log_message

from ..coordination.job_table import JobTable
from ..decoding import msgpack_decoder
from ..errors import MalformedMessageError
from ..state.checkpoint_file import CheckpointFile
from .item import ItemProgress, ProgressRecord

__all__ = ('Checkpoints',)

# time between two checkpoints; a power loss repeats this much work
CHECKPOINT_INTERVAL_S = 0.5

# time after the start for which loaded progress waits until its job is known;
# longer outages of the key-value service are rare
RESTORE_WINDOW_S = 30.0

_Key = tuple[str, str]

_RECORDS_DECODER = msgpack_decoder(dict[str, dict[str, ProgressRecord]])


@attrs.define
class Checkpoints:
    """Saves the progress of items and restores it after a restart.

    :param suspended: items of this process that are between two runs;
        restored items are added.
    :param open_items: returns all items without a committed result.
    :param on_restored: called after items were restored.
    """

    disk: CheckpointFile
    jobs: JobTable
    suspended: dict[_Key, ItemProgress]
    open_items: Callable[[], Iterable[ItemProgress]]
    on_restored: Callable[[], None]
    _unrestored: dict[_Key, ProgressRecord] = attrs.field(
        factory=dict, init=False
    )
    _saved_versions: dict[_Key, tuple[int | None, int]] = attrs.field(
        factory=dict, init=False
    )

    async def run(self) -> None:
        """Load the last checkpoint, then restore and save until cancelled."""
        await self._load()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._restore)
            while True:
                await self._save_if_changed()
                await trio.sleep(CHECKPOINT_INTERVAL_S)

    async def _load(self) -> None:
        """Load the records of the last checkpoint, if it is readable."""
        raw = await trio.to_thread.run_sync(
            self.disk.load, abandon_on_cancel=True
        )
        if raw is None:
            return
        try:
            by_job = _RECORDS_DECODER.decode(raw)
        except MalformedMessageError as exc:
            # another version of this program wrote the file
            log_message('checkpoint:unreadable', reason=exc.message)
            return
        self._unrestored = {
            (job_id, item_id): record
            for job_id, records in by_job.items()
            for item_id, record in records.items()
        }
        log_message('checkpoint:loaded', items=len(self._unrestored))

    async def _restore(self) -> None:
        """Restore loaded items as their jobs become known."""
        with trio.move_on_after(RESTORE_WINDOW_S):
            while self._unrestored:
                changed = self.jobs.changed
                self._restore_known_jobs()
                await changed.wait()
        self._unrestored.clear()

    def _restore_known_jobs(self) -> None:
        """Suspend the loaded items whose jobs are known and that are open."""
        previous_count = len(self.suspended)
        for key, record in list(self._unrestored.items()):
            tracked = self.jobs.find(key[0])
            if tracked is None:
                continue
            self._unrestored.pop(key)
            stored = tracked.items.get(key[1])
            if (
                stored is None
                or key[1] in tracked.finished_item_ids
                or tracked.is_ended
            ):
                continue
            progress = ItemProgress(key[0], stored)
            progress.load_record(record)
            self.suspended.setdefault(key, progress)
            log_message(
                'item:restored',
                job=key[0],
                request_id=key[1],
                event=record.last_event_id,
            )
        if len(self.suspended) > previous_count:
            self.on_restored()

    async def _save_if_changed(self) -> None:
        """Save a checkpoint if any item progressed since the last one."""
        progressed = [
            progress for progress in self.open_items() if progress.has_progress
        ]
        versions = {
            progress.key: (progress.last_event_id, progress.failures)
            for progress in progressed
        }
        if versions == self._saved_versions:
            return
        records = {
            progress.key: progress.record() for progress in progressed
        } | self._unrestored
        raw = msgspec.msgpack.encode(_by_job(records))
        try:
            await trio.to_thread.run_sync(
                self.disk.save, raw, abandon_on_cancel=True
            )
        except OSError as exc:
            log_message('checkpoint:not-saved', reason=repr(exc))
            return
        self._saved_versions = versions


def _by_job(
    records: dict[_Key, ProgressRecord],
) -> dict[str, dict[str, ProgressRecord]]:
    """Group records by job ID, then item ID."""
    by_job: dict[str, dict[str, ProgressRecord]] = {}
    for (job_id, item_id), record in records.items():
        by_job.setdefault(job_id, {})[item_id] = record
    return by_job
