"""bench.control: spread of configuration and what control costs a node.

All processes share one interpreter and one event loop, with a socket pair
for each connection. Processor time is that of the interpreter, divided by
the processes; the service and the list are in memory.

Usage:
  control.py [--seed=N] [--quick | --spread]

Options:
  --seed=N  Seed of lost messages [default: 1].
  --quick   Fewer processes and shorter windows.
  --spread  Only the spread, at the largest number of processes.
"""

import functools
import gc
import os
import pathlib
import statistics
import tempfile
import time
from collections.abc import Sequence

import attrs
import trio
from docopt import docopt

from briarrill.coordination.neighbours import choose_neighbours
from briarrill.protocol.codec import encode
from briarrill.protocol.messages import ConfigDigest
from standins.control_fleet import ControlFleet, open_control_fleet
from standins.fleet import FleetPlan, open_fleet

# flushes, so that each figure is shown as soon as it is measured
print_line = functools.partial(print, flush=True)

NETWORK = '127.159.0'
DAEMON_NETWORK = '127.159.9'
DOMAINS = 8
LOSS_SHARE = 0.1
SPREAD_TARGET_S = 2.0
SPREAD_LIMIT_S = 8.0
CPU_LIMIT_CORES = 0.016
MEMORY_LIMIT_MB = 256
BYTES_S_LIMIT = 14_000
DAILY_CHANGES = 260  # accepted versions of the configuration
DAY_S = 86_400
SETTLE_S = 4.0
GAP_SLEEP_S = 0.05
DAEMON_WINDOW_S = 8.0

# bytes that TCP/IP and ZeroMQ add to a message each way: headers of two
# packets with their acknowledgement, and the frames' lengths
WIRE_OVERHEAD_BYTES = 180


@attrs.frozen
class IdleCost:
    """Idle cost of one process: no change of configuration or instances.

    :param cpu: share of a core.
    :param rss_kb: resident memory beyond the interpreter's.
    :param requests_s: control requests sent per second.
    :param bytes_s: bytes per second in and out, calculated from
        ``requests_s``.
    :param key_value_s: calls of the key-value service per second, by all
        processes together.
    :param connections: mean number of open connections.
    """

    cpu: float
    rss_kb: float
    requests_s: float
    bytes_s: float
    key_value_s: float
    connections: float


@attrs.frozen
class RunSizes:
    """Sizes of a run.

    :param counts: numbers of processes, measured one after the other.
    :param versions: number of accepted versions for each message loss.
    :param window_s: seconds over which idle cost is measured.
    """

    counts: tuple[int, ...]
    versions: int
    window_s: float


FULL_RUN = RunSizes((8, 32, 128), 5, 32.0)
QUICK_RUN = RunSizes((8, 32), 3, 5.0)


def main() -> None:
    """Print all figures, or only the spread."""
    arguments = docopt(__doc__)
    seed = int(arguments['--seed'])
    run_sizes = QUICK_RUN if arguments['--quick'] else FULL_RUN
    if arguments['--spread']:
        trio.run(_measure_spread, run_sizes, seed)
        return
    costs = {}
    for count in run_sizes.counts:
        costs[count] = trio.run(
            _measure_idle_and_spread, run_sizes, count, seed
        )
    _print_idle_costs(costs)
    trio.run(_measure_contracts, seed)
    _measure_neighbour_choice()
    _measure_daemons(DAEMON_WINDOW_S)


async def _measure_idle_and_spread(
    run_sizes: RunSizes, count: int, seed: int
) -> IdleCost:
    gc.collect()
    rss_before = _rss_kb()
    async with open_control_fleet(
        NETWORK, domain_count=DOMAINS, seed=seed
    ) as fleet:
        await fleet.accept_configuration(0)
        await fleet.add(count)
        await fleet.wait_in_force(1)
        await trio.sleep(SETTLE_S)
        rss_kb = (_rss_kb() - rss_before) / count
        cost = await _measure_idle(fleet, run_sizes, rss_kb)
        await _print_spread(fleet, run_sizes.versions, seed)
    return cost


async def _measure_spread(run_sizes: RunSizes, seed: int) -> None:
    async with open_control_fleet(
        NETWORK, domain_count=DOMAINS, seed=seed
    ) as fleet:
        await fleet.accept_configuration(0)
        await fleet.add(run_sizes.counts[-1])
        await fleet.wait_in_force(1)
        await trio.sleep(SETTLE_S)
        await _print_spread(fleet, run_sizes.versions * 2, seed)


async def _print_spread(fleet: ControlFleet, versions: int, seed: int) -> None:
    """Print how long versions spread, without and with lost messages in turn.

    A gap is the time that a sleep of ``GAP_SLEEP_S`` took: a long one shows
    that the event loop was blocked or got no processor time.
    """
    for loss in (0.0, LOSS_SHARE, 0.0, LOSS_SHARE):
        fleet.traffic.loss = loss
        gaps: list[float] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_record_gaps, gaps)
            times = await _time_spread(fleet, versions)
            nursery.cancel_scope.cancel()
        print_line(
            f'in force everywhere: {len(fleet.running)} processes,'
            f' {loss:.0%} of messages lost:'
            f' median {statistics.median(times):.3f} s,'
            f' longest {max(times):.3f} s of {len(times)};'
            f' longest gap of the loop {max(gaps):.3f} s;'
            f' target {SPREAD_TARGET_S} s, limit {SPREAD_LIMIT_S} s,'
            f' seed {seed}'
        )


async def _record_gaps(gaps: list[float]) -> None:
    while True:
        start = time.perf_counter()
        await trio.sleep(GAP_SLEEP_S)
        gaps.append(time.perf_counter() - start)


async def _time_spread(fleet: ControlFleet, versions: int) -> list[float]:
    """Return seconds from acceptance until all processes have a version."""
    times = []
    for number in range(versions):
        start = time.perf_counter()
        await fleet.wait_in_force(
            await fleet.accept_configuration(number / versions)
        )
        times.append(time.perf_counter() - start)
        await trio.sleep(0.5)
    return times


async def _measure_idle(
    fleet: ControlFleet, run_sizes: RunSizes, rss_kb: float
) -> IdleCost:
    count = len(fleet.running)
    calls = fleet.key_value.calls.total()
    requests = fleet.traffic.requests
    cpu = time.process_time()
    start = time.perf_counter()
    await trio.sleep(run_sizes.window_s)
    took_s = time.perf_counter() - start
    requests_s = (fleet.traffic.requests - requests) / took_s / count
    connections = [len(running.pool) for running in fleet.running.values()]
    # each process receives as many digests as it sends, and each has a reply
    size = sum(map(len, encode(ConfigDigest('127.159.0.100:7131', 1000))))
    return IdleCost(
        cpu=(time.process_time() - cpu) / took_s / count,
        rss_kb=rss_kb,
        requests_s=requests_s,
        bytes_s=requests_s * 2 * 2 * (size + WIRE_OVERHEAD_BYTES),
        key_value_s=(fleet.key_value.calls.total() - calls) / took_s,
        connections=statistics.mean(connections),
    )


def _print_idle_costs(costs: dict[int, IdleCost]) -> None:
    for count, cost in costs.items():
        print_line(
            f'idle cost of a process at {count}: cpu {cost.cpu:.3%}'
            f' of a core (limit {CPU_LIMIT_CORES:.1%}),'
            f' memory +{cost.rss_kb:.0f} kB (limit {MEMORY_LIMIT_MB} MB'
            f' with the interpreter), {cost.requests_s:.2f} requests/s,'
            f' {cost.bytes_s:.0f} bytes/s in and out, reckoned'
            f' (limit {BYTES_S_LIMIT}), {cost.connections:.1f} connections;'
            f' service {cost.key_value_s:.2f} calls/s from all'
        )
    counts = list(costs)
    for name in ('cpu', 'requests_s', 'bytes_s', 'key_value_s'):
        values = [getattr(cost, name) for cost in costs.values()]
        print_line(
            f'slope against processes: {name} {_slope(counts, values):.3g}'
        )


async def _measure_contracts(seed: int) -> None:
    """Print the cost of a new version by its number of contracts."""
    sizes, cpus = (100, 400, 1600), []
    async with open_control_fleet(
        NETWORK, domain_count=DOMAINS, seed=seed
    ) as fleet:
        await fleet.accept_configuration(0)
        await fleet.add(16)
        await fleet.wait_in_force(1)
        await trio.sleep(SETTLE_S)
        for size in sizes:
            cpu = time.process_time()
            took = time.perf_counter()
            await fleet.wait_in_force(
                await fleet.accept_configuration(0.5, size)
            )
            took = time.perf_counter() - took
            cpu_s = (time.process_time() - cpu) / len(fleet.running)
            cpus.append(cpu_s)
            stored = len(fleet.running[0].control.config_holder.raw)
            print_line(
                f'version of {size} contracts: record {stored} bytes,'
                f' {took:.3f} s to 16 processes,'
                f' cpu {cpu_s * 1000:.1f} ms a process; at {DAILY_CHANGES}'
                f' a day {cpu_s * DAILY_CHANGES / DAY_S:.4%} of a core,'
                f' {stored * DAILY_CHANGES / DAY_S:.0f} bytes/s a copy'
            )
            await trio.sleep(1)
        slope = _slope(sizes, cpus)
        print_line(
            f'slope of cpu against contracts: {slope * 1e6:.1f} us each'
        )


def _measure_neighbour_choice() -> None:
    """Print the processor time to choose neighbours by fleet size."""
    sizes, times = (130, 433, 1300), []
    fleet = ControlFleet(NETWORK, DOMAINS, 0, None)  # type: ignore[arg-type]
    for size in sizes:
        fleet.instance_list.instances = {
            str(number): fleet.instance(number) for number in range(size)
        }
        processes = fleet.processes()
        start = time.process_time()
        for own in processes[:20]:
            choose_neighbours(own, processes)
        times.append((time.process_time() - start) / 20)
        print_line(
            f'choice of neighbours among {size}: {times[-1] * 1000:.2f} ms'
        )
    print_line(
        f'slope of the choice: {_slope(sizes, times) * 1e6:.2f} us each'
    )


def _measure_daemons(window_s: float) -> None:
    """Print processor time and memory of idle processes of a real fleet."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        demo = path / 'demo.toml'
        demo.write_text('', encoding='utf-8')
        with open_fleet(FleetPlan(DAEMON_NETWORK), path, str(demo)) as fleet:
            pids = {
                name: member.process.pid
                for name, member in fleet.members.items()
                if name.startswith(('entry', 'batch', 'sidecar'))
            }
            before = {name: _cpu_s(pid) for name, pid in pids.items()}
            time.sleep(window_s)
            for name, pid in pids.items():
                cpu = (_cpu_s(pid) - before[name]) / window_s
                print_line(
                    f'idle daemon {name}: cpu {cpu:.3%} of a core,'
                    f' memory {_rss_kb(pid) / 1000:.0f} MB'
                )


def _cpu_s(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    user, system = text.rpartition(')')[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')


def _slope(xs: Sequence[float], ys: Sequence[float]) -> float:
    return statistics.linear_regression(xs, ys).slope


def _rss_kb(pid: int | str = 'self') -> int:
    path = pathlib.Path(f'/proc/{pid}/status')
    status = path.read_text(encoding='utf-8')
    row = next(ln for ln in status.splitlines() if ln.startswith('VmRSS'))
    return int(row.split()[1])


if __name__ == '__main__':
    main()
