"""briarrill.relay.upstream_health: record how attempts at upstreams end."""

import random

from ..coordination.ejection import Ejector
from ..coordination.load_exchange import LoadExchange
from ..coordination.silence import SilenceRows
from ..coordination.upstream_table import RegisteredUpstream, UpstreamTable
from ..errors import (
    BriarrillError,
    CapacityError,
    DeadlineExceededError,
    UpstreamFailedError,
    UpstreamLostError,
    UpstreamRefusedError,
)
from .permits import has_no_limit

__all__ = ('UpstreamHealth',)


class UpstreamHealth:
    """Ejects upstreams that fail or are slow, and tells peers of losses.

    :param rng: decides which requests a returning upstream gets.
    """

    def __init__(
        self, upstreams: UpstreamTable, load: LoadExchange, rng: random.Random
    ) -> None:
        """Start without failures."""
        self._upstreams = upstreams
        self._load = load
        self._rng = rng
        self._ejectors: dict[str, Ejector] = {}
        self._silences = SilenceRows()

    def ejector_of(self, service: str) -> Ejector:
        """Return the ejector of a service, created on first use."""
        return self._ejectors.setdefault(
            service,
            Ejector(
                self._rng,
                is_comparable=lambda upstream_id: has_no_limit(
                    self._upstreams, self._load.limits.limits, upstream_id
                ),
            ),
        )

    def record_success(self, upstream: RegisteredUpstream) -> None:
        """Record that the whole response to a request was received."""
        self._load.silence.record_bytes(upstream.upstream_id)
        self.ejector_of(upstream.service).record_success(upstream.upstream_id)

    def record_failure(
        self,
        upstream: RegisteredUpstream,
        exc: BriarrillError,
        *,
        has_head: bool,
    ) -> None:
        """Count a failed attempt against its upstream.

        One that loses several responses in a row is suspected, so that peers
        need not find out for themselves.

        :param has_head: whether a sound head of the response has arrived.
        """
        if isinstance(exc, CapacityError | UpstreamRefusedError):
            return
        if isinstance(exc, UpstreamFailedError):
            self.ejector_of(upstream.service).record_error(
                upstream.upstream_id
            )
            return
        if isinstance(exc, DeadlineExceededError) and has_head:
            # it may only be long, or late under overload
            return
        if not self._silences.is_failure(upstream.upstream_id, exc):
            return
        is_ejected = self.ejector_of(upstream.service).record_failure(
            upstream.upstream_id
        )
        if is_ejected and isinstance(exc, UpstreamLostError):
            self._load.silence.mark_suspect(upstream.upstream_id)
