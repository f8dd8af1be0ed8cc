"""briarrill.coordination.even_load.load_interpretation: use old loads.

Load pattern: many processes place requests between two load reports, and each
sees the same reports. A process assumes that all of them level the loads: the
requests that the reports lack fill the least loaded places first, like water.
It chooses a place with the probability of its share in that filling. With
fresh reports that is the least loaded place; the older they are, the closer it
comes to a random choice by capacity.
"""

import random
from collections.abc import Sequence

import attrs

__all__ = ('KnownLoad', 'choose_interpreted', 'fill_shares')


@attrs.frozen
class KnownLoad:
    """The load of a place as the reports tell it.

    :param requests: at the place.
    :param capacity: requests that it runs at the same time, above 0.
    """

    requests: float
    capacity: float

    @property
    def level(self) -> float:
        """Return the requests for each one that it can run."""
        return self.requests / self.capacity


def fill_shares(loads: Sequence[KnownLoad], arrivals: float) -> list[float]:
    """Return how many of the arrivals each place gets if they level loads.

    :param loads: at least one.
    :param arrivals: requests that the loads lack, above 0.
    """
    level = _fill_level(loads, arrivals)
    return [max(0, level * one.capacity - one.requests) for one in loads]


def choose_interpreted(
    loads: Sequence[KnownLoad], arrivals: float, rng: random.Random
) -> int:
    """Return the position of the place for one more request.

    :param loads: at least one.
    :param arrivals: requests that the loads lack, with this one.
    """
    shares = fill_shares(loads, arrivals)
    return rng.choices(range(len(loads)), shares)[0]


def _fill_level(loads: Sequence[KnownLoad], arrivals: float) -> float:
    """Return the level that the places at it or below reach together."""
    capacity = 0.0
    requests = arrivals
    level = 0.0
    for one in sorted(loads, key=_level):
        if capacity and one.level >= level:
            break
        capacity += one.capacity
        requests += one.requests
        level = requests / capacity
    return level


def _level(load: KnownLoad) -> float:
    return load.level
