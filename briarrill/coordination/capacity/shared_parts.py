"""briarrill.coordination.capacity.shared_parts: where parts of prompts lie.

Load pattern: many requests share the first parts of their prompts, a few
parts those of most. An upstream that read a part lately does not read it
again. If placement ignores that, a quarter of all tokens is read again; if it
only follows that, the upstream with a hot part is overrun.

So a part that lies at an upstream is worth the share of the request's tokens
that are not read there again, in requests: less than one request more or
less in flight. The upstreams that hold a hot part fill up, others read it,
and then they hold it as well.

A part is kept only with all parts before it, so a place is known by the
hash of a prompt's parts up to it. What was sent long ago has probably been
replaced; its worth halves with time.
"""

import collections
import time
from collections.abc import Callable, Iterator, Mapping, Sequence

import attrs
import xxhash

from ...protocol.load_reports import short_hash
from .work import PromptPart, Work

__all__ = ('PartPlaces',)

# time in which the chance that a part still lies there halves; an upstream of
# eight slots reads new prompts as large as its memory in some ten seconds
HALF_LIFE_S = 10.0

# parts that are kept by upstream, and upstreams that are kept
MAX_PARTS = 64
MAX_UPSTREAMS = 1024

# places in one report, of 10 bytes each, and places that wait to be told
MAX_REPORTED = 6
MAX_UNREPORTED = 256


@attrs.define
class PartPlaces:
    """Remembers the shared parts that were sent to upstreams of late.

    :param clock: monotonic clock.
    """

    clock: Callable[[], float] = time.monotonic
    _sent_at: collections.OrderedDict[
        int, collections.OrderedDict[int, float]
    ] = attrs.field(factory=collections.OrderedDict, init=False)
    _unreported: collections.deque[tuple[int, int]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_UNREPORTED), init=False
    )

    def record(self, incarnation: str, work: Work) -> None:
        """Record that an upstream reads the parts of a request.

        Peers are told of those that were not there a while ago.
        """
        name = short_hash(incarnation)
        now = self.clock()
        places = self._sent_at.get(name) or collections.OrderedDict()
        for chain, _ in _shared_chains(work.parts):
            if now - places.get(chain, -HALF_LIFE_S) >= HALF_LIFE_S:
                self._unreported.append((name, chain))
            self._add(name, chain, now)

    def receive(self, news: Sequence[int]) -> None:
        """Add places of which a peer tells.

        :param news: pairs of an upstream's hash and a part's.
        """
        now = self.clock()
        for name, chain in zip(news[::2], news[1::2], strict=False):
            self._add(name, chain, now)

    def news(self) -> tuple[int, ...]:
        """Return places of which peers were not told, at most a few."""
        told: list[int] = []
        while self._unreported and len(told) < 2 * MAX_REPORTED:
            told.extend(self._unreported.popleft())
        return tuple(told)

    def saved_tokens(self, incarnation: str, work: Work) -> float:
        """Return the tokens that an upstream need not read, as expected."""
        return self.saved_by_upstream(work).get(short_hash(incarnation), 0)

    def saved_by_upstream(self, work: Work) -> dict[int, float]:
        """Return the same for all upstreams that save any.

        They are named by the hashes of their incarnations.
        """
        chains = list(_shared_chains(work.parts))
        if not chains:
            return {}
        now = self.clock()
        return {
            name: _expected_tokens(places, chains, now)
            for name, places in self._sent_at.items()
            if chains[0][0] in places
        }

    def _add(self, name: int, chain: int, now: float) -> None:
        """Add a place; evict what is least recent."""
        places = self._sent_at.setdefault(name, collections.OrderedDict())
        self._sent_at.move_to_end(name)
        places[chain] = now
        places.move_to_end(chain)
        if len(places) > MAX_PARTS:
            places.popitem(last=False)
        if len(self._sent_at) > MAX_UPSTREAMS:
            self._sent_at.popitem(last=False)


def _expected_tokens(
    places: Mapping[int, float],
    chains: Sequence[tuple[int, int]],
    now: float,
) -> float:
    """Return the tokens of the first parts that lie at an upstream.

    :param places: when each part was sent there.
    """
    expected = 0.0
    for chain, tokens in chains:
        if chain not in places:
            break
        expected += tokens * 0.5 ** ((now - places[chain]) / HALF_LIFE_S)
    return expected


def _shared_chains(parts: tuple[PromptPart, ...]) -> Iterator[tuple[int, int]]:
    """Yield the hash up to each shared part, and the part's tokens."""
    chain = 0
    for part in parts[:-1]:
        chain = xxhash.xxh32_intdigest(part.part_id.encode(), seed=chain)
        yield chain, part.tokens
