"""briarrill.state.rendezvous: rendezvous hashing of keys to nodes."""

from collections.abc import Iterable

import xxhash

__all__ = ('choose_across_domains', 'rank_nodes')


def _weight(key: str, node: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\0{node}'.encode())


def rank_nodes(key: str, nodes: Iterable[str]) -> list[str]:
    """Sort nodes by their hash with the key, highest first."""
    return sorted(nodes, key=lambda node: _weight(key, node), reverse=True)


def choose_across_domains(
    key: str, domains: dict[str, list[str]], count: int
) -> list[str]:
    """Choose nodes for a key, alternating over failure domains.

    :param domains: nodes by failure domain.
    :param count: maximum number of nodes to choose.
    :return: the highest-ranked node of each domain, then the second of each,
        and so on.
    """
    ranked_by_domain = [
        rank_nodes(key, domains[name]) for name in rank_nodes(key, domains)
    ]
    chosen: list[str] = []
    position = 0
    while len(chosen) < count and any(
        len(ranked_nodes) > position for ranked_nodes in ranked_by_domain
    ):
        chosen.extend(
            ranked_nodes[position]
            for ranked_nodes in ranked_by_domain
            if len(ranked_nodes) > position
        )
        position += 1
    return chosen[:count]
