"""briarrill.coordination.token_counts: unfinished tokens of each route.

A process counts them in its own table of jobs. One whose table may be old,
because it has started or its watch is cut, asks a peer whose table is not.
"""

import random
from collections.abc import Callable
from urllib.parse import quote, unquote

import attrs
import trio
from eliot import log_message

from ..errors import BriarrillError
from ..state.keys import ROOT_PREFIX
from .job_table import JobTable
from .load_exchange import LoadExchange
from .state_transfer import request_from_peer

__all__ = ('MAX_COUNT_AGE_S', 'TOKEN_COUNTS_PATH', 'TokenCounts')

TOKEN_COUNTS_PATH = '/unfinished-tokens/'

# a live peer replies within one round trip; a job must be accepted within
# some hundred milliseconds
REPLY_TIMEOUT_S = 0.1

# greatest age of a table whose tokens are counted; the time after which jobs
# that a caller was told of must be known at every process
MAX_COUNT_AGE_S = 1.0

# time for which a peer may lack a job that this process has stored: the age of
# its table and, rounded up, the longest pause between two load reports
PEER_LAG_S = 1.5

# peers that are asked, one after the other
MAX_ASKED_PEERS = 2


@attrs.define
class TokenCounts:
    """Counts the unfinished tokens of routes, here or at a peer.

    :param is_recent: whether the table has all jobs and results but those of
        the last ``MAX_COUNT_AGE_S``.
    :param port: port at which all processes serve their peers.
    """

    jobs: JobTable
    is_recent: Callable[[], bool]
    load: LoadExchange
    port: int
    rng: random.Random

    async def count(self, route: str) -> int | None:
        """Return the unfinished tokens of a route, none if nobody knows.

        A peer may lack the jobs that this process has just stored, so they
        are added to its count.
        """
        if self.is_recent():
            return self.jobs.unfinished_tokens(route)
        for host in self._hosts():
            tokens = await self._ask(host, route)
            if tokens is not None:
                return tokens + self.jobs.unfinished_tokens(
                    route, stored_within_s=PEER_LAG_S
                )
        return None

    def reply(self, path: str) -> bytes | None:
        """Return the count that a peer asks for, none if it is not known.

        :param path: name of the route, quoted.
        """
        if not self.is_recent():
            return None
        return str(self.jobs.unfinished_tokens(unquote(path))).encode()

    def _hosts(self) -> list[str]:
        """Return the hosts of a few peers that follow the service."""
        hosts = [
            report.host
            for report in self.load.peers.reachable
            if ROOT_PREFIX in report.connected and not report.is_leaving
        ]
        return self.rng.sample(hosts, min(len(hosts), MAX_ASKED_PEERS))

    async def _ask(self, host: str, route: str) -> int | None:
        """Ask a peer; return nothing if it does not know or reply."""
        path = f'{TOKEN_COUNTS_PATH}{quote(route, "")}'
        try:
            with trio.fail_after(REPLY_TIMEOUT_S):
                raw = await request_from_peer((host, self.port), path)
                return None if raw is None else int(raw)
        except (BriarrillError, ValueError, trio.TooSlowError) as exc:
            log_message('job:tokens-not-counted', peer=host, why=repr(exc))
        return None
