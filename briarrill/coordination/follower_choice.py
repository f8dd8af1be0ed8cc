"""briarrill.coordination.follower_choice: choose who watches the service.

Each change of a job or a result reaches every process. If all of them watched
the key-value service, its calls would grow with the product of processes and
changes. So one process of each failure domain, the follower, watches the
service, and the others of its domain read the changes from it.
"""

from collections.abc import Iterable

import attrs

from ..state.rendezvous import rank_nodes

__all__ = ('FollowerCandidate', 'choose_follower')

_RANK_KEY = 'follower'


@attrs.frozen
class FollowerCandidate:
    """A process that may watch the key-value service for its domain.

    :param is_able: it reaches the service and is not leaving.
    :param is_preferred: it serves no callers' requests.
    """

    name: str
    failure_domain: str
    is_able: bool
    is_preferred: bool


def choose_follower(
    failure_domain: str, candidates: Iterable[FollowerCandidate]
) -> str:
    """Return the name of a domain's follower, empty if none is able.

    All processes with the same view choose the same one. While views differ,
    more processes than one watch the service, which is harmless.
    """
    able = [
        candidate
        for candidate in candidates
        if candidate.is_able and candidate.failure_domain == failure_domain
    ]
    preferred = [candidate for candidate in able if candidate.is_preferred]
    names = [candidate.name for candidate in preferred or able]
    return rank_nodes(_RANK_KEY, names)[0] if names else ''
