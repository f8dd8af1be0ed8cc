"""briarrill.transport.caller_memory: whose bytes a process gives up first.

Load pattern: many callers stop just short of the end of a large body, or do
not read a large answer, while ordinary callers go on. What a process holds
for all of them is bounded by one budget. When it is short, the caller that
holds the most gives way first, and among its holdings those that are over an
even part and have made no progress for longest. A caller that holds little
loses nothing while others hold more.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable

import attrs

__all__ = ('CallerMemory', 'Holding', 'choose_released')


@attrs.define(eq=False)
class Holding:
    """Bytes that a process holds for one request or response.

    :param caller: who caused it, such as an address.
    :param release: called when it has to give way.
    :ivar size: bytes held.
    :ivar progressed_at: time of its last progress.
    :ivar may_be_released: whether it may give way. A request that has begun
        to run does not, since the caller could not be told the truth.
    """

    caller: str
    release: Callable[[], None]
    size: int = attrs.field(default=0, init=False)
    progressed_at: float = attrs.field(default=0.0, init=False)
    may_be_released: bool = attrs.field(default=True, init=False)


@attrs.define
class CallerMemory:
    """The bytes that a process holds for all callers.

    :param max_bytes: budget of all holdings together.
    :ivar released: number of holdings that had to give way.
    """

    max_bytes: int
    released: int = attrs.field(default=0, init=False)
    held_bytes: int = attrs.field(default=0, init=False)
    _holdings: set[Holding] = attrs.field(factory=set, init=False)

    @property
    def is_short(self) -> bool:
        """Whether over half of the budget is held."""
        return self.held_bytes * 2 > self.max_bytes

    def resize(self, holding: Holding, size: int, now: float) -> bool:
        """Set the size of a holding; have others give way if it must.

        :param now: time of the progress that this is.
        :return: whether it may have this size. If not, its size stays.
        """
        while size > holding.size and self._exceeds(holding, size):
            chosen = choose_released(self._holdings, holding, size)
            if chosen is None:
                return False
            self.released += 1
            self.drop(chosen)
            chosen.release()
        self._holdings.add(holding)
        self.held_bytes += size - holding.size
        holding.size = size
        holding.progressed_at = now
        return True

    def drop(self, holding: Holding) -> None:
        """Forget a holding, if it is known."""
        if holding in self._holdings:
            self._holdings.remove(holding)
            self.held_bytes -= holding.size
            holding.size = 0

    def _exceeds(self, holding: Holding, size: int) -> bool:
        """Whether a size exceeds the budget; one alone never does."""
        others = self.held_bytes - holding.size
        return bool(others) and others + size > self.max_bytes


def choose_released(
    holdings: Iterable[Holding], asking: Holding, size: int
) -> Holding | None:
    """Return the holding that gives way so that another one can grow.

    :param asking: the holding that is to grow.
    :param size: its size then.
    :return: none if the asking one itself has to give way.
    """
    by_caller: dict[str, list[Holding]] = defaultdict(list)
    for holding in holdings:
        if holding.may_be_released and holding is not asking:
            by_caller[holding.caller].append(holding)
    if not by_caller:
        return None
    sums = {
        caller: sum(one.size for one in held)
        for caller, held in by_caller.items()
    }
    sums[asking.caller] = sums.get(asking.caller, 0) + size
    heaviest = max(sums, key=lambda caller: sums[caller])
    held = by_caller[heaviest]
    count = len(held) + (heaviest == asking.caller)
    over_part = [one for one in held if one.size * count >= sums[heaviest]]
    if over_part:
        return min(over_part, key=lambda one: one.progressed_at)
    # the asking one alone is over an even part of what its caller holds
    return None
