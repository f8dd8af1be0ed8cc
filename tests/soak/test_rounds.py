"""Rounds of the soak with the real processes, by fixed seeds."""

import contextlib
import os
import pathlib
import signal
import sys

import pytest
import trio

from soak.plan import draw_plan
from soak.report import describe_failure, write_lines
from soak.rounds import Place, play_round
from soak.scenarios import SCENARIOS

# owed items wait for less on a machine that is busy with other tests, and
# for ever with the faults that these rounds are for
IDLE_S = 20

# faults of routes, processes and runners
SEED = 1
ROUND = 2


async def _play(plan, network, folder):
    """Play a round; fail with what the command prints of a failure."""
    with trio.fail_after(400):
        outcome = await play_round(plan, Place(network, folder, 'j', IDLE_S))
    write_lines(folder, plan, outcome)
    assert outcome.record.jobs
    if outcome.findings:
        lines = describe_failure(outcome.findings, folder)
        pytest.fail('\n'.join(lines))


async def test_all_items_are_listed_after_drawn_faults(network, tmp_path):
    await _play(draw_plan(SEED, ROUND), network, tmp_path)


async def test_items_run_after_all_runners_ended_again_and_again(
    network, tmp_path
):
    """Runners end together 12 times, before the first events of items."""
    plan = SCENARIOS['runners-end-12-times']
    await _play(plan, network, tmp_path)


async def test_items_run_after_all_runners_have_named_a_low_limit(
    network, tmp_path
):
    """A limit of 0.5 a second for 8 s, and no online request."""
    plan = SCENARIOS['low-limit-of-all']
    await _play(plan, network, tmp_path)


async def test_items_run_where_they_are_sent_while_a_route_is_split(
    network, tmp_path
):
    """The part has the former name of the route, and is joined again."""
    await _play(SCENARIOS['route-splits'], network, tmp_path)


@pytest.mark.parametrize('seed', range(5))
def test_drawn_rounds_repeat(seed):
    assert draw_plan(seed, 0) == draw_plan(seed, 0)
    assert draw_plan(seed, 0) != draw_plan(seed, 1)


def _children(pid):
    path = pathlib.Path(f'/proc/{pid}/task/{pid}/children')
    return [int(child) for child in path.read_text().split()]


def _is_alive(pid):
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, 0)
        return True
    return False


@pytest.mark.parametrize('number', [signal.SIGINT, signal.SIGTERM])
async def test_interrupted_soak_ends_what_it_has_started(tmp_path, number):
    scenario = SCENARIOS['low-limit-of-all']
    logs = tmp_path / 'logs'
    process = await trio.lowlevel.open_process(
        [
            sys.executable,
            '-m',
            'soak',
            '--scenario=low-limit-of-all',
            f'--logs={logs}',
        ]
    )
    children = []
    with trio.fail_after(60):
        while len(children) < scenario.entries + scenario.batches:
            await trio.sleep(0.05)
            children = _children(process.pid)
        process.send_signal(number)
        assert await process.wait() == 2
    assert not any(_is_alive(child) for child in children)
