"""briarrill.coordination.request_limits: limits that upstreams name.

An upstream in need names in its responses how many requests per second it
takes from all processes together. The limit holds until a response without
one, or until the upstream restarts. Processes tell each other of changes.
"""

import math
import time

import attrs
from eliot import log_message

from ..protocol.limit_news import NamedLimit

__all__ = ('RequestLimits',)

# time for which peers are told of a change; two heartbeat intervals of load
# reports, so that one report may be lost
NEWS_S = 1.0

# time for which an ended limit is remembered, so that late news of it do not
# bring it back
ENDED_RETENTION_S = 10.0

# time after which a limit that no response repeated is forgotten; its upstream
# is gone or has restarted
UNUSED_RETENTION_S = 60.0

# marks the end of a limit in messages
NO_LIMIT = -1.0


@attrs.define
class _Observation:
    """What an upstream said last.

    :param rate_per_s: its limit, none if it named none.
    :param said_at: monotonic time at which it said so.
    :param changed_at: monotonic time at which this process saw a change.
    """

    rate_per_s: float | None
    said_at: float
    changed_at: float = -math.inf


@attrs.define
class RequestLimits:
    """The limits in force, by incarnation of the upstream.

    Each upstream may be blocked for a time after its owner refused a request.
    """

    _observed: dict[str, _Observation] = attrs.field(factory=dict, init=False)
    _blocked_until: dict[str, float] = attrs.field(factory=dict, init=False)

    def rate_per_s(self, incarnation: str) -> float | None:
        """Return the limit of an upstream, none without one."""
        observation = self._observed.get(incarnation)
        return None if observation is None else observation.rate_per_s

    def blocked_s(self, incarnation: str) -> float:
        """Return how long no request may be sent to an upstream."""
        if self.rate_per_s(incarnation) is None:
            return 0
        until = self._blocked_until.get(incarnation, -math.inf)
        return max(0, until - time.monotonic())

    def block(self, incarnation: str, delay_s: float) -> None:
        """Send nothing to an upstream for some time, while it has a limit."""
        self._blocked_until[incarnation] = time.monotonic() + delay_s

    def record_response(
        self, incarnation: str, rate_per_s: float | None
    ) -> None:
        """Record what a response to this process said."""
        now = time.monotonic()
        if rate_per_s is None and incarnation not in self._observed:
            return
        self._record(incarnation, rate_per_s, now, changed_at=now)

    def receive_news(self, limits: tuple[NamedLimit, ...]) -> None:
        """Record what a peer tells, unless a newer response is known."""
        now = time.monotonic()
        for limit in limits:
            rate_per_s = None if limit.rate_per_s < 0 else limit.rate_per_s
            self._record(limit.incarnation, rate_per_s, now - limit.age_s)

    def news(self) -> tuple[NamedLimit, ...]:
        """Return the changes that peers may not know yet."""
        if not self._observed:
            return ()
        now = time.monotonic()
        return tuple(
            NamedLimit(
                incarnation,
                NO_LIMIT if seen.rate_per_s is None else seen.rate_per_s,
                round(now - seen.said_at, 3),
            )
            for incarnation, seen in self._observed.items()
            if now - seen.changed_at < NEWS_S
        )

    def _record(
        self,
        incarnation: str,
        rate_per_s: float | None,
        said_at: float,
        changed_at: float = -math.inf,
    ) -> None:
        """Record an observation unless a newer one is known."""
        known = self._observed.get(incarnation)
        if known is not None and known.said_at >= said_at:
            return
        known_rate = None if known is None else known.rate_per_s
        if known is not None and known_rate == rate_per_s:
            known.said_at = said_at
            return
        if rate_per_s is None:
            self._blocked_until.pop(incarnation, None)
        self._forget_ended(said_at)
        self._observed[incarnation] = _Observation(
            rate_per_s, said_at, changed_at
        )
        log_message(
            'upstream:limit', incarnation=incarnation, rate_per_s=rate_per_s
        )

    def _forget_ended(self, now: float) -> None:
        """Forget limits that ended long ago, or were long not repeated."""
        for incarnation, seen in list(self._observed.items()):
            has_ended = seen.rate_per_s is None
            retention_s = (
                ENDED_RETENTION_S if has_ended else UNUSED_RETENTION_S
            )
            if now - seen.said_at > retention_s:
                self._observed.pop(incarnation)
                self._blocked_until.pop(incarnation, None)
