"""briarrill.protocol.limit_news: what processes tell of request limits."""

import attrs

from .numbers import Count, FiniteNumber, NonNegativeNumber

__all__ = ('LimitNews', 'NamedLimit')


@attrs.frozen
class NamedLimit:
    """A limit that an upstream named, or its end.

    :param incarnation: of the upstream.
    :param rate_per_s: requests per second from all processes together,
        negative after the limit's end.
    :param age_s: seconds since the upstream said so.
    """

    incarnation: str
    rate_per_s: FiniteNumber
    age_s: NonNegativeNumber


@attrs.frozen
class LimitNews:
    """Recent observations and grants of a process.

    :param limits: limits that were first named, changed or ended of late.
    :param granted: requests granted so far, by the incarnation of upstreams
        for which one was granted of late.
    """

    limits: tuple[NamedLimit, ...] = ()
    granted: dict[str, Count] = attrs.field(factory=dict)
