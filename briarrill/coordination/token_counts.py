"""briarrill.coordination.token_counts: unfinished tokens of each route.

Where there are customers, they are counted for each of them.

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
from .routes import Route, RouteTable
from .state_transfer import request_from_peer

__all__ = ('MAX_COUNT_AGE_S', 'TOKEN_COUNTS_PATH', 'TokenCounts')

TOKEN_COUNTS_PATH = '/route-tokens/'

# between version, route and customer, of which the last two are quoted
_SEPARATOR = '/'

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
    :param routes: returns the routes in force.
    """

    jobs: JobTable
    is_recent: Callable[[], bool]
    load: LoadExchange
    port: int
    rng: random.Random
    routes: Callable[[], RouteTable | None]

    async def count(
        self, route: Route, routes: RouteTable, customer: str | None = None
    ) -> int | None:
        """Return the unfinished tokens of a route, none if nobody knows.

        A peer may lack the jobs that this process has just stored, so they
        are added to its count.

        :param routes: version of the configuration that has the route.
        :param customer: count only jobs of a customer, empty for those
            without one; default all jobs.
        """
        if self.is_recent():
            return self.jobs.unfinished_tokens(route, routes, customer)
        path = _join_path(route, routes.version, customer)
        for host in self._hosts():
            tokens = await self._ask(host, path)
            if tokens is not None:
                return tokens + self.jobs.unfinished_tokens(
                    route, routes, customer, stored_within_s=PEER_LAG_S
                )
        return None

    def reply(self, path: str) -> bytes | None:
        """Return the count that a peer asks for, none if it is not known.

        It is not if the peer has another version of the configuration, by
        which items may have other routes.

        :param path: version, what selects the route, and the name of the
            customer if there is one; the last two are quoted.
        """
        routes = self.routes()
        if routes is None or not self.is_recent():
            return None
        version, *names = path.split(_SEPARATOR)
        selector, *customers = map(unquote, names)
        route = routes.find_by_selector(selector)
        if route is None or version != str(routes.version):
            return None
        customer = customers[0] if customers else None
        tokens = self.jobs.unfinished_tokens(route, routes, customer)
        return str(tokens).encode()

    def _hosts(self) -> list[str]:
        """Return the hosts of a few peers that follow the service."""
        hosts = [
            report.host
            for report in self.load.peers.reachable
            if ROOT_PREFIX in report.connected and not report.is_leaving
        ]
        return self.rng.sample(hosts, min(len(hosts), MAX_ASKED_PEERS))

    async def _ask(self, host: str, path: str) -> int | None:
        """Ask a peer; return nothing if it does not know or reply."""
        try:
            with trio.fail_after(REPLY_TIMEOUT_S):
                raw = await request_from_peer((host, self.port), path)
                return None if raw is None else int(raw)
        except (BriarrillError, ValueError, trio.TooSlowError) as exc:
            log_message('job:tokens-not-counted', peer=host, why=repr(exc))
        return None


def _join_path(route: Route, version: int, customer: str | None) -> str:
    """Return the path at which a peer is asked for a count."""
    names = (
        [route.selector] if customer is None else [route.selector, customer]
    )
    return TOKEN_COUNTS_PATH + _SEPARATOR.join(
        (str(version), *(quote(name, safe='') for name in names))
    )
