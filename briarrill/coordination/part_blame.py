"""briarrill.coordination.part_blame: suspect prompt parts before a decision.

The decision on a part waits until all processes could tell of answers. Until
then upstreams would go on ending, so parts are suspected sooner: first they
run at one upstream at a time, then they are held back.
"""

import collections
from collections.abc import Mapping, Set

import attrs

from .request_blame import MIN_CRASHES, MIN_SUSPECT_CRASHES

__all__ = (
    'MIN_CRASHES_OF_FIRST_PART',
    'PartBlame',
    'blame_parts',
    'parts_explained_better',
)

# upstreams that must have ended with a first part in flight, which most
# requests of a route share
MIN_CRASHES_OF_FIRST_PART = 5

_Ends = Mapping[int, Set[int]]


@attrs.frozen
class PartBlame:
    """What the ends of upstreams say against parts of prompts.

    :param suspects: parts that run at one upstream at a time, and not beside
        another suspected one.
    :param held: those of them that are not sent until the decision.
    """

    suspects: frozenset[int] = frozenset()
    held: frozenset[int] = frozenset()


def blame_parts(ends: _Ends, first_parts: Set[int]) -> PartBlame:
    """Return the parts that may explain the ends of upstreams.

    A first part is no suspect if another part was at all of its ends.

    :param ends: the ends with a part in flight, by part.
    :param first_parts: parts that were the first of their prompt.
    """
    repeated = {
        part: under
        for part, under in ends.items()
        if len(under) >= MIN_SUSPECT_CRASHES
    }
    others = {part: repeated[part] for part in repeated.keys() - first_parts}
    rivals = _rivals(others)
    firsts = {
        part: repeated[part]
        for part in repeated.keys() & first_parts
        if not any(
            repeated[part] <= others[rival]
            for rival in rivals[min(repeated[part])]
        )
    }
    return PartBlame(
        suspects=frozenset(others) | frozenset(firsts),
        held=_held(others, firsts, MIN_CRASHES)
        | _held(firsts, others, MIN_CRASHES_OF_FIRST_PART),
    )


def parts_explained_better(ends: _Ends) -> set[int]:
    """Return the parts at whose ends, and at more, another part was."""
    rivals = _rivals(ends)
    return {
        part
        for part, under in ends.items()
        if any(under < ends[rival] for rival in rivals[min(under)])
    }


def _held(ends: _Ends, of_others: _Ends, min_crashes: int) -> frozenset[int]:
    """Return the suspects that are not sent, of first parts or of others.

    A part that another one of its kind explains better goes on. One that is
    explained as well by any goes on for one more end: they run apart by now,
    so that the next end tells them apart unless they share all prompts.
    """
    better = parts_explained_better(ends)
    all_ends = {**ends, **of_others}
    rivals = _rivals(all_ends)
    held: set[int] = set()
    for part in ends.keys() - better:
        under = ends[part]
        is_ambiguous = any(
            under <= all_ends[rival]
            for rival in rivals[min(under)]
            if rival != part
        )
        if len(under) >= min_crashes + is_ambiguous:
            held.add(part)
    return frozenset(held)


def _rivals(ends: _Ends) -> Mapping[int, list[int]]:
    """Return the parts in flight at each end."""
    rivals: dict[int, list[int]] = collections.defaultdict(list)
    for part, under in ends.items():
        for end in under:
            rivals[end].append(part)
    return rivals
