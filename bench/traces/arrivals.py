"""bench.traces.arrivals: makes, writes and reads traces of arrivals."""

import pathlib
import random

import attrs
import msgspec

__all__ = (
    'Arrival',
    'Bursts',
    'Trace',
    'bursty_trace',
    'load_trace',
    'steady_trace',
)

FOLDER = pathlib.Path(__file__).parent

CONTRACTS = ('kinship-plans', 'signal-engineers', 'portal')

# shares of the contracts in the arrivals
WEIGHTS = (5, 3, 2)

MIN_TOKENS = 10
MAX_TOKENS = 30

# a burst arrives within this time
BURST_S = 0.1


@attrs.frozen
class Arrival:
    """One online request.

    :param at_s: seconds from the start of the trace.
    :param tokens: length of the answer.
    """

    at_s: float
    contract: str
    tokens: int


@attrs.frozen
class Bursts:
    """Requests that arrive together, at random times.

    :param every_s: mean time between two bursts.
    """

    size: int
    every_s: float


@attrs.frozen
class Trace:
    """Arrivals with the outcomes that are asked.

    :param outcomes: figure to the bound that it must meet.
    """

    name: str
    seed: int
    outcomes: dict[str, float]
    arrivals: tuple[Arrival, ...]

    def write(self) -> None:
        """Write the trace beside this module."""
        body = msgspec.json.format(msgspec.json.encode(self), indent=1)
        (FOLDER / f'{self.name}.json').write_bytes(b'%b\n' % body)


def load_trace(name: str) -> Trace:
    """Read a trace."""
    body = (FOLDER / f'{name}.json').read_bytes()
    return msgspec.json.decode(body, type=Trace)


def steady_trace(
    name: str,
    seed: int,
    *,
    per_second: float,
    seconds: float,
    outcomes: dict[str, float],
) -> Trace:
    """Return arrivals at a constant mean rate."""
    rng = random.Random(seed)
    arrivals = _poisson(rng, per_second, seconds)
    return Trace(name, seed, outcomes, tuple(arrivals))


def bursty_trace(
    name: str,
    seed: int,
    *,
    per_second: float,
    seconds: float,
    bursts: Bursts,
    outcomes: dict[str, float],
) -> Trace:
    """Return arrivals at a constant mean rate with bursts over them."""
    rng = random.Random(seed)
    arrivals = _poisson(rng, per_second, seconds)
    at_s = rng.expovariate(1 / bursts.every_s)
    while at_s < seconds:
        arrivals += [
            _arrival(rng, at_s + rng.uniform(0, BURST_S))
            for _ in range(bursts.size)
        ]
        at_s += rng.expovariate(1 / bursts.every_s)
    arrivals.sort(key=lambda arrival: arrival.at_s)
    return Trace(name, seed, outcomes, tuple(arrivals))


def _poisson(
    rng: random.Random, per_second: float, seconds: float
) -> list[Arrival]:
    arrivals = []
    at_s = rng.expovariate(per_second)
    while at_s < seconds:
        arrivals.append(_arrival(rng, at_s))
        at_s += rng.expovariate(per_second)
    return arrivals


def _arrival(rng: random.Random, at_s: float) -> Arrival:
    return Arrival(
        at_s=round(at_s, 4),
        contract=rng.choices(CONTRACTS, WEIGHTS)[0],
        tokens=rng.randint(MIN_TOKENS, MAX_TOKENS),
    )
