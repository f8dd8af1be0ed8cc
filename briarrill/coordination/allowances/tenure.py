"""briarrill.coordination.allowances.tenure: who holds a customer's limit.

All processes that hear the same processes name the same holder. When one
falls silent, or comes, they notice it at different moments, up to the interval
of load reports apart. So a process counts for how long it has been the holder
without a break.

Load pattern: a process is frozen or cut off while another one lends in its
place. When it goes on, it has a clock that ran and a bucket that looks full.
"""

import collections
import time
from collections.abc import Callable

import attrs

from ...state.rendezvous import rank_nodes

__all__ = ('Tenure',)

# silence of all peers after which they may take this process for gone: the
# time after which a silent peer counts as gone, less one heartbeat interval
MAX_SILENCE_S = 0.55

# changes of the live processes that are remembered; a holder that has outlived
# all of them has held long enough for a full bucket
MAX_CHANGES = 16

# customers whose holders are remembered until the next change
MAX_REMEMBERED = 4_096


@attrs.frozen
class _Change:
    """The live processes from some moment on."""

    since: float
    names: tuple[str, ...]


@attrs.define
class Tenure:
    """Ranks the processes that can hold, and tells since when this one does.

    :param own_name: name of this process.
    :param clock: monotonic clock.
    """

    own_name: str
    clock: Callable[[], float] = time.monotonic
    _changes: collections.deque[_Change] = attrs.field(init=False)
    _heard_at: float | None = attrs.field(default=None, init=False)
    _orders: dict[str, list[str]] = attrs.field(factory=dict, init=False)
    _since: dict[str, float | None] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Start without other processes."""
        self._changes = collections.deque(maxlen=MAX_CHANGES)
        self._begin((self.own_name,))

    def update(self, names: tuple[str, ...]) -> None:
        """Replace the processes that can hold.

        :param names: sorted, this process among them if it can hold.
        """
        if names != self._changes[-1].names:
            self._begin(names)

    def record_heard(self) -> None:
        """Record that a peer was heard; a long silence ends the tenure."""
        now = self.clock()
        heard_at, self._heard_at = self._heard_at, now
        if heard_at is not None and now - heard_at > MAX_SILENCE_S:
            names = self._changes[-1].names
            self._changes.clear()
            self._begin(names)

    def order(self, customer: str, count: int) -> list[str]:
        """Return the holder and its successors, at most ``count`` names."""
        order = self._orders.get(customer)
        if order is None or len(order) < count:
            if len(self._orders) >= MAX_REMEMBERED:
                self._orders.clear()
            ranked = rank_nodes(customer, self._changes[-1].names)
            order = ranked[:count]
            self._orders[customer] = order
        return order[:count]

    def held_since(self, customer: str) -> float | None:
        """Return since when this process is the holder, none if it is not."""
        if customer not in self._since:
            if len(self._since) >= MAX_REMEMBERED:
                self._since.clear()
            self._since[customer] = self._find_since(customer)
        return self._since[customer]

    def _begin(self, names: tuple[str, ...]) -> None:
        self._changes.append(_Change(self.clock(), names))
        self._orders.clear()
        self._since.clear()

    def _find_since(self, customer: str) -> float | None:
        since = None
        for change in reversed(self._changes):
            if rank_nodes(customer, change.names)[:1] != [self.own_name]:
                break
            since = change.since
        return since
