"""bench.online.figures: harm and overload, with targets and baselines."""

import statistics
import sys

import attrs

from bench.traces import Trace, load_trace
from briarrill.coordination.admission import reserved_slots

from .replay import Outcome, replay
from .rig import RigPlan

__all__ = ('measure_harm', 'measure_overload', 'print_line')

# repetitions of each pair of runs, in turn (A B A B)
REPETITIONS = 2

# both ends of the policy's online_weight
ONLINE_WEIGHTS = (0.0, 1.0)

OVERLOAD_ENGINES = 4
OVERLOAD_DEADLINE_S = 4.0
UNBOUNDED_QUEUE = 1_000_000


def print_line(line: str) -> None:
    """Print a line and flush."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _verdict_text(is_reached: bool) -> str:
    return 'reached' if is_reached else 'NOT reached'


def _print_outcome(name: str, outcome: Outcome) -> None:
    print_line(
        f'  {name}: first token p50 {outcome.p50_ms:.0f} ms '
        f'p99 {outcome.p99_ms:.0f} ms, in time {outcome.in_time}, '
        f'refused {outcome.refused}, failed {outcome.failed}, '
        f'batch {outcome.batch_rate:.0f} tokens/s, '
        f'online {outcome.online_rate:.0f} tokens/s'
    )


async def _run(
    name: str, plan: RigPlan, trace: Trace, deadline_s: float = 60.0
) -> Outcome:
    outcome = await replay(plan, trace, deadline_s=deadline_s)
    _print_outcome(name, outcome)
    return outcome


async def measure_harm() -> None:
    """Measure online latency with and without batch work, and batch tokens.

    Both ends of the policy's online weight are measured.
    """
    trace = load_trace('online-bursts')
    print_line(f'harm, trace {trace.name}, seed {trace.seed}')
    idle = RigPlan()
    rounds = []
    for _ in range(REPETITIONS):
        without = await _run('batch idle', idle, trace)
        rounds.append((without, await _run_weights(trace)))
    busy = attrs.evolve(idle, with_batch=True)
    shared = await _run(
        'one shared queue (baseline)',
        attrs.evolve(busy, admission='shared queue'),
        trace,
    )
    # two online requests at the end, for a run of the same length
    alone = attrs.evolve(trace, arrivals=trace.arrivals[-2:])
    ceiling = await _run('batch alone (ceiling)', busy, alone)
    baseline = shared.p99_ms / rounds[-1][0].p99_ms
    print_line(f'one shared queue: harm {baseline:.2f}')
    for weight in ONLINE_WEIGHTS:
        pairs = [(without, busy[weight]) for without, busy in rounds]
        _print_harm(weight, trace, pairs)
        _print_batch_kept(weight, trace, [pair[1] for pair in pairs], ceiling)


async def _run_weights(trace: Trace) -> dict[float, Outcome]:
    outcomes = {}
    for weight in ONLINE_WEIGHTS:
        reserved = reserved_slots(RigPlan().slots, weight)
        plan = RigPlan(with_batch=True, reserved=reserved)
        name = f'batch saturating, online_weight {weight}'
        outcomes[weight] = await _run(name, plan, trace)
    return outcomes


def _print_harm(
    weight: float, trace: Trace, pairs: list[tuple[Outcome, Outcome]]
) -> None:
    target = trace.outcomes['harm_p99_first_token']
    harm = statistics.median(
        busy.p99_ms / without.p99_ms for without, busy in pairs
    )
    print_line(
        f'harm to online p99 first token, online_weight {weight}: '
        f'{harm:.2f} (target {target:.2f}, {_verdict_text(harm <= target)})'
    )


def _print_batch_kept(
    weight: float, trace: Trace, busy: list[Outcome], ceiling: Outcome
) -> None:
    target = trace.outcomes['batch_kept']
    kept = statistics.median(
        outcome.batch_rate / (ceiling.batch_rate - outcome.online_rate)
        for outcome in busy
    )
    print_line(
        f'batch throughput kept, online_weight {weight}: {kept:.2f} of what '
        f'online leaves (target {target:.2f}, {_verdict_text(kept >= target)})'
    )


async def measure_overload() -> None:
    """Measure goodput at capacity and at twice that arrival rate."""
    capacity = load_trace('online-capacity')
    overload = load_trace('online-overload')
    target = overload.outcomes['goodput_of_capacity']
    print_line(f'overload, seeds {capacity.seed} and {overload.seed}')
    plan = RigPlan(engines=OVERLOAD_ENGINES)
    shares = []
    for _ in range(REPETITIONS):
        at_capacity = await _run('1x', plan, capacity, OVERLOAD_DEADLINE_S)
        at_overload = await _run('2x', plan, overload, OVERLOAD_DEADLINE_S)
        shares.append(at_overload.goodput / at_capacity.goodput)
    unbounded = attrs.evolve(
        plan, admission='shared queue', queue=UNBOUNDED_QUEUE
    )
    baseline = await _run(
        '2x, no refusals (baseline)', unbounded, overload, OVERLOAD_DEADLINE_S
    )
    share = statistics.median(shares)
    print_line(
        f'goodput at 2x of that at 1x: {share:.2f} '
        f'(target {target:.2f}, {_verdict_text(share >= target)}; '
        f'no refusals {baseline.goodput / at_capacity.goodput:.2f})'
    )
