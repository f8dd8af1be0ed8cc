"""briarrill.coordination.grants: share an upstream's limit among processes.

One process, the owner, decides about all requests under the limit of one
upstream: it grants each of them a moment, in order of arrival, at the rate
that the upstream named. A request that would wait longer than it may is
refused and goes elsewhere. Batch items get only what online requests leave.

Processes may disagree for a moment about who the owner is. So owners tell
their peers how many requests they granted, and count those of the others. An
owner that does not hear all processes grants only the share of those that it
hears, as the others may have an owner of their own.

Load pattern: at a peak all processes send to the few upstreams that have a
place left. Counts that are exchanged at intervals would let each of them take
the same place.
"""

import time
from collections.abc import Mapping

import attrs

__all__ = ('Grant', 'GrantBook')

# an upstream is asked at least this often, also under a lower limit, to notice
# that the limit has changed; two requests in the 4 s over which it is judged,
# of 5 that are allowed beside the limit
MIN_RATE_PER_S = 0.5

# requests that may follow each other at once after a pause: one, and what the
# limit allows in this time; judged over 4 s, half as much again is allowed
BURST_S = 0.5

# places that batch items leave free for online requests, or fewer under a
# limit that saves up fewer
RESERVED_PLACES = 0.5

# most places that may be owed, in seconds of the limit; more than any request
# waits for its moment, so that a peer's wrong count holds nobody up for longer
MAX_DEBT_S = 10.0

# time for which batch items wait after an online request had to wait
ONLINE_DEMAND_S = 1.0

# time for which peers are told of a grant; two heartbeat intervals of load
# reports, so that one report may be lost
NEWS_S = 1.0

# time after which an upstream for which nothing was granted is forgotten; all
# that it could have saved up fits in the burst
RETENTION_S = 60.0


@attrs.frozen
class Grant:
    """The decision about one request.

    :param is_granted: whether it may be sent.
    :param delay_s: time after which it may be sent, or asked for again.
    """

    is_granted: bool
    delay_s: float


@attrs.define
class _Account:
    """Grants for one upstream.

    :param places: requests that may be sent now, negative if some that were
        granted still wait for their moment.
    :param updated_at: monotonic time at which ``places`` was right.
    :param granted: requests granted by this process so far.
    :param granted_at: monotonic time of the last grant.
    :param online_waited_at: monotonic time at which an online request last
        had to wait or was refused.
    :param peers: grants of each peer that were taken into account, by the
        peer's process and incarnation.
    """

    updated_at: float
    places: float = 1
    granted: int = 0
    granted_at: float = 0
    online_waited_at: float = 0
    peers: dict[tuple[str, int], int] = attrs.field(factory=dict)


@attrs.define
class GrantBook:
    """Grants requests under the limits of upstreams.

    Upstreams are named by their incarnations.
    """

    _accounts: dict[str, _Account] = attrs.field(factory=dict, init=False)

    def ask(
        self,
        incarnation: str,
        rate_per_s: float,
        *,
        max_wait_s: float,
        is_batch: bool = False,
        share: float = 1,
    ) -> Grant:
        """Grant a request its moment, or refuse it.

        :param rate_per_s: limit of the upstream, for all processes.
        :param max_wait_s: how long the request may wait.
        :param share: share of the processes that this one hears.
        """
        now = time.monotonic()
        account = self._find_account(incarnation, now)
        own_rate_per_s = max(rate_per_s, MIN_RATE_PER_S) * share
        burst = 1 + BURST_S * own_rate_per_s
        earned = (now - account.updated_at) * own_rate_per_s
        owed = max(account.places, -MAX_DEBT_S * own_rate_per_s)
        account.places = min(burst, owed + earned)
        account.updated_at = now
        if is_batch and now - account.online_waited_at < ONLINE_DEMAND_S:
            return Grant(is_granted=False, delay_s=ONLINE_DEMAND_S)
        needed = min(1 + RESERVED_PLACES, burst) if is_batch else 1
        delay_s = max(0, (needed - account.places) / own_rate_per_s)
        if delay_s > 0 and not is_batch:
            account.online_waited_at = now
        if delay_s > max_wait_s:
            return Grant(is_granted=False, delay_s=delay_s)
        account.places -= 1
        account.granted += 1
        account.granted_at = now
        return Grant(is_granted=True, delay_s=delay_s)

    def granted(self) -> dict[str, int]:
        """Return the counts of grants that peers may not know yet."""
        now = time.monotonic()
        return {
            incarnation: account.granted
            for incarnation, account in self._accounts.items()
            if now - account.granted_at < NEWS_S
        }

    def record_peer(
        self, process: str, process_start: int, granted: Mapping[str, int]
    ) -> None:
        """Count the grants of a peer.

        :param process_start: changes when the peer restarts and counts anew.
        """
        now = time.monotonic()
        for incarnation, count in granted.items():
            account = self._find_account(incarnation, now)
            key = (process, process_start)
            known = account.peers.get(key)
            if known is None:
                # grants before the first report lie in the past
                known = count - 1
            account.peers[key] = max(known, count)
            account.places -= max(0, count - known)

    def _find_account(self, incarnation: str, now: float) -> _Account:
        """Return the account of an upstream, opened on first use."""
        account = self._accounts.get(incarnation)
        if account is None:
            self._forget_unused(now)
            account = _Account(updated_at=now)
            self._accounts[incarnation] = account
        return account

    def _forget_unused(self, now: float) -> None:
        for incarnation, account in list(self._accounts.items()):
            if now - account.updated_at > RETENTION_S:
                self._accounts.pop(incarnation)
