"""Items go on after a restart where their last checkpoint stands."""

import trio

from briarrill.coordination.job_table import JobTable
from briarrill.item_runs import checkpoints as module
from briarrill.item_runs.checkpoints import Checkpoints
from briarrill.item_runs.item import ItemProgress
from briarrill.state.checkpoint_file import CheckpointFile
from briarrill.state.stored_jobs import ItemState, StoredResult
from standins.memory_key_value import MemoryKeyValue
from standins.platform_engine import event
from tests.state.test_stored_jobs import make_job

JOB = make_job(count=2)


def _progress(events):
    progress = ItemProgress(JOB.job_id, JOB.items[0])
    for number in range(1, events + 1):
        progress.take_part(event(number))
    return progress


def _checkpoints(directory, *in_hand, restored=int):
    jobs = JobTable(MemoryKeyValue())
    disk = CheckpointFile(directory)
    return Checkpoints(disk, jobs, {}, lambda: in_hand, restored)


async def _run(checkpoints, condition):
    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(checkpoints.run)
            while not condition():
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()


async def _save(directory, *in_hand):
    saving = _checkpoints(directory, *in_hand)
    await _run(saving, lambda: saving._saved)


async def test_item_goes_on_after_a_restart(tmp_path):
    progress = _progress(3)
    progress.failures = 1
    await _save(tmp_path, progress, ItemProgress(JOB.job_id, JOB.items[1]))
    told = []
    again = _checkpoints(tmp_path, restored=lambda: told.append(1))
    again.jobs.add(JOB)
    await _run(again, lambda: again.held)
    assert list(again.held) == [progress.key]
    assert told == [1]
    held = again.held[progress.key]
    held.take_part(event(4))
    assert held.failures == 1
    words = '\n'.join(f'word-{number}' for number in range(1, 5))
    assert held.result(ItemState.COMPLETED).output == words


async def test_item_waits_for_its_job_to_be_known(tmp_path):
    await _save(tmp_path, _progress(3))
    again = _checkpoints(tmp_path)
    await _run(again, lambda: again._restored)
    assert not again.held
    # what is not restored yet is kept by the next checkpoints
    other = _checkpoints(tmp_path, _progress(1))
    await _run(other, lambda: other._saved)
    third = _checkpoints(tmp_path)
    third.jobs.add(JOB)
    await _run(third, lambda: third.held)


async def test_finished_and_ended_items_are_not_restored(tmp_path):
    await _save(tmp_path, _progress(3))
    finished = _checkpoints(tmp_path)
    result = StoredResult(JOB.items[0].item_id, ItemState.COMPLETED, 'done')
    finished.jobs.add(JOB).take_result(0, result)
    await _run(finished, lambda: finished._saved == {})
    assert not finished.held
    ended = _checkpoints(tmp_path)
    ended.jobs.add(JOB).end()
    await _run(ended, lambda: ended._saved == {})
    assert not ended.held


async def test_running_item_is_not_replaced(tmp_path):
    await _save(tmp_path, _progress(3))
    again = _checkpoints(tmp_path)
    newer = _progress(7)
    again.held[newer.key] = newer
    again.jobs.add(JOB)
    await _run(again, lambda: not again._restored)
    assert again.held[newer.key] is newer


async def test_unreadable_checkpoint_is_left(tmp_path):
    CheckpointFile(tmp_path).save(b'of another version')
    again = _checkpoints(tmp_path, _progress(2))
    await _run(again, lambda: again._saved)
    assert not again.held


async def test_disk_that_takes_nothing_stops_nothing(tmp_path, monkeypatch):
    monkeypatch.setattr(module, 'CHECKPOINT_S', 0.01)
    blocked = tmp_path / 'file'
    blocked.write_bytes(b'')
    saving = _checkpoints(blocked, _progress(2))
    with trio.move_on_after(0.2) as scope:
        await saving.run()
    assert scope.cancelled_caught
    assert not saving._saved
