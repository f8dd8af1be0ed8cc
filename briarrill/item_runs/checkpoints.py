"""briarrill.item_runs.checkpoints: items go on after a restart.

Answers processes that are killed or lose power with items half done: what
their runs have produced is kept on the local disk. The copy is a cache; an
item whose checkpoint is lost, or old, only repeats that part of its work.
"""

from collections.abc import Callable, Iterable

import attrs
import msgspec
import trio
from eliot import log_message

from ..coordination.job_table import JobTable
from ..state.checkpoint_file import CheckpointFile
from .item import ItemProgress, ProgressRecord

__all__ = ('Checkpoints',)

# time between two checkpoints: the work that a loss of power repeats
CHECKPOINT_S = 0.5

# time after the start for which progress waits for its job to be known;
# longer outages of the key-value service are rare
RESTORE_S = 30.0

_Key = tuple[str, str]

_RECORDS = msgspec.msgpack.Decoder(dict[str, dict[str, ProgressRecord]])


@attrs.define
class Checkpoints:
    """Saves the progress of items, and restores it.

    :param held: items of this process that are not run at the moment;
        restored ones are added.
    :param in_hand: returns all items with progress.
    :param restored: called when items were restored.
    """

    disk: CheckpointFile
    jobs: JobTable
    held: dict[_Key, ItemProgress]
    in_hand: Callable[[], Iterable[ItemProgress]]
    restored: Callable[[], None]
    _restored: dict[_Key, ProgressRecord] = attrs.field(
        factory=dict, init=False
    )
    _saved: dict[_Key, tuple[int | None, int]] = attrs.field(
        factory=dict, init=False
    )

    async def run(self) -> None:
        """Restore, then save until cancelled."""
        await self._load()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._restore)
            while True:
                await self._save_changes()
                await trio.sleep(CHECKPOINT_S)

    async def _load(self) -> None:
        raw = await trio.to_thread.run_sync(
            self.disk.load, abandon_on_cancel=True
        )
        if raw is None:
            return
        try:
            by_job = _RECORDS.decode(raw)
        except msgspec.MsgspecError as exc:
            # written by another version of this program
            log_message('checkpoint:unreadable', reason=str(exc))
            return
        self._restored = {
            (job_id, item_id): record
            for job_id, records in by_job.items()
            for item_id, record in records.items()
        }
        log_message('checkpoint:loaded', items=len(self._restored))

    async def _restore(self) -> None:
        """Hold the restored items as their jobs become known."""
        with trio.move_on_after(RESTORE_S):
            while self._restored:
                changed = self.jobs.changed
                self._restore_known()
                await changed.wait()
        self._restored.clear()

    def _restore_known(self) -> None:
        count = len(self.held)
        for key, record in list(self._restored.items()):
            known = self.jobs.find(key[0])
            if known is None:
                continue
            self._restored.pop(key)
            stored = known.items.get(key[1])
            if stored is None or key[1] in known.finished or known.is_ended:
                continue
            progress = ItemProgress(key[0], stored)
            progress.take_record(record)
            self.held.setdefault(key, progress)
            log_message(
                'item:restored',
                job=key[0],
                request_id=key[1],
                event=record.last_event_id,
            )
        if len(self.held) > count:
            self.restored()

    async def _save_changes(self) -> None:
        found = [one for one in self.in_hand() if one.has_begun]
        marks = {one.key: (one.last_event_id, one.failures) for one in found}
        if marks == self._saved:
            return
        records = {one.key: one.record() for one in found} | self._restored
        raw = msgspec.msgpack.encode(_by_job(records))
        try:
            await trio.to_thread.run_sync(
                self.disk.save, raw, abandon_on_cancel=True
            )
        except OSError as exc:
            log_message('checkpoint:not-saved', reason=repr(exc))
            return
        self._saved = marks


def _by_job(
    records: dict[_Key, ProgressRecord],
) -> dict[str, dict[str, ProgressRecord]]:
    by_job: dict[str, dict[str, ProgressRecord]] = {}
    for (job_id, item_id), record in records.items():
        by_job.setdefault(job_id, {})[item_id] = record
    return by_job
