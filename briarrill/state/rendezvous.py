"""briarrill.state.rendezvous: rank nodes by hash for a key."""

from collections.abc import Iterable

import xxhash

__all__ = ('rank', 'spread')


def _weight(key: str, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\0{node}'.encode())


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes, the highest weight for the key first."""
    return sorted(nodes, key=lambda node: _weight(key, node), reverse=True)


def spread(key: str, domains: dict[str, list[str]], count: int) -> list[str]:
    """Choose nodes over failure domains.

    :param domains: failure domain to its nodes.
    :param count: nodes to choose; fewer when there are not as many.
    :return: the best of each domain first, then the second best.
    """
    ranked = [rank(key, domains[name]) for name in rank(key, domains)]
    chosen: list[str] = []
    depth = 0
    while len(chosen) < count and any(len(row) > depth for row in ranked):
        chosen.extend(row[depth] for row in ranked if len(row) > depth)
        depth += 1
    return chosen[:count]
