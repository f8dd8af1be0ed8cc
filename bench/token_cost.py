"""bench.token_cost: processor time of entry and sidecar for each token.

Usage:
  token_cost [--seed=N] [--rate=N] [--seconds=N]

Short and long answers take turns in one run, at the same rate of requests.
The difference between them gives the cost of a token, the rest that of a
request; an idle part gives what a process spends without requests.

Options:
  --seed=N     Seed of the arrivals [default: 1].
  --rate=N     Requests a second at the entry [default: 10].
  --seconds=N  Seconds of each part [default: 8].
"""

import pathlib
import random
import sys
import tempfile
import time
from typing import Any

import attrs
import httpx
import trio
from docopt import docopt

from standins.fleet import Fleet, FleetPlan, open_fleet

from .overhead import (
    CONFIGURATION,
    MS_PER_S,
    PATH,
    cpu_s,
    make_body,
    open_client,
)

NETWORK = '127.118.0'
SHORT_TOKENS = 1
LONG_TOKENS = 129
PAIRS = 2
TOKEN_MS = 10.0
MEASURED_PROCESSES = ('entry-0', 'sidecar-0')
IDLE_WINDOW_S = 10.0


@attrs.define
class ProcessorTime:
    """Processor seconds of one process and the requests that it served."""

    seconds: float = 0.0
    requests: int = 0

    @property
    def per_request_s(self) -> float:
        """Return the mean processor seconds of a request."""
        return self.seconds / self.requests


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


async def _send_request(
    client: httpx.AsyncClient, number: int, tokens: int
) -> None:
    body = make_body(number, tokens)
    async with client.stream('POST', PATH, json=body) as reply:
        reply.raise_for_status()
        await reply.aread()


async def _run_part(
    url: str, rate: float, seconds: float, tokens: int, rng: random.Random
) -> int:
    """Send requests with Poisson arrivals; return their number."""
    count = 0
    ends_at = time.monotonic() + seconds
    async with open_client(url) as client, trio.open_nursery() as nursery:
        while time.monotonic() < ends_at:
            nursery.start_soon(_send_request, client, count, tokens)
            count += 1
            await trio.sleep(rng.expovariate(rate))
    return count


def _read_cpu_s(fleet: Fleet) -> dict[str, float]:
    return {
        name: cpu_s(fleet.members[name].process.pid)
        for name in MEASURED_PROCESSES
    }


def _measure_idle(fleet: Fleet) -> dict[str, float]:
    """Return the share of a core that each process uses without requests."""
    before = _read_cpu_s(fleet)
    time.sleep(IDLE_WINDOW_S)
    after = _read_cpu_s(fleet)
    return {
        name: (after[name] - before[name]) / IDLE_WINDOW_S
        for name in MEASURED_PROCESSES
    }


def _measure(fleet: Fleet, arguments: dict[str, Any]) -> None:
    rate, seconds = float(arguments['--rate']), float(arguments['--seconds'])
    idle_share = _measure_idle(fleet)
    used = {
        (name, tokens): ProcessorTime()
        for name in MEASURED_PROCESSES
        for tokens in (SHORT_TOKENS, LONG_TOKENS)
    }
    for pair in range(PAIRS):
        for tokens in (SHORT_TOKENS, LONG_TOKENS):
            rng = random.Random(int(arguments['--seed']) + pair)
            before, started = _read_cpu_s(fleet), time.monotonic()
            count = trio.run(
                _run_part, fleet.entry_url(0), rate, seconds, tokens, rng
            )
            took_s, after = time.monotonic() - started, _read_cpu_s(fleet)
            for name in MEASURED_PROCESSES:
                used_s = after[name] - before[name] - idle_share[name] * took_s
                used[name, tokens].seconds += used_s
                used[name, tokens].requests += count
    for name in MEASURED_PROCESSES:
        _print_cost(name, idle_share[name], used)


def _print_cost(
    name: str, idle_share: float, used: dict[tuple[str, int], ProcessorTime]
) -> None:
    short, long = used[name, SHORT_TOKENS], used[name, LONG_TOKENS]
    extra_tokens = LONG_TOKENS - SHORT_TOKENS
    token_s = (long.per_request_s - short.per_request_s) / extra_tokens
    request_s = short.per_request_s - token_s * SHORT_TOKENS
    _print_line(
        f'{name}: {token_s * MS_PER_S:.3f} ms of processor time a token, '
        f'{request_s * MS_PER_S:.2f} ms a request, '
        f'idle {idle_share:.2%} of a core; '
        f'{short.requests} and {long.requests} requests'
    )


def main() -> int:
    """Run the bench; return the exit code."""
    arguments: dict[str, Any] = docopt(__doc__)
    _print_line(
        f'seed {arguments["--seed"]}, {arguments["--rate"]} requests/s, '
        f'{TOKEN_MS} ms between tokens of a stream'
    )
    plan = FleetPlan(
        network=NETWORK,
        entries=1,
        engines=1,
        services=0,
        slots=64,
        token_ms=TOKEN_MS,
        instance_poll_s=1.0,
    )
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        configuration = folder / 'configuration.toml'
        configuration.write_text(CONFIGURATION)
        with open_fleet(plan, folder, str(configuration)) as fleet:
            _measure(fleet, arguments)
    return 0


if __name__ == '__main__':
    sys.exit(main())
