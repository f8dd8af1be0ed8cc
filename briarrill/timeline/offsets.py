"""briarrill.timeline.offsets: estimates clock offsets between processes.

An action that a process continues for another one starts after the sender's
action started and ends before it ended. Each such pair of actions bounds the
offset between the two clocks from both sides.
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
    """Bounds of the seconds to add to the child process's clock."""

    lowest: float = -math.inf
    highest: float = math.inf

    def narrow(self, parent: Action, child: Action) -> None:
        """Tighten the bounds by a parent action and its remote child."""
        parent_started_at = parent.started.timestamp
        self.lowest = max(
            self.lowest, parent_started_at - child.started.timestamp
        )
        if parent.ended is None or child.ended is None:
            return
        parent_ended_at = parent.ended.timestamp
        self.highest = min(
            self.highest, parent_ended_at - child.ended.timestamp
        )

    def estimate(self) -> float:
        """Return 0 if the bounds allow it, otherwise their midpoint.

        With only one finite bound, return the allowed value closest to 0.
        """
        if self.lowest <= 0 <= self.highest:
            return 0.0
        if math.isinf(self.lowest) or math.isinf(self.highest):
            return min(max(0.0, self.lowest), self.highest)
        return (self.lowest + self.highest) / 2


def estimate_offsets(actions: dict[ActionKey, Action]) -> dict[str, float]:
    """Return the seconds to add to each process's timestamps.

    The reference is the process that exchanged requests with most others;
    its offset is 0. Processes that no chain of requests connects to it have
    a reference of their own; one without such requests has no offset.
    """
    bounds = _bounds_by_pair(actions)
    offsets_by_peer = _offsets_by_peer(bounds)
    offsets: dict[str, float] = {}
    by_peer_count = sorted(
        offsets_by_peer, key=lambda name: (-len(offsets_by_peer[name]), name)
    )
    for reference in by_peer_count:
        if reference not in offsets:
            _propagate_offsets(reference, offsets_by_peer, offsets)
    return offsets


def apply_offsets(
    events: Iterable[Event], offsets: dict[str, float]
) -> list[Event]:
    """Return the events with corrected timestamps, sorted by them."""
    return sorted(
        attrs.evolve(
            event,
            timestamp=event.timestamp + offsets.get(event.process, 0),
        )
        for event in events
    )


def _bounds_by_pair(
    actions: dict[ActionKey, Action],
) -> dict[ProcessPair, _Bounds]:
    """Return the bounds for each pair of parent and child process."""
    bounds: dict[ProcessPair, _Bounds] = collections.defaultdict(_Bounds)
    for child in actions.values():
        parent = actions.get(child.parent_key)
        if parent is None:
            continue
        pair = (parent.started.process, child.started.process)
        if pair[0] != pair[1]:
            bounds[pair].narrow(parent, child)
    return bounds


def _offsets_by_peer(
    bounds: dict[ProcessPair, _Bounds],
) -> dict[str, dict[str, float]]:
    """Return, for each process, the relative offset of each peer."""
    relative_offsets: dict[str, dict[str, float]] = collections.defaultdict(
        dict
    )
    for (parent, child), pair_bounds in bounds.items():
        offset = pair_bounds.estimate()
        relative_offsets[parent][child] = offset
        relative_offsets[child].setdefault(parent, -offset)
    return relative_offsets


def _propagate_offsets(
    reference: str,
    offsets_by_peer: dict[str, dict[str, float]],
    offsets: dict[str, float],
) -> None:
    """Set the offsets of all processes connected to a reference.

    Relative offsets are added along the path with the fewest processes.
    """
    offsets[reference] = 0.0
    pending = collections.deque([reference])
    while pending:
        process = pending.popleft()
        for peer, offset in offsets_by_peer[process].items():
            if peer not in offsets:
                offsets[peer] = offsets[process] + offset
                pending.append(peer)
