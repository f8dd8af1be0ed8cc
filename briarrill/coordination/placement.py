"""briarrill.coordination.placement: at which upstream a request is best off.

Answers peaks of online requests over upstreams that batch work fills in the
valleys: a free slot is taken where there is one; where all are taken, the
request goes where batch work will yield, and only then where it must wait
behind other online requests. Upstreams that begin late are left out while
others are expected to begin sooner.
"""

import math
import random
from collections.abc import Sequence

import attrs

__all__ = ('Place', 'choose_place', 'expected_wait_s')

# an upstream in the own failure domain is taken although it holds this many
# more requests
LOCAL_BONUS = 0.5

# part of a pool that is never left out
MIN_POOL_SHARE = 0.5


@attrs.frozen
class Place:
    """An upstream as a place for one more request.

    :param online: online requests of all processes at the upstream.
    :param batch: batch items of all processes at the upstream.
    :param is_suspect: the upstream has fallen silent.
    :param delay_s: how late it began lately, 0 when in normal time.
    """

    name: str
    slots: int
    online: int
    batch: int
    is_local: bool = False
    is_suspect: bool = False
    delay_s: float = 0

    @property
    def load(self) -> float:
        """Return what is in hand, 1.0 when all slots are taken."""
        return (self.online + self.batch) / max(1, self.slots)

    @property
    def free(self) -> int:
        """Return the slots that nobody holds."""
        return self.slots - self.online - self.batch


def choose_place(
    places: Sequence[Place],
    rng: random.Random,
    tolerance_s: float,
    service_time_s: float,
) -> Place:
    """Return the place for one more online request.

    :param places: at least one.
    :param tolerance_s: difference between two beginnings that does not
        matter to the caller.
    :param service_time_s: how long a request holds its slot.
    """
    trusted = [place for place in places if not place.is_suspect] or places
    prompt = _prompt_places(trusted, tolerance_s, service_time_s)
    shuffled = rng.sample(prompt, len(prompt))
    if any(place.free > 0 for place in shuffled):
        return max(shuffled, key=_free_score)
    return min(shuffled, key=_waiting_score)


def expected_wait_s(place: Place, service_time_s: float) -> float:
    """Return how long a new online request waits for a slot.

    Batch items yield, so only online requests are waited for.
    """
    behind = max(0, place.online + 1 - place.slots)
    return behind * service_time_s / max(1, place.slots)


def _prompt_places(
    places: Sequence[Place], tolerance_s: float, service_time_s: float
) -> Sequence[Place]:
    """Return the places that are expected to begin soonest.

    At least half of them are returned: what they would get besides would
    make the few fastest ones the slowest.
    """

    def begins_in(place: Place) -> float:
        return place.delay_s + expected_wait_s(place, service_time_s)

    soonest = min(map(begins_in, places))
    prompt = [
        place for place in places if begins_in(place) <= soonest + tolerance_s
    ]
    least = math.ceil(len(places) * MIN_POOL_SHARE)
    if len(prompt) >= least:
        return prompt
    return sorted(places, key=begins_in)[:least]


def _free_score(place: Place) -> float:
    return _bonus(place) - place.load


def _waiting_score(place: Place) -> float:
    return place.online / max(1, place.slots) - _bonus(place)


def _bonus(place: Place) -> float:
    return LOCAL_BONUS / max(1, place.slots) if place.is_local else 0
