"""briarrill.timeline.offsets: estimates clock offsets from message pairs.

An action that continues in another process starts there after it was sent
and ends before its sender's action ends. Each such pair bounds the offset
between the two clocks from both sides.
"""

import collections
import math
from collections.abc import Iterable

import attrs

from .actions import Action, ActionKey
from .reader import Event

__all__ = ('apply_offsets', 'estimate_offsets')

ProcessPair = tuple[str, str]


@attrs.define
class _Bounds:
    """Seconds to add to the second process's clock."""

    lowest: float = -math.inf
    highest: float = math.inf

    def narrow(self, parent: Action, child: Action) -> None:
        """Take one message pair into account."""
        sent_at = parent.started.timestamp
        self.lowest = max(self.lowest, sent_at - child.started.timestamp)
        if parent.ended is None or child.ended is None:
            return
        answered_at = parent.ended.timestamp
        self.highest = min(self.highest, answered_at - child.ended.timestamp)

    def estimate(self) -> float:
        """Return no offset if that is possible, else the middle."""
        if self.lowest <= 0 <= self.highest:
            return 0.0
        if math.isinf(self.lowest) or math.isinf(self.highest):
            return min(max(0.0, self.lowest), self.highest)
        return (self.lowest + self.highest) / 2


def estimate_offsets(actions: dict[ActionKey, Action]) -> dict[str, float]:
    """Return the seconds to add to each process's timestamps.

    The process that sent most is the reference. A process that shares no
    request with it, directly or through others, has no offset.
    """
    bounds = _bound_pairs(actions)
    neighbours = _neighbours(bounds)
    offsets: dict[str, float] = {}
    by_degree = sorted(
        neighbours, key=lambda name: (-len(neighbours[name]), name)
    )
    for reference in by_degree:
        if reference not in offsets:
            _spread(reference, neighbours, offsets)
    return offsets


def apply_offsets(
    events: Iterable[Event], offsets: dict[str, float]
) -> list[Event]:
    """Return the events in order of the reference's clock."""
    return sorted(
        attrs.evolve(
            event,
            timestamp=event.timestamp + offsets.get(event.process, 0),
        )
        for event in events
    )


def _bound_pairs(
    actions: dict[ActionKey, Action],
) -> dict[ProcessPair, _Bounds]:
    bounds: dict[ProcessPair, _Bounds] = collections.defaultdict(_Bounds)
    for child in actions.values():
        parent = actions.get(child.parent_key)
        if parent is None:
            continue
        pair = (parent.started.process, child.started.process)
        if pair[0] != pair[1]:
            bounds[pair].narrow(parent, child)
    return bounds


def _neighbours(
    bounds: dict[ProcessPair, _Bounds],
) -> dict[str, dict[str, float]]:
    """Return each process's neighbours with their offset against it."""
    found: dict[str, dict[str, float]] = collections.defaultdict(dict)
    for (parent, child), pair_bounds in bounds.items():
        offset = pair_bounds.estimate()
        found[parent][child] = offset
        found[child].setdefault(parent, -offset)
    return found


def _spread(
    reference: str,
    neighbours: dict[str, dict[str, float]],
    offsets: dict[str, float],
) -> None:
    """Add up offsets along the shortest path from the reference."""
    offsets[reference] = 0.0
    waiting = collections.deque([reference])
    while waiting:
        process = waiting.popleft()
        for other, offset in neighbours[process].items():
            if other not in offsets:
                offsets[other] = offsets[process] + offset
                waiting.append(other)
