"""Tests of saving items' progress and restoring it after a restart."""

import trio

from briarrill.coordination.job_table import JobTable
from briarrill.item_runs import checkpoints as module
from briarrill.item_runs.checkpoints import Checkpoints
from briarrill.item_runs.item import ItemProgress
from briarrill.state.checkpoint_file import CheckpointFile
from briarrill.state.stored_jobs import ItemState, StoredResult
from standins.memory_key_value import MemoryKeyValue
from standins.platform_engine import encode_event
from tests.state.test_stored_jobs import make_job

JOB = make_job(count=2)


def _make_progress(events):
    progress = ItemProgress(JOB.job_id, JOB.items[0])
    for number in range(1, events + 1):
        progress.add_stream_bytes(encode_event(number))
    return progress


def _make_checkpoints(directory, *open_items, on_restored=int):
    jobs = JobTable(MemoryKeyValue())
    disk = CheckpointFile(directory)
    return Checkpoints(disk, jobs, {}, lambda: open_items, on_restored)


async def _run_until(checkpoints, condition):
    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(checkpoints.run)
            while not condition():
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()


async def _save(directory, *local_items):
    saving = _make_checkpoints(directory, *local_items)
    await _run_until(saving, lambda: saving._saved_versions)


async def test_saved_progress_is_restored_and_continued(tmp_path):
    progress = _make_progress(3)
    progress.failures = 1
    await _save(tmp_path, progress, ItemProgress(JOB.job_id, JOB.items[1]))
    restore_calls = []
    after_restart = _make_checkpoints(
        tmp_path, on_restored=lambda: restore_calls.append(1)
    )
    after_restart.jobs.add(JOB)
    await _run_until(after_restart, lambda: after_restart.suspended)
    assert list(after_restart.suspended) == [progress.key]
    assert restore_calls == [1]
    restored = after_restart.suspended[progress.key]
    restored.add_stream_bytes(encode_event(4))
    assert restored.failures == 1
    words = '\n'.join(f'word-{number}' for number in range(1, 5))
    assert restored.result(ItemState.COMPLETED).output == words


async def test_record_of_unknown_job_is_kept_until_job_is_known(tmp_path):
    await _save(tmp_path, _make_progress(3))
    after_restart = _make_checkpoints(tmp_path)
    await _run_until(after_restart, lambda: after_restart._unrestored)
    assert not after_restart.suspended
    # later checkpoints still contain the records that are not restored yet
    second_restart = _make_checkpoints(tmp_path, _make_progress(1))
    await _run_until(second_restart, lambda: second_restart._saved_versions)
    third_restart = _make_checkpoints(tmp_path)
    third_restart.jobs.add(JOB)
    await _run_until(third_restart, lambda: third_restart.suspended)


async def test_items_with_result_or_of_ended_job_are_not_restored(tmp_path):
    await _save(tmp_path, _make_progress(3))
    finished = _make_checkpoints(tmp_path)
    result = StoredResult(JOB.items[0].item_id, ItemState.COMPLETED, 'done')
    finished.jobs.add(JOB).add_result(0, result)
    await _run_until(finished, lambda: finished._saved_versions == {})
    assert not finished.suspended
    ended = _make_checkpoints(tmp_path)
    ended.jobs.add(JOB).mark_ended()
    await _run_until(ended, lambda: ended._saved_versions == {})
    assert not ended.suspended


async def test_restore_keeps_newer_progress(tmp_path):
    await _save(tmp_path, _make_progress(3))
    after_restart = _make_checkpoints(tmp_path)
    newer = _make_progress(7)
    after_restart.suspended[newer.key] = newer
    after_restart.jobs.add(JOB)
    await _run_until(after_restart, lambda: not after_restart._unrestored)
    assert after_restart.suspended[newer.key] is newer


async def test_unreadable_checkpoint_is_ignored(tmp_path):
    CheckpointFile(tmp_path).save(b'of another version')
    after_restart = _make_checkpoints(tmp_path, _make_progress(2))
    await _run_until(after_restart, lambda: after_restart._saved_versions)
    assert not after_restart.suspended


async def test_failing_disk_writes_do_not_stop_checkpoints(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(module, 'CHECKPOINT_INTERVAL_S', 0.01)
    blocked = tmp_path / 'file'
    blocked.write_bytes(b'')
    saving = _make_checkpoints(blocked, _make_progress(2))
    with trio.move_on_after(0.2) as scope:
        await saving.run()
    assert scope.cancelled_caught
    assert not saving._saved_versions
