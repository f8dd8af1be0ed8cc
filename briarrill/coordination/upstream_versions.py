"""briarrill.coordination.upstream_versions: software versions of upstreams."""

import time
from collections.abc import Callable

import attrs

from .version_records import VERSION_RETENTION_S, ServedVersion

__all__ = ('UpstreamVersions',)

# replaced incarnations that are remembered; the oldest are forgotten first
MAX_REPLACED = 4096


@attrs.define
class UpstreamVersions:
    """Versions that served lately, and processes whose version is unknown.

    :param clock: monotonic clock.
    """

    _clock: Callable[[], float] = time.monotonic
    _left_at: dict[ServedVersion, float] = attrs.field(
        factory=dict, init=False
    )
    _replaced: dict[str, None] = attrs.field(factory=dict, init=False)

    def record_departure(self, service: str, version: str) -> None:
        """Record that an upstream of a service and version left."""
        now = self._clock()
        oldest = now - VERSION_RETENTION_S
        self._left_at = {
            served: left_at
            for served, left_at in self._left_at.items()
            if left_at > oldest
        }
        self._left_at[ServedVersion(service, version)] = now

    @property
    def left_lately(self) -> set[ServedVersion]:
        """Return the versions of upstreams that left lately."""
        oldest = self._clock() - VERSION_RETENTION_S
        return {
            served
            for served, left_at in self._left_at.items()
            if left_at > oldest
        }

    def mark_replaced(self, incarnation: str) -> None:
        """Record that another process answers in place of an incarnation."""
        self._replaced[incarnation] = None
        if len(self._replaced) > MAX_REPLACED:
            self._replaced.pop(next(iter(self._replaced)))

    def is_replaced(self, incarnation: str) -> bool:
        """Tell whether another process answers in place of an incarnation."""
        return incarnation in self._replaced
