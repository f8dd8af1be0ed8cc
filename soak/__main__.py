"""soak.__main__: plays rounds with the real processes and checks them.

Usage:
  soak [options]

Options:
  --seed=N         Seed of the rounds [default: 1].
  --minutes=M      About how long to go on; one round at least [default: 1].
  --scenario=NAME  Play this round instead of drawn ones.
  --logs=FOLDER    Folder of the logs, default a new one.
  --idle=SECONDS   Longest time for which owed items may wait beside idle
                   runners [default: 5].

Ends with 0 if all is right, with 1 after the first round that is not, whose
logs are kept, and with 2 if a signal ended it. docs/OPERATIONS.md says how to
read a failure.
"""

import contextlib
import pathlib
import shutil
import signal
import sys
import tempfile

import trio
from docopt import docopt

from standins.loopback import claim_network_number

from .plan import Plan, draw_plan
from .report import describe_failure, write_lines
from .rounds import Place, play_round
from .scenarios import SCENARIOS

__all__ = ('main', 'play')

# by whether all is right, None if a signal ended the run
EXIT_CODES = {True: 0, False: 1, None: 2}
VERDICTS = {True: 'all right', False: 'not right', None: 'interrupted'}

# about how long a round lasts
ROUND_S = 40

# third numbers of the rounds' networks
NETWORKS = 250


async def play(
    plans: dict[str, Plan], folder: pathlib.Path, idle_s: float
) -> bool:
    """Play rounds until one is not right; return whether all are."""
    number, claim = claim_network_number()
    with contextlib.closing(claim):
        for turn, (name, plan) in enumerate(plans.items()):
            round_folder = folder / name
            round_folder.mkdir(parents=True)
            network = f'127.{number}.{turn % NETWORKS}'
            outcome = await play_round(
                plan, Place(network, round_folder, name, idle_s)
            )
            write_lines(round_folder, plan, outcome)
            listed = sum(map(len, outcome.record.listed.values()))
            print(
                f'{name}: {len(plan.faults)} faults, '
                f'{len(outcome.record.jobs)} jobs, {listed} items listed, '
                f'{len(outcome.findings)} findings',
                flush=True,
            )
            if outcome.findings:
                lines = describe_failure(outcome.findings, round_folder)
                print('\n'.join(lines), flush=True)
                return False
    return True


async def _play_until_signal(
    plans: dict[str, Plan], folder: pathlib.Path, idle_s: float
) -> bool | None:
    """Play rounds until all is played or a signal comes.

    :returns: whether all rounds are right, None after a signal.
    """
    is_right = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_signal, nursery.cancel_scope)
        is_right = await play(plans, folder, idle_s)
        nursery.cancel_scope.cancel()
    return is_right


async def _cancel_on_signal(scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(aiter(signals))
        scope.cancel()


def main() -> int:
    """Play the rounds that the command line names; return the exit code."""
    arguments = docopt(__doc__)
    scenario = arguments['--scenario']
    seed = int(arguments['--seed'])
    if scenario:
        plans = {scenario: SCENARIOS[scenario]}
    else:
        rounds = max(1, round(float(arguments['--minutes']) * 60 / ROUND_S))
        plans = {
            f's{seed}r{number}': draw_plan(seed, number)
            for number in range(rounds)
        }
    folder = pathlib.Path(
        arguments['--logs'] or tempfile.mkdtemp(prefix='soak-')
    )
    idle_s = float(arguments['--idle'])
    is_right = trio.run(_play_until_signal, plans, folder, idle_s)
    if is_right and not arguments['--logs']:
        shutil.rmtree(folder)
    print(f'seed {seed}: {VERDICTS[is_right]}')
    return EXIT_CODES[is_right]


if __name__ == '__main__':
    sys.exit(main())
