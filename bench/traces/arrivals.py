"""bench.traces.arrivals: generates, writes and reads arrival traces."""

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

TRACES_FOLDER = pathlib.Path(__file__).parent

CONTRACTS = ('kinship-plans', 'signal-engineers', 'portal')

# relative frequency of each contract in the arrivals
CONTRACT_WEIGHTS = (5, 3, 2)

MIN_RESPONSE_TOKENS = 10
MAX_RESPONSE_TOKENS = 30

# seconds within which all requests of a burst arrive
BURST_LENGTH_S = 0.1


@attrs.frozen
class Arrival:
    """One online request.

    :param at_s: seconds from the start of the trace.
    :param tokens: number of tokens to generate.
    """

    at_s: float
    contract: str
    tokens: int


@attrs.frozen
class Bursts:
    """Size and frequency of the bursts in a trace.

    :param size: requests of a burst.
    :param every_s: mean seconds between two bursts.
    """

    size: int
    every_s: float


@attrs.frozen
class Trace:
    """Arrivals and the bounds for the figures measured with them.

    :param outcomes: bound by name of the figure.
    """

    name: str
    seed: int
    outcomes: dict[str, float]
    arrivals: tuple[Arrival, ...]

    def write(self) -> None:
        """Write the trace as JSON into this module's folder."""
        body = msgspec.json.format(msgspec.json.encode(self), indent=1)
        (TRACES_FOLDER / f'{self.name}.json').write_bytes(b'%b\n' % body)


def load_trace(name: str) -> Trace:
    """Read a trace file by its name without ``.json``."""
    body = (TRACES_FOLDER / f'{name}.json').read_bytes()
    return msgspec.json.decode(body, type=Trace)


def steady_trace(
    name: str,
    seed: int,
    *,
    per_second: float,
    seconds: float,
    outcomes: dict[str, float],
) -> Trace:
    """Return a trace of Poisson arrivals at a constant rate."""
    rng = random.Random(seed)
    arrivals = _poisson_arrivals(rng, per_second, seconds)
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
    """Return a trace of Poisson arrivals with additional bursts."""
    rng = random.Random(seed)
    arrivals = _poisson_arrivals(rng, per_second, seconds)
    at_s = rng.expovariate(1 / bursts.every_s)
    while at_s < seconds:
        arrivals += [
            _random_arrival(rng, at_s + rng.uniform(0, BURST_LENGTH_S))
            for _ in range(bursts.size)
        ]
        at_s += rng.expovariate(1 / bursts.every_s)
    arrivals.sort(key=lambda arrival: arrival.at_s)
    return Trace(name, seed, outcomes, tuple(arrivals))


def _poisson_arrivals(
    rng: random.Random, per_second: float, seconds: float
) -> list[Arrival]:
    arrivals = []
    at_s = rng.expovariate(per_second)
    while at_s < seconds:
        arrivals.append(_random_arrival(rng, at_s))
        at_s += rng.expovariate(per_second)
    return arrivals


def _random_arrival(rng: random.Random, at_s: float) -> Arrival:
    return Arrival(
        at_s=round(at_s, 4),
        contract=rng.choices(CONTRACTS, CONTRACT_WEIGHTS)[0],
        tokens=rng.randint(MIN_RESPONSE_TOKENS, MAX_RESPONSE_TOKENS),
    )
