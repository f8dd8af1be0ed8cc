"""briarrill.coordination.neighbours: whom a process exchanges versions with.

Each process picks a few others by rendezvous hashing, spread over failure
domains and regions. All processes together form a graph whose edges carry
versions both ways, and whose cost for each process does not grow with the
fleet.
"""

from collections.abc import Iterable

import attrs

from ..state.rendezvous import rank, spread
from ..transport.instance_list import Role
from .configuration import Peer

__all__ = ('Process', 'choose_neighbours', 'choose_watchers')

# neighbours that a process picks; about as many others pick it
DEGREE = 6

# neighbours picked in other regions, if there are any
REMOTE_DEGREE = 2

# processes of a failure domain that watch the key-value service
WATCHERS_PER_DOMAIN = 2

WATCH_KEY = 'configuration'


@attrs.frozen
class Process:
    """A process of the fleet that holds the configuration."""

    peer: Peer
    role: Role
    failure_domain: str
    region: str

    @property
    def name(self) -> str:
        """Return a name that no other process has."""
        return f'{self.peer.host}:{self.peer.port}'


def choose_neighbours(
    own: Process, processes: Iterable[Process]
) -> list[Process]:
    """Return the processes to exchange versions with."""
    others = [process for process in processes if process != own]
    local = [other for other in others if other.region == own.region]
    remote = [other for other in others if other.region != own.region]
    chosen_remote = _spread(own.name, remote, REMOTE_DEGREE)
    degree = DEGREE - len(chosen_remote)
    return [*_spread(own.name, local, degree), *chosen_remote]


def choose_watchers(processes: Iterable[Process]) -> set[Process]:
    """Return the processes that watch the key-value service."""
    return {
        by_name[name]
        for by_name in _by_domain(processes).values()
        for name in rank(WATCH_KEY, by_name)[:WATCHERS_PER_DOMAIN]
    }


def _spread(key: str, processes: list[Process], count: int) -> list[Process]:
    domains = _by_domain(processes)
    names = {domain: list(by_name) for domain, by_name in domains.items()}
    by_name = {process.name: process for process in processes}
    return [by_name[name] for name in spread(key, names, count)]


def _by_domain(
    processes: Iterable[Process],
) -> dict[str, dict[str, Process]]:
    domains: dict[str, dict[str, Process]] = {}
    for process in processes:
        by_name = domains.setdefault(process.failure_domain, {})
        by_name[process.name] = process
    return domains
