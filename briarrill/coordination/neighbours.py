"""briarrill.coordination.neighbours: choose gossip neighbours and watchers.

Each process chooses a few others by rendezvous hashing, spread over failure
domains and regions. Versions pass along the edges of the resulting graph in
both directions; the number of edges per process does not grow with the
fleet.
"""

from collections.abc import Iterable

import attrs

from ..state.rendezvous import choose_across_domains, rank_nodes
from ..transport.instance_list import Role
from .configuration import Peer

__all__ = ('Process', 'choose_neighbours', 'choose_watchers')

# neighbours that a process chooses; about as many others choose it
NEIGHBOUR_COUNT = 6

# neighbours chosen in other regions, if there are any
REMOTE_NEIGHBOUR_COUNT = 2

# processes per failure domain that watch the key-value service
WATCHERS_PER_DOMAIN = 2

WATCHER_RANK_KEY = 'configuration'


@attrs.frozen
class Process:
    """A process of the fleet that exchanges configuration versions."""

    peer: Peer
    role: Role
    failure_domain: str
    region: str

    @property
    def name(self) -> str:
        """Return the unique name: host and control port."""
        return f'{self.peer.host}:{self.peer.port}'


def choose_neighbours(
    own: Process, processes: Iterable[Process]
) -> list[Process]:
    """Return up to ``NEIGHBOUR_COUNT`` processes to exchange versions with."""
    candidates = [process for process in processes if process != own]
    local = [
        candidate for candidate in candidates if candidate.region == own.region
    ]
    remote = [
        candidate for candidate in candidates if candidate.region != own.region
    ]
    chosen_remote = _choose_processes_across_domains(
        own.name, remote, REMOTE_NEIGHBOUR_COUNT
    )
    local_count = NEIGHBOUR_COUNT - len(chosen_remote)
    return [
        *_choose_processes_across_domains(own.name, local, local_count),
        *chosen_remote,
    ]


def choose_watchers(processes: Iterable[Process]) -> set[Process]:
    """Return the processes that watch the key-value service.

    They are ``WATCHERS_PER_DOMAIN`` of each failure domain.
    """
    return {
        by_name[name]
        for by_name in _by_domain(processes).values()
        for name in rank_nodes(WATCHER_RANK_KEY, by_name)[:WATCHERS_PER_DOMAIN]
    }


def _choose_processes_across_domains(
    key: str, processes: list[Process], count: int
) -> list[Process]:
    domains = _by_domain(processes)
    names = {domain: list(by_name) for domain, by_name in domains.items()}
    by_name = {process.name: process for process in processes}
    return [by_name[name] for name in choose_across_domains(key, names, count)]


def _by_domain(
    processes: Iterable[Process],
) -> dict[str, dict[str, Process]]:
    domains: dict[str, dict[str, Process]] = {}
    for process in processes:
        by_name = domains.setdefault(process.failure_domain, {})
        by_name[process.name] = process
    return domains
